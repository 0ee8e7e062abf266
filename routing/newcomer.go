package routing

import "time"

// When a back end gets its first request. By load alone it might get none while others
// that have just told of themselves suffice.
const (
	// newcomerFresh is how old a newcomer's good report may be.
	firstRequestReportAge = 100 * time.Millisecond
	// newcomerWait is when it gets a request if its last report is good.
	firstRequestDelay = time.Second
	// newcomerBlind is when it gets one that can be hedged, whatever it told.
	firstRequestHedgeableDelay = 2 * time.Second
	// newcomerLimit is when it gets any request.
	firstRequestMaxDelay = 3 * time.Second
)

// newcomer returns a back end that has a place, has had no request yet and should get
// this one, or nil.
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

// welcome says whether a back end that has had no request yet should get one now.
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
