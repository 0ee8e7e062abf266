package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of the time after which a refused caller may retry.
const (
	// minRetryAfter is a few round trips of the grantors' exchanges.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest. Callers that would have to wait longer are spread
	// over the second half of it.
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns the time after which a refused caller may retry. Each caller gets a time of
// its own, at the pace at which requests are let through, so that they do not return together.
func (b *bucket) retryAfter(now time.Time, pace float64, random *rand.Rand) time.Duration {
	step := maxRetryAfter
	if pace > 0 {
		step = min(time.Duration(float64(time.Second)/pace), maxRetryAfter)
	}
	earliest := now.Add(minRetryAfter)
	if missing := 1 - b.level; missing > 0 {
		earliest = now.Add(max(time.Duration(missing*float64(step)), minRetryAfter))
	}
	at := b.nextRetry.Add(step)
	if at.Before(earliest) {
		at = earliest
	}
	if at.Sub(now) > maxRetryAfter {
		return time.Duration((1 + random.Float64()) / 2 * float64(maxRetryAfter))
	}
	b.nextRetry = at
	return at.Sub(now)
}

// reserve is what a daemon lets through for a tenant while it is no grantor: its
// share of what all such daemons may, rounded at random, as it is mostly below one request.
type reserve struct {
	refilledAt time.Time
	tokens     float64
}

// take takes one request from the reserve, and returns whether there was one.
func (r *reserve) take(now time.Time, limit Limit, share float64, random *rand.Rand) bool {
	if r.refilledAt.IsZero() || now.Sub(r.refilledAt) > activeTimeout {
		r.tokens = roundRandomly((limit.Burst+limit.Rate)*share, random)
	} else {
		r.tokens += limit.Rate * share * now.Sub(r.refilledAt).Seconds()
	}
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// roundRandomly rounds up with the probability of the fraction, and down otherwise.
func roundRandomly(value float64, random *rand.Rand) float64 {
	whole := math.Floor(value)
	if random.Float64() < value-whole {
		return whole + 1
	}
	return whole
}
