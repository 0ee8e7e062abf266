package frontend

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
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
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
	"github.com/tuliphall/tuliphall/slots"
)

// Peers provides the dispatcher of each service. It is called for each request and must not block.
type Peers interface {
	// DispatcherOf returns the dispatcher of a service, and false if this daemon is the dispatcher.
	DispatcherOf(service string) (member membership.Member, other bool)
	// Daemons returns the number of daemons that accept requests, including this one.
	Daemons() int
	// Suspect reports that a daemon could not be reached.
	Suspect(name string)
}

// Paths tells which back ends this daemon reaches. No method but Credible blocks.
type Paths interface {
	// Direct reports whether a request to an address is sent there by this daemon itself. It is called
	// once for each request.
	Direct(address string) bool
	// Bypassed reports whether it is the path of this daemon to an address that has failed, and not the
	// back end.
	Bypassed(address string) bool
	// CutOffSince returns since when this daemon has been cut off from all back ends; zero: it is not.
	CutOffSince() time.Time
	// Credible reports whether this daemon's failure to reach a back end, in an attempt that began at
	// started, says something about that back end. It may block for a fraction of a second.
	Credible(ctx context.Context, started time.Time) bool
	// RecordBypass records whether another daemon reached an address for this one.
	RecordBypass(address string, reached bool)
}

// allPaths implements Paths for a daemon without another way to the back ends.
type allPaths struct{}

func (allPaths) Direct(string) bool                       { return true }
func (allPaths) Bypassed(string) bool                     { return false }
func (allPaths) CutOffSince() time.Time                   { return time.Time{} }
func (allPaths) Credible(context.Context, time.Time) bool { return true }
func (allPaths) RecordBypass(string, bool)                {}

// Relay sends requests to back ends through other daemons.
type Relay interface {
	// HasPeers reports whether there are other daemons, and Available whether one may be asked now.
	// They must not block.
	HasPeers() bool
	Available() bool
	// Do sends a request; see relay.Client.
	Do(ctx context.Context, key backend.Key, rewindable bool, build func() *http.Request) (*relay.Response, error)
	// CheckLiveness returns the liveness of a back end as another daemon sees it, and false if none can
	// tell. It blocks for less than a second.
	CheckLiveness(ctx context.Context, key backend.Key) (backend.Liveness, bool)
}

// Options configure a Handler.
type Options struct {
	Name     string // of the daemon
	Zone     string // of the daemon
	Network  network.Network
	Services *service.Registry
	Peers    Peers
	// Configured reports whether the configuration and, if it is separate, the directory of back ends
	// have been read. It must not block. nil: they have.
	Configured func() bool
	Slots      *slots.Client // requests permits from other daemons
	Operations *operation.Claimer
	// Paths tells which back ends this daemon reaches; nil: all. Relay reaches the others; it must be set
	// if Paths is.
	Paths Paths
	Relay Relay
	// Quarantine keeps requests that crash back ends from other back ends; nil: it is disabled.
	Quarantine Quarantine
	// Signals observes the signals that back ends send with their responses; nil: they are ignored.
	Signals signals.Listener
	Log     *slog.Logger
	Metrics tally.Scope
	// LogDecisions reports whether each routing decision and each answered request is logged; nil:
	// none is. It must not block.
	LogDecisions func() bool
	// Dialect defines the header names that callers and back ends use.
	Dialect backend.Dialect
}

// Handler serves requests of callers. ForwardedHandler serves requests that other daemons forward.
type Handler struct {
	options        Options
	log            *slog.Logger
	routing        *slog.Logger
	outcomes       *slog.Logger // for answered requests
	metrics        *metrics
	sequence       atomic.Uint64
	inFlight       atomic.Int64
	splitPhase     float64 // random offset in the rotation by which routes split requests
	upgraded       sync.WaitGroup
	forwardClients *forwardClients
	patience       patience
	heldBytes      atomic.Int64 // of bodies
	uploads        uploads
	slowReaders    slowReaders
	shortage       shortage
	stop           atomic.Pointer[stop] // nil: the daemon does not stop
	// ending is done when the daemon gives up all requests, which end does.
	ending context.Context
	end    context.CancelFunc
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	if options.Configured == nil {
		options.Configured = func() bool { return true }
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	if options.Paths == nil {
		options.Paths, options.Relay = allPaths{}, noRelay{}
	}
	if options.Signals == nil {
		options.Signals = signals.NopListener{}
	}
	if options.LogDecisions == nil {
		options.LogDecisions = func() bool { return false }
	}
	h := &Handler{
		options:        options,
		log:            logging.Component(options.Log, "frontend"),
		routing:        logging.Routine(logging.Component(options.Log, "routing")),
		outcomes:       logging.Routine(logging.Component(options.Log, "frontend")),
		metrics:        newMetrics(options.Metrics),
		forwardClients: newForwardClients(options.Network),
		splitPhase:     rand.Float64(),
	}
	h.ending, h.end = context.WithCancel(context.Background())
	// The sequence starts at the current time, so that request ids stay unique after a restart under
	// the same name.
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
	// Only daemons may set these headers.
	r.Header.Del(HeaderForwardedBy)
	r.Header.Del(HeaderFingerprint)
	r.Header.Del(HeaderBroadFingerprint)
	r.Header.Del(HeaderCaller)
	if h.refuseOverLimits(w, r) {
		return
	}
	h.serve(w, r, false)
}

// HasSpareCapacity reports whether capacity was not short recently. It does not block.
func (h *Handler) HasSpareCapacity() bool {
	return !h.shortage.lasts(time.Now())
}

// Repeatable reports whether a request may be served twice, because its policy allows it to be sent
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

// RefuseAmbiguous rejects a request whose header could be interpreted in two ways.
func (h *Handler) RefuseAmbiguous(w http.ResponseWriter, r *http.Request, cause error) {
	h.respondFailure(w, h.requestID(r.Header), &resultcode.Failure{Code: resultcode.AmbiguousRequest, Detail: cause.Error()})
}

// ForwardedHandler returns a handler for requests that other daemons forward.
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
		h.refuseUnread(w, r, id, failure)
		return
	}
	held, failure := h.holdBody(w, c)
	defer held.release()
	if failure != nil {
		h.refuseBody(w, r, id, failure)
		return
	}
	c.setFingerprints()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	// This deadline applies to the start of the response; see responseDeadline for the rest.
	timer := time.AfterFunc(time.Until(c.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	defer h.endWith(cancel)()
	w = c.stream(w)
	defer c.streamed.End()
	defer c.streamed.EndWith(ctx)()
	a := &attempter{handler: h, call: c, writer: w, deadline: timer, cancel: cancel, endUpload: func() {}, endExchange: func() {}}
	a.serve(ctx)
	c.streamed.Finish()
}

// serve answers the call.
func (a *attempter) serve(ctx context.Context) {
	h, c := a.handler, a.call
	// A request that crashes back ends is kept from further ones, whichever daemon receives it. Without
	// this, one request crashed 81 back ends in 20 s (TestCrashingRequestIsQuarantined).
	if refused := h.options.Quarantine.Check(c.fingerprints); refused != nil {
		a.respondFailure(refused)
		return
	}
	if failure := a.beginUpload(ctx); failure != nil {
		a.respondFailure(failure)
		return
	}
	defer a.endUpload()
	if c.decision.Once {
		a.runOnce(ctx)
		return
	}
	if c.service.Target().Service.Forward && a.forward(ctx) {
		return
	}
	a.run(ctx)
}

// notConfiguredRetryAfter is when a caller may retry at a daemon that has just started.
const notConfiguredRetryAfter = 250 * time.Millisecond

// admit authenticates the caller, selects the service of the request and creates a call.
func (h *Handler) admit(r *http.Request, id string, forwarded bool) (*call, *resultcode.Failure) {
	if h.options.Services.Snapshot() == nil || !h.options.Configured() {
		return nil, &resultcode.Failure{Code: resultcode.NotConfigured, Detail: "configuration and back ends have not all been read yet", RetryAfter: notConfiguredRetryAfter}
	}
	route, ok := h.options.Services.Match(r.Host, r.URL.Path)
	if !ok {
		return nil, &resultcode.Failure{Code: resultcode.NoService, Detail: "host " + r.Host + ", path " + r.URL.Path}
	}
	snapshot := h.options.Services.Snapshot()
	caller, failure := identifyCaller(snapshot, r, route, forwarded)
	if failure != nil {
		return nil, failure
	}
	name := route.NextTarget(h.splitPhase).Service.Name
	svc, ok := h.options.Services.Find(name)
	if !ok {
		return nil, &resultcode.Failure{Code: resultcode.NoService, Detail: "service " + name}
	}
	c, failure := h.newCall(r, id, route, svc, caller)
	if failure != nil {
		return nil, failure
	}
	c.forwarded, c.tenantsDeclared = forwarded, snapshot.HasTenants()
	return c, h.fitIntoStop(c)
}

// identifyCaller returns the caller of a request. A daemon that does not know the tenant of a
// forwarded request has a stale configuration: it refuses the request, and the daemon that forwarded
// it serves it.
func identifyCaller(snapshot *config.Snapshot, r *http.Request, route *config.CompiledRoute, forwarded bool) (identity.Caller, *resultcode.Failure) {
	if forwarded {
		caller, known := identity.IdentifyForwarded(snapshot, r.Header.Get(HeaderCaller))
		if !known {
			return identity.Caller{}, &resultcode.Failure{Code: resultcode.NotConfigured, Detail: "the tenant is not known yet", RetryAfter: notConfiguredRetryAfter}
		}
		return caller, nil
	}
	caller, err := identity.Identify(snapshot, r.Header, route.Public)
	return caller, resultcode.AsFailure(err, resultcode.Unauthorized)
}
