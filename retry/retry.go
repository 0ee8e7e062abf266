// Package retry decides whether a failed request is sent again.
//
// A request is sent again only if it certainly did not run or its policy allows a repeat, and only
// as long as the number of attempts, the deadline and the service's retry budget allow it. A request
// that is itself a retry by an upstream caller is never retried, so that in a chain of calls only the
// level next to the failure retries. A response of a back end is relayed whatever its status, because
// the level below has already retried.
//
// The package is pure: it reads no clock and does no I/O. Budget is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// Defaults of a budget.
const (
	// DefaultRatio is the number of retries earned by one request.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum number of retries that can be saved.
	DefaultBurst = 10
)

// Budget limits the retries of a service to a ratio of its requests. It starts empty: a daemon that
// has just started has to earn its first retries.
type Budget struct {
	Ratio   float64 // retries earned by one request; 0: DefaultRatio
	Burst   float64 // maximum number of saved retries; 0: DefaultBurst
	balance float64 // saved retries
}

// Earn adds the retries earned by a first attempt.
func (b *Budget) Earn() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	// A cap below 1+ratio would discard what is earned in excess of a whole retry each time.
	b.balance = min(b.balance+ratio, max(b.burst(), 1+ratio))
}

func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return b.Burst
}

// Kind is the reason for an attempt.
type Kind int

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case First:
		return "first"
	case Retry:
		return "retry"
	case Redial:
		return "redial"
	}
	return "hedge"
}

// The kinds of attempt.
const (
	First Kind = iota // costs nothing and earns retries
	Retry             // another attempt failed
	Hedge             // another attempt is slow
	// Redial: another attempt was never sent, because no connection could be opened. It costs
	// nothing, because it has put no load on a back end. On a day with frequent back end exits, 326
	// of the 681 failed requests in the logs were given up after a refused connection because the
	// retry budget was empty.
	Redial
)

// KindAfter returns the kind of the attempt that follows one that failed with a code.
func KindAfter(code resultcode.Code) Kind {
	if code == resultcode.ConnectFailed {
		return Redial
	}
	return Retry
}

// CostsBudget reports whether an attempt of the kind is charged to the budget.
func (k Kind) CostsBudget() bool {
	return k == Retry || k == Hedge
}

// Fractions of the burst that are reserved for attempts of higher priority.
const (
	// callerRetryReserve is reserved for callers that were refused before and have fewer tries left.
	// If back ends refuse half of all requests, it raises the share of callers that are served in
	// time from 0.943 to 0.960 (TestPatterns, shed).
	callerRetryReserve = 0.25
	// hedgeReserve is reserved for retries: a failed request is lost without another attempt, a slow
	// one may still be answered.
	hedgeReserve = 0.25
)

// Spend charges an attempt to the budget and reports whether the budget allows it. callerRetry tells
// that the caller was refused before and has retried.
func (b *Budget) Spend(kind Kind, callerRetry bool) bool {
	reserve := 0.0
	switch {
	case !kind.CostsBudget():
		return true
	case kind == Hedge:
		reserve = hedgeReserve * b.burst()
	case !callerRetry:
		reserve = callerRetryReserve * b.burst()
	}
	if b.balance < 1+reserve {
		return false
	}
	b.balance--
	return true
}

// Reset discards the saved retries.
func (b *Budget) Reset() {
	b.balance = 0
}

// Refund reverses Spend for an attempt that was not made.
func (b *Budget) Refund() {
	b.balance++
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code             resultcode.Code
	Number           int           // attempts so far, except those that were never sent
	Unsent           int           // attempts that were never sent; not included in Number
	MaxAttempts      int           // maximum of Number, including the first attempt
	Repeatable       bool          // the policy allows a repeat
	CallerRetry      bool          // the caller was refused before and has retried
	UpstreamRetry    bool          // the caller's request was itself a retry
	Rewindable       bool          // the request's body can be sent again
	Remaining        time.Duration // time until the deadline
	ExpectedDuration time.Duration // expected time of another attempt
	UntriedBackends  int           // back ends that have not been tried for this request
	Crashes          int           // back ends that crashed while they ran this request or its repeats
}

// Verdict is the decision whether to send a request again and, if not, the reason.
type Verdict string

// The verdicts.
const (
	Allowed           Verdict = "again"
	NotRepeatable     Verdict = "not-repeatable"
	TooManyAttempts   Verdict = "too-many-attempts"
	AlreadyRetry      Verdict = "already-a-retry"
	NoTimeLeft        Verdict = "no-time-left"
	BodyNotResendable Verdict = "body-cannot-be-resent"
	NoOtherBackend    Verdict = "no-other-back-end"
	OverBudget        Verdict = "over-budget"
	BackendsCrashed   Verdict = "back-ends-ended"
	NoPath            Verdict = "no-path"
)

// Decide decides whether to send a request again. It charges the budget only if the verdict is
// Allowed.
func Decide(attempt Attempt, budget *Budget) Verdict {
	verdict := Evaluate(attempt)
	if verdict == Allowed && !budget.Spend(Retry, attempt.CallerRetry) {
		return OverBudget
	}
	return verdict
}

// maxCrashes is the number of back end crashes up to which a request is sent again. After one crash the
// request may be a harmless one, which another attempt serves. After the second it is usually the
// cause, and a third back end is only risked if the caller repeats the request.
const maxCrashes = 1

// maxUnsent is the maximum number of unsent attempts of a request: if half of the back ends are gone
// without this being known, one request in sixteen is routed to four of them.
const maxUnsent = 3

// Evaluate decides whether to send a request again, regardless of the budget.
func Evaluate(attempt Attempt) Verdict {
	notRun := attempt.Code.Info().Run == resultcode.NotRun
	switch {
	case !notRun && !attempt.Repeatable:
		return NotRepeatable
	case attempt.Number >= attempt.MaxAttempts || attempt.Unsent > maxUnsent:
		return TooManyAttempts
	case attempt.Code == resultcode.BackendsUnreachable:
		return NoPath
	case attempt.Crashes > maxCrashes:
		return BackendsCrashed
	case attempt.UpstreamRetry:
		return AlreadyRetry
	case !attempt.Rewindable:
		return BodyNotResendable
	case attempt.Remaining <= attempt.ExpectedDuration:
		return NoTimeLeft
	case attempt.UntriedBackends <= 0:
		return NoOtherBackend
	}
	return Allowed
}
