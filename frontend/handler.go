package frontend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
	"github.com/tuliphall/tuliphall/slots"
)

// Peers says which daemon dispatches a service. The frontend calls it for each
// request; it must not block.
type Peers interface {
	// DispatcherOf returns the daemon that dispatches the service, and false
	// when it is this one.
	DispatcherOf(service string) (member membership.Member, other bool)
	// Daemons returns how many daemons take requests, this one included.
	Daemons() int
	// Suspect notes that a daemon could not be reached.
	Suspect(name string)
}

// Options are the frontend's collaborators.
type Options struct {
	Name     string // the daemon's
	Zone     string // the daemon's
	Network  network.Network
	Services *service.Registry
	Peers    Peers
	// Configured says whether what it takes to serve has been read: the configuration,
	// and the back ends where they are listed elsewhere. It must not block. nil: yes.
	Configured func() bool
	Slots      *slots.Client // asks other daemons for places
	Operations *operation.Claimer
	// Quarantine holds back requests under which back ends end; nil: none is held back.
	Quarantine Quarantine
	// Signals takes in what back ends say of themselves with their answers; nil: nobody does.
	Signals signals.Listener
	Log     *slog.Logger
	Metrics tally.Scope
	// LogDecisions says whether each routing decision and each answered request
	// gets a line; nil: none does. It must not block.
	LogDecisions func() bool
	// Dialect is how callers and back ends spell headers.
	Dialect backend.Dialect
}

// Handler serves callers. Use Forwarded for requests from other daemons.
type Handler struct {
	options   Options
	log       *slog.Logger
	routing   *slog.Logger
	outcomes  *slog.Logger // of requests that were answered
	metrics   *metrics
	sequence  atomic.Uint64
	inFlight  atomic.Int64
	phase     float64 // of the turns by which routes divide requests
	upgraded  sync.WaitGroup
	forwarder *forwarder
	patience  patience
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	if options.Configured == nil {
		options.Configured = func() bool { return true }
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	if options.Signals == nil {
		options.Signals = signals.NopListener{}
	}
	if options.LogDecisions == nil {
		options.LogDecisions = func() bool { return false }
	}
	h := &Handler{
		options:   options,
		log:       logging.Part(options.Log, "frontend"),
		routing:   logging.Routine(logging.Part(options.Log, "routing")),
		outcomes:  logging.Routine(logging.Part(options.Log, "frontend")),
		metrics:   newMetrics(options.Metrics),
		forwarder: newForwarder(options.Network),
		phase:     rand.Float64(),
	}
	// Ids stay unique when a daemon is restarted under the same name.
	h.sequence.Store(uint64(time.Now().UnixNano()))
	return h
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 {
	return h.inFlight.Load()
}

// WaitUpgraded blocks until every upgraded connection has ended.
func (h *Handler) WaitUpgraded() {
	h.upgraded.Wait()
}

// ServeHTTP serves a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// What only daemons may say is not taken from callers.
	r.Header.Del(HeaderForwardedBy)
	r.Header.Del(HeaderFingerprint)
	r.Header.Del(HeaderCaller)
	h.serve(w, r, false)
}

// Repeatable says whether a request may be served twice: its policy lets it be sent
// again. It does not block.
func (h *Handler) Repeatable(r *http.Request) bool {
	if h.options.Services.Snapshot() == nil || !h.options.Configured() || r.Header.Get("Upgrade") != "" {
		return false
	}
	route, ok := h.options.Services.Match(r.Host, r.URL.Path)
	if !ok {
		return false
	}
	decision, err := route.Policy.Evaluate(policy.Request{Method: r.Method, Path: r.URL.Path, Header: r.Header})
	return err == nil && decision.Retry && !decision.Once
}

// RefuseAmbiguous answers a request whose head must not be served, as it could be read in two ways.
func (h *Handler) RefuseAmbiguous(w http.ResponseWriter, r *http.Request, cause error) {
	h.refuse(w, h.requestID(r.Header), &resultcode.Failure{Code: resultcode.AmbiguousRequest, Detail: cause.Error()})
}

// ForwardedHandler serves requests that other daemons forward.
func (h *Handler) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.serve(w, r, true)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	h.metrics.inFlight.Update(float64(h.inFlight.Add(1)))
	defer h.inFlight.Add(-1)
	id := h.requestID(r.Header)
	c, failure := h.admit(r, id, forwarded)
	if failure != nil {
		h.refuse(w, id, failure)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	// The deadline is for the beginning of the answer: a long answer may take
	// as long as its caller stays.
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	a := &attempter{handler: h, call: c, writer: w, deadline: timer}
	// A request under which back ends end reaches no more of them, whichever daemon it comes to:
	// without this one request ended 81 back ends in 20 s (TestCrashingRequestIsStopped).
	if refused := h.options.Quarantine.Check(c.fingerprints); refused != nil {
		a.refuse(refused)
		return
	}
	if c.decision.Once {
		a.runOnce(ctx)
		return
	}
	if c.service.Target().Service.Forward && a.forward(ctx) {
		return
	}
	a.run(ctx)
}

// notConfiguredRetryAfter is when a caller may come back to a daemon that has just
// started.
const notConfiguredRetryAfter = 250 * time.Millisecond

// admit finds the request's service and reads what it asks for.
func (h *Handler) admit(r *http.Request, id string, forwarded bool) (*call, *resultcode.Failure) {
	if h.options.Services.Snapshot() == nil || !h.options.Configured() {
		return nil, &resultcode.Failure{Code: resultcode.NotConfigured, Detail: "configuration and back ends have not all been read yet", RetryAfter: notConfiguredRetryAfter}
	}
	route, ok := h.options.Services.Match(r.Host, r.URL.Path)
	if !ok {
		return nil, &resultcode.Failure{Code: resultcode.NoService, Detail: "host " + r.Host + ", path " + r.URL.Path}
	}
	snapshot := h.options.Services.Snapshot()
	caller, failure := identify(snapshot, r, route, forwarded)
	if failure != nil {
		return nil, failure
	}
	name := route.Choose(h.phase).Service.Name
	running, ok := h.options.Services.Find(name)
	if !ok {
		return nil, &resultcode.Failure{Code: resultcode.NoService, Detail: "service " + name}
	}
	c, failure := h.newCall(r, id, route, running, caller)
	if failure != nil {
		return nil, failure
	}
	c.forwarded, c.identified = forwarded, snapshot.HasTenants()
	c.identify()
	return c, nil
}

// identify finds out whose request it is. A daemon that was not told of the tenant of a
// forwarded request lacks news: the daemon that forwarded it serves it.
func identify(snapshot *config.Snapshot, r *http.Request, route *config.RunningRoute, forwarded bool) (identity.Caller, *resultcode.Failure) {
	if forwarded {
		caller, known := identity.Told(snapshot, r.Header.Get(HeaderCaller))
		if !known {
			return identity.Caller{}, &resultcode.Failure{Code: resultcode.NotConfigured, Detail: "the tenant is not known yet", RetryAfter: notConfiguredRetryAfter}
		}
		return caller, nil
	}
	caller, err := identity.Identify(snapshot, r.Header, route.Public)
	return caller, resultcode.AsFailure(err, resultcode.Unauthorized)
}

func cloneURL(r *http.Request) *url.URL {
	copied := *r.URL
	return &copied
}
