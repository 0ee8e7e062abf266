package dispatch

import (
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/rollout"
	"github.com/tuliphall/tuliphall/routing"
)

// SetRollout sets the record of the service's rollout; nil: there is none.
func (c *Core) SetRollout(now time.Time, record *config.Rollout, holdNewVersions bool) {
	c.Group.SetHoldNewVersions(holdNewVersions)
	switch {
	case record == nil:
		c.rollout = nil
		c.Group.SetVersionRule(routing.VersionRule{})
	case c.rollout == nil:
		c.rollout = rollout.NewController(now, *record)
	default:
		c.rollout.Update(now, *record)
	}
	c.applyVersionRule(now)
}

// applyVersionRule passes the rollout's current rule for versions on to the group.
func (c *Core) applyVersionRule(now time.Time) {
	if c.rollout != nil {
		c.Group.SetVersionRule(c.rollout.Rule(now))
	}
}

// StepRollout advances the rollout if that is due, and returns its record.
func (c *Core) StepRollout(now time.Time) config.Rollout {
	if c.rollout == nil {
		return config.Rollout{}
	}
	if record := c.rollout.Order(); !record.Phase.Decided() {
		// CountVersion scans all back ends. A decided rollout, which stays on record, does not
		// need that.
		c.rollout.Step(now, rollout.BackendsOf(c.Group.CountVersion(now, record.Version)))
	}
	c.Group.SetVersionRule(c.rollout.Rule(now))
	return c.rollout.Order()
}

// hasSingleDispatcher reports whether this daemon is the only one that dispatches the service,
// as opposed to independent daemons.
func (r Request) hasSingleDispatcher() bool {
	return r.Routing.IndependentDaemons <= 1
}

// pick chooses a back end for a new request.
func (c *Core) pick(now time.Time, request Request) (routing.PickResult, bool) {
	c.applyVersionRule(now)
	if c.rollout != nil && request.hasSingleDispatcher() && !request.NoWait && c.rollout.ShouldExpose(now, request.Class) {
		if picked, ok := c.Group.PickCanary(now, request.Routing, c.rollout.Order().Version, c.rollout.Rotation()); ok {
			c.rollout.Exposed()
			return picked, true
		}
	}
	return c.Group.Pick(now, request.Routing)
}

// recordRolloutSample passes the outcome of a request on to the rollout. Trials of ejected back
// ends are discarded, because they reveal nothing new: when requests moved to a version of
// which a quarter of the back ends was gone, the trials of these counted against the version.
func (c *Core) recordRolloutSample(now time.Time, permit *Permit, outcome routing.Outcome, latency time.Duration) {
	if c.rollout == nil {
		return
	}
	if outcome == routing.ConnectionRefused || outcome == routing.Unreached || outcome == routing.CallerStalled || permit.Reason == routing.ReasonTrial {
		c.rollout.Discarded(permit.GrantedAt, permit.Backend.Version)
		return
	}
	sample := rollout.Sample{Class: permit.class, Backend: permit.Backend.ID, Latency: latency, Sent: permit.GrantedAt, Cold: permit.Backend.Cold(now)}
	switch outcome {
	case routing.ErrorResponse:
		sample.Failed = true
	case routing.Unserved, routing.PushedBack, routing.ProcessExited:
		sample.Unserved = true
	case routing.Canceled:
		sample.Canceled, sample.Latency = true, now.Sub(permit.GrantedAt)
	}
	c.rollout.Finished(now, permit.Backend.Version, sample)
}
