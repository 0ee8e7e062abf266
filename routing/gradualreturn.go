package routing

import "time"

// gradualReturn bounds the requests in flight at a back end whose process has exited or has just
// started. One request at a time shows that it answers; after as many answers as the bound it may
// hold one more. Slow start adds one with each answer instead, which doubles the requests in flight
// with each round of answers, and does not begin anew after an exit. The zero value is a back end
// that is not returning.
type gradualReturn struct {
	bound    int // requests in flight; 0: not returning
	answered int // requests that succeeded at this bound
}

// begin starts the return, or starts it again after a failure.
func (r *gradualReturn) begin() {
	*r = gradualReturn{bound: 1}
}

// active reports whether the back end is returning.
func (r *gradualReturn) active() bool {
	return r.bound > 0
}

// recordSuccess records an answer. The return ends when all slots may be used.
func (r *gradualReturn) recordSuccess(slots int) {
	if !r.active() {
		return
	}
	if r.answered++; r.answered < r.bound {
		return
	}
	r.bound, r.answered = r.bound+1, 0
	if r.bound > slots {
		*r = gradualReturn{}
	}
}

// returnCeiling bounds the requests in flight at all cold back ends after one of them has failed
// during its return: what one could not take, the others of the service cannot either while they
// are cold. Without it, each of the back ends that return together fails once. The zero value is no
// bound.
type returnCeiling struct {
	inFlight int
	until    time.Time
}

// lower lowers the ceiling below the bound at which a back end failed, for the time that back ends
// are cold. A failure at a bound of 1 says nothing about load.
func (c *returnCeiling) lower(now time.Time, bound int, coldTime time.Duration) {
	if bound <= 1 {
		return
	}
	if c.active(now) {
		bound = min(bound, c.inFlight+1)
	}
	c.inFlight, c.until = bound-1, now.Add(coldTime)
}

// active reports whether there is a ceiling now.
func (c *returnCeiling) active(now time.Time) bool {
	return now.Before(c.until)
}

// ReturnStatus describes the back ends that return after their processes have exited.
type ReturnStatus struct {
	Returning int // back ends that have exited or started and hold fewer requests than they have slots
	// Ceiling is the bound on requests in flight at cold back ends after one has failed during its
	// return; 0: none has.
	Ceiling int
}

// SetGradualReturn sets whether back ends return gradually; see config.Service.GradualReturn. It
// applies to exits and starts from then on.
func (g *Group) SetGradualReturn(enabled bool) {
	if g.gradualReturn == enabled {
		return
	}
	g.gradualReturn, g.returnCeiling, g.returning = enabled, returnCeiling{}, 0
	for _, state := range g.states {
		state.gradual = gradualReturn{}
	}
}

// ReturnStatus returns the status of the back ends that return.
func (g *Group) ReturnStatus(now time.Time) ReturnStatus {
	status := ReturnStatus{Returning: g.returning}
	if g.returnCeiling.active(now) {
		status.Ceiling = g.returnCeiling.inFlight
	}
	return status
}

// beginReturnOfAdded starts the return of a back end that has just been added, if it has restarted
// or is cold: a daemon that takes over the service does not know which ones have exited before.
func (g *Group) beginReturnOfAdded(state *BackendState, restarted bool) {
	if g.gradualReturn && (restarted || !state.Warm) {
		state.gradual.begin()
	}
}

// countReturning counts the back ends that are returning.
func (g *Group) countReturning() int {
	return g.countStates(func(state *BackendState) bool { return state.gradual.active() })
}

// recordReturnOutcome applies the outcome of a request to the return of its back end. A back end
// that fails during its return starts again with one request.
func (g *Group) recordReturnOutcome(now time.Time, state *BackendState, outcome Outcome) {
	if !g.gradualReturn || g.byID[state.ID] != state {
		return
	}
	wasActive := state.gradual.active()
	switch outcome {
	case Success, AnsweredAtCallersPace:
		state.gradual.recordSuccess(state.Slots)
	case ProcessExited, ConnectionRefused, Unserved, NoContact, PushedBack:
		if wasActive && state.Cold(now) {
			g.returnCeiling.lower(now, state.gradual.bound, state.WarmUp.Duration)
		}
		if wasActive || state.health.HasExited() {
			state.gradual.begin()
		}
	case ErrorResponse, Canceled, Unreached, CallerStalled:
	}
	switch isActive := state.gradual.active(); {
	case isActive && !wasActive:
		g.returning++
	case wasActive && !isActive:
		g.returning--
	}
}

// boundOfReturn lowers a bound on the requests in flight at a back end that returns or is cold.
func (g *Group) boundOfReturn(state *BackendState, now time.Time, bound int) int {
	if state.gradual.active() {
		bound = min(bound, state.gradual.bound)
	}
	if g.returnCeiling.inFlight > 0 && g.returnCeiling.active(now) && state.Cold(now) {
		bound = min(bound, g.returnCeiling.inFlight)
	}
	return bound
}

// answeringServiceRate returns how many requests per second the back ends can serve that are known
// to be up and answering: nothing is expected of an ejected one, and of a returning one what its
// bound allows. One that has not answered yet is expected to take as long as the others do.
func (g *Group) answeringServiceRate(now time.Time) float64 {
	usual := g.meanLatency()
	total := 0.0
	for _, state := range g.states {
		latency := state.latency
		if latency == 0 {
			latency = usual
		}
		if g.unavailable(state, now) || state.Ejected(now) || latency == 0 {
			continue
		}
		slots := g.boundOfReturn(state, now, state.Slots)
		total += min(state.serviceRate(now), float64(slots)/latency.Seconds())
	}
	return total
}

// meanLatency returns the mean latency of the back ends that have answered; 0: none has.
func (g *Group) meanLatency() time.Duration {
	var total time.Duration
	count := 0
	for _, state := range g.states {
		if state.latency > 0 {
			total += state.latency
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return total / time.Duration(count)
}
