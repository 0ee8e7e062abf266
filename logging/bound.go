package logging

import (
	"sync"
	"time"
)

// Limiter keeps the log of a daemon within so many lines and bytes a second. Routine
// lines, those of requests that went well, may use only the upper half of what has
// been saved, so that they are the first to be left out. It is safe for concurrent
// use.
type Limiter struct {
	lines, bytes allowance // guarded by mutex

	mutex   sync.Mutex
	leftOut map[string]int // lines by kind, since they were last taken
	pending chan struct{}  // room for one: there are lines to tell of
}

// routineReserve is the part of an allowance that routine lines leave to others.
const routineReserve = 0.5

// NewLimiter returns a bound; now is the present time.
func NewLimiter(now time.Time, linesPerSecond, bytesPerSecond int) *Limiter {
	return &Limiter{
		lines: newAllowance(now, linesPerSecond), bytes: newAllowance(now, bytesPerSecond),
		leftOut: make(map[string]int), pending: make(chan struct{}, 1),
	}
}

// SetLimits changes what is allowed in a second.
func (b *Limiter) SetLimits(now time.Time, linesPerSecond, bytesPerSecond int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lines.set(now, linesPerSecond)
	b.bytes.set(now, bytesPerSecond)
}

// Allow says whether a line may be written, and counts it by its kind if not.
func (b *Limiter) Allow(now time.Time, kind string, routine bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	reserve := 0.0
	if routine {
		reserve = routineReserve
	}
	if !b.lines.has(now, reserve) || !b.bytes.has(now, reserve) {
		b.count(kind, 1)
		return false
	}
	b.lines.left--
	return true
}

// ConsumeBytes takes the bytes of a line that was admitted. Its length is known only when
// it has been made, so that the allowance may go below nothing by one line.
func (b *Limiter) ConsumeBytes(bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bytes.left -= float64(bytes)
}

// RecordDropped counts lines that were left out for another reason.
func (b *Limiter) RecordDropped(kind string, lines int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.count(kind, lines)
}

// count must be called with the mutex held.
func (b *Limiter) count(kind string, lines int) {
	b.leftOut[kind] += lines
	select {
	case b.pending <- struct{}{}:
	default: // it is already known that there are some
	}
}

// DroppedSignal receives when lines have been left out.
func (b *Limiter) DroppedSignal() <-chan struct{} {
	return b.pending
}

// TakeDropped returns how many lines of each kind were left out since it was last
// called.
func (b *Limiter) TakeDropped() map[string]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	taken := b.leftOut
	b.leftOut = make(map[string]int)
	return taken
}

// allowance is a token bucket that holds what one second allows.
type allowance struct {
	perSecond float64
	left      float64
	at        time.Time
}

func newAllowance(now time.Time, perSecond int) allowance {
	return allowance{perSecond: float64(perSecond), left: float64(perSecond), at: now}
}

// set changes what one second allows. What was saved stays, as far as it fits.
func (a *allowance) set(now time.Time, perSecond int) {
	a.has(now, 0)
	a.perSecond = float64(perSecond)
	a.left = min(a.left, a.perSecond)
}

// has says whether anything is left beyond a reserve, a part of the whole.
func (a *allowance) has(now time.Time, reserve float64) bool {
	if passed := now.Sub(a.at); passed > 0 {
		a.left = min(a.left+passed.Seconds()*a.perSecond, a.perSecond)
		a.at = now
	}
	return a.left > reserve*a.perSecond
}
