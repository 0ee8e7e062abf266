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
	all    tally
	recent decayingTally
}

func (m *excessMonitor) add(now time.Time, backend string, bad bool, expected float64) {
	m.recent.decay(now)
	m.all.add(backend, bad, expected)
	m.recent.add(backend, bad, expected)
}

// exceeds returns whether the excess rate is above a maximum.
func (m *excessMonitor) exceeds(now time.Time, maximum float64) bool {
	if m.all.responses < minExcessSamples {
		return false
	}
	m.recent.decay(now)
	lately := m.recent.excess()
	return lately > maximum || m.all.excess() > maximum && lately > persistingExcess
}

// tally counts responses of the new version, the bad ones among them, and how many would be expected to be bad
// if the version were like the old one at the time of each.
type tally struct {
	responses, bad, expected float64
	// variance is that of the number of bad responses of a version like the old one, if they are independent.
	variance float64
	// excesses are the bad responses beyond the expected ones, by back end.
	excesses map[string]float64
}

// excess returns by how much the rate of bad responses exceeds the expected one; 0: not significantly.
func (t *tally) excess() float64 {
	difference := t.bad - t.expected
	if difference < minDeviations*math.Sqrt(max(t.variance, t.varianceByBackend())) {
		return 0
	}
	return difference / t.responses
}

// varianceByBackend estimates the variance from how much the back ends differ. The canary's requests come in groups
// to one back end, so that a back end that is briefly slow or out of reach gives several bad responses.
func (t *tally) varianceByBackend() float64 {
	sum := 0.0
	for _, excess := range t.excesses {
		sum += excess * excess
	}
	return sum
}

func (t *tally) add(backend string, bad bool, expected float64) {
	if t.excesses == nil {
		t.excesses = make(map[string]float64)
	}
	t.responses++
	t.expected += expected
	t.variance += expected * (1 - expected)
	t.excesses[backend] -= expected
	if bad {
		t.bad++
		t.excesses[backend]++
	}
}

// decayingTally is a tally in which older responses count less.
type decayingTally struct {
	tally
	updatedAt time.Time
}

// minDecayInterval is the minimum time between two updates of the weights, each of which visits all back ends.
const minDecayInterval = 100 * time.Millisecond

// decay reduces the weight of older responses.
func (t *decayingTally) decay(now time.Time) {
	elapsed := now.Sub(t.updatedAt)
	if !t.updatedAt.IsZero() && elapsed < minDecayInterval {
		return
	}
	if !t.updatedAt.IsZero() {
		factor := recent.Decay(elapsed, longWindow)
		t.responses, t.bad, t.expected, t.variance = t.responses*factor, t.bad*factor, t.expected*factor, t.variance*factor
		for backend := range t.excesses {
			t.excesses[backend] *= factor
		}
	}
	t.updatedAt = now
}
