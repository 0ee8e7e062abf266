package routing

import "time"

// When a back end gets its first request. Chosen by load alone, it might never get one while others
// with recent reports suffice.
const (
	// firstRequestReportAge is the maximum age of a good report that qualifies a back end for its
	// first request.
	firstRequestReportAge = 100 * time.Millisecond
	// firstRequestDelay is when it gets a request if its last report is good.
	firstRequestDelay = time.Second
	// firstRequestHedgeableDelay is when it gets a request that can be hedged, whatever it
	// reported.
	firstRequestHedgeableDelay = 2 * time.Second
	// firstRequestMaxDelay is when it gets any request.
	firstRequestMaxDelay = 3 * time.Second
)

// firstRequestTarget returns a back end with free capacity that has had no request yet and should
// get this one, or nil.
func (g *Group) firstRequestTarget(now time.Time, request Request) *BackendState {
	for _, state := range g.scanned.unused {
		if state.eligibleSince.IsZero() {
			state.eligibleSince = now
		}
		if state.firstRequestDue(now, request.Repeatable) {
			return state
		}
	}
	return nil
}

// firstRequestDue reports whether a back end that has had no request yet should get one now.
func (s *BackendState) firstRequestDue(now time.Time, repeatable bool) bool {
	switch waited := now.Sub(s.eligibleSince); {
	case waited >= firstRequestMaxDelay:
		return true
	case waited >= firstRequestHedgeableDelay && repeatable:
		return true
	case waited >= firstRequestDelay:
		return now.Sub(s.reportedAt) <= firstRequestReportAge && s.slowdown.last <= s.slowdown.baseline()
	}
	return false
}
