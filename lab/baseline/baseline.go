// Package baseline has the pickers that tuliphall is compared with. Each uses only
// the state of its own daemon.
package baseline

import "github.com/tuliphall/tuliphall/routing"

// Random picks a candidate uniformly at random.
type Random struct{}

// Pick implements routing.Picker.
func (Random) Pick(info routing.PickInfo) int {
	return info.Random.IntN(len(info.Candidates))
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct {
	next int
}

// Pick implements routing.Picker.
func (r *RoundRobin) Pick(info routing.PickInfo) int {
	r.next++
	return r.next % len(info.Candidates)
}

// LeastInFlight picks the candidate with the fewest requests in flight from its
// own daemon, at random among equals.
type LeastInFlight struct{}

// Pick implements routing.Picker.
func (LeastInFlight) Pick(info routing.PickInfo) int {
	return routing.LowestScore(info, func(candidate *routing.BackendState, _ float64) float64 { return float64(candidate.InFlight) })
}

// PowerOfTwo picks, of two random candidates, the one with fewer requests in
// flight from its own daemon.
type PowerOfTwo struct{}

// Pick implements routing.Picker.
func (PowerOfTwo) Pick(info routing.PickInfo) int {
	first := info.Random.IntN(len(info.Candidates))
	second := info.Random.IntN(len(info.Candidates))
	if info.Candidates[second].InFlight < info.Candidates[first].InFlight {
		return second
	}
	return first
}
