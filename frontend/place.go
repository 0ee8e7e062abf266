package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/slots"
)

// place is a place at a back end, from this daemon's dispatcher or another's.
type place struct {
	backend    string // id
	reason     routing.Reason
	candidates int
	reportAge  time.Duration
	waited     time.Duration
	sent       time.Time
	done       func(outcome routing.Outcome, latency time.Duration, report *routing.Report)
}

// acquire gets a place for the next attempt: from the daemon that dispatches the
// service, or here if that is this one or it cannot be reached. It blocks for as
// long as wait allows; 0: until the deadline.
func (a *attempter) acquire(ctx context.Context, wait time.Duration) (*place, *resultcode.Failure) {
	c := a.call
	request := dispatch.Request{
		Weight: c.decision.Weight, Wait: wait, Deadline: c.deadline,
		Routing: routing.Request{Session: c.decision.Session, Tried: slices.Clone(c.tried), Repeatable: c.decision.Retry, Zone: a.handler.options.Zone},
	}
	if !c.forwarded && !c.service.Target().Service.Direct {
		dispatcher, other := a.handler.options.Peers.DispatcherOf(c.service.Name())
		if other {
			if chosen, failure, decided := a.ask(ctx, dispatcher, request); decided {
				return chosen, failure
			}
		}
	}
	grant, err := c.service.Dispatcher.Acquire(ctx, request)
	if err != nil {
		return nil, resultcode.AsFailure(err, resultcode.NoBackend)
	}
	return a.ownPlace(grant), nil
}

// ask asks another daemon for a place. decided is false where this daemon must
// choose by itself: the other one cannot be reached, or knows less than this one.
func (a *attempter) ask(ctx context.Context, dispatcher membership.Member, request dispatch.Request) (chosen *place, failure *resultcode.Failure, decided bool) {
	c := a.call
	granted, err := a.handler.options.Slots.Acquire(ctx, dispatcher.PeerAddress, c.service.Name(), request)
	switch {
	case errors.Is(err, slots.ErrUnreachable):
		a.handler.options.Peers.Suspect(dispatcher.Name)
		a.handler.log.Warn("dispatcher unreachable", "request", c.id, "service", c.service.Name(), "dispatcher", dispatcher.Name, "error", err)
		return nil, nil, false
	case errors.Is(err, slots.ErrBehind):
		a.handler.log.Info("dispatcher behind", "request", c.id, "service", c.service.Name(), "dispatcher", dispatcher.Name, "error", err)
		return nil, nil, false
	case err != nil:
		return nil, resultcode.AsFailure(err, resultcode.NoBackend), true
	case !c.service.Dispatcher.Takes(granted.Backend):
		// This daemon has heard that the back end leaves, or is gone.
		granted.Done(routing.Canceled, 0, nil)
		a.handler.log.Info("place not used", "request", c.id, "service", c.service.Name(), "dispatcher", dispatcher.Name, "backend", granted.Backend)
		return nil, nil, false
	}
	return placeOf(granted), nil, true
}

// ownPlace is a place that this daemon's own dispatcher gave.
func (a *attempter) ownPlace(grant *dispatch.Grant) *place {
	return &place{
		backend: grant.Backend.ID, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited(), sent: grant.Sent,
		done: func(outcome routing.Outcome, latency time.Duration, report *routing.Report) {
			if report != nil {
				a.call.service.Dispatcher.Report(grant.Backend, *report)
			}
			grant.Done(outcome, latency)
		},
	}
}

// placeOf is a place that another daemon gave.
func placeOf(grant *slots.Grant) *place {
	return &place{
		backend: grant.Backend, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited, sent: time.Now(), done: grant.Done,
	}
}
