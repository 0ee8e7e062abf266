package simulation

import (
	"time"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/lab/weighted"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// scheduleArrival schedules the next arrival, which schedules the one after it.
func (s *simulation) scheduleArrival() {
	rate := s.result.Capacity * s.scenario.Load
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		s.arrive()
		s.scheduleArrival()
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
		class: class, zone: daemon % s.scenario.Zones, arrivedAt: s.now, deadline: s.time().Add(deadline),
		work: time.Duration(s.random.ExpFloat64() * float64(s.scenario.Work)),
	}
	if s.measured(r) {
		s.result.Offered++
		s.result.ClassSent[class.Name]++
	}
	if s.system.CentralQueue {
		s.centralQueue = append(s.centralQueue, r)
		s.serveCentralQueue()
		return
	}
	r.decider = s.deciderOf(daemon)
	if s.system.Dispatchers == 0 {
		s.after(s.scenario.HopCost, func() { s.offer(r) })
		return
	}
	s.after(s.scenario.HopCost+s.messageDelay(r.zone, r.decider.zone)+s.scenario.HopCost, func() { s.offer(r) })
}

func (s *simulation) pickClass() Class {
	return weighted.Draw(s.random, s.scenario.Classes, func(class Class) float64 { return class.Share })
}

// deciderOf returns the decider of a daemon.
func (s *simulation) deciderOf(daemon int) *decider {
	return s.deciders[daemon%len(s.deciders)]
}

// measured reports whether a request arrived after the warm-up.
func (s *simulation) measured(r *request) bool {
	return r.arrivedAt >= s.scenario.WarmUp
}

// offer asks the decider for a permit.
func (s *simulation) offer(r *request) {
	decision := r.decider.core.Offer(s.time(), s.dispatchRequest(r), r)
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
			if r.decider.core.Queue.Remove(decision.Ticket) {
				s.refuse(r)
			}
		})
	}
}

func (s *simulation) dispatchRequest(r *request) dispatch.Request {
	return dispatch.Request{Weight: r.class.Weight, Deadline: r.deadline, Routing: routing.Request{Tried: r.tried, Repeatable: true}}
}

func (s *simulation) refuse(r *request) {
	if r.executed {
		s.result.RefusedAfterRun++
	}
	if s.measured(r) {
		s.result.Refused++
	}
}

// send sends the request to the back end of its permit.
func (s *simulation) send(r *request, permit *dispatch.Permit) {
	target := s.byID[permit.Backend.ID]
	target.assigned++
	r.attempts++
	if r.attempts == 1 {
		r.decider.budget.Earn()
	}
	r.tried = append(r.tried, target.id)
	if s.measured(r) {
		s.result.Attempts++
	}
	s.recordSent(target)
	s.after(s.delayToBackend(r, target), func() {
		if target.rejectsAll {
			target.assigned--
			s.after(s.delayToDecider(r, target), func() { s.handleRejection(r, permit) })
			return
		}
		target.arrive(r.work, func() {
			r.executed = true
			load := target.inFlight()
			if s.system.Permits {
				s.after(s.messageDelay(target.zone, r.zone), func() { s.recordAnswer(r) })
			}
			s.after(s.delayToDecider(r, target), func() { s.handleAnswer(r, permit, load) })
		})
	})
}

// delayToBackend returns the time from the decision until the request arrives at the
// back end. With permits, the permit first travels to the daemon that got the request.
func (s *simulation) delayToBackend(r *request, target *worker) time.Duration {
	if s.system.Permits {
		return s.messageDelay(r.decider.zone, r.zone) + s.scenario.HopCost + s.messageDelay(r.zone, target.zone)
	}
	return s.messageDelay(r.decider.zone, target.zone)
}

// delayToDecider returns the time from a response until the decider learns of it. With
// permits, the daemon that got the request reports it.
func (s *simulation) delayToDecider(r *request, target *worker) time.Duration {
	if s.system.Permits {
		return s.messageDelay(target.zone, r.zone) + s.messageDelay(r.zone, r.decider.zone)
	}
	return s.messageDelay(target.zone, r.decider.zone)
}

// handleAnswer processes a response at the decider.
func (s *simulation) handleAnswer(r *request, permit *dispatch.Permit, load int) {
	now := s.time()
	r.decider.core.Done(now, permit, routing.Success, now.Sub(permit.GrantedAt))
	if s.system.LoadReports {
		r.decider.core.RecordReport(now, permit.Backend, routing.Report{InFlight: load})
	}
	s.serveWaiting(r.decider)
	if s.system.Permits {
		return // recorded when the response reached the daemon that got the request
	}
	delay := time.Duration(0)
	if s.system.Dispatchers > 0 {
		delay = s.messageDelay(r.decider.zone, r.zone)
	}
	s.after(delay, func() { s.recordAnswer(r) })
}

// handleRejection processes a rejection at the decider and retries at another back end.
func (s *simulation) handleRejection(r *request, permit *dispatch.Permit) {
	now := s.time()
	r.decider.core.Done(now, permit, routing.Unserved, 0)
	s.serveWaiting(r.decider)
	verdict := retry.Decide(retry.Attempt{
		Code: resultcode.BackendRefused, Number: r.attempts, Rewindable: true, Remaining: r.deadline.Sub(now), UntriedBackends: len(s.workers) - len(r.tried),
	}, &r.decider.budget)
	if verdict == retry.Allowed {
		s.offer(r)
		return
	}
	if s.measured(r) {
		s.result.Failed++
	}
}

// serveWaiting sends the decider's queued requests for which there are permits.
func (s *simulation) serveWaiting(from *decider) {
	for {
		permit, payload := from.core.Next(s.time())
		if permit == nil {
			return
		}
		s.send(payload.(*request), permit)
	}
}

// serveCentralQueue assigns queued requests to free slots, in the order of the back ends.
// The delay between the zones does not affect the choice.
func (s *simulation) serveCentralQueue() {
	for len(s.centralQueue) > 0 {
		var free *worker
		for _, backend := range s.workers {
			if len(backend.running) < backend.slots {
				free = backend
				break
			}
		}
		if free == nil {
			return
		}
		r := s.centralQueue[0]
		s.centralQueue = s.centralQueue[1:]
		s.recordSent(free)
		free.assigned++
		free.arrive(r.work, func() {
			roundTrip := s.messageDelay(r.zone, free.zone) * 2
			s.after(roundTrip, func() { s.recordAnswer(r) })
			s.after(0, s.serveCentralQueue)
		})
	}
}
