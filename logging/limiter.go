package logging

import (
	"sync"
	"time"
)

// Limiter limits the lines and bytes that a daemon logs per second. Routine lines, those of
// requests that succeeded, may only use the upper half of the available tokens, so that they
// are dropped first. It is safe for concurrent use.
type Limiter struct {
	lines, bytes bucket // guarded by mutex

	mutex      sync.Mutex
	dropped    map[string]int // lines by kind since the last call of TakeDropped
	hasDropped chan struct{}  // has capacity 1; signals that lines were dropped
}

// routineReserve is the fraction of a bucket that is reserved for lines that are not routine.
const routineReserve = 0.5

// NewLimiter returns a limiter whose buckets are full at now.
func NewLimiter(now time.Time, linesPerSecond, bytesPerSecond int) *Limiter {
	return &Limiter{
		lines: newBucket(now, linesPerSecond), bytes: newBucket(now, bytesPerSecond),
		dropped: make(map[string]int), hasDropped: make(chan struct{}, 1),
	}
}

// SetLimits changes the limits.
func (l *Limiter) SetLimits(now time.Time, linesPerSecond, bytesPerSecond int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines.setRate(now, linesPerSecond)
	l.bytes.setRate(now, bytesPerSecond)
}

// Allow reports whether a line may be written. If not, it counts the line as dropped.
func (l *Limiter) Allow(now time.Time, kind string, routine bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reserve := 0.0
	if routine {
		reserve = routineReserve
	}
	if !l.lines.available(now, reserve) || !l.bytes.available(now, reserve) {
		l.countDropped(kind, 1)
		return false
	}
	l.lines.tokens--
	return true
}

// ConsumeBytes takes the bytes of an allowed line from the limit. The length of a line is known
// only when it has been formatted, so that the tokens may become negative by one line.
func (l *Limiter) ConsumeBytes(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.bytes.tokens -= float64(bytes)
}

// RecordDropped counts lines that were dropped for another reason.
func (l *Limiter) RecordDropped(kind string, lines int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.countDropped(kind, lines)
}

// countDropped must be called with the mutex held.
func (l *Limiter) countDropped(kind string, lines int) {
	l.dropped[kind] += lines
	select {
	case l.hasDropped <- struct{}{}:
	default: // already signaled
	}
}

// DroppedSignal returns a channel that receives when lines have been dropped.
func (l *Limiter) DroppedSignal() <-chan struct{} {
	return l.hasDropped
}

// TakeDropped returns the number of lines of each kind that were dropped since its last call.
func (l *Limiter) TakeDropped() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	taken := l.dropped
	l.dropped = make(map[string]int)
	return taken
}

// bucket is a token bucket whose capacity is the tokens of one second.
type bucket struct {
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

func newBucket(now time.Time, perSecond int) bucket {
	return bucket{perSecond: float64(perSecond), tokens: float64(perSecond), updatedAt: now}
}

// setRate changes the rate and the capacity. Tokens beyond the new capacity are lost.
func (b *bucket) setRate(now time.Time, perSecond int) {
	b.available(now, 0)
	b.perSecond = float64(perSecond)
	b.tokens = min(b.tokens, b.perSecond)
}

// available adds the tokens since the last call and reports whether there are more than
// reserve, a fraction of the capacity.
func (b *bucket) available(now time.Time, reserve float64) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.perSecond)
		b.updatedAt = now
	}
	return b.tokens > reserve*b.perSecond
}
