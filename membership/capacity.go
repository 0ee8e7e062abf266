package membership

import (
	"cmp"
	"slices"
)

const (
	// smallFleet is the fleet size up to which all members are selected, as they have little to do.
	smallFleet = 8
	// minHighCapacity is the minimum number of members selected: the duties of a fleet are spread over
	// several members, even if one machine is much larger than all others. With a minimum of 8, a fleet
	// of 109 with 6 large machines chose dispatchers with 0.16 of a core, which did not answer for up
	// to 2.5 s after all daemons had restarted.
	minHighCapacity = 4
)

// HighCapacity returns the members whose machines have the most processor time: at least half of that
// of the fourth largest (minHighCapacity). If the machines differ little or report nothing, these are
// all members. The duties that one daemon performs for the whole fleet go to one of these: the busiest
// daemon of 473, a dispatcher, uses 0.13 of a core over a day with overload, and the smallest machines
// have 0.16.
func HighCapacity(members []Member) []Member {
	if len(members) <= smallFleet {
		return members
	}
	cores := make([]float64, 0, len(members))
	for _, member := range members {
		cores = append(cores, member.Cores)
	}
	slices.SortFunc(cores, func(a, b float64) int { return cmp.Compare(b, a) })
	threshold := cores[minHighCapacity-1] / 2
	selected := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Cores >= threshold {
			selected = append(selected, member)
		}
	}
	return selected
}
