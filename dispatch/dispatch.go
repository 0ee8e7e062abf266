// Package dispatch grants each request of one service a permit for a back end, queues it
// until one is free, or refuses it.
//
// Core combines the pure decisions of packages routing and admission. Dispatcher is its
// concurrent wrapper for the request path. One mutex guards the state and is held for a few
// hundred nanoseconds per decision; docs/decisions/0005-request-path.md compares that with a
// goroutine that owns the state behind a queue.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/fairshare"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Dispatcher dispatches the requests of one service. It is safe for concurrent use.
type Dispatcher struct {
	onEjection        func(change HealthChange)
	onConcurrencyHint func(slots, before, after int)
	onReturn          func(status routing.ReturnStatus)
	lastReturn        routing.ReturnStatus // as last passed to onReturn
	onSilence         func(change SilenceChange)

	mutex sync.Mutex
	core  Core
	// standby replaces the state of the back ends while this daemon grants no permits.
	standby standby
	// recheckScheduled: a timer for recheck is running, as is the case while requests wait.
	recheckScheduled bool
	// silenceChecks holds the time of the scheduled check for silence by back end.
	silenceChecks map[*routing.BackendState]time.Time
}

// New returns a dispatcher without back ends.
func New(random *rand.Rand, queueLimit int) *Dispatcher {
	return &Dispatcher{
		core:              Core{Group: newGroup(random), Queue: admission.NewQueue(queueLimit)},
		standby:           standby{random: random},
		onEjection:        func(HealthChange) {},
		onConcurrencyHint: func(int, int, int) {},
		onReturn:          func(routing.ReturnStatus) {},
		onSilence:         func(SilenceChange) {},
	}
}

// HealthChange is the ejection or the reinstatement of a back end.
type HealthChange struct {
	Backend string
	Ejected bool
	// Cause is the outcome of the request, or the health probe, that caused the change.
	Cause string
	// Reporter is the daemon that reported the outcome; empty: unknown.
	Reporter string
}

// causeHealthProbe is the cause of a change of health by a probe of this daemon.
const causeHealthProbe = "health probe"

// OnEjection sets the callback for the ejection and the reinstatement of a back end. It must
// be called before the first request; the callback must not block.
func (d *Dispatcher) OnEjection(callback func(change HealthChange)) {
	d.onEjection = callback
}

// OnConcurrencyHint sets the callback for a change of the concurrency hint of the back ends
// with a number of slots. It must be called before the first request; the callback must not
// block.
func (d *Dispatcher) OnConcurrencyHint(callback func(slots, before, after int)) {
	d.onConcurrencyHint = callback
}

// DivideByTenant sets whether capacity is divided between the tenants of one weight.
// onRestraint is called when a tenant begins or ceases to be held to its share; it must not
// block.
func (d *Dispatcher) DivideByTenant(divide bool, onRestraint func(tenant string, restrained bool)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.Queue.DivideByTenant(time.Now(), divide)
	if ledger := d.core.Queue.Ledger(); ledger != nil {
		ledger.OnRestraint = onRestraint
	}
}

// TenantShares returns the accounts of the tenants, and false if capacity is not divided.
func (d *Dispatcher) TenantShares() (accounts []fairshare.Status, divided bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	ledger := d.core.Queue.Ledger()
	if ledger == nil {
		return nil, false
	}
	return ledger.Status(time.Now()), true
}

// TenantTotals returns the totals of the accounts of the tenants.
func (d *Dispatcher) TenantTotals() fairshare.Totals {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if ledger := d.core.Queue.Ledger(); ledger != nil {
		// Without requests, nothing else would evict accounts and end restraints.
		ledger.Observe(time.Now(), d.core.Queue.Len() > 0)
		return ledger.Totals()
	}
	return fairshare.Totals{}
}

// changeHealth is like change, and calls the callbacks if apply ejects or reinstates the back
// end or changes its concurrency hint. cause and reporter describe the change.
func (d *Dispatcher) changeHealth(state *routing.BackendState, cause, reporter string, apply func(now time.Time)) {
	var ejectedBefore, ejectedAfter bool
	var hintBefore, hintAfter int
	d.change(func() {
		now := time.Now()
		ejectedBefore, hintBefore = state.Ejected(now), d.core.Group.BestInFlight(state.ID)
		apply(now)
		ejectedAfter, hintAfter = state.Ejected(now), d.core.Group.BestInFlight(state.ID)
	})
	if ejectedBefore != ejectedAfter {
		d.onEjection(HealthChange{Backend: state.ID, Ejected: ejectedAfter, Cause: cause, Reporter: reporter})
	}
	if hintBefore != hintAfter {
		d.onConcurrencyHint(state.Slots, hintBefore, hintAfter)
	}
}

// SetRollout sets the record of the service's rollout; nil: there is none. If holdNewVersions
// is set, versions that have not been seen before get no requests for a moment.
func (d *Dispatcher) SetRollout(record *config.Rollout, holdNewVersions bool) {
	d.change(func() { d.core.SetRollout(time.Now(), record, holdNewVersions) })
}

// StepRollout advances the service's rollout if that is due, and returns its record. Only the
// daemon that dispatches the service may call it.
func (d *Dispatcher) StepRollout() (record config.Rollout) {
	d.change(func() {
		d.leaveStandby(time.Now())
		record = d.core.StepRollout(time.Now())
	})
	return record
}

// HealthProbeTarget returns the back end whose health probe would yield the most information, and
// false if none is worth probing.
func (d *Dispatcher) HealthProbeTarget(silence time.Duration) (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaveStandby(time.Now())
	return d.core.Group.HealthProbeTarget(time.Now(), silence)
}

// RecordHealthProbeStart records that a health probe of a back end has been started.
func (d *Dispatcher) RecordHealthProbeStart(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.Group.RecordHealthProbeStart(time.Now(), id)
}

// LoadProbeTarget returns a back end whose load report should be refreshed by a load probe, and
// false if there is none; see routing.Group. The caller must then call RecordLoadProbe or
// RecordLoadProbeFailure.
func (d *Dispatcher) LoadProbeTarget(freshness, interval time.Duration) (string, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leaveStandby(time.Now())
	return d.core.Group.LoadProbeTarget(time.Now(), freshness, interval)
}

// RecordLoadProbe records the load report that a load probe returned, and notifies the
// requests that turn out to have met a disturbed back end.
func (d *Dispatcher) RecordLoadProbe(id string, report routing.Report) {
	var callbacks []func()
	d.change(func() {
		for _, permit := range d.core.RecordLoadProbe(time.Now(), id, report) {
			if callback := permit.setDisturbed(); callback != nil {
				callbacks = append(callbacks, callback)
			}
		}
	})
	for _, callback := range callbacks {
		callback()
	}
}

// RecordLoadProbeFailure records that a load probe returned no report.
func (d *Dispatcher) RecordLoadProbeFailure(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.Group.RecordLoadProbeFailure(id)
}

// RecordHealthProbe records the result of a health probe. report is nil if the back end did
// not report its load.
func (d *Dispatcher) RecordHealthProbe(id string, healthy bool, report *routing.Report) {
	d.mutex.Lock()
	state := d.core.Group.State(id)
	d.mutex.Unlock()
	if state != nil {
		d.changeHealth(state, causeHealthProbe, "", func(now time.Time) { d.core.Group.RecordHealthProbe(now, id, healthy, report) })
	}
}

// RecordUnansweredProbe records that a health probe could not be sent to a back end.
func (d *Dispatcher) RecordUnansweredProbe(id string, sent time.Time) {
	d.mutex.Lock()
	state := d.core.Group.State(id)
	d.mutex.Unlock()
	if state != nil {
		d.changeHealth(state, causeHealthProbe, "", func(now time.Time) { d.core.Group.RecordUnansweredProbe(now, id, sent) })
	}
}

// change applies a change under the mutex and grants the permits that it may have freed.
func (d *Dispatcher) change(apply func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	apply()
	now := time.Now()
	d.grantWaiting(now)
	d.notifyReturn(now)
}

// Grant is a permit that has been granted. Its owner must call Done exactly once.
type Grant struct {
	*Permit
	dispatcher *Dispatcher
}

// OnDisturbed sets a callback that is called at most once, when it becomes known that the
// request met a disturbed back end. The callback must not block.
func (g *Grant) OnDisturbed(callback func()) {
	d := g.dispatcher
	d.mutex.Lock()
	g.onDisturbed = callback
	disturbed := g.disturbed
	d.mutex.Unlock()
	if disturbed {
		callback()
	}
}

// Waited returns how long the request waited for its permit.
func (g *Grant) Waited() time.Duration {
	return g.GrantedAt.Sub(g.ArrivedAt)
}

// acquireResult is the outcome for a waiting request: a grant or a refusal.
type acquireResult struct {
	grant   *Grant
	refusal *resultcode.Failure
}

// resultChan delivers the result to a waiting request. It is made with a buffer of one, so that
// the sender never blocks.
type resultChan chan acquireResult

// Acquire returns a permit for the request. It blocks while the request waits. The error is a
// *resultcode.Failure that says that the request has not run.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Grant, error) {
	results := make(resultChan, 1)
	decision, refusal := d.offer(request, results)
	if refusal != nil {
		return nil, refusal
	}
	if decision.Permit != nil {
		return &Grant{Permit: decision.Permit, dispatcher: d}, nil
	}
	return d.await(ctx, request, decision.Ticket, results)
}

func (d *Dispatcher) offer(request Request, results resultChan) (Decision, *resultcode.Failure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.leaveStandby(now)
	decision := d.core.Offer(now, request, results)
	if decision.Displaced != nil {
		decision.Displaced.(resultChan) <- acquireResult{refusal: d.core.displacedRefusal(now, request, decision)}
	}
	if decision.Refused != 0 {
		return Decision{}, d.core.Refusal(now, request, decision.Refused)
	}
	if decision.Ticket != nil {
		d.scheduleRecheck()
	}
	return decision, nil
}

// recheckInterval is how often waiting requests are rechecked for permits that become
// available by the passage of time alone, as when a back end was held back for a moment.
const recheckInterval = 20 * time.Millisecond

// scheduleRecheck schedules recheck unless it is scheduled already. All waiting requests share
// one timer: with one timer each, 500 waiting requests caused 25,000 searches for a permit per
// second (TestWaitingRequestsShareRecheckTimer). The caller must hold the mutex.
func (d *Dispatcher) scheduleRecheck() {
	if d.recheckScheduled {
		return
	}
	d.recheckScheduled = true
	time.AfterFunc(recheckInterval, d.recheck)
}

// recheck grants permits that have become available by the passage of time, sheds requests
// that are no longer likely to get one, and reschedules itself while requests wait.
func (d *Dispatcher) recheck() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recheckScheduled = false
	now := time.Now()
	d.grantWaiting(now)
	for _, shed := range d.core.Shed(now) {
		shed.Payload.(resultChan) <- acquireResult{refusal: d.core.Refusal(now, shed.Request, resultcode.DeadlineTooShort)}
	}
	if d.core.Queue.Len() > 0 {
		d.scheduleRecheck()
	}
}

// await blocks until the ticket is granted or refused, its wait expires, or ctx ends.
func (d *Dispatcher) await(ctx context.Context, request Request, ticket *admission.Ticket, results resultChan) (*Grant, error) {
	start := time.Now()
	timer := time.NewTimer(ticket.Expiry.Sub(start))
	defer timer.Stop()
	code := resultcode.WaitExpired
	for waiting := true; waiting; {
		select {
		case result := <-results:
			return result.unpack()
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
	var retryAfter time.Duration
	if removed {
		retryAfter = d.core.expiryRetryAfter(time.Now(), request, code)
	}
	d.mutex.Unlock()
	if !removed {
		// The result was sent concurrently and takes precedence.
		return (<-results).unpack()
	}
	return nil, &resultcode.Failure{Code: code, Detail: "waited " + time.Since(start).Round(time.Millisecond).String(), RetryAfter: retryAfter}
}

func (r acquireResult) unpack() (*Grant, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.grant, nil
}

// grantWaiting grants permits to waiting requests while any are free. The caller must hold
// the mutex.
func (d *Dispatcher) grantWaiting(now time.Time) {
	for {
		permit, payload := d.core.Next(now)
		if permit == nil {
			return
		}
		payload.(resultChan) <- acquireResult{grant: &Grant{Permit: permit, dispatcher: d}}
	}
}

// Done releases the permit. latency is used only for a success; report is the back end's load
// report, nil if it sent none.
func (g *Grant) Done(outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	d := g.dispatcher
	var finding silenceFinding
	d.changeHealth(g.Backend, outcome.String(), g.reporter, func(now time.Time) {
		if report != nil {
			d.core.RecordReport(now, g.Backend, *report)
		}
		boundBefore := silenceBound(g.Backend)
		d.core.Done(now, g.Permit, outcome, latency)
		finding = d.core.checkSilence(now, g.Backend, boundBefore)
	})
	d.reportSilence(g.Backend, finding)
}

// BackendStatus is the state of a back end as shown to operators.
type BackendStatus struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	// BestInFlight is the learned concurrency hint; 0: nothing bounds it.
	BestInFlight int `json:"best_in_flight"`
	// SilentBound is the number of requests in flight to which the back end is held because it was full
	// and did not answer; absent: it is not held.
	SilentBound  int     `json:"silent_bound,omitempty"`
	PeerInFlight float64 `json:"others"`
	Draining     bool    `json:"draining"`
	Evacuated    bool    `json:"evacuated"` // its zone is evacuated, which is why it is draining
	Cold         bool    `json:"cold"`
	// Limit is the back end's advertised request limit; absent: it has none.
	Limit   *routing.LimitStatus `json:"limit,omitempty"`
	Ejected bool                 `json:"ejected"`
	// Leaving describes the signal that the back end is leaving; absent: there is none apart
	// from a declaration in the configuration.
	Leaving *LeavingStatus `json:"leaving,omitempty"`
	// PauseLeft is how much longer the back end asks this daemon to send it nothing.
	PauseLeft time.Duration `json:"pause_left_ns,omitempty"`
	Latency   time.Duration `json:"latency_ns"`
}

// LeavingStatus describes how this daemon knows that a back end is leaving.
type LeavingStatus struct {
	Source         string        `json:"source"`
	ReportedByPeer bool          `json:"told"` // the signal came from another daemon
	Since          time.Duration `json:"since_ns"`
}

// ScanCount returns how often all back ends were scanned for a request, which is most of the
// cost of dispatching.
func (d *Dispatcher) ScanCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Group.ScanCount()
}

// Capacity returns how many requests the back ends may have in flight at present.
func (d *Dispatcher) Capacity() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Group.Capacity(time.Now())
}

// Status returns the states of the back ends and the number of waiting requests.
func (d *Dispatcher) Status() (backends []BackendStatus, waiting int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	group := d.statusGroup(now)
	for _, state := range group.States() {
		backends = append(backends, BackendStatus{
			ID: state.ID, Zone: state.Zone, Slots: state.Slots, InFlight: state.InFlight, BestInFlight: group.BestInFlight(state.ID), SilentBound: silenceBound(state),
			PeerInFlight: state.PeerInFlight(now), Draining: state.Draining, Evacuated: state.Evacuated, Cold: state.Cold(now), Limit: state.Limit(now), Ejected: state.Ejected(now), Latency: state.Latency(),
		})
	}
	return backends, d.core.Queue.Len()
}
