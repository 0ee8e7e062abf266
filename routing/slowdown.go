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
	// usualWeight is the weight of a new report in the usual slowdown of its back
	// end.
	usualWeight = 0.02
	// commonWeight is the weight of a new report in what is usual at all back ends.
	commonWeight = 0.01
	// commonStart is what is taken for usual at first, and commonSamples is for how
	// many reports that counts.
	commonStart   = 1.5
	commonSamples = 5
)

// common is the slowdown that the back ends of a service usually tell. It is expected
// of those that have told nothing, or hardly anything. The zero value has heard none.
type common struct {
	value   float64
	reports int
}

// report takes in what any back end told.
func (c *common) report(value float64) {
	if c.reports == 0 {
		c.value = commonStart
	}
	c.reports++
	weight := max(commonWeight, 1/float64(c.reports+commonSamples))
	c.value += weight * (value - c.value)
}

// slowdown is what is known of how much longer work takes at a back end than
// usually. The zero value is a back end of a service that has told nothing.
type slowdown struct {
	last  float64
	at    time.Time
	usual float64 // moving average; what is expected once the last report is old
}

// assume sets what is expected before the back end tells anything itself.
func (s *slowdown) assume(usual float64) {
	if s.usual == 0 {
		s.usual = usual
	}
}

// report takes in what the back end told.
func (s *slowdown) report(now time.Time, value float64) {
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
