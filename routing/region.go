package routing

import (
	"slices"
	"time"
)

const (
	// otherRegionWeight multiplies the load of a back end of another region, on top of the weight
	// of another zone: it is meant for what the region's own back ends cannot serve. Its round trip
	// is tens of milliseconds longer, and its traffic is the most expensive.
	otherRegionWeight = 2.0
	// roomReportMaxAge is for how long a report of free slots at a back end of another region is
	// valid: as long as one or two requests take there. Meanwhile its own region sends it requests
	// that are not known here.
	roomReportMaxAge = 250 * time.Millisecond
	// reservedSlots is how many slots are left to the back end's own region. An idle back end may
	// lend any slot: otherwise a region that has lost its back ends would get next to nothing from
	// those with one slot.
	reservedSlots = 1
	// maxBorrowed is the maximum number of this daemon's requests at a back end of another region:
	// its own region may fill it while they are on their way.
	maxBorrowed = 1
	// otherRegionTryInterval is the time between two requests to back ends of other regions without
	// a valid report, while the region's own ones are full: twenty a second find those with free
	// slots and hardly burden those without.
	otherRegionTryInterval = 50 * time.Millisecond
)

// otherRegionRoom is how many requests of this daemon a back end of another region may hold:
// maxBorrowed if it has recently reported that it is idle or has more than the reserved slots free,
// otherwise none. When the dispatchers of three regions each used all slots, back ends with three
// slots held nine requests at twice the load that all could serve (TestRegionsShareSlots).
func (s *BackendState) otherRegionRoom(now time.Time) int {
	idle := s.reportedInFlight == 0
	if s.roomUnknown(now) || !idle && s.reportedInFlight+reservedSlots >= s.Slots {
		return 0
	}
	return maxBorrowed
}

// ownRegionRoom is how many requests of this daemon a back end of the own region may hold: the
// requests that other regions have there by its last report are served before any further one.
func (s *BackendState) ownRegionRoom(now time.Time) int {
	if s.roomUnknown(now) {
		return s.Slots
	}
	return max(s.Slots-s.reportedInFlight, 1)
}

// roomUnknown reports whether there is no valid report of free slots at a back end.
func (s *BackendState) roomUnknown(now time.Time) bool {
	return s.reportedAt.IsZero() || now.Sub(s.reportedAt) > roomReportMaxAge
}

// regionWeight multiplies the load of the back end for its region.
func (s *BackendState) regionWeight() float64 {
	if s.OtherRegion {
		return otherRegionWeight
	}
	return 1
}

// otherRegionTarget returns a back end of another region without a valid report to be tried when no
// back end has free capacity, or nil: once per otherRegionTryInterval, or at any time if the own
// region has no back ends.
func (g *Group) otherRegionTarget(now time.Time, role dispatchRole) *BackendState {
	if !g.hasOtherRegions {
		return nil
	}
	hasOwnRegion := slices.ContainsFunc(g.scanned.eligible, func(state *BackendState) bool { return !state.OtherRegion })
	if hasOwnRegion && now.Sub(g.otherRegionTriedAt) < otherRegionTryInterval {
		return nil
	}
	var chosen *BackendState
	candidates := 0
	for _, state := range g.scanned.eligible {
		if !state.OtherRegion || g.excludes(state) || state.InFlight > 0 || !state.roomUnknown(now) || !g.withinRateLimits(state, now, role) {
			continue
		}
		if candidates++; g.options.Random.IntN(candidates) == 0 {
			chosen = state
		}
	}
	if chosen != nil {
		g.otherRegionTriedAt = now
	}
	return chosen
}
