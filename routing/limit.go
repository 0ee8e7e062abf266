package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/recent"
)

// leastAsked is how many requests a second a back end gets that takes fewer, or none: one in 5 s. Only
// an answer tells that its limit has ended, and nobody else would ask.
const minRequestRate = 0.2

// usedSpan is over what time the requests to a limited back end are averaged, for operators.
const usedRateWindow = 4 * time.Second

// requestLimit is what a back end says of how many requests it takes. The zero value takes any number.
type requestLimit struct {
	backendlimit.Limit
	since  time.Time // when this daemon's picture of the back end got it
	pacing pacing
	used   recent.Rate
}

// SetLimit notes how many requests a back end takes.
func (g *Group) SetLimit(now time.Time, id string, limit backendlimit.Limit) {
	if state, known := g.byID[id]; known {
		state.setLimit(now, limit)
	}
}

// setLimit notes how many requests the back end takes. What others sent it until now is not known and
// counts as all that it takes: the next request goes there a whole spacing later. One that is not
// limited any more begins with one request at a time, as after a failure: all that waits would go there
// together.
func (s *BackendState) setLimit(now time.Time, limit backendlimit.Limit) {
	switch {
	case limit.Limited && !s.limit.Limited:
		s.limit = requestLimit{since: now}
		s.limit.pacing.lastSent = now
	case !limit.Limited && s.limit.Limited:
		s.limit = requestLimit{}
		s.slowStartAnswers = 0
	}
	if s.limit.Limit != limit {
		s.limit.Limit, s.limit.since = limit, now
	}
}

// takes returns how many requests a second a limited back end is sent.
func (l *requestLimit) rate() float64 {
	return max(l.PerSecond, minRequestRate)
}

// permits says whether a daemon that may use a share of the limit may send something now.
func (g *Group) permits(state *BackendState, now time.Time, share Share) bool {
	return !state.limit.Limited || state.limit.pacing.due(now, state.limit.rate(), share, g.options.Random)
}

// count notes a request or a probe that is sent to the back end.
func (l *requestLimit) recordSend(now time.Time) {
	if !l.Limited {
		return
	}
	l.pacing.recordSend(now)
	l.used.Add(now, usedRateWindow, 1)
}

// LimitStatus is what operators see of a back end's limit.
type LimitStatus struct {
	PerSecond float64       `json:"per_second"`
	Used      float64       `json:"used_per_second"` // by places that this daemon gave out, over the last seconds
	Age       time.Duration `json:"age_ns"`
}

// Limit returns how many requests the back end takes; nil: any number.
func (s *BackendState) Limit(now time.Time) *LimitStatus {
	if !s.limit.Limited {
		return nil
	}
	return &LimitStatus{PerSecond: s.limit.PerSecond, Used: s.limit.used.At(now, usedRateWindow), Age: now.Sub(s.limit.since)}
}
