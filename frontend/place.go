package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/dispatch"
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
			granted, err := a.handler.options.Slots.Acquire(ctx, dispatcher.PeerAddress, c.service.Name(), request)
			if !errors.Is(err, slots.ErrUnreachable) {
				return placeOf(granted), resultcode.AsFailure(err, resultcode.NoBackend)
			}
			a.handler.options.Peers.Suspect(dispatcher.Name)
			a.handler.log.Warn("dispatcher unreachable", "request", c.id, "service", c.service.Name(), "dispatcher", dispatcher.Name, "error", err)
		}
	}
	grant, err := c.service.Dispatcher.Acquire(ctx, request)
	if err != nil {
		return nil, resultcode.AsFailure(err, resultcode.NoBackend)
	}
	return a.ownPlace(grant), nil
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

// placeOf is a place that another daemon gave; nil where it gave none.
func placeOf(grant *slots.Grant) *place {
	if grant == nil {
		return nil
	}
	return &place{
		backend: grant.Backend, reason: grant.Reason, candidates: grant.Candidates, reportAge: grant.ReportAge,
		waited: grant.Waited, sent: time.Now(), done: grant.Done,
	}
}
