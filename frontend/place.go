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

// place is a place at a back end, from this daemon's dispatcher or another's.
type place struct {
	backend    string // id
	dispatcher string // name of the daemon that gave it
	kind       retry.Kind
	reason     routing.Reason
	candidates int
	reportAge  time.Duration
	waited     time.Duration
	started    int64         // of the run of the back end, as this daemon knows it
	hedgeAfter time.Duration // after sent; 0: no second attempt for that
	// disturbed is closed when it is known that the back end was disturbed as the request
	// reached it; nil: that will not be told.
	disturbed <-chan struct{}
	sent      time.Time
	done      func(outcome routing.Outcome, latency time.Duration, report *routing.Report)
}

// wanted is the request for a place for the next attempt, which may wait so long for
// it; 0: until the deadline.
func (c *call) wanted(wait time.Duration, zone string) dispatch.Request {
	return dispatch.Request{
		Weight: c.decision.Weight, Wait: wait, Deadline: c.deadline, FirstTry: c.firstTry,
		Class: namedClass(c.decision.Class), Objective: c.decision.Objective, Fingerprints: c.fingerprints, Tenant: c.caller.Name(),
		Routing: routing.Request{Session: c.decision.Session, Tried: slices.Clone(c.tried), Repeatable: c.decision.Retry, Zone: zone},
	}
}

// namedClass returns the class that a policy names. Requests of the default class may take
// any time: nothing is learned of them, so that none is refused for what others take.
func namedClass(class string) string {
	if class == policy.DefaultClass {
		return ""
	}
	return class
}

// mostAsked is how often a place is asked for where this daemon must not use what it was given, before it chooses by
// itself.
const mostAsked = 2

// acquire gets a place for an attempt that this daemon may use. Who gave it may not know yet that the back end is
// leaving, or that it asked this daemon for a pause, also while the request waited. The error is service.ErrOverBudget,
// or a *resultcode.Failure. It blocks for as long as the request may wait.
func (a *attempter) acquire(ctx context.Context, kind retry.Kind, request dispatch.Request) (*place, error) {
	var unusable []routing.Exclusion
	paidAs := kind
	for asked := 0; ; asked++ {
		request.Routing.Excluded = append(a.call.service.Exclusions(), unusable...)
		chosen, err := a.placeFor(ctx, paidAs, request, asked < mostAsked)
		if err != nil {
			return nil, err
		}
		barred := a.call.service.IneligibleReason(chosen.backend)
		if barred == "" {
			chosen.kind = kind
			return chosen, nil
		}
		chosen.done(routing.Canceled, 0, nil)
		a.handler.log.Info("place not used", "request", a.call.id, "service", a.call.service.Name(), "dispatcher", chosen.dispatcher,
			"backend", chosen.backend, "reason", barred)
		if asked == mostAsked || kind == retry.Hedge {
			return nil, &resultcode.Failure{
				Code: resultcode.NoBackend, Detail: "back end " + chosen.backend + ": " + barred, RetryAfter: dispatch.RetryAfterRefusal(chosen.waited),
			}
		}
		unusable = append(unusable, routing.Exclusion{Backend: chosen.backend})
		paidAs = retry.Redial // what the attempt costs has been paid
	}
}

// placeFor gets a place for an attempt, from this daemon's own picture of the back ends unless others are asked.
func (a *attempter) placeFor(ctx context.Context, kind retry.Kind, request dispatch.Request, askOthers bool) (*place, error) {
	if !askOthers {
		return a.acquireHere(ctx, service.AsFallback(a.handler.options.Peers.Daemons()), kind, request)
	}
	return a.askForPlace(ctx, kind, request)
}

// askForPlace gets a place for an attempt: from the daemon that dispatches the service,
// or here if that is this one or it cannot be reached. It blocks for as long as the
// request may wait. The error is service.ErrOverBudget, or a *resultcode.Failure. A
// hedge calls it beside the attempt that is under way.
func (a *attempter) askForPlace(ctx context.Context, kind retry.Kind, request dispatch.Request) (*place, error) {
	c := a.call
	peers := a.handler.options.Peers
	if c.service.Target().Service.Direct {
		return a.acquireHere(ctx, service.AsIndependent(peers.Daemons()), kind, request)
	}
	dispatcher, other := peers.DispatcherOf(c.service.Name())
	for asked := 0; other && !c.forwarded; asked++ {
		chosen, err := a.ask(ctx, dispatcher, kind, request)
		if chosen != nil || err != nil {
			return chosen, err
		}
		// The requests of a tenant with a rate are counted by dispatchers: the next in line
		// is asked before this daemon serves it from what little it may let through itself.
		before := dispatcher.Name
		dispatcher, other = peers.DispatcherOf(c.service.Name())
		if !c.caller.Limited() || asked == furtherDispatchers || other && dispatcher.Name == before {
			return a.acquireHere(ctx, service.AsFallback(peers.Daemons()), kind, request)
		}
	}
	return a.acquireHere(ctx, service.AsDispatcher(), kind, request)
}

// furtherDispatchers is how many dispatchers are asked after one that could not be reached.
const furtherDispatchers = 1

// acquireHere gets a place from this daemon's own picture of the back ends.
func (a *attempter) acquireHere(ctx context.Context, as service.Grantor, kind retry.Kind, request dispatch.Request) (*place, error) {
	grant, err := a.call.service.Acquire(ctx, as, kind, request)
	if err != nil {
		a.noteRefusal(kind, a.handler.options.Name)
		return nil, err
	}
	return a.ownPlace(grant, kind), nil
}

// ask asks another daemon for a place. It returns neither a place nor an error where
// this daemon must choose by itself: the other one cannot be reached, or knows less
// than this one.
func (a *attempter) ask(ctx context.Context, dispatcher membership.Member, kind retry.Kind, request dispatch.Request) (*place, error) {
	c := a.call
	granted, err := a.handler.options.Slots.Acquire(ctx, dispatcher.PeerAddress, c.service.Name(), kind, request)
	switch {
	case errors.Is(err, slots.ErrUnreachable):
		a.handler.options.Peers.Suspect(dispatcher.Name)
		a.logAsked(slog.LevelWarn, "dispatcher unreachable", dispatcher, slog.Any("error", err))
		return nil, nil
	case errors.Is(err, slots.ErrStaleDispatcher):
		a.logAsked(slog.LevelInfo, "dispatcher behind", dispatcher, slog.Any("error", err))
		return nil, nil
	case err != nil:
		a.noteRefusal(kind, dispatcher.Name)
		return nil, err
	}
	c.service.Dispatcher.SetConcurrencyHint(granted.Backend, granted.BestInFlight)
	return placeOf(granted, kind, dispatcher.Name), nil
}

// noteRefusal keeps who refused a place, to be logged when the call ends. For a hedge
// that says nothing of how the call ends.
func (a *attempter) noteRefusal(kind retry.Kind, dispatcher string) {
	if kind != retry.Hedge {
		a.call.refusedBy = dispatcher
	}
}

// logAsked logs why what a dispatcher said was not followed.
func (a *attempter) logAsked(level slog.Level, message string, dispatcher membership.Member, why slog.Attr) {
	a.handler.log.LogAttrs(context.Background(), level, message, slog.String("request", a.call.id),
		slog.String("service", a.call.service.Name()), slog.String("dispatcher", dispatcher.Name), why)
}

// ownPlace is a place that this daemon's own dispatcher gave.
func (a *attempter) ownPlace(grant *dispatch.Grant, kind retry.Kind) *place {
	var disturbed chan struct{}
	if grant.Followed {
		disturbed = make(chan struct{})
		grant.OnDisturbed(func() { close(disturbed) })
	}
	return &place{
		disturbed: disturbed,
		backend:   grant.Backend.ID, dispatcher: a.handler.options.Name, kind: kind, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited(), hedgeAfter: grant.HedgeAfter, sent: grant.GrantedAt, done: grant.Done,
	}
}

// placeOf is a place that another daemon gave.
func placeOf(grant *slots.Grant, kind retry.Kind, dispatcher string) *place {
	return &place{
		disturbed: grant.Disturbed,
		backend:   grant.Backend, dispatcher: dispatcher, kind: kind, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited, hedgeAfter: grant.HedgeAfter, sent: time.Now(), done: grant.Done,
	}
}
