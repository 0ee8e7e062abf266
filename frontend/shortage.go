package frontend

import (
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

const (
	// shortageWait is how long a request must have waited for a permit for capacity to be short.
	shortageWait = 10 * time.Millisecond
	// shortageDuration is how long capacity counts as short after that.
	shortageDuration = time.Second
)

// shortage tells whether capacity was short recently. Callers that send many requests ahead then do not delay those that do not.
type shortage struct {
	until atomic.Int64 // nanoseconds of Unix time
}

// recordWait records that a request has waited for a permit, and recordFailure the failure of one. They report whether that
// shows that capacity is short.
func (s *shortage) recordWait(now time.Time, waited time.Duration) bool {
	return waited >= shortageWait && s.record(now)
}

func (s *shortage) recordFailure(now time.Time, code resultcode.Code) bool {
	switch code {
	case resultcode.QueueFull, resultcode.DeadlineTooShort, resultcode.WaitExpired:
		return s.record(now)
	}
	return false
}

func (s *shortage) record(now time.Time) bool {
	s.until.Store(now.Add(shortageDuration).UnixNano())
	return true
}

func (s *shortage) lasts(now time.Time) bool {
	return now.UnixNano() < s.until.Load()
}
