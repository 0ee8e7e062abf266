package rollout

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// What leaves a version in doubt.
const (
	// failedMore and slowMore are by how much more often failures and very slow answers leave a version in
	// doubt, from leastDoubted answers of a class on; stillDoubtedBy, of late, if that was so over the
	// whole time. How many are slow of a version like the old one is known less exactly: its requests are
	// packed.
	failedMore     = 0.1
	slowMore       = 0.2
	stillDoubtedBy = 0.02
	leastDoubted   = 10
	// doubtedDeviations is by how many standard deviations more answers must be bad than expected: a version
	// like the old one is so by chance once in 40 times.
	doubtedDeviations = 2
)

// doubt is whether answers of the new version are bad more often, in one way, without that being sure.
// The zero value has seen none.
type doubt struct {
	all, lately tally
}

func (d *doubt) add(now time.Time, bad bool, expected float64) {
	d.lately.fade(now)
	d.all.add(bad, expected)
	d.lately.add(bad, expected)
}

// remains says whether there is doubt now.
func (d *doubt) remains(by float64) bool {
	if d.all.answers < leastDoubted {
		return false
	}
	lately := d.lately.excess()
	return lately > by || d.all.excess() > by && lately > stillDoubtedBy
}

// tally counts answers of the new version, bad ones, and how many would be bad if it were like the old
// one at the time of each.
type tally struct {
	answers, bad, expected float64
	// variance is that of the number of bad ones of a version like the old one.
	variance float64
	at       time.Time
}

// excess is by how much more often answers were bad than expected; 0: by no more than chance may.
func (t *tally) excess() float64 {
	more := t.bad - t.expected
	if more < doubtedDeviations*math.Sqrt(t.variance) {
		return 0
	}
	return more / t.answers
}

// fade lets what was longer ago count less.
func (t *tally) fade(now time.Time) {
	if !t.at.IsZero() {
		left := recent.Decay(now.Sub(t.at), longSpan)
		t.answers, t.bad, t.expected, t.variance = t.answers*left, t.bad*left, t.expected*left, t.variance*left
	}
	t.at = now
}

func (t *tally) add(bad bool, expected float64) {
	t.answers++
	t.expected += expected
	t.variance += expected * (1 - expected)
	if bad {
		t.bad++
	}
}
