// Package baseline holds the pickers that tuliphall is measured against. Each
// decides by what one daemon knows of itself.
package baseline

import "github.com/tuliphall/tuliphall/routing"

// Random picks any candidate.
type Random struct{}

// Pick implements routing.Picker.
func (Random) Pick(info routing.PickInfo) int {
	return info.Random.IntN(len(info.Candidates))
}

// RoundRobin goes through the candidates in turn.
type RoundRobin struct {
	next int
}

// Pick implements routing.Picker.
func (r *RoundRobin) Pick(info routing.PickInfo) int {
	r.next++
	return r.next % len(info.Candidates)
}

// LeastInFlight picks the candidate with the fewest of the daemon's own
// requests, at random among equals.
type LeastInFlight struct{}

// Pick implements routing.Picker.
func (LeastInFlight) Pick(info routing.PickInfo) int {
	return LeastBy(info, func(candidate *routing.State) int { return candidate.InFlight })
}

// PowerOfTwo picks the better of two random candidates by own requests.
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

// LeastBy picks the candidate with the smallest load, at random among equals.
func LeastBy(info routing.PickInfo, load func(*routing.State) int) int {
	best, least, ties := 0, 0, 0
	for index, candidate := range info.Candidates {
		value := load(candidate)
		switch {
		case index == 0 || value < least:
			best, least, ties = index, value, 1
		case value == least:
			ties++
			if info.Random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	return best
}
