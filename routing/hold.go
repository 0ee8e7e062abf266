package routing

import "time"

// DisturbedFactor is how many times what is usual the slowdown of a back end may be before
// requests rather wait than begin there. A disturbance at the beginning of a request
// lasts for all of it, and takes the slot for as long; most disturbances are over sooner
// than a request may wait.
const DisturbedFactor = 1.6

// held says whether no request should begin at a back end now. That ends by itself, as
// the report that says so gets old.
func (s *BackendState) deferred(now time.Time) bool {
	if s.slowdown.reports == 0 {
		return false
	}
	threshold := DisturbedFactor * s.slowdown.baseline()
	// What is expected lies between the last report and what is usual.
	return s.slowdown.last > threshold && s.slowdown.expected(now) > threshold
}
