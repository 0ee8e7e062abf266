package rollout

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Sample is the result of one request.
type Sample struct {
	Class   string
	Backend string
	// Failed: the back end answered with an error. Unserved: there was no response, or the request was
	// not run, as happens with back ends of any version that exit, are unreachable or have no capacity.
	// Otherwise Latency is the time to the response.
	Failed, Unserved bool
	Latency          time.Duration
	// Sent is when the permit was granted. If zero, the request counts as sent Latency before its response.
	Sent time.Time
	// Canceled: the caller stopped waiting for the response after Latency.
	Canceled bool
	// Cold: the back end has just started and may be slow for that reason, whatever its version.
	Cold bool
}

// sentAt returns when the request was sent whose response came at a given time.
func (s *Sample) sentAt(responded time.Time) time.Time {
	if s.Sent.IsZero() {
		return responded.Add(-s.Latency)
	}
	return s.Sent
}

// Parameters of the comparison: when a response counts as bad, and when a version counts as worse.
const (
	// slowFactor and verySlowFactor are the multiples of the old version's median latency in a class
	// above which a response counts as slow or very slow. With exponentially distributed work, one in 8
	// and one in 64 responses of a good version exceed them; with evenly distributed work, only the
	// first detects a version that takes four times as long.
	slowFactor     = 3
	verySlowFactor = 6
	// minRegression is the smallest regression to detect: a version is worse if it turns this share of
	// the old version's good responses into bad ones.
	minRegression = 0.25
	// cusumThreshold is the log-likelihood ratio, of a worse version against an equal one, at which a
	// version is found worse. The sum restarts whenever it falls to 0 (Page's CUSUM test), so that a
	// good version is wrongly found worse about once in e^12 responses.
	cusumThreshold = 12
	// minBadBackends is how many back ends must contribute to the evidence, if the version has as many:
	// a single bad machine does not make a version worse.
	minBadBackends = 5
	// minSlowBackends is the same for slow responses: a back end that is briefly slow gives several of them.
	minSlowBackends = 10
	// evaluationDelay is how long a sample waits to be evaluated, so that a problem that affects both
	// versions has shown in the old version's responses by then. Without the delay, one good version in
	// 30 was rolled back when all back ends turned slow for two seconds.
	evaluationDelay = time.Second
	// movingEvaluationDelay replaces it while requests move to the new version, as many are at risk then.
	movingEvaluationDelay = 300 * time.Millisecond
	// maxPending bounds the samples that wait to be evaluated.
	maxPending = 4096
	// minOldSamples is how many responses of the old version a class needs for a comparison.
	minOldSamples = 20
	// maxClassLead is how many more responses may be compared of one class than of another.
	maxClassLead = 10
	// The old version's rates of bad responses are assumed to be at least these. A small sample may
	// contain no bad response, and the canary's requests are concentrated on a few back ends, where more
	// are slow even if the version is not worse.
	minFailedRate   = 0.02
	minUnservedRate = 0.02
	minSlowRate     = 0.2
	minVerySlowRate = 0.05
)

// Judge compares the responses of two versions. It is not safe for concurrent use.
type Judge struct {
	classes    map[string]*class
	total      evidence // of all classes together
	compared   int      // responses of the new version that could be compared
	randomPick RandomPickRates
	// backendCap bounds what one back end adds to the evidence, and slowBackendCap what its slow responses do.
	backendCap, slowBackendCap float64
	// oldBySendTime counts the old version's requests by when they were sent.
	oldBySendTime sendTimeBuckets
	// delay is how long samples wait to be evaluated.
	delay   time.Duration
	moving  bool          // requests are moving to the new version
	pending []observation // samples of the new version that are not evaluated yet, oldest first
}

// observation is a sample of the new version with what was known when it arrived.
type observation struct {
	at       time.Time
	sample   Sample
	class    *class
	slow     comparison
	verySlow comparison
	oldRates badRates // the old version's at that time
}

// comparison is whether a latency exceeded a bound, if that is known.
type comparison struct {
	exceeds, known bool
}

// badRates are the shares of requests at the old version that fail, are not served, or are slow.
type badRates struct {
	failed, unserved, slow, verySlow float64
}

// oldRates returns the rates of bad responses that the old version has in a class, or would have if its
// back ends were picked regardless of their state, as the canary's are.
func (j *Judge) oldRates(now time.Time, of *class) badRates {
	return badRates{
		failed:   max(of.failed.value(now), minFailedRate),
		unserved: max(of.unserved.value(now), j.randomPick.unserved, minUnservedRate),
		slow:     max(of.slow.value(now), j.randomPick.slow, minSlowRate),
		verySlow: max(of.verySlow.value(now), j.randomPick.verySlow, minVerySlowRate),
	}
}

// class holds the statistics of one class of requests.
type class struct {
	latencies                        latencyHistogram // of the old version
	failed, unserved, slow, verySlow rate             // of the old version's responses
	evidence                         evidence
	compared, bad                    int // responses of the new version that were compared, and the bad ones among them
	// failures and slowness monitor how many of these failed or were very slow.
	failures, slowness excessMonitor
}

// NewJudge returns a judge without samples.
func NewJudge() *Judge {
	return &Judge{classes: make(map[string]*class), backendCap: cusumThreshold / minBadBackends, slowBackendCap: cusumThreshold / minSlowBackends, delay: evaluationDelay}
}

// SetMoving notes that requests are moving to the new version. From then on samples are evaluated sooner, and also
// compared with requests that were sent to the old version at about the same time.
func (j *Judge) SetMoving() {
	j.delay, j.moving = movingEvaluationDelay, true
}

// SetBackends sets the number of back ends of the new version.
func (j *Judge) SetBackends(count int) {
	j.backendCap = cusumThreshold / float64(min(max(count, 1), minBadBackends))
	j.slowBackendCap = cusumThreshold / float64(min(max(count, 1), minSlowBackends))
}

// SetRandomPickRates sets the rates of bad responses for back ends that are picked regardless of their state.
func (j *Judge) SetRandomPickRates(rates RandomPickRates) {
	j.randomPick = rates
}

// maxClasses bounds the classes that are tracked separately; further ones share a class.
const maxClasses = 256

// classOf returns the statistics of a class, which it creates if necessary.
func (j *Judge) classOf(name string) *class {
	c, known := j.classes[name]
	if known {
		return c
	}
	if len(j.classes) >= maxClasses {
		name = ""
		if c, known = j.classes[name]; known {
			return c
		}
	}
	c = &class{}
	j.classes[name] = c
	return c
}

// compare compares the latency of a sample with a multiple of the old version's median.
func (c *class) compare(sample Sample, factor time.Duration) comparison {
	median := c.latencies.median()
	if median == 0 || sample.Cold || sample.Failed || sample.Unserved {
		return comparison{}
	}
	exceeds := sample.Latency > factor*median
	// A request that was canceled early might have been answered in time.
	return comparison{exceeds: exceeds, known: exceeds || !sample.Canceled}
}

// OldSent notes that a request is sent to the old version.
func (j *Judge) OldSent(now time.Time) {
	j.oldBySendTime.countSent(now)
}

// DiscardOld notes that a request sent to the old version at a given time will not yield a sample.
func (j *Judge) DiscardOld(sent time.Time) {
	j.oldBySendTime.countResult(sent, comparison{}, comparison{})
}

// AddOld adds a sample of the old version.
func (j *Judge) AddOld(now time.Time, sample Sample) {
	c := j.classOf(sample.Class)
	slow, verySlow := c.compare(sample, slowFactor), c.compare(sample, verySlowFactor)
	if slow.known {
		c.slow.add(now, slow.exceeds)
	}
	if verySlow.known {
		c.verySlow.add(now, verySlow.exceeds)
	}
	j.oldBySendTime.countResult(sample.sentAt(now), slow, verySlow)
	if sample.Canceled {
		return
	}
	c.unserved.add(now, sample.Unserved)
	if !sample.Unserved {
		c.failed.add(now, sample.Failed)
	}
	if !sample.Failed && !sample.Unserved {
		c.latencies.add(sample.Latency)
	}
}

// AddNew adds a sample of the new version.
func (j *Judge) AddNew(now time.Time, sample Sample) {
	c := j.classOf(sample.Class)
	seen := observation{
		at: now, sample: sample, class: c, slow: c.compare(sample, slowFactor), verySlow: c.compare(sample, verySlowFactor), oldRates: j.oldRates(now, c),
	}
	if sample.Failed || seen.slow.known {
		c.compared++
		j.compared++
	}
	if sample.Failed || seen.slow.exceeds {
		c.bad++
	}
	if len(j.pending) < maxPending {
		j.pending = append(j.pending, seen)
	}
}

// evaluatePending evaluates the samples that have waited long enough.
func (j *Judge) evaluatePending(now time.Time) {
	due := 0
	for due < len(j.pending) && now.Sub(j.pending[due].at) >= j.delay {
		j.evaluate(now, j.pending[due])
		due++
	}
	j.pending = slices.Delete(j.pending, 0, due)
}

// evaluate adds a sample to the evidence, against the higher of the old version's rates at its arrival and now.
func (j *Judge) evaluate(now time.Time, seen observation) {
	c, sample, later := seen.class, seen.sample, j.oldRates(now, seen.class)
	slow, verySlow := max(seen.oldRates.slow, later.slow), max(seen.oldRates.verySlow, later.verySlow)
	if j.moving {
		// The old version's latest responses are from other times, and get fewer as more requests have moved.
		slowThen, verySlowThen := j.oldBySendTime.upperBounds(sample.sentAt(seen.at))
		slow, verySlow = max(slow, slowThen), max(verySlow, verySlowThen)
	}
	if seen.slow.known {
		j.addEvidence(sample.Backend, seen.slow.exceeds, slow, j.slowBackendCap, &c.evidence.slow, &j.total.slow)
	}
	if seen.verySlow.known {
		c.slowness.add(now, sample.Backend, seen.verySlow.exceeds, verySlow)
		j.addEvidence(sample.Backend, seen.verySlow.exceeds, verySlow, j.slowBackendCap, &c.evidence.verySlow, &j.total.verySlow)
	}
	if sample.Canceled {
		return
	}
	j.addEvidence(sample.Backend, sample.Unserved, max(seen.oldRates.unserved, later.unserved), j.backendCap, &c.evidence.unserved, &j.total.unserved)
	if !sample.Unserved {
		c.failures.add(now, sample.Backend, sample.Failed, max(seen.oldRates.failed, later.failed))
		j.addEvidence(sample.Backend, sample.Failed, max(seen.oldRates.failed, later.failed), j.backendCap, &c.evidence.failures, &j.total.failures)
	}
}

// addEvidence adds a response of the new version to the evidence of its class and of all classes.
func (j *Judge) addEvidence(backend string, bad bool, oldRate, backendCap float64, ofClass, ofAll *cusum) {
	weight := logLikelihoodRatio(oldRate, bad)
	ofClass.add(backend, weight, backendCap)
	ofAll.add(backend, weight, backendCap)
}

// Worse returns whether the new version is worse, and the reason as text.
func (j *Judge) Worse(now time.Time) (why string, worse bool) {
	j.evaluatePending(now)
	if by := j.total.regression(); by != "" {
		return by + ", all classes: " + j.describe(now), true
	}
	for name, c := range j.classes {
		if by := c.evidence.regression(); by != "" {
			return by + ", class " + name + ": " + j.describe(now), true
		}
	}
	return "", false
}

// Inconclusive returns whether responses of the new version in some class have been bad more often than
// the old version's, without enough evidence to call it worse.
func (j *Judge) Inconclusive(now time.Time) bool {
	for _, c := range j.classes {
		if c.failures.exceeds(now, maxFailureExcess) || c.slowness.exceeds(now, maxSlowExcess) {
			return true
		}
	}
	return false
}

// suspicion is the share of cusumThreshold from which the evidence is a reason not to send the new version more
// requests than it gets.
const suspicion = 0.4

// Suspicious returns whether there is evidence against the new version that does not suffice to call it worse.
func (j *Judge) Suspicious(now time.Time) bool {
	if j.Inconclusive(now) || j.total.strongest() >= suspicion*cusumThreshold {
		return true
	}
	for _, c := range j.classes {
		if c.evidence.strongest() >= suspicion*cusumThreshold {
			return true
		}
	}
	return false
}

// Compared returns how many responses of the new version were compared.
func (j *Judge) Compared() int {
	return j.compared
}

// NeedsSamples returns whether the next request of a class may go to the canary. It may not while the class is more
// than maxClassLead compared responses ahead of another one.
func (j *Judge) NeedsSamples(name string) bool {
	own := j.ComparedInClass(name)
	for _, c := range j.classes {
		if c.latencies.count >= minOldSamples && own > c.compared+maxClassLead {
			return false
		}
	}
	return true
}

// ComparedInClass returns how many responses of the new version were compared in a class.
func (j *Judge) ComparedInClass(name string) int {
	if c, known := j.classes[name]; known {
		return c.compared
	}
	return 0
}

// describe returns a summary of the comparison, one entry a class.
func (j *Judge) describe(now time.Time) string {
	names := make([]string, 0, len(j.classes))
	for name := range j.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		c := j.classes[name]
		if c.compared == 0 {
			continue
		}
		if text != "" {
			text += "; "
		}
		text += fmt.Sprintf("%s %d of %d bad, %.2f of the old version's", name, c.bad, c.compared, c.failed.value(now)+c.slow.value(now))
	}
	return text
}
