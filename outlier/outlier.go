// Package outlier decides when a back end that fails is left out, and when it
// is let back in.
//
// A back end that rejects everything at once has few requests in flight and
// short latencies, so by load alone it would draw all traffic. Its failures are
// counted instead: after a run of failures, or when most of its recent answers
// failed, it is ejected. After the ejection has run out it gets one trial
// request at a time; a success lets it back in, a failure ejects it for longer.
package outlier

import (
	"time"

	"github.com/tuliphall/tuliphall/clock"
)

// Tuning of ejection.
const (
	// consecutiveThreshold is the run of failures that ejects a back end.
	consecutiveThreshold = 3
	// refusalLimit is the run of refused connections by which a back end has ended: one may be
	// a full backlog, or a process that is starting.
	refusalThreshold = 2
	// rateWeight is the weight of a new answer in the failure rate.
	failureRateWeight = 0.1
	// rateLimit is the failure rate that ejects a back end.
	failureRateThreshold = 0.6
	// baseEjection is the length of the first ejection; each further one
	// without a success between is twice as long, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 8 * time.Second
	// endedEjection is the length of the first ejection of a back end that has ended: a process
	// takes about as long to start again, and a trial that is refused costs a retry.
	exitEjection = 2 * time.Second
	// trialTimeout frees a trial whose outcome was never told.
	trialTimeout = 2 * time.Second
)

// Detector follows one back end. The zero value is a back end in good health.
// It is not safe for concurrent use.
type Detector struct {
	consecutive  int
	refusals     int // connections in a row
	failureRate  float64
	ejections    int
	ejected      bool
	exited       bool      // its process had, when it was ejected
	ejectedUntil time.Time // end of the ejection, when ejected
	trialStart   time.Time // when the pending trial began; zero: none pending
}

// RecordSuccess notes an answer.
func (d *Detector) RecordSuccess() {
	d.consecutive, d.refusals = 0, 0
	d.failureRate -= d.failureRate * failureRateWeight
	if d.ejected {
		*d = Detector{}
	}
}

// RecordFailure notes a failed request.
func (d *Detector) RecordFailure(now time.Time) {
	d.consecutive++
	d.failureRate += (1 - d.failureRate) * failureRateWeight
	if d.ejected && d.trialStart.IsZero() {
		return // sent before the ejection
	}
	if d.ejected || d.consecutive >= consecutiveThreshold || d.failureRate >= failureRateThreshold {
		d.eject(now)
	}
}

// RecordExit notes that the process of the back end has ended, on the word of somebody whose request it
// was running. It is ejected at once, and stays out however many others are, until it answers.
func (d *Detector) RecordExit(now time.Time) {
	d.consecutive++
	d.failureRate += (1 - d.failureRate) * failureRateWeight
	d.eject(now)
	d.exited, d.ejectedUntil = true, clock.Later(d.ejectedUntil, now.Add(exitEjection))
}

// RecordConnectionRefused notes that a connection was refused: nothing listens there. A few in a row mean that
// the back end has ended.
func (d *Detector) RecordConnectionRefused(now time.Time) {
	if d.refusals++; d.exited || d.refusals >= refusalThreshold {
		d.RecordExit(now)
		return
	}
	d.RecordFailure(now)
}

// HasExited says whether the back end is out as its process has ended.
func (d *Detector) HasExited() bool {
	return d.exited
}

func (d *Detector) eject(now time.Time) {
	duration := min(baseEjection<<min(d.ejections, 10), maxEjection)
	d.ejected = true
	d.ejections++
	d.ejectedUntil = now.Add(duration)
	d.trialStart = time.Time{}
}

// Ejected says whether the back end is out.
func (d *Detector) Ejected(time.Time) bool {
	return d.ejected
}

// TrialDue says whether an ejected back end may get a trial request now.
func (d *Detector) TrialDue(now time.Time) bool {
	if !d.ejected || now.Before(d.ejectedUntil) {
		return false
	}
	return d.trialStart.IsZero() || now.Sub(d.trialStart) > trialTimeout
}

// RecordTrial notes that a trial request was sent.
func (d *Detector) RecordTrial(now time.Time) {
	d.trialStart = now
}

// MaxEjected returns how many of a group's back ends may be out at once for failing: half
// of them, so that a fault that all share does not empty the group. Those whose processes have
// ended do not count.
func MaxEjected(backends int) int {
	return backends / 2
}
