package routing

import (
	"math"
	"time"
)

// Tuning of the estimate of a back end's slowdown.
const (
	// slowdownMemory is the age at which a report of it counts 1/e; the
	// neighbours that cause it come and go within a fraction of a second.
	slowdownMemory = 150 * time.Millisecond
	// usualWeight is the weight of a new report in the usual slowdown.
	usualWeight = 0.05
)

// slowdown is what is known of how much longer work takes at a back end than
// usually. The zero value is a back end that has told nothing.
type slowdown struct {
	last  float64
	at    time.Time
	usual float64 // moving average; what is expected once the last report is old
}

// report takes in what the back end told.
func (s *slowdown) report(now time.Time, value float64) {
	if s.usual == 0 {
		s.usual = value
	}
	s.usual += usualWeight * (value - s.usual)
	s.last, s.at = value, now
}

func (s *slowdown) known() bool {
	return s.usual > 0
}

// expected returns the slowdown to be expected now: the last report, which
// gives way to the usual value with age.
func (s *slowdown) expected(now time.Time) float64 {
	if !s.known() {
		return 1
	}
	weight := math.Exp(-now.Sub(s.at).Seconds() / slowdownMemory.Seconds())
	return s.usual + weight*(s.last-s.usual)
}
