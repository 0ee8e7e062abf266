package simulation

import (
	"time"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/lab/weighted"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// arrivals schedules the next arrival, which schedules the one after it.
func (s *simulation) arrivals() {
	rate := s.result.Capacity * s.scenario.Load
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		s.arrive()
		s.arrivals()
	})
}

func (s *simulation) arrive() {
	daemon := s.random.IntN(s.scenario.Daemons)
	class := s.pickClass()
	deadline := class.Deadline
	if deadline == 0 {
		deadline = 10 * time.Second
	}
	r := &request{
		class: class, zone: daemon % s.scenario.Zones, begun: s.now, deadline: s.time().Add(deadline),
		work: time.Duration(s.random.ExpFloat64() * float64(s.scenario.Work)),
	}
	if s.counted(r) {
		s.result.Offered++
		s.result.ClassSent[class.Name]++
	}
	if s.system.CentralQueue {
		s.central = append(s.central, r)
		s.serveCentral()
		return
	}
	r.node = s.deciding(daemon)
	if s.system.Dispatchers == 0 {
		s.after(s.scenario.HopCost, func() { s.offer(r) })
		return
	}
	s.after(s.scenario.HopCost+s.wire(r.zone, r.node.zone)+s.scenario.HopCost, func() { s.offer(r) })
}

func (s *simulation) pickClass() Class {
	return weighted.Draw(s.random, s.scenario.Classes, func(class Class) float64 { return class.Share })
}

// deciding returns the node that decides for a daemon.
func (s *simulation) deciding(daemon int) *node {
	return s.nodes[daemon%len(s.nodes)]
}

func (s *simulation) counted(r *request) bool {
	return r.begun >= s.scenario.WarmUp
}

// offer asks the node for a place.
func (s *simulation) offer(r *request) {
	decision := r.node.core.Offer(s.time(), s.dispatchRequest(r), r)
	if decision.Displaced != nil {
		s.refuse(decision.Displaced.(*request))
	}
	switch {
	case decision.Permit != nil:
		s.send(r, decision.Permit)
	case decision.Ticket == nil:
		s.refuse(r)
	default:
		s.after(decision.Ticket.Expiry.Sub(s.time()), func() {
			if r.node.core.Queue.Remove(decision.Ticket) {
				s.refuse(r)
			}
		})
	}
}

func (s *simulation) dispatchRequest(r *request) dispatch.Request {
	return dispatch.Request{Weight: r.class.Weight, Deadline: r.deadline, Routing: routing.Request{Tried: r.tried, Repeatable: true}}
}

func (s *simulation) refuse(r *request) {
	if r.ran {
		s.result.RefusedAfterRun++
	}
	if s.counted(r) {
		s.result.Refused++
	}
}

// send sends the request to the back end of its place.
func (s *simulation) send(r *request, place *dispatch.Permit) {
	target := s.byID[place.Backend.ID]
	target.assigned++
	r.attempts++
	if r.attempts == 1 {
		r.node.budget.Earn()
	}
	r.tried = append(r.tried, target.id)
	if s.counted(r) {
		s.result.Attempts++
	}
	s.noteSent(target)
	s.after(s.toTarget(r, target), func() {
		if target.rejects {
			target.assigned--
			s.after(s.backToNode(r, target), func() { s.rejected(r, place) })
			return
		}
		target.arrive(r.work, func() {
			r.ran = true
			load := target.inFlight()
			if s.system.Permits {
				s.after(s.wire(target.zone, r.zone), func() { s.record(r) })
			}
			s.after(s.backToNode(r, target), func() { s.answered(r, place, load) })
		})
	})
}

// toTarget is how long it takes from the decision until the request is at the back
// end: with places, the decision first travels to the request's own daemon.
func (s *simulation) toTarget(r *request, target *worker) time.Duration {
	if s.system.Permits {
		return s.wire(r.node.zone, r.zone) + s.scenario.HopCost + s.wire(r.zone, target.zone)
	}
	return s.wire(r.node.zone, target.zone)
}

// backToNode is how long it takes until the deciding node knows of an answer: with
// places, the request's own daemon tells it.
func (s *simulation) backToNode(r *request, target *worker) time.Duration {
	if s.system.Permits {
		return s.wire(target.zone, r.zone) + s.wire(r.zone, r.node.zone)
	}
	return s.wire(target.zone, r.node.zone)
}

// answered takes in an answer at the node.
func (s *simulation) answered(r *request, place *dispatch.Permit, load int) {
	now := s.time()
	r.node.core.Done(now, place, routing.Success, now.Sub(place.GrantedAt))
	if s.system.LoadReports {
		r.node.core.RecordReport(now, place.Backend, routing.Report{InFlight: load})
	}
	s.serve(r.node)
	if s.system.Permits {
		return // recorded when the answer came to the request's own daemon
	}
	wait := time.Duration(0)
	if s.system.Dispatchers > 0 {
		wait = s.wire(r.node.zone, r.zone)
	}
	s.after(wait, func() { s.record(r) })
}

// rejected takes in a refusal at the node and tries another back end.
func (s *simulation) rejected(r *request, place *dispatch.Permit) {
	now := s.time()
	r.node.core.Done(now, place, routing.Unserved, 0)
	s.serve(r.node)
	verdict := retry.Decide(retry.Attempt{
		Code: resultcode.BackendRefused, Number: r.attempts, Rewindable: true, Remaining: r.deadline.Sub(now), UntriedBackends: len(s.workers) - len(r.tried),
	}, &r.node.budget)
	if verdict == retry.Allowed {
		s.offer(r)
		return
	}
	if s.counted(r) {
		s.result.Failed++
	}
}

// serve gives places to the node's waiting requests.
func (s *simulation) serve(n *node) {
	for {
		place, payload := n.core.Next(s.time())
		if place == nil {
			return
		}
		s.send(payload.(*request), place)
	}
}

// serveCentral gives free slots to the one queue, wherever they are.
func (s *simulation) serveCentral() {
	for len(s.central) > 0 {
		var free *worker
		for _, one := range s.workers {
			if len(one.running) < one.slots {
				free = one
				break
			}
		}
		if free == nil {
			return
		}
		r := s.central[0]
		s.central = s.central[1:]
		s.noteSent(free)
		free.assigned++
		free.arrive(r.work, func() {
			wires := s.wire(r.zone, free.zone) * 2
			s.after(wires, func() { s.record(r) })
			s.after(0, s.serveCentral)
		})
	}
}
