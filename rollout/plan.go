package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/routing"
)

// How much a new version gets, and when what is decided.
const (
	// CanaryShare is the part of a service's requests that a version gets while it is judged, and FirstFew
	// how many more at its beginning. Operators allow a tenth and 50; the rest is for requests that
	// are counted a little earlier here than there. Without the first few, bad versions of services
	// with 100 requests a second got more than allowed in 1 of 100 rollouts, as too little was
	// seen of them before all requests moved.
	CanaryShare  = 0.09
	InitialBurst = 30
	// mostSaved is how many requests are saved up for a version and then given to it one after
	// another: it is judged under load also where there is little. Of versions that fail under
	// load only, at 100 requests a second over 60 back ends, a quarter was completed without.
	mostSaved = 8
	// leastJudged is how many answers must have been compared before all requests move.
	leastJudged = 20
	// decideEarly is the part of the ordered time that is left as a reserve: the order was given
	// some time before it was heard of, and the decision must reach the store, which may be slow. Of 14 s
	// the last 2.2 are left when it is reached.
	decideEarly = 0.15
	// moveShare is the part of the ordered time that moving may take, and mostMove its bound: that
	// is how long requests at the old back ends may take to end.
	moveShare = 0.3
	mostMove  = 30 * time.Second
	// rampPart is the part of that in which the share of the new version rises to all requests: one
	// that is found out to be bad only now has got half as many as if all had moved at once.
	rampPart = 0.6
	// leastRamp is the shortest time for that.
	leastRamp = 500 * time.Millisecond
	// firstRampShare is the share with which that begins.
	firstRampShare = 0.15
	// settleFor is for how long all requests must have moved before the rollout is completed: daemons
	// that choose by themselves have heard of it by then.
	settleFor = 1500 * time.Millisecond
	// oldGoneAfter is how long after it was due a completed rollout speaks against other versions:
	// the old back ends are gone by then, and later ones may come without an order.
	oldGoneAfter = 30 * time.Second
)

// Backends are the back ends of a service, as its dispatcher sees them.
type Backends struct {
	New         int // those of the new version that take requests
	NewSlots    int // of these
	OldSlots    int // of the others that do
	OldInFlight int // requests at the others
	// RandomPick is what a request meets that is sent to back ends as if it were not known how they are.
	RandomPick RandomPickRates
}

// BackendsOf returns the back ends as they were counted.
func BackendsOf(counts routing.VersionCounts) Backends {
	return Backends{
		New: counts.Backends, NewSlots: counts.Slots, OldSlots: counts.OtherSlots, OldInFlight: counts.OtherInFlight,
		RandomPick: chanceOf(counts),
	}
}

// Controller is a dispatcher's part in a rollout. It is not safe for concurrent use.
type Controller struct {
	order  config.Rollout
	judge  *Judge
	saved  float64 // requests that the new version may be given
	giving bool    // it is being given them
	// recordLost: the store came back older than the record of this order, which is not back yet.
	recordLost bool
	// decides: this daemon dispatches the service, so that the first few are its to give.
	decides bool
	// total and exposed count requests since this dispatcher began.
	total, exposed int
	movedAt        time.Time     // when requests began to move; zero: not yet
	ramp           time.Duration // in which the new version's share rises to all
}

// NewController returns a plan that goes on from where the record of an order is.
func NewController(now time.Time, order config.Rollout) *Controller {
	p := &Controller{judge: NewJudge()}
	p.Update(now, order)
	return p
}

// Update takes in the record. Another order begins anew; an earlier phase than the one that this
// dispatcher has decided on changes nothing.
func (p *Controller) Update(now time.Time, order config.Rollout) {
	p.recordLost = order.Phase == "" && (p.recordLost || order.Recorded.Era() > p.order.Recorded.Era())
	if !p.order.SameOrder(order) || p.order.Phase.Decided() && order.Phase == "" && !p.recordLost {
		*p = Controller{order: order, judge: NewJudge()}
	} else {
		phase, reason, decideBy := p.order.Phase, p.order.Reason, p.order.DecideBy
		p.order = order
		if order.Phase.Before(phase) {
			p.order.Phase, p.order.Reason = phase, reason
		}
		if order.DecideBy == 0 {
			p.order.DecideBy = decideBy
		}
		if order.Phase != "" && !p.decides {
			p.saved = min(p.saved, 0) // another dispatcher has begun, and gives the first few
		}
	}
	if p.order.DecideBy == 0 {
		within := time.Duration(float64(time.Duration(order.Within)) * (1 - decideEarly))
		p.order.DecideBy = now.Add(within).UnixMilli()
	}
	if p.order.Phase == "" {
		// Nobody has begun.
		p.order.Phase, p.saved = config.RolloutRunning, InitialBurst
	}
	if p.order.Phase == config.RolloutMoving && p.movedAt.IsZero() {
		p.beginMoving(now)
	}
}

// Order returns the order as far as this dispatcher has decided on it.
func (p *Controller) Order() config.Rollout {
	return p.order
}

// Rule says which versions requests may be given to, but for those that the new one is given by
// Expose.
func (p *Controller) Rule(now time.Time) routing.VersionRule {
	rule := routing.VersionRule{Version: p.order.Version, Use: routing.CanaryVersion}
	switch p.order.Phase {
	case config.RolloutMoving:
		if p.shareOf(now) >= 1 {
			rule.Use = routing.OnlyVersion
		}
	case config.RolloutRolledBack:
		rule.Use = routing.ExcludedVersion
	case config.RolloutCompleted:
		rule.Use = routing.OnlyVersion
		if now.Sub(p.order.DecisionTime()) > oldGoneAfter {
			rule = routing.VersionRule{}
		}
	}
	return rule
}

// moveTime is how long requests may take to move.
func (p *Controller) moveTime() time.Duration {
	return min(time.Duration(moveShare*float64(time.Duration(p.order.Within))), mostMove)
}

// shareOf is the part of the requests that the new version gets now.
func (p *Controller) shareOf(now time.Time) float64 {
	switch p.order.Phase {
	case config.RolloutRunning:
		return CanaryShare
	case config.RolloutMoving:
		risen := float64(now.Sub(p.movedAt)) / float64(max(p.ramp, 1))
		return min(firstRampShare*math.Pow(1/firstRampShare, risen), 1)
	}
	return 0
}

// Granted notes that a request was given to a back end of a version.
func (p *Controller) Granted(now time.Time, version string) {
	if p.order.Phase.Decided() {
		return
	}
	if version != p.order.Version {
		p.judge.OldSent(now)
	}
	p.total++
	if p.saved < mostSaved {
		p.saved += p.shareOf(now)
	}
}

// ShouldExpose says whether a request of a class is to be given to the new version, to judge it by or as
// requests move there by and by.
func (p *Controller) ShouldExpose(now time.Time, class string) bool {
	switch p.order.Phase {
	case config.RolloutRunning:
		p.giving = p.saved >= mostSaved || p.giving && p.saved >= 1
		return p.giving && p.judge.NeedsSamples(class)
	case config.RolloutMoving:
		return p.saved >= 1
	}
	return false
}

// Rotation counts how often other back ends of the new version are to be looked at.
func (p *Controller) Rotation() int {
	return p.exposed / mostSaved
}

// Exposed notes that a request was given to the new version.
func (p *Controller) Exposed() {
	p.exposed++
	p.saved--
}

// Discarded notes that a request which was given to a back end of a version at a time says nothing of it.
func (p *Controller) Discarded(sent time.Time, version string) {
	if !p.order.Phase.Decided() && version != p.order.Version {
		p.judge.DiscardOld(sent)
	}
}

// Finished takes in how a request ended.
func (p *Controller) Finished(now time.Time, version string, answer Sample) {
	switch {
	case p.order.Phase.Decided():
	case version == p.order.Version:
		p.judge.AddNew(now, answer)
	default:
		p.judge.AddOld(now, answer)
	}
}

// Step decides whether the rollout goes on to another phase, and says whether it did.
func (p *Controller) Step(now time.Time, backends Backends) bool {
	p.decides = true
	if p.order.Phase.Decided() {
		return false
	}
	p.judge.SetBackends(backends.New)
	p.judge.SetRandomPickRates(backends.RandomPick)
	if why, worse := p.judge.Worse(now); worse {
		return p.goOn(now, config.RolloutRolledBack, "worse: "+why)
	}
	decideBy := p.order.DecisionTime()
	if p.order.Phase == config.RolloutMoving {
		latest := decideBy.Add(time.Duration(decideEarly / 2 * float64(time.Duration(p.order.Within))))
		if now.Sub(p.movedAt) >= p.ramp+settleFor && (backends.OldInFlight == 0 || !now.Before(latest)) {
			return p.goOn(now, config.RolloutCompleted, "no request is at an old back end: "+p.judge.describe(now))
		}
		return false
	}
	switch {
	case backends.OldSlots == 0 && backends.NewSlots > 0:
		p.goOn(now, config.RolloutMoving, "no back end of another version is left")
		p.ramp = 0 // there is nothing to move from
		return true
	case now.Before(decideBy.Add(-p.moveTime())):
		return false
	case p.judge.Inconclusive() && now.Before(decideBy.Add(-settleFor-leastRamp)):
		return false // more answers will tell
	case p.judge.Inconclusive():
		return p.goOn(now, config.RolloutRolledBack, "in doubt: "+p.judge.describe(now))
	case p.proved() && backends.NewSlots > 0:
		return p.goOn(now, config.RolloutMoving, "not worse: "+p.judge.describe(now))
	case now.Before(decideBy.Add(-settleFor)):
		return false
	}
	return p.goOn(now, config.RolloutRolledBack, fmt.Sprintf("not proved: %d answers of it were compared, %d are needed, and it has %d slots",
		p.judge.Compared(), leastJudged, backends.NewSlots))
}

// proved says whether enough was seen of the version.
func (p *Controller) proved() bool {
	return p.judge.Compared() >= leastJudged
}

func (p *Controller) goOn(now time.Time, phase config.RolloutPhase, reason string) bool {
	p.order.Phase, p.order.Reason = phase, reason
	if phase == config.RolloutMoving {
		p.beginMoving(now)
	}
	return true
}

// beginMoving lets requests move, as slowly as there is time for.
func (p *Controller) beginMoving(now time.Time) {
	p.movedAt = now
	p.judge.SetMoving()
	p.ramp = min(time.Duration(rampPart*float64(p.moveTime())), max(p.order.DecisionTime().Sub(now)-settleFor, leastRamp))
}

// Counts returns how many requests were given since this dispatcher began, and how many of them
// to the new version while it was judged.
func (p *Controller) Counts() (total, exposed int) {
	return p.total, p.exposed
}
