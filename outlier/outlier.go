// Package outlier decides when a back end that fails is left out, and when it
// is let back in.
//
// A back end that rejects everything at once has few requests in flight and
// short latencies, so by load alone it would draw all traffic. Its failures are
// counted instead: after a run of failures, or when most of its recent answers
// failed, it is ejected. After the ejection has run out it gets one trial
// request at a time; a success lets it back in, a failure ejects it for longer.
package outlier

import "time"

// Tuning of ejection.
const (
	// consecutiveLimit is the run of failures that ejects a back end.
	consecutiveLimit = 3
	// rateWeight is the weight of a new answer in the failure rate.
	rateWeight = 0.1
	// rateLimit is the failure rate that ejects a back end.
	rateLimit = 0.6
	// baseEjection is the length of the first ejection; each further one
	// without a success between is twice as long, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 8 * time.Second
	// trialTimeout frees a trial whose outcome was never told.
	trialTimeout = 2 * time.Second
)

// Detector follows one back end. The zero value is a back end in good health.
// It is not safe for concurrent use.
type Detector struct {
	consecutive int
	rate        float64
	ejections   int
	ejected     bool
	until       time.Time // end of the ejection, when ejected
	trialAt     time.Time // when the pending trial began; zero: none pending
}

// Success notes an answer.
func (d *Detector) Success() {
	d.consecutive = 0
	d.rate -= d.rate * rateWeight
	if d.ejected {
		*d = Detector{}
	}
}

// Failure notes a failed request.
func (d *Detector) Failure(now time.Time) {
	d.consecutive++
	d.rate += (1 - d.rate) * rateWeight
	if d.ejected && d.trialAt.IsZero() {
		return // sent before the ejection
	}
	if d.ejected || d.consecutive >= consecutiveLimit || d.rate >= rateLimit {
		d.eject(now)
	}
}

func (d *Detector) eject(now time.Time) {
	length := min(baseEjection<<min(d.ejections, 10), maxEjection)
	d.ejected = true
	d.ejections++
	d.until = now.Add(length)
	d.trialAt = time.Time{}
}

// Ejected says whether the back end is out.
func (d *Detector) Ejected(time.Time) bool {
	return d.ejected
}

// TrialDue says whether an ejected back end may get a trial request now.
func (d *Detector) TrialDue(now time.Time) bool {
	if !d.ejected || now.Before(d.until) {
		return false
	}
	return d.trialAt.IsZero() || now.Sub(d.trialAt) > trialTimeout
}

// Trial notes that a trial request was sent.
func (d *Detector) Trial(now time.Time) {
	d.trialAt = now
}

// MaxEjected returns how many of a group's back ends may be out at once: half
// of them, so that a fault that all share does not empty the group.
func MaxEjected(backends int) int {
	return backends / 2
}
