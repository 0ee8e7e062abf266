// Package dispatch gives each request of one service a place at a back end, or
// lets it wait for one, or refuses it.
//
// Core joins the pure decisions of packages routing and admission. Dispatcher is
// what the request path calls: its state is guarded by one mutex, held for a few
// hundred nanoseconds a decision; docs/decisions/0005-request-path.md weighs that
// against a goroutine that owns the state behind a queue.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Dispatcher serves one service. It is safe for concurrent use.
type Dispatcher struct {
	onEjection func(backend string, ejected bool)
	onLearned  func(slots, before, after int)

	mutex sync.Mutex
	core  Core
	// standby is what a daemon keeps of the back ends that gives out no places.
	standby standby
	// rechecking says that recheck is due, as it is while requests wait.
	rechecking bool
}

// New returns a dispatcher without back ends.
func New(random *rand.Rand, queueLimit int) *Dispatcher {
	return &Dispatcher{
		core:       Core{Group: newGroup(random), Queue: admission.NewQueue(queueLimit)},
		standby:    standby{random: random},
		onEjection: func(string, bool) {},
		onLearned:  func(int, int, int) {},
	}
}

// OnEjection sets what is told when a back end is left out for failing, and when it
// is let back in. It must be called before the first request; told must not block.
func (d *Dispatcher) OnEjection(told func(backend string, ejected bool)) {
	d.onEjection = told
}

// OnConcurrencyHint sets what is told when the number of requests in flight that back ends with
// so many slots do best with is found to be another one. It must be called before the
// first request; told must not block.
func (d *Dispatcher) OnConcurrencyHint(told func(slots, before, after int)) {
	d.onLearned = told
}

// changeHealth is change for what may eject a back end or let it back in.
func (d *Dispatcher) changeHealth(state *routing.BackendState, apply func(now time.Time)) {
	var before, after bool
	var bestBefore, bestAfter int
	d.change(func() {
		now := time.Now()
		before, bestBefore = state.Ejected(now), d.core.Group.BestInFlight(state.ID)
		apply(now)
		after, bestAfter = state.Ejected(now), d.core.Group.BestInFlight(state.ID)
	})
	if before != after {
		d.onEjection(state.ID, after)
	}
	if bestBefore != bestAfter {
		d.onLearned(state.Slots, bestBefore, bestAfter)
	}
}

// SetRollout takes in the record of the service's rollout; nil: there is none. holds: versions that
// were not seen before get nothing for a moment.
func (d *Dispatcher) SetRollout(order *config.Rollout, holds bool) {
	d.change(func() { d.core.SetRollout(time.Now(), order, holds) })
}

// StepRollout lets the service's rollout go on if it is time to, and returns how far it is. It must
// be called by the daemon that dispatches the service only.
func (d *Dispatcher) StepRollout() (order config.Rollout) {
	d.change(func() {
		d.build(time.Now())
		order = d.core.StepRollout(time.Now())
	})
	return order
}

// ProbeTarget returns the back end that a probe would tell most about, and false
// when none is worth one.
func (d *Dispatcher) ProbeTarget(silence time.Duration) (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.build(time.Now())
	return d.core.Group.HealthProbeTarget(time.Now(), silence)
}

// RecordHealthProbeStart notes that a back end is being probed.
func (d *Dispatcher) RecordHealthProbeStart(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.Group.RecordHealthProbeStart(time.Now(), id)
}

// StaleTarget returns a back end that a probe should bring a fresher report of, and
// false when there is none; see routing.Group. Refreshed or Unprobed is called next.
func (d *Dispatcher) StaleTarget(freshness, interval time.Duration) (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.build(time.Now())
	return d.core.Group.LoadProbeTarget(time.Now(), freshness, interval)
}

// RecordLoadProbe takes in the report that a probe brought.
func (d *Dispatcher) RecordLoadProbe(id string, report routing.Report) {
	var met []func()
	d.change(func() {
		for _, place := range d.core.RecordLoadProbe(time.Now(), id, report) {
			place.disturbed = true
			if place.told != nil {
				met = append(met, place.told)
			}
		}
	})
	for _, tell := range met {
		tell()
	}
}

// RecordLoadProbeFailure notes that a probe told nothing.
func (d *Dispatcher) RecordLoadProbeFailure(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.Group.RecordLoadProbeFailure(id)
}

// RecordHealthProbe takes in the outcome of a probe; report is nil where the back end did
// not report its load.
func (d *Dispatcher) RecordHealthProbe(id string, well bool, report *routing.Report) {
	d.mutex.Lock()
	state := d.core.Group.State(id)
	d.mutex.Unlock()
	if state != nil {
		d.changeHealth(state, func(now time.Time) { d.core.Group.RecordHealthProbe(now, id, well, report) })
	}
}

// change runs a change under the mutex and gives out places it may have freed.
func (d *Dispatcher) change(apply func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	apply()
	d.serve(time.Now())
}

// Grant is a place at a back end. Its owner calls Done exactly once.
type Grant struct {
	*Permit
	dispatcher *Dispatcher
}

// OnDisturbed sets what is called, once at the most, when it is known that the request met a
// disturbed back end. It must not block.
func (g *Grant) OnDisturbed(told func()) {
	d := g.dispatcher
	d.mutex.Lock()
	g.told = told
	disturbed := g.disturbed
	d.mutex.Unlock()
	if disturbed {
		told()
	}
}

// Waited returns how long the request waited for its place.
func (g *Grant) Waited() time.Duration {
	return g.GrantedAt.Sub(g.ArrivedAt)
}

// answer is what a waiting request is told: a grant, or a refusal.
type answer struct {
	grant   *Grant
	refused *resultcode.Failure
}

// answers has room for one, so that the sender never blocks.
type answers chan answer

// Acquire returns a place for the request. It blocks while the request waits.
// The error is a *resultcode.Failure that says "not run".
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Grant, error) {
	told := make(answers, 1)
	decision, refused := d.offer(request, told)
	if refused != nil {
		return nil, refused
	}
	if decision.Place != nil {
		return &Grant{Permit: decision.Place, dispatcher: d}, nil
	}
	return d.await(ctx, request, decision.Ticket, told)
}

func (d *Dispatcher) offer(request Request, told answers) (Decision, *resultcode.Failure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.build(now)
	decision := d.core.Offer(now, request, told)
	if decision.Displaced != nil {
		decision.Displaced.(answers) <- answer{refused: d.core.Refusal(now, request, resultcode.QueueFull)}
	}
	if decision.Refused != 0 {
		return Decision{}, d.core.Refusal(now, request, decision.Refused)
	}
	if decision.Ticket != nil {
		d.recheckSoon()
	}
	return decision, nil
}

// recheckInterval is how often it is looked, while requests wait, whether time alone
// has brought a place: a back end may be held back for a moment only.
const recheckInterval = 20 * time.Millisecond

// recheckSoon lets recheck run after an interval, unless it does anyway. It is one timer
// for all that wait: with one for each, 500 waiting requests had a place looked for 25,000
// times a second (TestManyWaitAtLittleCost). The caller holds the mutex.
func (d *Dispatcher) recheckSoon() {
	if d.rechecking {
		return
	}
	d.rechecking = true
	time.AfterFunc(recheckInterval, d.recheck)
}

// recheck gives out the places that time alone has brought and refuses whom it has left
// without hope, for as long as requests wait.
func (d *Dispatcher) recheck() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rechecking = false
	now := time.Now()
	d.serve(now)
	for _, one := range d.core.Shed(now) {
		one.Payload.(answers) <- answer{refused: d.core.Refusal(now, one.Request, resultcode.DeadlineTooShort)}
	}
	if d.core.Queue.Len() > 0 {
		d.recheckSoon()
	}
}

// await blocks until the ticket is granted, refused, or given up.
func (d *Dispatcher) await(ctx context.Context, request Request, ticket *admission.Ticket, told answers) (*Grant, error) {
	begun := time.Now()
	timer := time.NewTimer(ticket.Expiry.Sub(begun))
	defer timer.Stop()
	code := resultcode.WaitExpired
	for waiting := true; waiting; {
		select {
		case got := <-told:
			return got.unpack()
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
			if context.Cause(ctx) != context.DeadlineExceeded {
				code = resultcode.CallerGone
			}
		}
	}
	d.mutex.Lock()
	removed := d.core.Queue.Remove(ticket)
	d.mutex.Unlock()
	if !removed {
		// The answer was given in the same moment; it counts.
		return (<-told).unpack()
	}
	return nil, &resultcode.Failure{Code: code, Detail: "waited " + time.Since(begun).Round(time.Millisecond).String(), RetryAfter: comeBack(time.Now(), request)}
}

func (a answer) unpack() (*Grant, error) {
	if a.refused != nil {
		return nil, a.refused
	}
	return a.grant, nil
}

// serve gives places to waiting requests while there are any. The caller holds
// the mutex.
func (d *Dispatcher) serve(now time.Time) {
	for {
		place, payload := d.core.Next(now)
		if place == nil {
			return
		}
		payload.(answers) <- answer{grant: &Grant{Permit: place, dispatcher: d}}
	}
}

// Done gives the place back. latency counts only for a success; report is what the back
// end told of its load, nil where it told nothing.
func (g *Grant) Done(outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	d := g.dispatcher
	d.changeHealth(g.Backend, func(now time.Time) {
		if report != nil {
			d.core.Report(now, g.Backend, *report)
		}
		d.core.Done(now, g.Permit, outcome, latency)
	})
}

// BackendStatus is what operators see of a back end.
type BackendStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	// BestInFlight is with how many it does best, as learned; 0: nothing bounds it.
	BestInFlight int     `json:"best_in_flight"`
	PeerInFlight float64 `json:"others"`
	Draining     bool    `json:"draining"`
	Evacuated    bool    `json:"evacuated"` // its zone is, which is why it is draining
	Cold         bool    `json:"cold"`
	// Limit is what it says of how many requests it takes; absent: it takes any number.
	Limit   *routing.LimitStatus `json:"limit,omitempty"`
	Ejected bool                 `json:"ejected"`
	// Leaving says from which source it is known to be leaving; absent: from none but a declaration.
	Leaving *LeavingStatus `json:"leaving,omitempty"`
	// PauseLeft is for how long it wants nothing from the asked daemon.
	PauseLeft time.Duration `json:"pause_left_ns,omitempty"`
	Latency   time.Duration `json:"latency_ns"`
}

// LeavingStatus is what the asked daemon knows of a back end that is leaving.
type LeavingStatus struct {
	Source         string        `json:"source"`
	ReportedByPeer bool          `json:"told"` // by another daemon
	Since          time.Duration `json:"since_ns"`
}

// ScanCount returns how often all back ends were looked at for a request, which is most of
// what dispatching costs.
func (d *Dispatcher) ScanCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Group.ScanCount()
}

// Status returns the back ends' states and the number of waiting requests.
func (d *Dispatcher) Status() (backends []BackendStatus, waiting int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	group := d.shown(now)
	for _, state := range group.States() {
		backends = append(backends, BackendStatus{
			ID: state.ID, Zone: state.Zone, Slots: state.Slots, InFlight: state.InFlight, BestInFlight: group.BestInFlight(state.ID),
			PeerInFlight: state.PeerInFlight(now), Draining: state.Draining, Evacuated: state.Evacuated, Cold: state.Cold(now), Limit: state.Limit(now), Ejected: state.Ejected(now), Latency: state.Latency(),
		})
	}
	return backends, d.core.Queue.Len()
}
