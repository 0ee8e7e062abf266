package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
)

// attempt returns a failed first attempt that may be retried.
func attempt() retry.Attempt {
	return retry.Attempt{Code: resultcode.ConnectionBroken, Number: 1, MaxAttempts: 3, Repeatable: true, Rewindable: true, Remaining: time.Second, UntriedBackends: 3}
}

func fullBudget() *retry.Budget {
	budget := &retry.Budget{}
	for range 1000 {
		budget.Earn()
	}
	return budget
}

func TestDecide(t *testing.T) {
	for _, one := range []struct {
		name   string
		change func(*retry.Attempt)
		want   retry.Verdict
	}{
		{"repeatable", func(*retry.Attempt) {}, retry.Allowed},
		{"not repeatable", func(a *retry.Attempt) { a.Repeatable = false }, retry.NotRepeatable},
		{"not run, not repeatable", func(a *retry.Attempt) { a.Repeatable = false; a.Code = resultcode.BackendRefused }, retry.Allowed},
		{"too many", func(a *retry.Attempt) { a.Number = a.MaxAttempts }, retry.TooManyAttempts},
		{"a retry already", func(a *retry.Attempt) { a.UpstreamRetry = true }, retry.AlreadyRetry},
		{"body gone", func(a *retry.Attempt) { a.Rewindable = false }, retry.BodyNotResendable},
		{"no time", func(a *retry.Attempt) { a.ExpectedDuration = time.Minute }, retry.NoTimeLeft},
		{"no other back end", func(a *retry.Attempt) { a.UntriedBackends = 0 }, retry.NoOtherBackend},
	} {
		failed := attempt()
		one.change(&failed)
		require.Equal(t, one.want, retry.Decide(failed, fullBudget()), one.name)
	}
	require.Equal(t, retry.OverBudget, retry.Decide(attempt(), &retry.Budget{}))
}

// chain simulates a chain of calls whose last level always fails. Each level reports the failure to
// the one above by an error response, which is not retried.
func chain(budgets []*retry.Budget, level, number int, attempts []int) resultcode.Code {
	budgets[level].Earn()
	for try := 1; ; try++ {
		attempts[level]++
		code := resultcode.ConnectionBroken
		if level+1 < len(budgets) {
			// The back end of this level responds with 502 if its own call fails.
			chain(budgets, level+1, number, attempts)
			code = resultcode.Answered
		}
		if code == resultcode.Answered {
			return code
		}
		failed := attempt()
		failed.Number, failed.Code = try, code
		if retry.Decide(failed, budgets[level]) != retry.Allowed {
			return code
		}
	}
}

// TestChain guards against retries multiplying along a chain of calls: with 20 levels of which the
// last always fails, the last level gets at most 1.2 attempts per request.
func TestChain(t *testing.T) {
	const levels, requests = 20, 2000
	var budgets []*retry.Budget
	for range levels {
		budgets = append(budgets, &retry.Budget{})
	}
	attempts := make([]int, levels)
	for number := range requests {
		chain(budgets, 0, number, attempts)
	}
	require.Equal(t, requests, attempts[0])
	require.LessOrEqual(t, float64(attempts[levels-1]), 1.2*requests)
	require.Greater(t, attempts[levels-1], requests, "nothing was retried")
}

// TestBudgetKeepsItsRatio spends as much as a budget allows: never more than the ratio of the requests
// plus one burst, and not less than the ratio.
func TestBudgetKeepsItsRatio(t *testing.T) {
	for _, one := range []struct{ ratio, burst float64 }{{0, 0}, {0.16, 3}, {0.16, 0.4}, {0.5, 20}} {
		budget := &retry.Budget{Ratio: one.ratio, Burst: one.burst}
		ratio, burst := one.ratio, one.burst
		if ratio == 0 {
			ratio = retry.DefaultRatio
		}
		if burst == 0 {
			burst = retry.DefaultBurst
		}
		const quiet, busy = 1000, 2000
		for range quiet {
			budget.Earn()
		}
		spent := 0.0
		for range busy {
			budget.Earn()
			for budget.Spend(retry.Retry, true) {
				spent++
			}
		}
		require.LessOrEqual(t, spent, ratio*busy+max(burst, 1+ratio))
		require.GreaterOrEqual(t, spent, ratio*busy-1)
	}
	budget := &retry.Budget{Ratio: 1}
	budget.Earn()
	require.True(t, budget.Spend(retry.Retry, true))
	budget.Refund()
	require.True(t, budget.Spend(retry.Retry, true), "a refunded retry can be spent again")
	require.False(t, budget.Spend(retry.Retry, true))
}

// TestFirstTriesLeaveAReserve guards against the first tries of callers using up the budget, so that
// callers that were refused before get no retry.
func TestFirstTriesLeaveAReserve(t *testing.T) {
	budget := fullBudget()
	first, returned := 0, 0
	for budget.Spend(retry.Retry, false) {
		first++
	}
	for budget.Spend(retry.Retry, true) {
		returned++
	}
	require.Equal(t, retry.DefaultBurst, first+returned)
	require.Equal(t, 3, returned)
}

// TestHedgesLeaveAReserve guards against hedges using up the budget, so that failed requests get no
// retry.
func TestHedgesLeaveAReserve(t *testing.T) {
	budget := fullBudget()
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

// TestUnsentAttemptsCostNothing checks that a refused connection uses up neither an attempt nor the
// budget, and that the number of such attempts is limited.
func TestUnsentAttemptsCostNothing(t *testing.T) {
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

// TestEndedBackEndsEndRetries guards against retries carrying a request that crashes back ends from
// one to the next: after two crashes it is not sent again.
func TestEndedBackEndsEndRetries(t *testing.T) {
	attempt := retry.Attempt{Code: resultcode.ConnectionBroken, Number: 1, MaxAttempts: 3, Repeatable: true, Rewindable: true, Remaining: time.Second, UntriedBackends: 9, Crashes: 1}
	require.Equal(t, retry.Allowed, retry.Evaluate(attempt))
	attempt.Crashes = 2
	require.Equal(t, retry.BackendsCrashed, retry.Evaluate(attempt))
}
