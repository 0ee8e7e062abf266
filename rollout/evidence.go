package rollout

import "math"

// against is what speaks against the new version.
type against struct {
	failures, unserved, slow, verySlow evidence
}

// weightOf returns how much an answer of the new version speaks against it: the logarithm of how much
// more likely it is of a worse version than of one whose answers are as often bad as usual.
func weightOf(usual float64, bad bool) float64 {
	worse := usual + worseBy*(1-usual)
	if bad {
		return math.Log(worse / usual)
	}
	return math.Log((1 - worse) / (1 - usual))
}

// evidence is what speaks against a version, of late.
type evidence struct {
	sum       float64
	byBackend map[string]float64
}

// add takes in an answer. What a back end says counts up to a bound, and nothing that speaks for a
// version is saved up: it may turn bad later.
func (e *evidence) add(backend string, weight, fromOne float64) {
	if e.byBackend == nil {
		e.byBackend = make(map[string]float64)
	}
	before := e.byBackend[backend]
	after := min(before+weight, 2*fromOne)
	e.byBackend[backend] = after
	e.sum += min(after, fromOne) - min(before, fromOne)
	if e.sum <= 0 {
		e.sum = 0
		clear(e.byBackend)
	}
}

// accuses says by what the version is found to be worse, in words; empty: it is not.
func (a *against) accuses() string {
	switch {
	case a.failures.accuses():
		return "failures"
	case a.unserved.accuses():
		return "no answers"
	case a.verySlow.accuses():
		return "very slow answers"
	case a.slow.accuses():
		return "slow answers"
	}
	return ""
}

// rounding is by how much a sum of weights may fall short of accuseAt: that of its additions.
const rounding = 1e-9

func (e *evidence) accuses() bool {
	return e.sum >= accuseAt-rounding
}
