// Package silentfull detects back ends that do not answer requests for which they have no free slot.
//
// Such a back end answers some requests and leaves others unanswered for good. It is told apart by the
// order of its answers: a request is unanswered for longer than the back end usually takes, although
// requests that were sent there later were answered in the usual time, and since that request was sent
// the back end was not seen to work on more requests at once than it was working on then. A back end
// that is slow, or that has been lost, answers no later request in its usual time; a request that is
// slow by itself does not keep the back end from working on as many others.
//
// A Detector holds the state of one back end. It bounds the requests in flight there by what the back
// end was seen to work on at once, and raises the bound by trial. The package is pure: the time is
// passed in, nothing blocks, and nothing is safe for concurrent use.
package silentfull

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of latencies of a back end from which its usual time is computed.
	latencySamples = 32
	// minLatencySamples is the number of latencies from which on a back end has a usual time: the
	// slowest 5% of fewer is no more than the slowest one.
	minLatencySamples = 8
	// usualQuantile is the quantile of the latencies that counts as the usual time.
	usualQuantile = 0.95
	// initialPatience is how many usual times a request must be unanswered before it counts as silent.
	// A back end whose latencies vary by half exceeds it with 1 in 1,000 requests.
	initialPatience = 1.5
	// patienceMargin is the factor above the age of a request that was answered after it had counted as
	// silent, at which further ones count as silent.
	patienceMargin = 1.1
	// maxPatience bounds the patience, so that one very long response does not disable the detection.
	maxPatience = 8
	// patienceRetention is the part of the additional patience that is kept after patienceInterval
	// answers.
	patienceRetention = 0.9
	patienceInterval  = 64
	// minSilence is the shortest time without an answer that counts as silence. Shorter ones also occur
	// when a daemon is not scheduled, and waiting requests are rechecked no more often.
	minSilence = 20 * time.Millisecond
	// overlapFraction is the part of the usual time for which two requests must have been in flight
	// together to count as worked on at once: while an answer is on its way, its slot is free.
	overlapFraction = 0.25
	// recentAnswers is the number of answered requests for which earlier requests may still be answered
	// and show that the back end worked on them at once.
	recentAnswers = 8
)

const (
	// evidenceThresholds is how long a request that was given up after it was overdue is kept for a request
	// that was sent before that to pass it, in times of the age from which on it was overdue.
	evidenceThresholds = 1
	// maxEvidence bounds the number of these requests.
	maxEvidence = 16
)

// Successes at the present bound that permit a trial of one more request.
const (
	// trialSuccesses is the number for a repeatable request, which is sent elsewhere when the trial
	// fails, and maxTrialSuccesses after repeated failures. With larger numbers, back ends that have
	// slots again are used too late; without the increase after failures, too many trials fail.
	trialSuccesses    = 4
	maxTrialSuccesses = 8
	// nonRepeatableFactor is the factor for a non-repeatable request, which is lost when the trial
	// fails. Smaller factors lose more requests that were sent; with larger ones, back ends that have
	// slots again are used later.
	nonRepeatableFactor = 8
	// recoverySuccesses is the number of answers without silence after which the number of successes
	// for a trial is halved.
	recoverySuccesses = 256
)

// Service is the state that the back ends of a service share.
type Service struct {
	// Observed: a back end of the service was silent to a request while it answered others. Nothing is
	// bounded and no request is sent elsewhere early before that.
	Observed bool
	// lastID is the number of the last request. It is not counted by each Detector, as a request may end
	// after that of its back end was replaced.
	lastID uint64
}

// End is how a request ended for the daemon that sent it.
type End int

// The ends of a request.
const (
	// Answered: the back end responded.
	Answered End = iota
	// GivenUp: the caller left, the deadline passed, or another attempt was answered first. The back
	// end may go on working on it.
	GivenUp
	// Failed: the connection failed or none was opened.
	Failed
	// Exited: the process of the back end has ended.
	Exited
)

// request is a request at the back end that has no answer.
type request struct {
	id      uint64
	sent    time.Time
	givenUp time.Time     // zero: it is awaited
	usual   time.Duration // usual time of its class; 0: unknown
	// overlapped counts the requests sent before it that were answered after it had been sent, and
	// mayOverlap those that were given up.
	overlapped, mayOverlap int
	// besideUsual: a request sent before it was answered in the usual time after it had been sent.
	besideUsual bool
	// passed: a request sent later was answered in the usual time.
	passed bool
	// provenSince is the largest number of requests that the back end was seen to work on at once when
	// requests sent later arrived.
	provenSince int
	// slowdown is the largest factor that the back end reported from before it was sent until now, by which
	// its work takes longer; at least 1.
	slowdown float64
	silent   bool
}

// answered is a request that was answered.
type answered struct {
	id         uint64
	sent       time.Time
	overlapped int
}

// Detector is the state of one back end. Use New.
type Detector struct {
	service *Service
	open    []request // in the order of sending
	recent  []answered

	latencies    [latencySamples]time.Duration
	latencyCount int
	usual        time.Duration // without the reported slowdown; 0: unknown
	slowdown     float64       // as last reported; at least 1
	patience     float64
	scratch      [latencySamples]time.Duration
	found        []uint64 // result of Check, kept to reuse its memory

	bound     int // 0: none
	proven    int // largest number of requests that the back end was seen to work on at once
	successes int // answers at the present bound, or at proven if there is no bound
	required  int // successes for a trial
	calm      int // answers since the last silence
	trial     uint64

	counts Counts
}

// Counts counts what was detected at a back end.
type Counts struct {
	// Silent is the number of requests that counted as silent, and Wrong how many of them were answered
	// after all.
	Silent, Wrong int
	// Trials is the number of trials that ended, and FailedTrials how many of them were not answered.
	Trials, FailedTrials int
}

// New returns the state of a back end of a service, about which nothing is known.
func New(service *Service) *Detector {
	return &Detector{service: service, patience: initialPatience, slowdown: 1, required: trialSuccesses}
}

// Counts returns what was detected so far.
func (d *Detector) Counts() Counts {
	return d.counts
}

// Observed reports whether a back end of the service was silent to a request while it answered others.
func (d *Detector) Observed() bool {
	return d.service.Observed
}

// Bound returns the number of requests in flight to which the back end is held; 0: none.
func (d *Detector) Bound() int {
	return d.bound
}

// Sent records a request that is sent to the back end, and returns a number by which it is known here.
func (d *Detector) Sent(now time.Time) uint64 {
	d.expire(now)
	d.service.lastID++
	id := d.service.lastID
	if d.bound > 0 && d.trial == 0 && d.inFlight(now) >= d.bound {
		d.trial = id
	}
	d.open = append(d.open, request{id: id, sent: now, slowdown: d.slowdown})
	return id
}

// SetUsual sets the usual time of the class of a request that was sent; 0: unknown.
func (d *Detector) SetUsual(id uint64, usual time.Duration) {
	if index := d.find(id); index >= 0 {
		d.open[index].usual = usual
	}
}

// Ended records the end of a request.
func (d *Detector) Ended(now time.Time, id uint64, end End) {
	if end == Exited {
		d.reset()
		return
	}
	index := d.find(id)
	if index < 0 {
		return
	}
	ended := d.open[index]
	switch {
	case end == Answered:
		d.open = slices.Delete(d.open, index, index+1)
		d.recordAnswer(now, ended)
	case end == Failed, ended.silent:
		d.open = slices.Delete(d.open, index, index+1)
		d.endTrial(ended, false)
	default:
		for later := index + 1; later < len(d.open); later++ {
			d.open[later].mayOverlap++
		}
		d.open[index].givenUp = now
	}
	d.expire(now)
}

// reset forgets all but the latencies: the back end has ended, and what was learned of its slots does
// not apply to its next run.
func (d *Detector) reset() {
	d.open, d.recent = d.open[:0], d.recent[:0]
	d.bound, d.proven, d.successes, d.required, d.calm, d.trial = 0, 0, 0, trialSuccesses, 0, 0
}

// recordAnswer records the answer to a request that has been removed from open.
func (d *Detector) recordAnswer(now time.Time, ended request) {
	latency := now.Sub(ended.sent)
	threshold := d.threshold(&ended)
	if ended.silent {
		d.recordWrong(ended, latency)
	}
	d.recordLatency(time.Duration(float64(latency) / ended.slowdown))
	minOverlap := time.Duration(overlapFraction * float64(d.usual))
	for index := range d.open {
		later := &d.open[index]
		if later.id > ended.id && now.Sub(later.sent) >= minOverlap {
			later.overlapped++
			later.besideUsual = later.besideUsual || latency <= threshold
		}
	}
	for index := range d.recent {
		if later := &d.recent[index]; later.id > ended.id {
			later.overlapped++
			if 1+later.overlapped == d.level() {
				d.successes++
			}
			d.recordProven(*later)
		}
	}
	for index := range d.open {
		// Another request that is sent only after this one was given up may find that the back end is no
		// longer slow.
		if earlier := &d.open[index]; earlier.id < ended.id && latency <= threshold && (earlier.givenUp.IsZero() || ended.sent.Before(earlier.givenUp)) {
			earlier.passed = true
		}
	}
	if len(d.recent) == recentAnswers {
		d.recent = slices.Delete(d.recent, 0, 1)
	}
	d.recent = append(d.recent, answered{id: ended.id, sent: ended.sent, overlapped: ended.overlapped})
	if 1+ended.overlapped >= d.level() {
		d.successes++
	}
	d.recordProven(d.recent[len(d.recent)-1])
	d.endTrial(ended, true)
	d.recordCalm()
}

// recordCalm counts an answer since the last silence.
func (d *Detector) recordCalm() {
	d.calm++
	if d.calm%recoverySuccesses == 0 {
		d.required = max(d.required/2, trialSuccesses)
	}
	if d.calm%patienceInterval == 0 {
		d.patience = initialPatience + patienceRetention*(d.patience-initialPatience)
	}
}

// recordWrong records an answer to a request that counted as silent: it is slow by itself, and so may
// others be.
func (d *Detector) recordWrong(ended request, latency time.Duration) {
	d.counts.Wrong++
	if usual := max(d.usual, ended.usual); usual > 0 {
		d.patience = min(max(d.patience, patienceMargin*float64(latency)/(float64(usual)*ended.slowdown)), maxPatience)
	}
}

// recordProven records the number of requests that the back end was seen to work on at once when an
// answered request arrived there.
func (d *Detector) recordProven(arrived answered) {
	together := 1 + arrived.overlapped
	for index := range d.open {
		if earlier := &d.open[index]; earlier.id < arrived.id {
			earlier.provenSince = max(earlier.provenSince, together)
		}
	}
	if together > d.level() {
		d.successes = 0
	}
	d.proven = max(d.proven, together)
	if d.bound > 0 {
		d.bound = max(d.bound, together)
	}
}

// endTrial records the end of a request that may have been a trial.
func (d *Detector) endTrial(ended request, success bool) {
	if ended.id != d.trial {
		return
	}
	d.trial = 0
	d.counts.Trials++
	if !success {
		d.counts.FailedTrials++
		d.successes = 0
	}
}

// recordLatency records the latency of an answer.
func (d *Detector) recordLatency(latency time.Duration) {
	d.latencies[d.latencyCount%latencySamples] = latency
	d.latencyCount++
	if d.latencyCount < minLatencySamples || d.latencyCount%minLatencySamples != 0 {
		return
	}
	d.scratch = d.latencies
	sorted := d.scratch[:min(d.latencyCount, latencySamples)]
	slices.Sort(sorted)
	d.usual = sorted[int(usualQuantile*float64(len(sorted)))]
}

// threshold returns the age from which on an unanswered request is overdue.
func (d *Detector) threshold(r *request) time.Duration {
	return max(time.Duration(d.patience*r.slowdown*float64(max(d.usual, r.usual))), minSilence)
}

// RecordSlowdown records the factor by which the back end reports that its work takes longer. Such a back
// end is slow, and not silent because it is full.
func (d *Detector) RecordSlowdown(factor float64) {
	d.slowdown = max(factor, 1)
	for index := range d.open {
		d.open[index].slowdown = max(d.open[index].slowdown, d.slowdown)
	}
}

// HedgeDelay returns the time after which a request of a class with this usual time is worth sending
// elsewhere; 0: unknown, or no back end of the service was ever silent.
func (d *Detector) HedgeDelay(usual time.Duration) time.Duration {
	if !d.service.Observed || max(d.usual, usual) == 0 {
		return 0
	}
	return d.threshold(&request{usual: usual, slowdown: d.slowdown})
}

// silentAfter returns the age from which on a request counts as silent if the order of the answers says
// that the back end did not take it, otherwise false. Where back ends were silent before, a request that
// was sent while this one worked on as many as it was seen to work on need not be passed by another one:
// at a bound of one none would be sent. The same holds for the first silent request at a back end that
// gets no more because of it, if it is unanswered for very long.
func (d *Detector) silentAfter(r *request) (time.Duration, bool) {
	together := r.overlapped + r.mayOverlap
	switch {
	case r.silent || r.provenSince > together:
		return 0, false
	case r.passed, d.bound > 0 && together >= d.bound:
		return d.threshold(r), true
	case r.besideUsual:
		return time.Duration(maxPatience / d.patience * float64(d.threshold(r))), true
	}
	return 0, false
}

// Check finds the requests that count as silent from now on. The result is valid until the next call.
func (d *Detector) Check(now time.Time) []uint64 {
	d.found = d.found[:0]
	if d.usual == 0 {
		return nil
	}
	for index := range d.open {
		r := &d.open[index]
		until := now
		if !r.givenUp.IsZero() {
			until = r.givenUp
		}
		if age, suspected := d.silentAfter(r); suspected && until.Sub(r.sent) >= age {
			r.silent = true
			d.found = append(d.found, r.id)
			d.recordSilent(r)
		}
	}
	d.open = slices.DeleteFunc(d.open, func(r request) bool { return r.silent && !r.givenUp.IsZero() })
	return d.found
}

// recordSilent lowers the bound to what the back end worked on as the silent request was sent.
func (d *Detector) recordSilent(r *request) {
	d.service.Observed = true
	d.counts.Silent++
	seen := max(r.overlapped, 1)
	if d.bound == 0 || seen < d.bound || r.id == d.trial {
		if d.bound > 0 {
			d.required = min(2*d.required, maxTrialSuccesses)
		}
		d.successes = 0
	}
	if d.bound == 0 || seen < d.bound {
		d.bound, d.proven = seen, seen
	}
	d.calm = 0
	d.endTrial(*r, false)
}

// NextCheck returns when Check may next find a silent request if nothing else happens; zero: not known.
func (d *Detector) NextCheck() time.Time {
	var next time.Time
	if d.usual == 0 {
		return next
	}
	for index := range d.open {
		r := &d.open[index]
		if age, suspected := d.silentAfter(r); suspected && r.givenUp.IsZero() {
			if at := r.sent.Add(age); next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// expire removes the requests that were given up so long ago that the back end no longer works on them,
// and that are of no use as evidence.
func (d *Detector) expire(now time.Time) {
	evidence := 0
	d.open = slices.DeleteFunc(d.open, func(r request) bool {
		if r.givenUp.IsZero() || now.Before(d.expiry(&r)) {
			return false
		}
		threshold := d.threshold(&r)
		if r.givenUp.Sub(r.sent) >= threshold && now.Sub(r.givenUp) < evidenceThresholds*threshold && evidence < maxEvidence {
			evidence++
			d.endTrial(r, false) // others need not wait until it is certain
			return false
		}
		d.endTrial(r, false)
		return true
	})
}

// expiry returns until when a request that was given up may occupy a slot: for its usual time. One that was
// given up later was probably not taken.
func (d *Detector) expiry(r *request) time.Time {
	return r.sent.Add(time.Duration(r.slowdown * float64(max(d.usual, r.usual))))
}

// inFlight counts the requests that may occupy a slot.
func (d *Detector) inFlight(now time.Time) int {
	count := 0
	for index := range d.open {
		if r := &d.open[index]; !r.silent && (r.givenUp.IsZero() || now.Before(d.expiry(r))) {
			count++
		}
	}
	return count
}

// level returns the number of requests at once at which answers count as successes: the bound or, if
// there is none, the largest number seen.
func (d *Detector) level() int {
	if d.bound > 0 {
		return d.bound
	}
	return d.proven
}

// Admits reports whether a request may be sent to the back end. A repeatable request may be a trial.
// With lastResort, set if it cannot be sent to any other back end, a non-repeatable one may be, too.
func (d *Detector) Admits(now time.Time, repeatable, lastResort bool) bool {
	limit, required := d.bound, d.required
	switch {
	case repeatable && lastResort:
		required = 1
	case repeatable:
	case limit > 0:
		required *= nonRepeatableFactor
	case d.service.Observed:
		limit = max(d.proven, 1)
	}
	if limit == 0 {
		return true
	}
	inFlight := d.inFlight(now)
	if inFlight < limit {
		return true
	}
	return inFlight == limit && d.trial == 0 && d.successes >= required && (repeatable || lastResort)
}

// find returns the index of an open request, -1 if there is none.
func (d *Detector) find(id uint64) int {
	index, found := slices.BinarySearchFunc(d.open, id, func(r request, id uint64) int {
		switch {
		case r.id < id:
			return -1
		case r.id > id:
			return 1
		}
		return 0
	})
	if !found {
		return -1
	}
	return index
}
