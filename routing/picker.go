package routing

import (
	"math/rand/v2"
	"time"
)

// PickInfo is what a Picker sees of one request.
type PickInfo struct {
	Now    time.Time
	Random *rand.Rand
	// Candidates may all take the request now; there is at least one.
	Candidates []*State
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
)

// PickResult is a choice with what is logged about it.
type PickResult struct {
	Backend    *State
	Reason     Reason
	Candidates int           // candidates weighed
	ReportAge  time.Duration // age of the back end's last report; -1: none yet
}

// LeastLoad picks the candidate on which the request should finish first: the
// time a request takes there, lengthened by the requests it must queue behind.
// Ties are broken at random, so that daemons do not follow each other.
type LeastLoad struct{}

// Pick implements Picker.
func (LeastLoad) Pick(info PickInfo) int {
	best, ties := 0, 0
	var bestScore time.Duration
	for index, candidate := range info.Candidates {
		score := candidate.expected(info.Now)
		switch {
		case index == 0 || score < bestScore:
			best, bestScore, ties = index, score, 1
		case score == bestScore:
			ties++
			if info.Random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	return best
}
