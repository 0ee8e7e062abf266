package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Tuning of the estimate of a back end's slowdown.
const (
	// slowdownMemory is the age at which a report of it counts 1/e; the
	// neighbours that cause it come and go within a fraction of a second.
	slowdownMemory = 150 * time.Millisecond
	// slowdownForgotten is the age at which a report counts less than 1/20,000, and is
	// left out: that spares reckoning it.
	slowdownForgotten = 10 * slowdownMemory
	// usualWeight is the weight of a new report in what is usual at its back end.
	usualWeight = 0.02
	// commonWeight is the weight of a new report in what is usual at all back ends.
	commonWeight = 0.01
	// commonStart is what is taken for usual at first.
	commonStart = 1.5
	// commonSamples is for how many reports commonStart counts among those of all.
	commonSamples = 5
	// ownSamples is for how many reports of a back end what is usual at all counts.
	ownSamples = 50
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
// usually. The zero value is a back end that has told nothing.
type slowdown struct {
	last    float64
	at      time.Time
	own     float64 // moving average of what it told
	reports int
	common  *common // of all back ends of the service; nil: there are no others
}

// report takes in what the back end told.
func (s *slowdown) report(now time.Time, value float64) {
	s.reports++
	weight := max(usualWeight, 1/float64(s.reports))
	s.own += weight * (value - s.own)
	s.last, s.at = value, now
}

// known says whether any back end of the service has told its slowdown.
func (s *slowdown) known() bool {
	return s.reports > 0 || s.common != nil && s.common.reports > 0
}

// usual is the slowdown to be expected without a recent report: what is usual at all
// back ends, which gives way to what is usual here with the number of reports.
func (s *slowdown) usual() float64 {
	if s.common == nil || s.common.reports == 0 {
		return s.own
	}
	weight := float64(s.reports) / float64(s.reports+ownSamples)
	return s.common.value + weight*(s.own-s.common.value)
}

// expected returns the slowdown to be expected now: the last report, which
// gives way to the usual value with age.
func (s *slowdown) expected(now time.Time) float64 {
	if !s.known() {
		return 1
	}
	usual := s.usual()
	if s.at.IsZero() {
		return usual
	}
	age := now.Sub(s.at)
	if age > slowdownForgotten {
		return usual
	}
	weight := recent.Decay(age, slowdownMemory)
	return usual + weight*(s.last-usual)
}

// least is a bound below expected that costs less to reckon.
func (s *slowdown) least() float64 {
	if !s.known() {
		return 1
	}
	usual := s.usual()
	if s.at.IsZero() {
		return usual
	}
	return min(usual, s.last)
}
