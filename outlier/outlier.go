// Package outlier detects failing back ends: it decides when a back end is ejected and when it is
// reinstated.
//
// A back end that rejects every request immediately has few requests in flight and low latency, so
// a policy that looks at load alone would send it all traffic. The detector counts failures
// instead: a run of consecutive failures, or a high failure rate among recent responses, ejects the
// back end. When the ejection expires, it gets one trial request at a time; a success reinstates
// it, a failure ejects it for longer.
package outlier

import (
	"time"

	"github.com/tuliphall/tuliphall/clock"
)

// Thresholds and durations of ejection.
const (
	// consecutiveThreshold is the number of consecutive failures that ejects a back end.
	consecutiveThreshold = 3
	// refusalThreshold is the number of consecutive refused connections after which the process
	// counts as exited: a single one may be due to a full backlog or a process that is starting.
	refusalThreshold = 2
	// failureRateWeight is the weight of a new response in the moving average of failures.
	failureRateWeight = 0.1
	// failureRateThreshold is the failure rate that ejects a back end.
	failureRateThreshold = 0.6
	// baseEjection is the duration of the first ejection; each further one without a success in
	// between lasts twice as long, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 8 * time.Second
	// exitEjection is the minimum ejection of a back end whose process has exited: a restart takes
	// about as long, and a trial that is refused costs a retry.
	exitEjection = 2 * time.Second
	// trialTimeout permits another trial when the outcome of the last one was never recorded.
	trialTimeout = 2 * time.Second
)

// Detector tracks the failures of one back end. The zero value is a healthy back end. A Detector is
// not safe for concurrent use.
type Detector struct {
	consecutive  int
	refusals     int // consecutive refused connections
	failureRate  float64
	ejections    int
	ejected      bool
	exited       bool      // the ejection is due to an exit of the process
	ejectedUntil time.Time // end of the ejection, if ejected
	trialStart   time.Time // start of the pending trial; zero: none is pending
}

// RecordSuccess records a successful response, which reinstates an ejected back end.
func (d *Detector) RecordSuccess() {
	d.consecutive, d.refusals = 0, 0
	d.failureRate -= d.failureRate * failureRateWeight
	if d.ejected {
		*d = Detector{}
	}
}

// RecordFailure records a failed request.
func (d *Detector) RecordFailure(now time.Time) {
	d.consecutive++
	d.failureRate += (1 - d.failureRate) * failureRateWeight
	if d.ejected && d.trialStart.IsZero() {
		return // the request was sent before the ejection
	}
	if d.ejected || d.consecutive >= consecutiveThreshold || d.failureRate >= failureRateThreshold {
		d.eject(now)
	}
}

// RecordExit records that the process of the back end has exited, as observed by the sender of a
// request that it was running. The back end is ejected at once, however many others are, until it
// answers again.
func (d *Detector) RecordExit(now time.Time) {
	d.consecutive++
	d.failureRate += (1 - d.failureRate) * failureRateWeight
	d.eject(now)
	d.exited, d.ejectedUntil = true, clock.Later(d.ejectedUntil, now.Add(exitEjection))
}

// RecordConnectionRefused records a refused connection: nothing listens at the address. Several in
// a row mean that the process has exited.
func (d *Detector) RecordConnectionRefused(now time.Time) {
	if d.refusals++; d.exited || d.refusals >= refusalThreshold {
		d.RecordExit(now)
		return
	}
	d.RecordFailure(now)
}

// HasExited reports whether the back end is ejected because its process has exited.
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

// Ejected reports whether the back end is ejected.
func (d *Detector) Ejected(time.Time) bool {
	return d.ejected
}

// TrialDue reports whether an ejected back end may get a trial request now.
func (d *Detector) TrialDue(now time.Time) bool {
	if !d.ejected || now.Before(d.ejectedUntil) {
		return false
	}
	return d.trialStart.IsZero() || now.Sub(d.trialStart) > trialTimeout
}

// RecordTrial records that a trial request was sent.
func (d *Detector) RecordTrial(now time.Time) {
	d.trialStart = now
}

// AbandonTrial records that the trial request did not reach the back end, so that another may be sent.
func (d *Detector) AbandonTrial() {
	d.trialStart = time.Time{}
}

// MaxEjected returns how many back ends of a group may be ejected for failures at once: half of
// them, so that a fault that all of them share does not empty the group. Back ends whose processes
// have exited do not count.
func MaxEjected(backends int) int {
	return backends / 2
}
