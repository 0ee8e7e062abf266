package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// PickInfo is what a Picker is given for one request.
type PickInfo struct {
	Now    time.Time
	Random *rand.Rand
	Origin origin // of the request
	// Candidates can all take the request now; there is at least one.
	Candidates []*BackendState
}

// Picker chooses one candidate. A Group calls it for each request; it must not block, and must
// neither retain nor change the candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate.
	Pick(info PickInfo) int
}

// Reason is why a back end was chosen.
type Reason string

// Reasons for a choice.
const (
	ReasonLoad    Reason = "least-load"
	ReasonSession Reason = "session"
	ReasonTrial   Reason = "trial" // trial request of an ejected back end
	// ReasonFirstRequest: the back end gets its first request.
	ReasonFirstRequest Reason = "newcomer"
	// ReasonOtherRegion: a back end of another region is tried, as the region's own ones are full.
	ReasonOtherRegion Reason = "lender"
	// ReasonCanary: the request is used to compare a new version of the service.
	ReasonCanary Reason = "judged-version"
)

// PickResult is a choice and what is logged about it.
type PickResult struct {
	Backend    *BackendState
	Reason     Reason
	Candidates int           // number of candidates
	MostlyFull bool          // most back ends had no free capacity
	ReportAge  time.Duration // age of the back end's last report; -1: none
	// BestInFlight is the learned number of requests in flight that back ends with as many slots do
	// best with; 0: not known yet.
	BestInFlight int

	slowdownAtPick  float64   // expected at the time of the pick
	occupancyAtPick occupancy // of the back end at the time of the pick
	silenceID       uint64    // number of the request at the back end's silence detection
}

// LeastLoad picks the candidate with the lowest load, in requests per slot, weighted by the square
// root of the back end's latency: of back ends that are about equally loaded, the one that has
// recently been faster, or is nearer, is preferred. Weighting by the latency itself reacts to every
// long request; docs/ROUNDS.md has the measurements. Ties are broken at random, so that daemons do
// not all choose the same back end.
type LeastLoad struct{}

// Pick implements Picker.
func (LeastLoad) Pick(info PickInfo) int {
	return LowestScore(info, func(candidate *BackendState, bound float64) float64 {
		return candidate.score(info.Now, info.Origin, bound)
	})
}

// LowestScore returns the index of the candidate with the lowest score, chosen at random among
// equals. score may return any value above its second argument if the score is above it.
func LowestScore(info PickInfo, score func(candidate *BackendState, bound float64) float64) int {
	best, ties := 0, 0
	lowest := math.Inf(1)
	for index, candidate := range info.Candidates {
		value := score(candidate, lowest)
		switch {
		case value < lowest:
			best, lowest, ties = index, value, 1
		case value == lowest:
			ties++
			if info.Random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	return best
}
