package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Parameters of the estimate of a back end's slowdown.
const (
	// slowdownDecayTime is the age at which a report has the weight 1/e; the neighbouring workloads
	// that cause slowdown come and go within a fraction of a second.
	slowdownDecayTime = 150 * time.Millisecond
	// slowdownMaxAge is the age at which a report has a weight below 1/20,000 and is ignored, which
	// saves computing it.
	slowdownMaxAge = 10 * slowdownDecayTime
	// ownWeight is the weight of a new report in the average of its back end.
	ownWeight = 0.02
	// commonWeight is the weight of a new report in the average of all back ends.
	commonWeight = 0.01
	// initialCommonSlowdown is the initial average of all back ends.
	initialCommonSlowdown = 1.5
	// initialCommonSamples is the weight of initialCommonSlowdown, in reports.
	initialCommonSamples = 5
	// commonPriorSamples is the weight of the common average in the baseline of a back end, in
	// reports.
	commonPriorSamples = 50
)

// commonSlowdown is the average slowdown that the back ends of a service report. It is the baseline
// of those with no or few reports. The zero value has no reports.
type commonSlowdown struct {
	value   float64
	reports int
}

// record adds the report of any back end.
func (c *commonSlowdown) record(value float64) {
	if c.reports == 0 {
		c.value = initialCommonSlowdown
	}
	c.reports++
	weight := max(commonWeight, 1/float64(c.reports+initialCommonSamples))
	c.value += weight * (value - c.value)
}

// slowdown estimates how much longer work takes at a back end than usual. The zero value is a back
// end without reports.
type slowdown struct {
	last       float64
	at         time.Time
	ownAverage float64 // moving average of its reports
	reports    int
	common     *commonSlowdown // of all back ends of the service; nil: there are no others
}

// record adds a report of the back end.
func (s *slowdown) record(now time.Time, value float64) {
	s.reports++
	weight := max(ownWeight, 1/float64(s.reports))
	s.ownAverage += weight * (value - s.ownAverage)
	s.last, s.at = value, now
}

// known reports whether any back end of the service has reported its slowdown.
func (s *slowdown) known() bool {
	return s.reports > 0 || s.common != nil && s.common.reports > 0
}

// baseline is the slowdown expected without a recent report: the common average, which is replaced
// by the back end's own as its reports accumulate.
func (s *slowdown) baseline() float64 {
	if s.common == nil || s.common.reports == 0 {
		return s.ownAverage
	}
	weight := float64(s.reports) / float64(s.reports+commonPriorSamples)
	return s.common.value + weight*(s.ownAverage-s.common.value)
}

// expected returns the slowdown to be expected now: the last report, which decays to the baseline
// with age.
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

// lowerBound is a lower bound of expected that is cheaper to compute.
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
