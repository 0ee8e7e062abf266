package dispatch

import (
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/rollout"
	"github.com/tuliphall/tuliphall/routing"
)

// SetRollout takes in the record of the service's rollout; nil: there is none.
func (c *Core) SetRollout(now time.Time, order *config.Rollout, holds bool) {
	c.Group.SetHoldNewVersions(holds)
	switch {
	case order == nil:
		c.rollout = nil
		c.Group.SetVersionRule(routing.VersionRule{})
	case c.rollout == nil:
		c.rollout = rollout.NewController(now, *order)
	default:
		c.rollout.Update(now, *order)
	}
	c.applyVersionRule(now)
}

// applyVersionRule lets the versions count as they do now.
func (c *Core) applyVersionRule(now time.Time) {
	if c.rollout != nil {
		c.Group.SetVersionRule(c.rollout.Rule(now))
	}
}

// StepRollout lets the rollout go on if it is time to, and returns how far it is.
func (c *Core) StepRollout(now time.Time) config.Rollout {
	if c.rollout == nil {
		return config.Rollout{}
	}
	if order := c.rollout.Order(); !order.Phase.Decided() {
		// A walk over all back ends, which a decided order, that stays on record, does not need.
		c.rollout.Step(now, rollout.BackendsOf(c.Group.CountVersion(now, order.Version)))
	}
	c.Group.SetVersionRule(c.rollout.Rule(now))
	return c.rollout.Order()
}

// dispatched says whether the request came to this daemon as the one dispatcher of the service.
func (r Request) dispatched() bool {
	return r.Routing.IndependentDaemons <= 1
}

// pick chooses a back end for a new request.
func (c *Core) pick(now time.Time, request Request) (routing.PickResult, bool) {
	c.applyVersionRule(now)
	if c.rollout != nil && request.dispatched() && !request.NoWait && c.rollout.ShouldExpose(now, request.Class) {
		if result, ok := c.Group.PickCanary(now, request.Routing, c.rollout.Order().Version, c.rollout.Rotation()); ok {
			c.rollout.Exposed()
			return result, true
		}
	}
	return c.Group.Pick(now, request.Routing)
}

// judge lets a rollout learn from how a request ended. That a back end is tried which has failed before says
// nothing new: as requests moved to a version of which a quarter of the back ends was gone, the trials of these
// accused it.
func (c *Core) judge(now time.Time, place *Permit, outcome routing.Outcome, latency time.Duration) {
	if c.rollout == nil {
		return
	}
	if outcome == routing.ConnectionRefused || place.Reason == routing.ReasonTrial {
		c.rollout.Discarded(place.GrantedAt, place.Backend.Version)
		return
	}
	answer := rollout.Sample{Class: place.class, Backend: place.Backend.ID, Latency: latency, Sent: place.GrantedAt, Cold: place.Backend.Cold(now)}
	switch outcome {
	case routing.ErrorResponse:
		answer.Failed = true
	case routing.Unserved, routing.PushedBack, routing.ProcessExited:
		answer.Unserved = true
	case routing.Canceled:
		answer.Canceled, answer.Latency = true, now.Sub(place.GrantedAt)
	}
	c.rollout.Finished(now, place.Backend.Version, answer)
}
