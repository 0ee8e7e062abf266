package frontend

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/slots"
)

// grantedPermit is a permit for one request to a back end, granted by this daemon or another one.
type grantedPermit struct {
	backend    string // id
	dispatcher string // name of the daemon that granted it
	kind       retry.Kind
	reason     routing.Reason
	candidates int
	reportAge  time.Duration
	waited     time.Duration
	started    int64         // start time of the back end's run that this daemon knows
	hedgeAfter time.Duration // after sent; 0: no hedge for slowness
	// disturbed is closed when it is known that the back end was disturbed as the request reached it;
	// nil: this is not tracked.
	disturbed <-chan struct{}
	// mayBeSilent: the back end may be full and not answer, so that a second attempt may wait.
	mayBeSilent bool
	sent        time.Time
	// relayed tells that the request was sent through another daemon, via names it once it has
	// responded, and cutOffFor is how long this daemon had been cut off from all back ends; 0: it was not.
	relayed   bool
	via       string
	cutOffFor time.Duration
	done      func(outcome routing.Outcome, latency time.Duration, report *routing.Report)
}

// permitRequest returns the request for a permit for the next attempt. wait is the maximum time in
// the queue; 0: until the deadline.
func (c *call) permitRequest(wait time.Duration, daemon, zone string) dispatch.Request {
	return dispatch.Request{
		Weight: c.decision.Weight, Wait: wait, Deadline: c.deadline, FirstTry: c.firstTry,
		Class: namedClass(c.decision.Class), Objective: c.decision.Objective, Fingerprints: c.fingerprints, Daemon: daemon, Tenant: c.caller.TenantName(),
		Routing: routing.Request{Session: c.decision.Session, Tried: slices.Clone(c.tried), Repeatable: c.decision.Retry, Zone: zone},
	}
}

// namedClass returns the class that a policy names; empty: the default class. Requests of the default
// class may take any time. No latencies are learned for them, so that none is refused because of how
// long others take.
func namedClass(class string) string {
	if class == policy.DefaultClass {
		return ""
	}
	return class
}

// maxUnusablePermits is the number of permits that this daemon must not use after which it decides by itself instead of
// asking the dispatcher.
const maxUnusablePermits = 2

// acquirePermit acquires a permit that this daemon may use for an attempt. The daemon that granted a permit may not know
// yet that the back end is draining or has asked this daemon for a pause, which may also have happened while the request
// was queued. The error is service.ErrOverBudget or a *resultcode.Failure. It blocks for as long as the request may wait.
func (a *attempter) acquirePermit(ctx context.Context, kind retry.Kind, request dispatch.Request) (*grantedPermit, error) {
	var excluded []routing.Exclusion
	chargedKind := kind
	for unused := 0; ; unused++ {
		request.Routing.Excluded = append(a.call.service.Exclusions(), excluded...)
		permit, err := a.requestPermit(ctx, chargedKind, request, unused < maxUnusablePermits)
		if err != nil {
			return nil, err
		}
		ineligible := a.call.service.IneligibleReason(permit.backend)
		if ineligible == "" {
			permit.kind = kind
			return permit, nil
		}
		permit.done(routing.Canceled, 0, nil)
		a.handler.log.Info("permit not used", "request", a.call.id, "service", a.call.service.Name(), "dispatcher", permit.dispatcher,
			"backend", permit.backend, "reason", ineligible)
		if unused == maxUnusablePermits || kind == retry.Hedge {
			return nil, &resultcode.Failure{
				Code: resultcode.NoBackend, Detail: "back end " + permit.backend + ": " + ineligible, RetryAfter: dispatch.RetryAfterRefusal(permit.waited),
			}
		}
		excluded = append(excluded, routing.Exclusion{Backend: permit.backend})
		chargedKind = retry.Redial // the attempt has already been charged to the retry budget
	}
}

// requestPermit acquires a permit from the dispatcher if useDispatcher is set, else from this daemon's own state of the
// back ends.
func (a *attempter) requestPermit(ctx context.Context, kind retry.Kind, request dispatch.Request, useDispatcher bool) (*grantedPermit, error) {
	if !useDispatcher {
		return a.acquireLocally(ctx, service.AsFallback(a.handler.options.Peers.Daemons()), kind, request)
	}
	return a.acquireFromDispatcher(ctx, kind, request)
}

// acquireFromDispatcher acquires a permit from the dispatcher of the service, or from this daemon if
// it is the dispatcher, the service is direct or the dispatcher cannot be reached. It blocks for as
// long as the request may wait. The error is service.ErrOverBudget or a *resultcode.Failure. For a
// hedge it is called concurrently with the first attempt.
func (a *attempter) acquireFromDispatcher(ctx context.Context, kind retry.Kind, request dispatch.Request) (*grantedPermit, error) {
	c := a.call
	peers := a.handler.options.Peers
	if c.service.Target().Service.Direct {
		return a.acquireLocally(ctx, service.AsIndependent(peers.Daemons()), kind, request)
	}
	dispatcher, isOther := peers.DispatcherOf(c.service.Name())
	for asked := 0; isOther && !c.forwarded; asked++ {
		permit, err := a.askDispatcher(ctx, dispatcher, kind, request)
		if permit != nil || err != nil {
			return permit, err
		}
		// Dispatchers count the requests of tenants with a rate. The next dispatcher is asked before
		// this daemon uses its own small share of the rate.
		previous := dispatcher.Name
		dispatcher, isOther = peers.DispatcherOf(c.service.Name())
		if !c.caller.RateLimited() || asked == maxFurtherDispatchers || isOther && dispatcher.Name == previous {
			return a.acquireLocally(ctx, service.AsFallback(peers.Daemons()), kind, request)
		}
	}
	return a.acquireLocally(ctx, service.AsDispatcher(), kind, request)
}

// maxFurtherDispatchers is how many more dispatchers are asked after one that is unreachable or stale.
const maxFurtherDispatchers = 1

// acquireLocally acquires a permit from this daemon's own state of the back ends.
func (a *attempter) acquireLocally(ctx context.Context, grantor service.Grantor, kind retry.Kind, request dispatch.Request) (*grantedPermit, error) {
	grant, err := a.call.service.Acquire(ctx, grantor, kind, request)
	if err != nil {
		a.recordRefusal(kind, a.handler.options.Name)
		return nil, err
	}
	return a.localPermit(grant, kind), nil
}

// askDispatcher requests a permit from another daemon. It returns neither a permit nor an error if
// this daemon must decide by itself, because the dispatcher is unreachable or has a stale
// configuration.
func (a *attempter) askDispatcher(ctx context.Context, dispatcher membership.Member, kind retry.Kind, request dispatch.Request) (*grantedPermit, error) {
	c := a.call
	grant, err := a.handler.options.Slots.Acquire(ctx, dispatcher.PeerAddress, c.service.Name(), kind, request)
	switch {
	case errors.Is(err, slots.ErrUnreachable):
		a.handler.options.Peers.Suspect(dispatcher.Name)
		a.logDispatcherFailure(slog.LevelWarn, "dispatcher unreachable; deciding without it", dispatcher, slog.Any("error", err))
		return nil, nil
	case errors.Is(err, slots.ErrStaleDispatcher):
		a.logDispatcherFailure(slog.LevelInfo, "dispatcher has stale configuration; deciding without it", dispatcher, slog.Any("error", err))
		return nil, nil
	case err != nil:
		a.recordRefusal(kind, dispatcher.Name)
		return nil, err
	}
	c.service.Dispatcher.SetConcurrencyHint(grant.Backend, grant.BestInFlight)
	return remotePermit(grant, kind, dispatcher.Name), nil
}

// recordRefusal records which daemon refused a permit, to be logged with the outcome of the call. The
// refusal of a hedge does not affect the outcome and is not recorded.
func (a *attempter) recordRefusal(kind retry.Kind, dispatcher string) {
	if kind != retry.Hedge {
		a.call.refusedBy = dispatcher
	}
}

// logDispatcherFailure logs why a dispatcher did not decide on a request.
func (a *attempter) logDispatcherFailure(level slog.Level, message string, dispatcher membership.Member, cause slog.Attr) {
	a.handler.log.LogAttrs(context.Background(), level, message, slog.String("request", a.call.id),
		slog.String("service", a.call.service.Name()), slog.String("dispatcher", dispatcher.Name), cause)
}

// localPermit returns the permit of a grant by this daemon.
func (a *attempter) localPermit(grant *dispatch.Grant, kind retry.Kind) *grantedPermit {
	var disturbed chan struct{}
	if grant.Followed {
		disturbed = make(chan struct{})
		grant.OnDisturbed(func() { close(disturbed) })
	}
	return &grantedPermit{
		disturbed: disturbed, mayBeSilent: grant.MayBeSilent,
		backend: grant.Backend.ID, dispatcher: a.handler.options.Name, kind: kind, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited(), hedgeAfter: grant.HedgeAfter, sent: grant.GrantedAt, done: grant.Done,
	}
}

// remotePermit returns the permit of a grant by another daemon.
func remotePermit(grant *slots.Grant, kind retry.Kind, dispatcher string) *grantedPermit {
	return &grantedPermit{
		disturbed: grant.Disturbed, mayBeSilent: grant.MayBeSilent,
		backend: grant.Backend, dispatcher: dispatcher, kind: kind, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited, hedgeAfter: grant.HedgeAfter, sent: time.Now(), done: grant.Done,
	}
}
