package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Tuning of the estimate of a back end's slowdown.
const (
	// slowdownMemory is the age at which a report of it counts 1/e; the
	// neighbours that cause it come and go within a fraction of a second.
	slowdownDecayTime = 150 * time.Millisecond
	// slowdownForgotten is the age at which a report counts less than 1/20,000, and is
	// left out: that spares reckoning it.
	slowdownMaxAge = 10 * slowdownDecayTime
	// usualWeight is the weight of a new report in what is usual at its back end.
	ownWeight = 0.02
	// commonWeight is the weight of a new report in what is usual at all back ends.
	commonWeight = 0.01
	// commonStart is what is taken for usual at first.
	initialCommonSlowdown = 1.5
	// commonSamples is for how many reports commonStart counts among those of all.
	initialCommonSamples = 5
	// ownSamples is for how many reports of a back end what is usual at all counts.
	commonPriorSamples = 50
)

// common is the slowdown that the back ends of a service usually tell. It is expected
// of those that have told nothing, or hardly anything. The zero value has heard none.
type commonSlowdown struct {
	value   float64
	reports int
}

// report takes in what any back end told.
func (c *commonSlowdown) record(value float64) {
	if c.reports == 0 {
		c.value = initialCommonSlowdown
	}
	c.reports++
	weight := max(commonWeight, 1/float64(c.reports+initialCommonSamples))
	c.value += weight * (value - c.value)
}

// slowdown is what is known of how much longer work takes at a back end than
// usually. The zero value is a back end that has told nothing.
type slowdown struct {
	last       float64
	at         time.Time
	ownAverage float64 // moving average of what it told
	reports    int
	common     *commonSlowdown // of all back ends of the service; nil: there are no others
}

// report takes in what the back end told.
func (s *slowdown) record(now time.Time, value float64) {
	s.reports++
	weight := max(ownWeight, 1/float64(s.reports))
	s.ownAverage += weight * (value - s.ownAverage)
	s.last, s.at = value, now
}

// known says whether any back end of the service has told its slowdown.
func (s *slowdown) known() bool {
	return s.reports > 0 || s.common != nil && s.common.reports > 0
}

// usual is the slowdown to be expected without a recent report: what is usual at all
// back ends, which gives way to what is usual here with the number of reports.
func (s *slowdown) baseline() float64 {
	if s.common == nil || s.common.reports == 0 {
		return s.ownAverage
	}
	weight := float64(s.reports) / float64(s.reports+commonPriorSamples)
	return s.common.value + weight*(s.ownAverage-s.common.value)
}

// expected returns the slowdown to be expected now: the last report, which
// gives way to the usual value with age.
func (s *slowdown) expected(now time.Time) float64 {
	if !s.known() {
		return 1
	}
	baseline := s.baseline()
	if s.at.IsZero() {
		return baseline
	}
	age := now.Sub(s.at)
	if age > slowdownMaxAge {
		return baseline
	}
	weight := recent.Decay(age, slowdownDecayTime)
	return baseline + weight*(s.last-baseline)
}

// least is a bound below expected that costs less to reckon.
func (s *slowdown) lowerBound() float64 {
	if !s.known() {
		return 1
	}
	baseline := s.baseline()
	if s.at.IsZero() {
		return baseline
	}
	return min(baseline, s.last)
}
