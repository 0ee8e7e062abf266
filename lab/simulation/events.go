package simulation

import (
	"container/heap"
	"time"
)

// event is an action at a virtual time. Events of the same time run in the order in which
// they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock is the virtual time with the queue of pending events.
type clock struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// epoch is the time at which virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

func (c *clock) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + delay, sequence: c.sequence, action: action})
}

// runUntil runs all events up to the end, or until none is left.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
}
