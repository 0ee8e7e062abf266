package routing

import "time"

// Bounds of the maximum age of the report by which a back end is chosen.
const (
	// minReportAge is the interval at which reports are checked for their age.
	minReportAge = 5 * time.Millisecond
	// maxReportAge is for how long a back end that was undisturbed counts as undisturbed where no
	// change was observed.
	maxReportAge = 250 * time.Millisecond
)

// Parameters of the value of load probes.
const (
	// driftAveragingTime is the total time between consecutive reports over which the drift is
	// averaged: several hundred pairs where requests are frequent.
	driftAveragingTime = 10 * time.Second
	// minDriftTime is the total time between reports from which the drift counts as known.
	minDriftTime = 500 * time.Millisecond
	// maxReportGap is the longest time between two reports that counts for the drift. During longer
	// ones the back end may have changed and changed back.
	maxReportGap = 100 * time.Millisecond
)

// reportAgeEstimator learns the maximum age of the report by which a back end is chosen, so that a
// load probe costs as much slot time as it saves: the probability that the back end has been
// disturbed since grows with the age, and a disturbed back end works longer. The zero value has no
// samples.
//
// With 25 ms for every service, 0.106 of the requests of a quiet day at 257 back ends were late,
// and 0.080 with 8 ms; at 39 back ends 0.040 and 0.037 (one run each).
type reportAgeEstimator struct {
	observed    time.Duration // total time between pairs of reports
	increase    float64       // total increase of the slowdown in that time
	baseLatency time.Duration // average time of a request at an undisturbed back end
	probeCost   time.Duration // average time of a probe
}

// recordReports records two consecutive reports of a back end.
func (p *reportAgeEstimator) recordReports(before, after float64, elapsed time.Duration) {
	if elapsed <= 0 || elapsed > maxReportGap {
		return
	}
	if excess := p.observed + elapsed - driftAveragingTime; excess > 0 {
		kept := 1 - float64(excess)/float64(driftAveragingTime)
		p.observed, p.increase = time.Duration(kept*float64(p.observed)), kept*p.increase
	}
	p.observed += elapsed
	p.increase += max(after-before, 0)
}

// maxAge returns the maximum age of a report, or fallback until it is known.
func (p *reportAgeEstimator) maxAge(fallback time.Duration) time.Duration {
	if p.observed < minDriftTime || p.baseLatency == 0 || p.probeCost == 0 {
		return fallback
	}
	lossRate := p.increase / p.observed.Seconds() * p.baseLatency.Seconds() // slot time lost per second of age
	if lossRate*maxReportAge.Seconds() <= p.probeCost.Seconds() {
		return maxReportAge
	}
	return max(time.Duration(p.probeCost.Seconds()/lossRate*float64(time.Second)), minReportAge)
}
