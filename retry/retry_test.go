package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
)

// newFailedAttempt returns a failed first attempt that may be retried within the budget.
func newFailedAttempt() retry.Attempt {
	return retry.Attempt{Code: resultcode.ConnectionBroken, Number: 1, MaxAttempts: 3, Repeatable: true, Rewindable: true, Remaining: time.Second, UntriedBackends: 3}
}

// newFullBudget returns a default budget that has earned its whole burst.
func newFullBudget() *retry.Budget {
	budget := &retry.Budget{}
	for range 1000 {
		budget.Earn()
	}
	return budget
}

// TestDecide checks the verdict for each reason not to send a request again.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*retry.Attempt)
		want   retry.Verdict
	}{
		{"repeatable request", func(*retry.Attempt) {}, retry.Allowed},
		{"request not repeatable", func(a *retry.Attempt) { a.Repeatable = false }, retry.NotRepeatable},
		{"request not repeatable, but not run", func(a *retry.Attempt) { a.Repeatable = false; a.Code = resultcode.BackendRefused }, retry.Allowed},
		{"too many attempts", func(a *retry.Attempt) { a.Number = a.MaxAttempts }, retry.TooManyAttempts},
		{"retry by an upstream caller", func(a *retry.Attempt) { a.UpstreamRetry = true }, retry.AlreadyRetry},
		{"body not resendable", func(a *retry.Attempt) { a.Rewindable = false }, retry.BodyNotResendable},
		{"no time left", func(a *retry.Attempt) { a.ExpectedDuration = time.Minute }, retry.NoTimeLeft},
		{"no other back end", func(a *retry.Attempt) { a.UntriedBackends = 0 }, retry.NoOtherBackend},
	} {
		failed := newFailedAttempt()
		test.change(&failed)
		require.Equal(t, test.want, retry.Decide(failed, newFullBudget()), test.name)
	}
	require.Equal(t, retry.OverBudget, retry.Decide(newFailedAttempt(), &retry.Budget{}))
}

// simulateCallChain simulates a request to a chain of calls whose last level always fails, and
// counts the attempts at each level. A level reports the failure to the one above by an error
// response, which is not retried.
func simulateCallChain(budgets []*retry.Budget, level, number int, attempts []int) resultcode.Code {
	budgets[level].Earn()
	for try := 1; ; try++ {
		attempts[level]++
		code := resultcode.ConnectionBroken
		if level+1 < len(budgets) {
			// The back end at this level responds with 502, as its own call has failed.
			simulateCallChain(budgets, level+1, number, attempts)
			code = resultcode.Answered
		}
		if code == resultcode.Answered {
			return code
		}
		failed := newFailedAttempt()
		failed.Number, failed.Code = try, code
		if retry.Decide(failed, budgets[level]) != retry.Allowed {
			return code
		}
	}
}

// TestRetriesDoNotMultiplyAlongCallChain guards against retries multiplying along a chain of calls:
// with 20 levels of which the last always fails, it gets at most 1.2 attempts per request.
func TestRetriesDoNotMultiplyAlongCallChain(t *testing.T) {
	const levels, requests = 20, 2000
	var budgets []*retry.Budget
	for range levels {
		budgets = append(budgets, &retry.Budget{})
	}
	attempts := make([]int, levels)
	for number := range requests {
		simulateCallChain(budgets, 0, number, attempts)
	}
	require.Equal(t, requests, attempts[0])
	require.LessOrEqual(t, float64(attempts[levels-1]), 1.2*requests)
	require.Greater(t, attempts[levels-1], requests, "there must be retries")
}

// TestBudgetLimitsRetriesToRatio spends as much as a budget allows: at most the ratio of the
// requests plus one burst, and at least the ratio.
func TestBudgetLimitsRetriesToRatio(t *testing.T) {
	for _, test := range []struct{ ratio, burst float64 }{{0, 0}, {0.16, 3}, {0.16, 0.4}, {0.5, 20}} {
		budget := &retry.Budget{Ratio: test.ratio, Burst: test.burst}
		ratio, burst := test.ratio, test.burst
		if ratio == 0 {
			ratio = retry.DefaultRatio
		}
		if burst == 0 {
			burst = retry.DefaultBurst
		}
		const earlierRequests, requests = 1000, 2000
		for range earlierRequests {
			budget.Earn()
		}
		spent := 0.0
		for range requests {
			budget.Earn()
			for budget.Spend(retry.Retry, true) {
				spent++
			}
		}
		require.LessOrEqual(t, spent, ratio*requests+max(burst, 1+ratio))
		require.GreaterOrEqual(t, spent, ratio*requests-1)
	}
	budget := &retry.Budget{Ratio: 1}
	budget.Earn()
	require.True(t, budget.Spend(retry.Retry, true))
	budget.Refund()
	require.True(t, budget.Spend(retry.Retry, true), "a refunded retry can be spent again")
	require.False(t, budget.Spend(retry.Retry, true))
}

// TestFirstTriesLeaveReserveForCallerRetries guards against the first tries of callers using up the
// budget, so that nothing is left for callers that were refused before and have retried.
func TestFirstTriesLeaveReserveForCallerRetries(t *testing.T) {
	budget := newFullBudget()
	firstTries, callerRetries := 0, 0
	for budget.Spend(retry.Retry, false) {
		firstTries++
	}
	for budget.Spend(retry.Retry, true) {
		callerRetries++
	}
	require.Equal(t, retry.DefaultBurst, firstTries+callerRetries)
	require.Equal(t, 3, callerRetries)
}

// TestHedgesLeaveReserveForRetries guards against hedges using up the budget, so that nothing is
// left for retries of failed requests.
func TestHedgesLeaveReserveForRetries(t *testing.T) {
	budget := newFullBudget()
	hedges, retries := 0, 0
	for budget.Spend(retry.Hedge, true) {
		hedges++
	}
	for budget.Spend(retry.Retry, true) {
		retries++
	}
	require.Equal(t, retry.DefaultBurst, hedges+retries)
	require.Equal(t, 3, retries)
	require.True(t, budget.Spend(retry.First, true), "a first attempt costs nothing")
}

// TestUnsentAttemptsAreNotCharged checks that a refused connection is charged neither to the
// attempts nor to the budget, and that the number of unsent attempts is limited.
func TestUnsentAttemptsAreNotCharged(t *testing.T) {
	require.Equal(t, retry.Redial, retry.KindAfter(resultcode.ConnectFailed))
	require.Equal(t, retry.Retry, retry.KindAfter(resultcode.BackendRefused))
	require.Equal(t, retry.Retry, retry.KindAfter(resultcode.ConnectionBroken))
	var empty retry.Budget
	require.True(t, empty.Spend(retry.Redial, false))
	require.False(t, empty.Spend(retry.Retry, false))
	attempt := retry.Attempt{Code: resultcode.ConnectFailed, MaxAttempts: 2, Rewindable: true, Remaining: time.Second, UntriedBackends: 9}
	for unsent := 1; unsent <= 3; unsent++ {
		attempt.Unsent = unsent
		require.Equal(t, retry.Allowed, retry.Evaluate(attempt))
	}
	attempt.Unsent = 4
	require.Equal(t, retry.TooManyAttempts, retry.Evaluate(attempt))
}

// TestCrashedBackendsEndRetries guards against retrying a request that crashes one back end after
// another: after two crashes it is not sent again.
func TestCrashedBackendsEndRetries(t *testing.T) {
	attempt := retry.Attempt{Code: resultcode.ConnectionBroken, Number: 1, MaxAttempts: 3, Repeatable: true, Rewindable: true, Remaining: time.Second, UntriedBackends: 9, Crashes: 1}
	require.Equal(t, retry.Allowed, retry.Evaluate(attempt))
	attempt.Crashes = 2
	require.Equal(t, retry.BackendsCrashed, retry.Evaluate(attempt))
}
