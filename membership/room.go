package membership

import (
	"cmp"
	"slices"
)

const (
	// smallFleet is up to how many members all have room: there is little to do.
	smallFleet = 8
	// leastRoomy is how many members have room at the least: the duties of a fleet are spread
	// over some, also where a single machine is much larger than all others. With 8 of them a
	// fleet of 109 with 6 large machines chose dispatchers of 0.16 of a core, which did not
	// answer for up to 2.5 s after all had started anew.
	leastRoomy = 4
)

// HighCapacity returns the members whose machines have the most processor time: at least half of
// what the fourth of them has. Where machines differ little, or tell nothing, these are
// all. What one daemon does for a whole fleet is done by one of these: the busiest daemon
// of 473, a dispatcher, uses 0.13 of a core over a day with overload, and the smallest
// machines have 0.16.
func HighCapacity(members []Member) []Member {
	if len(members) <= smallFleet {
		return members
	}
	cores := make([]float64, 0, len(members))
	for _, member := range members {
		cores = append(cores, member.Cores)
	}
	slices.SortFunc(cores, func(a, b float64) int { return cmp.Compare(b, a) })
	enough := cores[leastRoomy-1] / 2
	roomy := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Cores >= enough {
			roomy = append(roomy, member)
		}
	}
	return roomy
}
