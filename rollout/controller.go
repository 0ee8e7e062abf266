package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/routing"
)

// The share of requests that a new version gets, and the timing of decisions.
const (
	// CanaryShare is the share of a service's requests that the canary gets, and InitialBurst the number
	// of further requests that it gets at the start. Operators allow a tenth and 50; the margin is for
	// requests that are counted slightly earlier here than by the operators. Without the burst, bad versions of
	// services with 100 requests a second got more than allowed in 1 of 100 rollouts, because too few of
	// their responses had been seen when all requests moved.
	CanaryShare  = 0.09
	InitialBurst = 30
	// maxCredit is the number of requests that are saved up for the canary and then sent to it one right
	// after another, so that it is tested under load even if there is little traffic. Without this, a
	// quarter of the versions that fail only under load were completed, at 100 requests a second over 60
	// back ends.
	maxCredit = 8
	// minCompared is how many responses must have been compared before all requests move.
	minCompared = 20
	// decisionReserve is the share of the ordered time that is kept as a reserve: the order was given
	// some time before the daemon received it, and the decision must reach the store, which may be slow.
	// Of an order of 14 s, 2.2 s are left when the decision is made.
	decisionReserve = 0.15
	// moveShare is the share of the ordered time that moving may take, and maxMoveTime its upper bound;
	// requests at the old back ends have that time to end.
	moveShare   = 0.3
	maxMoveTime = 30 * time.Second
	// rampShare is the share of the move time in which the new version's share rises to all requests. A
	// version that proves bad only then has got half as many requests as if all had moved at once.
	rampShare = 0.6
	// minRamp is the shortest ramp.
	minRamp = 500 * time.Millisecond
	// initialRampShare is the share of requests at which the ramp starts.
	initialRampShare = 0.15
	// settleTime is how long all requests must have moved before the rollout is completed. Daemons that
	// choose back ends independently have received the record by then.
	settleTime = 1500 * time.Millisecond
	// oldVersionExpiry is how long after its due time a completed rollout excludes other versions: the old back
	// ends are gone by then, and later versions may appear without an order.
	oldVersionExpiry = 30 * time.Second
)

// Backends are the back ends of a service, as its dispatcher sees them.
type Backends struct {
	New         int // back ends of the new version that take requests
	NewSlots    int // their slots
	OldSlots    int // slots of the other back ends that take requests
	OldInFlight int // requests in flight at the other back ends
	// RandomPick are the rates of bad responses for back ends that are picked regardless of their state.
	RandomPick RandomPickRates
}

// BackendsOf converts the counts of a service's back ends.
func BackendsOf(counts routing.VersionCounts) Backends {
	return Backends{
		New: counts.Backends, NewSlots: counts.Slots, OldSlots: counts.OtherSlots, OldInFlight: counts.OtherInFlight,
		RandomPick: randomPickRatesOf(counts),
	}
}

// Controller runs a rollout at the dispatcher of the service. It is not safe for concurrent use.
type Controller struct {
	order    config.Rollout
	judge    *Judge
	credit   float64 // requests that the new version may get
	spending bool    // the credit is being used
	// recordLost: the store was restored from a backup older than the record of this order, and the record is
	// not restored yet.
	recordLost bool
	// recordedPhase is the phase in the last record of this order.
	recordedPhase config.RolloutPhase
	// dispatches: this daemon dispatches the service, so that the initial burst is its to send.
	dispatches bool
	// total and exposed count requests since this dispatcher started.
	total, exposed int
	movedAt        time.Time     // when requests began to move; zero: not yet
	ramp           time.Duration // time in which the new version's share rises to all requests
	held           time.Duration // for how long the share has not risen since movedAt, as the version was in doubt
	steppedAt      time.Time     // last step while requests move; zero: none yet
}

// NewController returns a controller that continues from the record of an order.
func NewController(now time.Time, order config.Rollout) *Controller {
	c := &Controller{judge: NewJudge()}
	c.Update(now, order)
	return c
}

// Update applies the record. A different order starts a new rollout; a record with an earlier phase than
// this dispatcher has decided on does not change the phase.
func (c *Controller) Update(now time.Time, order config.Rollout) {
	c.recordLost = order.Phase == "" && (c.recordLost || order.Recorded.Era() > c.order.Recorded.Era())
	// A record without a phase is a repeated order only if this order's decision has been recorded: the
	// store may have been down since the decision was made.
	repeated := c.recordedPhase.Decided() && order.Phase == "" && !c.recordLost
	if !c.order.SameOrder(order) || repeated {
		*c = Controller{order: order, judge: NewJudge()}
	} else {
		phase, reason, decideBy := c.order.Phase, c.order.Reason, c.order.DecideBy
		c.order = order
		if order.Phase.Before(phase) {
			c.order.Phase, c.order.Reason = phase, reason
		}
		if order.DecideBy == 0 {
			c.order.DecideBy = decideBy
		}
		if order.Phase != "" && !c.dispatches {
			c.credit = min(c.credit, 0) // another dispatcher has started the rollout and sends the initial burst
		}
	}
	if order.Phase != "" {
		c.recordedPhase = order.Phase
	}
	if c.order.DecideBy == 0 {
		within := time.Duration(float64(time.Duration(order.Within)) * (1 - decisionReserve))
		c.order.DecideBy = now.Add(within).UnixMilli()
	}
	if c.order.Phase == "" {
		// No dispatcher has started the rollout yet.
		c.order.Phase, c.credit = config.RolloutRunning, InitialBurst
	}
	if c.order.Phase == config.RolloutMoving && c.movedAt.IsZero() {
		c.startMoving(now)
	}
}

// Order returns the order with the decisions of this dispatcher.
func (c *Controller) Order() config.Rollout {
	return c.order
}

// Rule returns which versions requests may go to, apart from those that ShouldExpose sends to the new one.
func (c *Controller) Rule(now time.Time) routing.VersionRule {
	rule := routing.VersionRule{Version: c.order.Version, Use: routing.CanaryVersion}
	switch c.order.Phase {
	case config.RolloutMoving:
		if c.share(now) >= 1 {
			rule.Use = routing.OnlyVersion
		}
	case config.RolloutRolledBack:
		rule.Use = routing.ExcludedVersion
	case config.RolloutCompleted:
		rule.Use = routing.OnlyVersion
		if now.Sub(c.order.DecisionDeadline()) > oldVersionExpiry {
			rule = routing.VersionRule{}
		}
	}
	return rule
}

// moveTime returns how long requests may take to move.
func (c *Controller) moveTime() time.Duration {
	return min(time.Duration(moveShare*float64(time.Duration(c.order.Within))), maxMoveTime)
}

// share returns the new version's current share of the requests.
func (c *Controller) share(now time.Time) float64 {
	switch c.order.Phase {
	case config.RolloutRunning:
		return CanaryShare
	case config.RolloutMoving:
		progress := float64(c.rampTime(now)) / float64(max(c.ramp, 1))
		return min(initialRampShare*math.Pow(1/initialRampShare, progress), 1)
	}
	return 0
}

// rampTime returns for how long the share has risen.
func (c *Controller) rampTime(now time.Time) time.Duration {
	return now.Sub(c.movedAt) - c.held
}

// Granted notes that a request got a permit for a back end of a version.
func (c *Controller) Granted(now time.Time, version string) {
	if c.order.Phase.Decided() {
		return
	}
	if version != c.order.Version {
		c.judge.OldSent(now)
	}
	c.total++
	if c.credit < maxCredit {
		c.credit += c.share(now)
	}
}

// ShouldExpose returns whether a request of a class should go to the new version, as a sample for the
// comparison or because requests are moving there.
func (c *Controller) ShouldExpose(now time.Time, class string) bool {
	switch c.order.Phase {
	case config.RolloutRunning:
		c.spending = c.credit >= maxCredit || c.spending && c.credit >= 1
		return c.spending && c.judge.NeedsSamples(class)
	case config.RolloutMoving:
		return c.credit >= 1
	}
	return false
}

// Rotation returns a number that grows whenever the next requests should go to other back ends of the new version.
func (c *Controller) Rotation() int {
	return c.exposed / maxCredit
}

// Exposed notes that a request was sent to the new version.
func (c *Controller) Exposed() {
	c.exposed++
	c.credit--
}

// Discarded notes that a request sent to a back end of a version at a given time will not yield a sample.
func (c *Controller) Discarded(sent time.Time, version string) {
	if !c.order.Phase.Decided() && version != c.order.Version {
		c.judge.DiscardOld(sent)
	}
}

// Finished adds the result of a request to the comparison.
func (c *Controller) Finished(now time.Time, version string, sample Sample) {
	switch {
	case c.order.Phase.Decided():
	case version == c.order.Version:
		c.judge.AddNew(now, sample)
	default:
		c.judge.AddOld(now, sample)
	}
}

// Step enters the next phase if it is time to, and returns whether it did.
func (c *Controller) Step(now time.Time, backends Backends) bool {
	c.dispatches = true
	if c.order.Phase.Decided() {
		return false
	}
	c.judge.SetBackends(backends.New)
	c.judge.SetRandomPickRates(backends.RandomPick)
	if why, worse := c.judge.Worse(now); worse {
		return c.enterPhase(now, config.RolloutRolledBack, "worse: "+why)
	}
	decideBy := c.order.DecisionDeadline()
	if c.order.Phase == config.RolloutMoving {
		return c.stepMoving(now, backends)
	}
	switch {
	case backends.OldSlots == 0 && backends.NewSlots > 0:
		c.enterPhase(now, config.RolloutMoving, "no back end of another version is left")
		c.ramp = 0 // no requests are left to move
		return true
	case now.Before(decideBy.Add(-c.moveTime())):
		return false
	case c.judge.Inconclusive(now) && now.Before(decideBy.Add(-settleTime-minRamp)):
		return false // waits for more samples
	case c.judge.Inconclusive(now):
		return c.enterPhase(now, config.RolloutRolledBack, "in doubt: "+c.judge.describe(now))
	case c.hasEnoughSamples() && backends.NewSlots > 0:
		return c.enterPhase(now, config.RolloutMoving, "not worse: "+c.judge.describe(now))
	case now.Before(decideBy.Add(-settleTime)):
		return false
	}
	return c.enterPhase(now, config.RolloutRolledBack, fmt.Sprintf("not proved: %d answers of it were compared, %d are needed, and it has %d slots",
		c.judge.Compared(), minCompared, backends.NewSlots))
}

// stepMoving holds the share of the new version while there is evidence against it and time is left, and completes
// the rollout when all requests have moved.
func (c *Controller) stepMoving(now time.Time, backends Backends) bool {
	latest := c.order.DecisionDeadline().Add(time.Duration(decisionReserve / 2 * float64(time.Duration(c.order.Within))))
	if c.share(now) < 1 && c.judge.Suspicious(now) {
		canWait := now.Before(latest.Add(c.rampTime(now) - c.ramp - settleTime))
		switch {
		case canWait && !c.steppedAt.IsZero():
			c.held += now.Sub(c.steppedAt)
		case !canWait && c.judge.Inconclusive(now):
			return c.enterPhase(now, config.RolloutRolledBack, "in doubt while requests move: "+c.judge.describe(now))
		}
	}
	c.steppedAt = now
	if c.rampTime(now) >= c.ramp+settleTime && (backends.OldInFlight == 0 || !now.Before(latest)) {
		return c.enterPhase(now, config.RolloutCompleted, "no request is at an old back end: "+c.judge.describe(now))
	}
	return false
}

// hasEnoughSamples returns whether enough responses of the new version were compared.
func (c *Controller) hasEnoughSamples() bool {
	return c.judge.Compared() >= minCompared
}

func (c *Controller) enterPhase(now time.Time, phase config.RolloutPhase, reason string) bool {
	c.order.Phase, c.order.Reason = phase, reason
	if phase == config.RolloutMoving {
		c.startMoving(now)
	}
	return true
}

// startMoving starts the ramp, which takes as long as the time left allows.
func (c *Controller) startMoving(now time.Time) {
	c.movedAt, c.held, c.steppedAt = now, 0, time.Time{}
	c.judge.SetMoving()
	c.ramp = min(time.Duration(rampShare*float64(c.moveTime())), max(c.order.DecisionDeadline().Sub(now)-settleTime, minRamp))
}

// Counts returns how many requests got a permit since this dispatcher started, and how many of them
// were sent to the new version by ShouldExpose.
func (c *Controller) Counts() (total, exposed int) {
	return c.total, c.exposed
}
