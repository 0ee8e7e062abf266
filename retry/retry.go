// Package retry decides whether a request that failed is sent again.
//
// A request is sent again only if it certainly did not run, or if its policy
// allows a repeat; only while attempts, deadline and the service's retry budget
// last; and never for a request that is itself a retry from further up, so that
// in a chain of calls only the level next to the failure retries. An answer of
// a back end, whatever its status, is an answer and is passed on: the level
// below has done its own retrying.
//
// The package is pure. Budget is not safe for concurrent use.
package retry

import (
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// Defaults of a budget.
const (
	// DefaultRatio is the number of retries earned by one request.
	DefaultRatio = 0.1
	// DefaultBurst is the most retries that can be saved up.
	DefaultBurst = 10
)

// Budget bounds the retries of a service to a share of its requests. Without a
// first retry saved it is empty: a daemon that has just started earns its first
// retries.
type Budget struct {
	Ratio float64 // retries earned by one request; 0: DefaultRatio
	Burst float64 // most retries that can be saved up; 0: DefaultBurst
	saved float64
}

// Earn notes a first attempt.
func (b *Budget) Earn() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	// Below one and a ratio, what is earned beyond one would be lost each time.
	b.saved = min(b.saved+ratio, max(b.burst(), 1+ratio))
}

func (b *Budget) burst() float64 {
	if b.Burst == 0 {
		return DefaultBurst
	}
	return b.Burst
}

// Kind is what an attempt is for.
type Kind int

// String returns the kind's name, as logs have it.
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
	First Kind = iota // it costs nothing and earns
	Retry             // another one failed
	Hedge             // another one is slow
	// Redial: another one was never sent, as no connection was opened. It costs nothing: no back
	// end has had anything to do with the request. On a day on which back ends ended all the
	// time, 326 requests were given up on after a refused connection for want of a retry, of
	// 681 that failed in the logs.
	Redial
)

// KindAfter returns the kind of the attempt after one that failed with a code.
func KindAfter(code resultcode.Code) Kind {
	if code == resultcode.ConnectFailed {
		return Redial
	}
	return Retry
}

// CostsBudget says whether an attempt of the kind is paid for from the budget.
func (k Kind) CostsBudget() bool {
	return k == Retry || k == Hedge
}

// Parts of the burst that are left to attempts that matter more.
const (
	// firstTryReserve is left to callers that were refused before, who have fewer tries
	// left: where back ends refuse half of all requests, 0.960 instead of 0.943 of the
	// callers are served in time (TestPatterns, shed).
	firstTryReserve = 0.25
	// hedgeReserve is left to attempts that failed: a request that failed is lost without
	// another one, one that is slow may still be answered.
	hedgeReserve = 0.25
)

// Spend takes one attempt of a kind, and says whether there was one. returned says that
// the caller was refused before and has come back.
func (b *Budget) Spend(kind Kind, returned bool) bool {
	reserve := 0.0
	switch {
	case !kind.CostsBudget():
		return true
	case kind == Hedge:
		reserve = hedgeReserve * b.burst()
	case !returned:
		reserve = firstTryReserve * b.burst()
	}
	if b.saved < 1+reserve {
		return false
	}
	b.saved--
	return true
}

// Reset gives up what was saved.
func (b *Budget) Reset() {
	b.saved = 0
}

// Refund gives back what Spend took for a retry that was not made.
func (b *Budget) Refund() {
	b.saved++
}

// Attempt describes a failed attempt.
type Attempt struct {
	Code             resultcode.Code
	Number           int           // attempts so far, without those that were never sent
	Unsent           int           // attempts that were never sent, and do not count as attempts
	MaxAttempts      int           // attempts allowed, the first included
	Repeatable       bool          // the policy allows a repeat
	Returned         bool          // the caller was refused before and has come back
	UpstreamRetry    bool          // the caller's request was itself a retry
	Rewindable       bool          // the request's body can be sent again
	Remaining        time.Duration // until the deadline
	ExpectedDuration time.Duration // time another attempt takes
	UntriedBackends  int           // back ends that have not failed the request yet
	Endings          int           // back ends that ended while they ran this request or its repeats
}

// Verdict says whether to send again and, if not, why.
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
	BackendsEnded     Verdict = "back-ends-ended"
)

// Decide says whether to send again. It spends from the budget only when the
// verdict is Again.
func Decide(attempt Attempt, budget *Budget) Verdict {
	verdict := Evaluate(attempt)
	if verdict == Allowed && !budget.Spend(Retry, attempt.Returned) {
		return OverBudget
	}
	return verdict
}

// maxEndings is under how many endings of back ends a request is sent again. Under one it may be
// a bystander, whom another attempt serves; the second time it is the culprit as a rule, and
// the third back end is left to the next repeat to show it.
const maxEndings = 1

// maxUnsent is how many attempts of a request may go unsent: with half of the back ends gone and not
// known to be, one request of sixteen meets four of them.
const maxUnsent = 3

// Evaluate says whether to send again, as far as that does not depend on the budget.
func Evaluate(attempt Attempt) Verdict {
	notRun := attempt.Code.Info().Run == resultcode.NotRun
	switch {
	case !notRun && !attempt.Repeatable:
		return NotRepeatable
	case attempt.Number >= attempt.MaxAttempts || attempt.Unsent > maxUnsent:
		return TooManyAttempts
	case attempt.Endings > maxEndings:
		return BackendsEnded
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
