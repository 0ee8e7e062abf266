// Package dispatch gives each request of one service a place at a back end, or
// lets it wait for one, or refuses it.
//
// A Dispatcher joins the pure decisions of packages routing and admission and
// is what the request path calls. Its state is guarded by one mutex, held for a
// few hundred nanoseconds a decision; docs/decisions/0005-request-path.md has
// the measurement against a goroutine that owns the state behind a queue.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Request is a request that wants a place.
type Request struct {
	Weight   int
	Wait     time.Duration // longest wait; 0: until the deadline
	Deadline time.Time
	Routing  routing.Request
}

// Dispatcher serves one service. It is safe for concurrent use.
type Dispatcher struct {
	mutex sync.Mutex
	group *routing.Group
	queue *admission.Queue
}

// New returns a dispatcher without back ends.
func New(random *rand.Rand, queueLimit int) *Dispatcher {
	return &Dispatcher{
		group: routing.NewGroup(routing.LeastLoad{}, random, routing.DefaultOvercommit),
		queue: admission.NewQueue(queueLimit),
	}
}

// Configure sets the back ends and the bound of the queue.
func (d *Dispatcher) Configure(backends []routing.Backend, queueLimit int) {
	d.change(func() {
		d.group.SetBackends(backends)
		d.queue.SetLimit(queueLimit)
	})
}

// SetDraining notes that a back end is leaving, or is back.
func (d *Dispatcher) SetDraining(id string, draining bool) {
	d.change(func() { d.group.SetDraining(id, draining) })
}

// SetPeers notes what other daemons together have in flight at a back end.
func (d *Dispatcher) SetPeers(id string, inFlight int, at time.Time) {
	d.change(func() { d.group.SetPeers(id, inFlight, at) })
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
	routing.PickResult
	Waited time.Duration

	dispatcher *Dispatcher
	sentAt     time.Time
}

// waiter is the payload of a waiting ticket.
type waiter struct {
	request Request
	since   time.Time
	answer  chan reply // room for one, so that the sender never blocks
}

type reply struct {
	grant   *Grant
	failure *resultcode.Failure
}

// Acquire returns a place for the request. It blocks while the request waits.
// The error is a *resultcode.Failure that says "not run".
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Grant, error) {
	ticket, grant, failure := d.offer(request)
	if failure != nil {
		return nil, failure
	}
	if grant != nil {
		return grant, nil
	}
	return d.await(ctx, ticket)
}

// offer grants a place at once, or puts the request in the queue.
func (d *Dispatcher) offer(request Request) (*admission.Ticket, *Grant, *resultcode.Failure) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	if !d.group.Available() {
		return nil, nil, &resultcode.Failure{Code: resultcode.NoBackend, Detail: "every back end is draining or none is placed", RetryAfter: retryAfter}
	}
	if first := d.queue.Peek(); first == nil || first.Weight < request.Weight {
		if result, ok := d.group.Pick(now, request.Routing); ok {
			return nil, d.grant(result, now, now), nil
		}
	}
	ticket := newTicket(now, request)
	verdict, displaced := d.queue.Offer(now, ticket)
	if displaced != nil {
		refuse(displaced, resultcode.QueueFull)
	}
	switch verdict {
	case admission.Full:
		return nil, nil, d.refusal(now, ticket, resultcode.QueueFull)
	case admission.Late:
		return nil, nil, d.refusal(now, ticket, resultcode.DeadlineTooShort)
	}
	return ticket, nil, nil
}

func newTicket(now time.Time, request Request) *admission.Ticket {
	expiry := request.Deadline
	if request.Wait > 0 && now.Add(request.Wait).Before(expiry) {
		expiry = now.Add(request.Wait)
	}
	return &admission.Ticket{
		Weight:   request.Weight,
		Deadline: request.Deadline,
		Expiry:   expiry,
		Payload:  &waiter{request: request, since: now, answer: make(chan reply, 1)},
	}
}

// retryAfter is the advice given where no better estimate exists.
const retryAfter = time.Second

func (d *Dispatcher) refusal(now time.Time, ticket *admission.Ticket, code resultcode.Code) *resultcode.Failure {
	advice := max(d.queue.Wait(now, ticket), retryAfter)
	return &resultcode.Failure{Code: code, Detail: "the service is overloaded", RetryAfter: advice}
}

func refuse(ticket *admission.Ticket, code resultcode.Code) {
	failure := &resultcode.Failure{Code: code, Detail: "the service is overloaded", RetryAfter: retryAfter}
	ticket.Payload.(*waiter).answer <- reply{failure: failure}
}

func (d *Dispatcher) grant(result routing.PickResult, now, since time.Time) *Grant {
	return &Grant{PickResult: result, Waited: now.Sub(since), dispatcher: d, sentAt: now}
}

// await blocks until the ticket is granted, refused, or given up.
func (d *Dispatcher) await(ctx context.Context, ticket *admission.Ticket) (*Grant, error) {
	waiting := ticket.Payload.(*waiter)
	timer := time.NewTimer(time.Until(ticket.Expiry))
	defer timer.Stop()
	code := resultcode.WaitExpired
	select {
	case answer := <-waiting.answer:
		return answer.unpack()
	case <-timer.C:
	case <-ctx.Done():
		code = resultcode.CallerGone
	}
	d.mutex.Lock()
	removed := d.queue.Remove(ticket)
	d.mutex.Unlock()
	if !removed {
		// The answer was given in the same moment; it counts.
		return (<-waiting.answer).unpack()
	}
	return nil, &resultcode.Failure{Code: code, Detail: "waited " + time.Since(waiting.since).Round(time.Millisecond).String(), RetryAfter: retryAfter}
}

func (r reply) unpack() (*Grant, error) {
	if r.failure != nil {
		return nil, r.failure
	}
	return r.grant, nil
}

// serve gives places to waiting requests while there are any. The caller holds
// the mutex.
func (d *Dispatcher) serve(now time.Time) {
	for {
		first := d.queue.Peek()
		if first == nil {
			return
		}
		waiting := first.Payload.(*waiter)
		result, ok := d.group.Pick(now, waiting.request.Routing)
		if !ok {
			return
		}
		d.queue.Next()
		waiting.answer <- reply{grant: d.grant(result, now, waiting.since)}
	}
}

// Report passes on a load report that came with an answer, or from a probe.
func (d *Dispatcher) Report(state *routing.State, inFlight int, at time.Time) {
	d.change(func() { d.group.Report(state, inFlight, at) })
}

// Answered notes how the back end answered, before the answer is passed on: it
// gives the latency free of the caller's own speed.
func (g *Grant) Answered() time.Duration {
	return time.Since(g.sentAt)
}

// Done gives the place back. latency counts only for a success.
func (g *Grant) Done(outcome routing.Outcome, latency time.Duration) {
	d := g.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.group.Finished(g.Backend, now, outcome, latency)
	if outcome == routing.Success {
		d.queue.Served(now)
	}
	d.serve(now)
}

// BackendStatus is what operators see of a back end.
type BackendStatus struct {
	ID       string        `json:"id"`
	Zone     string        `json:"zone"`
	Slots    int           `json:"slots"`
	InFlight int           `json:"in_flight"`
	Others   float64       `json:"others"`
	Draining bool          `json:"draining"`
	Ejected  bool          `json:"ejected"`
	Latency  time.Duration `json:"latency_ns"`
}

// Status returns the back ends' states and the number of waiting requests.
func (d *Dispatcher) Status() (backends []BackendStatus, waiting int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	for _, state := range d.group.States() {
		backends = append(backends, BackendStatus{
			ID: state.ID, Zone: state.Zone, Slots: state.Slots, InFlight: state.InFlight,
			Others: state.Others(now), Draining: state.Draining, Ejected: state.Ejected(now), Latency: state.Latency(),
		})
	}
	return backends, d.queue.Len()
}
