package dispatch

import "time"

const (
	// minRetryAfter is the minimum Retry-After while permits are scarce: an immediate retry
	// would meet the same load.
	minRetryAfter = 100 * time.Millisecond
	// minRefusalRetryAfter is the minimum Retry-After after a refusal by a back end while
	// permits are free: about the time to open a connection and acquire a permit.
	minRefusalRetryAfter = 10 * time.Millisecond
	// maxRetryAfter bounds the Retry-After for callers that have waited for long. It is many
	// times the length of a burst.
	maxRetryAfter = 10 * time.Second
	// returnHorizonParts is the part of the remaining time, as its reciprocal, within which callers are
	// told to return and then served before new requests. Callers retry after a third of that time
	// at the latest. The times given are a backlog that outlasts the overload, and with a third
	// refusals outlast it by more than one deadline (docs/design/0006-refusals.md).
	returnHorizonParts = 6
	// permitsPerReturn is the number of permits that are released per caller that is told to return.
	// The rest is for new requests. With 1, new requests are refused for as long as there are callers
	// to return, and become callers that return, so that refusals sustain themselves.
	permitsPerReturn = 2
	// returnSpread is the largest part of the Retry-After that is added to it to spread callers that
	// were refused at the same time.
	returnSpread = 0.25
)

// spread extends a Retry-After by a part of it, within the bound. The part depends on the fingerprint
// and the first try of the request, so that callers that were refused at the same time return at
// different times.
func spread(request Request, retryAfter time.Duration) time.Duration {
	const steps = 256
	mixed := (uint64(request.Fingerprints.Exact) ^ uint64(request.FirstTry.UnixMicro())) * 0x9e3779b97f4a7c15 // Fibonacci hashing
	extended := retryAfter + time.Duration(returnSpread*float64(retryAfter)*float64(mixed>>56)/steps)
	return min(extended, max(retryAfter, maxRetryAfter))
}

// retryAfter returns the Retry-After for a request that is refused a permit: until the
// requests that wait now should have been served, but at least as long as the caller has
// waited since its first try. Retries are thus spaced further apart the longer permits are
// scarce, and are spread out because the callers arrived at different times.
func (c *Core) retryAfter(now time.Time, request Request, serviceInterval time.Duration) time.Duration {
	wait := max(c.Queue.EstimateTenantWait(now, request.Weight, request.Tenant, request.Share, serviceInterval), ageRetryAfter(now, request))
	if until, all := c.Group.AllExcluded(now, request.Routing); all && !until.IsZero() {
		return max(wait, min(until.Sub(now), maxRetryAfter))
	}
	if blockedUntil, bound := c.Group.SessionBlockedUntil(now, request.Routing); bound {
		return max(wait, min(blockedUntil.Sub(now), maxRetryAfter))
	}
	return wait
}

// RetryAfterRefusal returns the Retry-After for a request that a back end refused after it
// had waited this long for its permit: the same time, as it would wait that long for another
// permit. A back end that refuses requests while permits are free refuses at random or is
// ejected soon. With back ends that refuse half of all requests, this serves 0.943 of the
// callers in time, compared with 0.916 for a constant 100 ms (TestPatterns, shed).
func RetryAfterRefusal(waited time.Duration) time.Duration {
	return min(max(waited, minRefusalRetryAfter), maxRetryAfter)
}

// ageRetryAfter is RetryAfterAge for a request.
func ageRetryAfter(now time.Time, request Request) time.Duration {
	return RetryAfterAge(now, request.FirstTry)
}

// RetryAfterAge returns the Retry-After where the state of the queue adds nothing: the time since the
// caller's first try, within bounds; a zero firstTry is unknown.
func RetryAfterAge(now, firstTry time.Time) time.Duration {
	if firstTry.IsZero() {
		return minRetryAfter
	}
	return min(max(minRetryAfter, now.Sub(firstTry)), maxRetryAfter)
}
