package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// PickInfo is what a Picker sees of one request.
type PickInfo struct {
	Now    time.Time
	Random *rand.Rand
	Origin origin // of the request
	// Candidates may all take the request now; there is at least one.
	Candidates []*BackendState
}

// Picker chooses one candidate. A Group calls it for each request; it must not
// block, keep the candidates, or change them.
type Picker interface {
	// Pick returns the index of the chosen candidate.
	Pick(info PickInfo) int
}

// Reason says why a back end was chosen.
type Reason string

// The reasons.
const (
	ReasonLoad    Reason = "least-load"
	ReasonSession Reason = "session"
	ReasonTrial   Reason = "trial" // an ejected back end gets one request to show itself
	// ReasonFirstRequest: a back end gets its first request.
	ReasonFirstRequest Reason = "newcomer"
	// ReasonOtherRegion: a back end of another region is tried, as the own ones have no place.
	ReasonOtherRegion Reason = "lender"
	// ReasonCanary: a new version of the service is judged by the request.
	ReasonCanary Reason = "judged-version"
)

// PickResult is a choice with what is logged about it.
type PickResult struct {
	Backend    *BackendState
	Reason     Reason
	Candidates int           // candidates weighed
	MostlyFull bool          // most back ends had no place
	ReportAge  time.Duration // age of the back end's last report; -1: none yet
	// BestInFlight is with how many requests back ends with as many slots do best, as
	// learned; 0: that is not known yet.
	BestInFlight int

	slowdownAtPick  float64   // expected when it was picked
	occupancyAtPick occupancy // of the back end when it was picked
}

// LeastLoad picks the candidate with the smallest load, counted in requests a
// slot and weighed by the square root of the back end's latency: among back ends
// that are about equally loaded, the one that has lately been faster, or is
// nearer, goes first. Weighing by the latency itself follows every long request;
// docs/ROUNDS.md has the measurements. Ties are broken at random, so that daemons
// do not follow each other.
type LeastLoad struct{}

// Pick implements Picker.
func (LeastLoad) Pick(info PickInfo) int {
	return LowestScore(info, func(candidate *BackendState, most float64) float64 {
		return candidate.score(info.Now, info.Origin, most)
	})
}

// LowestScore returns the index of the candidate with the smallest score, at random
// among equals. score may return anything above most where the score is above it.
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
