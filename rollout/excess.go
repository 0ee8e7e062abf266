package rollout

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Parameters of the monitoring for an inconclusive comparison.
const (
	// maxFailureExcess and maxSlowExcess are the largest excess rates of failures and very slow responses
	// that still count as no difference, once a class has minExcessSamples responses. If the rate over the
	// whole time is higher, a recent excess above persistingExcess is enough. maxSlowExcess is larger because
	// the slow responses of a version like the old one can be predicted less exactly: the canary's requests
	// are concentrated on a few back ends.
	maxFailureExcess = 0.1
	maxSlowExcess    = 0.2
	persistingExcess = 0.02
	minExcessSamples = 10
	// minDeviations is by how many standard deviations the bad responses must exceed the expected number:
	// for a version like the old one this happens by chance once in 40 times.
	minDeviations = 2
)

// excessMonitor detects whether responses of the new version are bad more often, in one respect, without
// enough evidence to call it worse. The zero value has no samples.
type excessMonitor struct {
	all, recent tally
}

func (m *excessMonitor) add(now time.Time, bad bool, expected float64) {
	m.recent.decay(now)
	m.all.add(bad, expected)
	m.recent.add(bad, expected)
}

// exceeds returns whether the excess rate is above a maximum.
func (m *excessMonitor) exceeds(maximum float64) bool {
	if m.all.responses < minExcessSamples {
		return false
	}
	lately := m.recent.excess()
	return lately > maximum || m.all.excess() > maximum && lately > persistingExcess
}

// tally counts responses of the new version, the bad ones among them, and how many would be expected to be bad
// if the version were like the old one at the time of each.
type tally struct {
	responses, bad, expected float64
	// variance is that of the number of bad responses of a version like the old one.
	variance  float64
	updatedAt time.Time
}

// excess returns by how much the rate of bad responses exceeds the expected one; 0: not significantly.
func (t *tally) excess() float64 {
	difference := t.bad - t.expected
	if difference < minDeviations*math.Sqrt(t.variance) {
		return 0
	}
	return difference / t.responses
}

// decay reduces the weight of older responses.
func (t *tally) decay(now time.Time) {
	if !t.updatedAt.IsZero() {
		factor := recent.Decay(now.Sub(t.updatedAt), longWindow)
		t.responses, t.bad, t.expected, t.variance = t.responses*factor, t.bad*factor, t.expected*factor, t.variance*factor
	}
	t.updatedAt = now
}

func (t *tally) add(bad bool, expected float64) {
	t.responses++
	t.expected += expected
	t.variance += expected * (1 - expected)
	if bad {
		t.bad++
	}
}
