package rollout

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Sample is how one request ended.
type Sample struct {
	Class   string
	Backend string
	// Failed: the back end answered that it failed. Unserved: it gave no answer, or ran nothing, as do
	// those that end, are cut off or have no room, whatever their version. Otherwise Took says how
	// long the answer took.
	Failed, Unserved bool
	Latency          time.Duration
	// Sent is when the place was given for the request; zero: so long before the answer as it took.
	Sent time.Time
	// Canceled: nobody waited for the answer any more after Took.
	Canceled bool
	// Cold: the back end has just started, so that it may be slow whatever its version.
	Cold bool
}

// sent returns when the request of an answer that came at a time was sent.
func (a *Sample) sent(at time.Time) time.Time {
	if a.Sent.IsZero() {
		return at.Add(-a.Latency)
	}
	return a.Sent
}

// What makes an answer bad, and what makes a version worse.
const (
	// slowTimes and verySlowTimes are how many times the median of the old version's answers of a
	// class an answer must take to count as slow, or very slow. With exponential work one in 8
	// and one in 64 answers of a good version do; where work is even, only the first finds a
	// version that takes four times as long.
	slowTimes     = 3
	verySlowTimes = 6
	// worseBy is the least part by which bad answers must be more frequent at a version that is
	// worse than at the old one, of what the old one answers well.
	worseBy = 0.25
	// accuseAt is the logarithm of how much more likely what was seen is of a worse version than
	// of an equal one. A good version is accused within some e^12 answers, counted anew
	// whenever nothing speaks against it (Page's CUSUM test).
	accuseAt = 12
	// accusers is how many back ends must speak against a version, where it has as many: it is
	// not worse because one machine is.
	accusers = 5
	// slowAccusers is the same for slow answers: a back end that is slow for a moment gives several of them.
	slowAccusers = 10
	// judgeAfter is how much later an answer is weighed: what troubles both versions shows in the
	// old one's answers by then, too. Weighed at once, one good version in 30 was taken back
	// where all back ends turned slow for two seconds.
	judgeAfter = time.Second
	// judgeMovingAfter is the same while requests move to the version: much goes there then.
	judgeMovingAfter = 300 * time.Millisecond
	// mostPending bounds the answers that wait to be weighed.
	mostPending = 4096
	// leastCompared is how many answers of the old version a class must have to compare with.
	leastCompared = 20
	// aheadBy is how many more answers of one class than of another are compared.
	aheadBy = 10
	// These are the least frequencies that are assumed of the old version: few answers may have
	// shown none, and a version that is judged has its requests packed on a few back ends, where
	// more are slow of one that is not worse.
	leastFailed   = 0.02
	leastUnserved = 0.02
	leastSlow     = 0.2
	leastVerySlow = 0.05
)

// Judge compares the answers of two versions. It is not safe for concurrent use.
type Judge struct {
	classes map[string]*class
	all     against // of all classes together
	judged  int     // answers of the new version that could be compared
	chance  RandomPickRates
	// fromOne bounds what one back end adds to the evidence, and slowFromOne what its slow answers do.
	fromOne, slowFromOne float64
	// contemporaries are the old version's requests by when they were sent.
	contemporaries contemporaries
	// after is how much later answers are weighed.
	after   time.Duration
	moving  bool          // requests move to the new version
	pending []observation // answers of the new version that are still to be weighed, oldest first
}

// observation is an answer of the new version as it was seen when it came.
type observation struct {
	at       time.Time
	answer   Sample
	class    *class
	slow     comparison
	verySlow comparison
	usual    frequencies // of the old version, then
}

// comparison is whether an answer took longer than a bound, where that can be told.
type comparison struct {
	exceeds, known bool
}

// frequencies are how often requests at the old version fail, get no answer or are slow.
type frequencies struct {
	failed, unserved, slow, verySlow float64
}

// usual returns how often answers of a class of the old version are bad, or would be if its back ends were
// chosen as blindly as those of a version that is judged.
func (j *Judge) usual(now time.Time, of *class) frequencies {
	return frequencies{
		failed:   max(of.failed.of(now), leastFailed),
		unserved: max(of.unserved.of(now), j.chance.unserved, leastUnserved),
		slow:     max(of.slow.of(now), j.chance.slow, leastSlow),
		verySlow: max(of.verySlow.of(now), j.chance.verySlow, leastVerySlow),
	}
}

// class is what is known of the requests of one class.
type class struct {
	latencies                        latencies // of the old version
	failed, unserved, slow, verySlow rate      // of the old version's answers
	against                          against
	judged, bad                      int // answers of the new version that were compared, and bad ones of them
	// failures and slowness are how many of these failed or were very slow.
	failures, slowness doubt
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{classes: make(map[string]*class), fromOne: accuseAt / accusers, slowFromOne: accuseAt / slowAccusers, after: judgeAfter}
}

// SetMoving notes that requests move to the new version: answers are weighed sooner, and against requests that were sent to
// the old one in the same moment.
func (j *Judge) SetMoving() {
	j.after, j.moving = judgeMovingAfter, true
}

// SetBackends tells how many back ends of the new version there are.
func (j *Judge) SetBackends(count int) {
	j.fromOne = accuseAt / float64(min(max(count, 1), accusers))
	j.slowFromOne = accuseAt / float64(min(max(count, 1), slowAccusers))
}

// SetRandomPickRates tells what requests meet now whose back ends are not chosen for how they are.
func (j *Judge) SetRandomPickRates(chance RandomPickRates) {
	j.chance = chance
}

// maxClasses bounds the classes that are told apart.
const maxClasses = 256

func (j *Judge) class(name string) *class {
	one, known := j.classes[name]
	if known {
		return one
	}
	if len(j.classes) >= maxClasses {
		name = ""
		if one, known = j.classes[name]; known {
			return one
		}
	}
	one = &class{}
	j.classes[name] = one
	return one
}

// compare says whether an answer took more than so many times the median.
func (c *class) compare(answer Sample, times time.Duration) comparison {
	median := c.latencies.median()
	if median == 0 || answer.Cold || answer.Failed || answer.Unserved {
		return comparison{}
	}
	exceeds := answer.Latency > times*median
	// A request that was given up early may have been answered in time.
	return comparison{exceeds: exceeds, known: exceeds || !answer.Canceled}
}

// OldSent notes a request that is sent to the old version now.
func (j *Judge) OldSent(now time.Time) {
	j.contemporaries.sent(now)
}

// DiscardOld notes that a request which was sent to the old version at a time tells nothing of it.
func (j *Judge) DiscardOld(sent time.Time) {
	j.contemporaries.answered(sent, comparison{}, comparison{})
}

// AddOld takes in an answer of the old version.
func (j *Judge) AddOld(now time.Time, answer Sample) {
	one := j.class(answer.Class)
	slow, verySlow := one.compare(answer, slowTimes), one.compare(answer, verySlowTimes)
	if slow.known {
		one.slow.add(now, slow.exceeds)
	}
	if verySlow.known {
		one.verySlow.add(now, verySlow.exceeds)
	}
	j.contemporaries.answered(answer.sent(now), slow, verySlow)
	if answer.Canceled {
		return
	}
	one.unserved.add(now, answer.Unserved)
	if !answer.Unserved {
		one.failed.add(now, answer.Failed)
	}
	if !answer.Failed && !answer.Unserved {
		one.latencies.add(answer.Latency)
	}
}

// AddNew takes in an answer of the new version.
func (j *Judge) AddNew(now time.Time, answer Sample) {
	one := j.class(answer.Class)
	seen := observation{
		at: now, answer: answer, class: one, slow: one.compare(answer, slowTimes), verySlow: one.compare(answer, verySlowTimes), usual: j.usual(now, one),
	}
	if answer.Failed || seen.slow.known {
		one.judged++
		j.judged++
	}
	if answer.Failed || seen.slow.exceeds {
		one.bad++
	}
	if len(j.pending) < mostPending {
		j.pending = append(j.pending, seen)
	}
}

// weighPending weighs the answers that have waited for long enough.
func (j *Judge) weighPending(now time.Time) {
	due := 0
	for due < len(j.pending) && now.Sub(j.pending[due].at) >= j.after {
		j.weighOne(now, j.pending[due])
		due++
	}
	j.pending = slices.Delete(j.pending, 0, due)
}

func (j *Judge) weighOne(now time.Time, seen observation) {
	one, answer, later := seen.class, seen.answer, j.usual(now, seen.class)
	slow, verySlow := max(seen.usual.slow, later.slow), max(seen.usual.verySlow, later.verySlow)
	if j.moving {
		// The old version's last answers are of other moments, and the fewer the further requests have moved.
		slowThen, verySlowThen := j.contemporaries.around(answer.sent(seen.at))
		slow, verySlow = max(slow, slowThen), max(verySlow, verySlowThen)
	}
	if seen.slow.known {
		j.weigh(answer.Backend, seen.slow.exceeds, slow, j.slowFromOne, &one.against.slow, &j.all.slow)
	}
	if seen.verySlow.known {
		one.slowness.add(now, seen.verySlow.exceeds, verySlow)
		j.weigh(answer.Backend, seen.verySlow.exceeds, verySlow, j.slowFromOne, &one.against.verySlow, &j.all.verySlow)
	}
	if answer.Canceled {
		return
	}
	j.weigh(answer.Backend, answer.Unserved, max(seen.usual.unserved, later.unserved), j.fromOne, &one.against.unserved, &j.all.unserved)
	if !answer.Unserved {
		one.failures.add(now, answer.Failed, max(seen.usual.failed, later.failed))
		j.weigh(answer.Backend, answer.Failed, max(seen.usual.failed, later.failed), j.fromOne, &one.against.failures, &j.all.failures)
	}
}

// weigh adds to the evidence of a class and of all what an answer of the new version says.
func (j *Judge) weigh(backend string, bad bool, usual, fromOne float64, ofClass, ofAll *evidence) {
	weight := weightOf(usual, bad)
	ofClass.add(backend, weight, fromOne)
	ofAll.add(backend, weight, fromOne)
}

// Worse says whether the new version is worse, and why, in words.
func (j *Judge) Worse(now time.Time) (why string, worse bool) {
	j.weighPending(now)
	if by := j.all.accuses(); by != "" {
		return by + ", all classes: " + j.describe(now), true
	}
	for name, one := range j.classes {
		if by := one.against.accuses(); by != "" {
			return by + ", class " + name + ": " + j.describe(now), true
		}
	}
	return "", false
}

// Inconclusive says whether the new version's answers have so far been bad more often than the old one's,
// of some class, without that being sure.
func (j *Judge) Inconclusive() bool {
	for _, one := range j.classes {
		if one.failures.remains(failedMore) || one.slowness.remains(slowMore) {
			return true
		}
	}
	return false
}

// Compared returns how many answers of the new version were compared.
func (j *Judge) Compared() int {
	return j.judged
}

// NeedsSamples says whether fewer answers of a class were compared than of others, so that it should be
// looked at next.
func (j *Judge) NeedsSamples(name string) bool {
	own := j.ComparedInClass(name)
	for _, one := range j.classes {
		if one.latencies.count >= leastCompared && own > one.judged+aheadBy {
			return false
		}
	}
	return true
}

// ComparedInClass returns how many answers of a class of the new version were compared.
func (j *Judge) ComparedInClass(name string) int {
	if one, known := j.classes[name]; known {
		return one.judged
	}
	return 0
}

// describe says in words what was seen.
func (j *Judge) describe(now time.Time) string {
	names := make([]string, 0, len(j.classes))
	for name := range j.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	told := ""
	for _, name := range names {
		one := j.classes[name]
		if one.judged == 0 {
			continue
		}
		if told != "" {
			told += "; "
		}
		told += fmt.Sprintf("%s %d of %d bad, %.2f of the old version's", name, one.bad, one.judged, one.failed.of(now)+one.slow.of(now))
	}
	return told
}
