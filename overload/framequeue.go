package overload

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// frameQueue limits the cost of the frames that are read in a second. Reads that wait are admitted in the order of weighted fair
// queueing, with the connections as flows: those of connections that have used little, and read little, go first. It is safe for
// concurrent use.
type frameQueue struct {
	perSecond float64
	burst     float64

	mutex    sync.Mutex
	budget   float64
	filledAt time.Time
	virtual  float64 // virtual time: the least start tag of the reads that wait, or the last one
	arrivals uint64
	waiting  waitingReads
	timer    *time.Timer // admits the next read; nil: none was ever made
}

const (
	// framesBurst is the time for which frames may be read at once after a pause.
	framesBurst = 100 * time.Millisecond
	// minReadCost is what a read counts for at least in the order: a connection that reads many small frames would otherwise go before
	// one that reads a request.
	minReadCost = 8
)

// newFrameQueue returns a queue that admits frames of this cost in a second.
func newFrameQueue(perSecond float64) *frameQueue {
	burst := max(perSecond*framesBurst.Seconds(), 1)
	return &frameQueue{perSecond: perSecond, burst: burst, budget: burst, filledAt: time.Now()}
}

// await waits until a read of this cost is admitted, or ctx ends.
func (q *frameQueue) await(ctx context.Context, c *Connection, cost int, weight float64) {
	read := q.add(c, float64(cost), weight)
	if read == nil {
		return
	}
	select {
	case <-read.admitted:
	case <-ctx.Done():
		q.remove(read)
	}
}

// add admits a read or makes it wait; nil: it was admitted.
func (q *frameQueue) add(c *Connection, cost, weight float64) *waitingRead {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	start := max(q.virtual, c.finishTag)
	c.finishTag = start + max(cost, minReadCost)/weight
	q.fill(time.Now())
	if len(q.waiting) == 0 && q.fits(cost) {
		q.admit(start, cost)
		return nil
	}
	q.arrivals++
	read := &waitingRead{start: start, finish: c.finishTag, arrival: q.arrivals, cost: cost, admitted: make(chan struct{})}
	heap.Push(&q.waiting, read)
	q.scheduleNext()
	return read
}

// remove removes a read that is given up.
func (q *frameQueue) remove(read *waitingRead) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if read.index >= 0 {
		heap.Remove(&q.waiting, read.index)
	}
}

// fits reports whether the budget suffices. A cost above the burst is admitted with a full budget, which it overdraws.
func (q *frameQueue) fits(cost float64) bool {
	return q.budget >= min(cost, q.burst)
}

// admit admits a read that does not wait any more.
func (q *frameQueue) admit(start, cost float64) {
	q.budget -= cost
	for _, read := range q.waiting {
		start = min(start, read.start)
	}
	q.virtual = max(q.virtual, start)
}

func (q *frameQueue) fill(now time.Time) {
	q.budget = min(q.budget+q.perSecond*now.Sub(q.filledAt).Seconds(), q.burst)
	q.filledAt = now
}

// scheduleNext sets the timer for the first read that waits.
func (q *frameQueue) scheduleNext() {
	if len(q.waiting) == 0 {
		return
	}
	missing := min(q.waiting[0].cost, q.burst) - q.budget
	// A nanosecond more, as the division is rounded.
	delay := time.Duration(missing/q.perSecond*float64(time.Second)) + 1
	if q.timer == nil {
		q.timer = time.AfterFunc(delay, q.admitNext)
		return
	}
	q.timer.Reset(delay)
}

// admitNext admits the reads that the budget suffices for, in order.
func (q *frameQueue) admitNext() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.fill(time.Now())
	for len(q.waiting) > 0 && q.fits(q.waiting[0].cost) {
		read := heap.Pop(&q.waiting).(*waitingRead)
		q.admit(read.start, read.cost)
		close(read.admitted)
	}
	q.scheduleNext()
}

// waitingRead is a read that waits to be admitted.
type waitingRead struct {
	start    float64
	finish   float64
	arrival  uint64 // breaks ties
	cost     float64
	index    int // in the heap; -1: admitted or removed
	admitted chan struct{}
}

// waitingReads is a heap of reads, that with the least finish tag first.
type waitingReads []*waitingRead

func (w waitingReads) Len() int { return len(w) }

func (w waitingReads) Less(i, j int) bool {
	if w[i].finish != w[j].finish {
		return w[i].finish < w[j].finish
	}
	return w[i].arrival < w[j].arrival
}

func (w waitingReads) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waitingReads) Push(added any) {
	read := added.(*waitingRead)
	read.index = len(*w)
	*w = append(*w, read)
}

// Pop implements heap.Interface.
func (w *waitingReads) Pop() any {
	last := len(*w) - 1
	read := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	read.index = -1
	return read
}
