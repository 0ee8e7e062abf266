package rollout

import (
	"math"

	"github.com/tuliphall/tuliphall/routing"
)

// RandomPickRates is how often a request is answered badly that is sent to back ends of a version like the old one, but not
// chosen for how they are. Those that a new version is judged by are sent so, to a few of its back ends in turn;
// all others go to back ends that answer, and that are not slow just now. Where back ends were slow for a
// fifth of the time, and a quarter of them was gone or a third dark for a while, 53 of 64 good versions were
// taken back for that (TestRollouts).
type RandomPickRates struct {
	unserved, slow, verySlow float64
}

// chanceOf returns the chance as the old version's back ends are now. Of those of the new one that do not
// answer, some are known by now, and get none.
func chanceOf(counts routing.VersionCounts) RandomPickRates {
	var chance RandomPickRates
	if len(counts.Others) == 0 {
		return chance
	}
	each := 1 / float64(len(counts.Others))
	for _, one := range counts.Others {
		if one.Ejected {
			chance.unserved += each
			continue
		}
		chance.slow += each * slowAt(one.Slowdown, slowTimes)
		chance.verySlow += each * slowAt(one.Slowdown, verySlowTimes)
	}
	if counts.Backends > 0 {
		known := float64(counts.Ejected) / float64(counts.Backends)
		chance.unserved = max(chance.unserved-known, 0)
	}
	return chance
}

// slowAt is how likely an answer takes more than so many times the median at a back end where work takes
// longer than usually, for exponential work: see slowTimes.
func slowAt(slowdown, times float64) float64 {
	return math.Exp2(-times / max(slowdown, 1))
}
