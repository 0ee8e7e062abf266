package routing

import "time"

// DisturbedFactor is how many times the baseline the slowdown of a back end may be before requests
// wait rather than begin there. A disturbance at the start of a request lasts for all of it and
// occupies the slot for as long; most disturbances end sooner than a request may wait.
const DisturbedFactor = 1.6

// deferred reports whether no request should begin at the back end now. This ends by itself as the
// report that caused it ages.
func (s *BackendState) deferred(now time.Time) bool {
	if s.slowdown.reports == 0 {
		return false
	}
	threshold := DisturbedFactor * s.slowdown.baseline()
	// The expected slowdown lies between the last report and the baseline.
	return s.slowdown.last > threshold && s.slowdown.expected(now) > threshold
}
