package frontend

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// stop is the state of a handler whose daemon stops.
type stop struct {
	// end is when requests in progress are given up; zero: they may take any time.
	end time.Time
	// noticed: the balancer has had the time to send callers elsewhere.
	noticed bool
}

// stoppingRetryAfter is when a caller may retry at another daemon.
const stoppingRetryAfter = 50 * time.Millisecond

// BeginStop is called when the daemon begins to stop. The deadlines of new requests are moved up to end; zero: they are not.
func (h *Handler) BeginStop(end time.Time) {
	h.stop.Store(&stop{end: end})
}

// RefuseLate refuses requests from now on that may take longer than to the end of the stop. It is called once the balancer
// sends callers elsewhere.
func (h *Handler) RefuseLate() {
	if stopping := h.stop.Load(); stopping != nil {
		h.stop.Store(&stop{end: stopping.end, noticed: true})
	}
}

// EndRequests gives up all requests in progress, whose callers are answered.
func (h *Handler) EndRequests() {
	h.end()
}

// fitIntoStop moves the deadline of a new call up to the end of a stop, or returns a failure if there is too little time.
func (h *Handler) fitIntoStop(c *call) *resultcode.Failure {
	stopping := h.stop.Load()
	switch {
	case stopping == nil || stopping.end.IsZero() || !c.deadline.After(stopping.end):
		return nil
	case stopping.noticed:
		return stoppingFailure()
	}
	c.deadline = stopping.end
	return nil
}

// begunTooLate reports whether a call that has waited may not be sent any more: it must not be repeated, and what is left of a
// stop may be too short for it.
func (h *Handler) begunTooLate(c *call) bool {
	stopping := h.stop.Load()
	return stopping != nil && stopping.noticed && !stopping.end.IsZero() && !c.decision.Retry && !c.deadline.Before(stopping.end)
}

func stoppingFailure() *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.Stopping, Detail: "the request may take longer than the daemon has left", RetryAfter: stoppingRetryAfter}
}

// endWith cancels a request when the daemon gives up all requests. The function that it returns must be called.
func (h *Handler) endWith(cancel context.CancelCauseFunc) (release func() bool) {
	return context.AfterFunc(h.ending, func() { cancel(context.DeadlineExceeded) })
}
