package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/recent"
)

// minRequestRate is the request rate at a back end whose limit is lower, or zero: one in 5 s. Only
// a response shows that the limit has ended, and nothing else would ask for one.
const minRequestRate = 0.2

// usedRateWindow is the time over which the rate of requests to a limited back end is averaged for
// operators.
const usedRateWindow = 4 * time.Second

// requestLimit is the request limit that a back end announced. The zero value is no limit.
type requestLimit struct {
	backendlimit.Limit
	since  time.Time // when this daemon's record of the limit last changed
	pacing pacing
	used   recent.Rate
}

// SetLimit sets the request limit of a back end.
func (g *Group) SetLimit(now time.Time, id string, limit backendlimit.Limit) {
	if state, known := g.byID[id]; known {
		state.setLimit(now, limit)
	}
}

// setLimit sets the request limit of the back end. What other daemons have sent it so far is not
// known and counts as all that the limit permits, so that the next request is sent a whole interval
// later. A back end whose limit ends starts with one request at a time, as after a failure, because
// all waiting requests would go there at once.
func (s *BackendState) setLimit(now time.Time, limit backendlimit.Limit) {
	switch {
	case limit.Limited && !s.limit.Limited:
		s.limit = requestLimit{since: now}
		s.limit.pacing.lastSent = now
	case !limit.Limited && s.limit.Limited:
		s.limit = requestLimit{}
		s.slowStartResponses = 0
	}
	if s.limit.Limit != limit {
		s.limit.Limit, s.limit.since = limit, now
	}
}

// rate returns the requests per second to send to a limited back end.
func (l *requestLimit) rate() float64 {
	return max(l.PerSecond, minRequestRate)
}

// withinRequestLimit reports whether a daemon with a share of the limit may send something now.
func (g *Group) withinRequestLimit(state *BackendState, now time.Time, share Share) bool {
	return !state.limit.Limited || state.limit.pacing.due(now, state.limit.rate(), share, g.options.Random)
}

// recordSend counts a request or probe sent to the back end.
func (l *requestLimit) recordSend(now time.Time) {
	if !l.Limited {
		return
	}
	l.pacing.recordSend(now)
	l.used.Add(now, usedRateWindow, 1)
}

// LimitStatus is the status of a back end's limit as shown to operators.
type LimitStatus struct {
	PerSecond float64       `json:"per_second"`
	Used      float64       `json:"used_per_second"` // by permits of this daemon, over the last seconds
	Age       time.Duration `json:"age_ns"`
}

// Limit returns the request limit of the back end; nil: none.
func (s *BackendState) Limit(now time.Time) *LimitStatus {
	if !s.limit.Limited {
		return nil
	}
	return &LimitStatus{PerSecond: s.limit.PerSecond, Used: s.limit.used.At(now, usedRateWindow), Age: now.Sub(s.limit.since)}
}
