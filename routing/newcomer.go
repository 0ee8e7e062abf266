package routing

import "time"

// When a back end gets its first request. By load alone it might get none while others
// that have just told of themselves suffice.
const (
	// newcomerFresh is how old a newcomer's good report may be.
	newcomerFresh = 100 * time.Millisecond
	// newcomerWait is when it gets a request if its last report is good.
	newcomerWait = time.Second
	// newcomerBlind is when it gets one that can be hedged, whatever it told.
	newcomerBlind = 2 * time.Second
	// newcomerLimit is when it gets any request.
	newcomerLimit = 3 * time.Second
)

// newcomer returns a back end that has a place, has had no request yet and should get
// this one, or nil.
func (g *Group) newcomer(now time.Time, request Request) *BackendState {
	for _, state := range g.found.unmet {
		if state.seenAt.IsZero() {
			state.seenAt = now
		}
		if state.welcome(now, request.Repeatable) {
			return state
		}
	}
	return nil
}

// welcome says whether a back end that has had no request yet should get one now.
func (s *BackendState) welcome(now time.Time, repeatable bool) bool {
	switch waited := now.Sub(s.seenAt); {
	case waited >= newcomerLimit:
		return true
	case waited >= newcomerBlind && repeatable:
		return true
	case waited >= newcomerWait:
		return now.Sub(s.reportAt) <= newcomerFresh && s.slowdown.last <= s.slowdown.usual()
	}
	return false
}
