package routing

import (
	"slices"
	"time"
)

const (
	// otherRegion is how much a back end of another region counts more than one of another zone of the own:
	// it is for what the own ones cannot work on. Its wire is tens of milliseconds longer and its bytes are
	// the dearest.
	otherRegionWeight = 2.0
	// lendingTrust is for how long a report says that a back end of another region has room: as long as a
	// request or two take there. Its own region sends it requests meanwhile that are not known here.
	roomReportMaxAge = 250 * time.Millisecond
	// lendingReserve is how many slots are left to the back end's own region. Of an idle one any is lent: a
	// region that has lost its back ends would else get next to nothing of those with one slot.
	reservedSlots = 1
	// mostBorrowed is how many requests of this daemon's such a back end holds at most: its own region may
	// fill it while they are on their way.
	maxBorrowed = 1
	// tryInterval is the time between two requests to back ends of other regions of which nothing is known,
	// while the own ones have no place: twenty a second find those with room, and hardly burden those without.
	otherRegionTryInterval = 50 * time.Millisecond
)

// room is how many requests of this daemon's a back end of another region may hold: mostBorrowed if it has told
// of late that it is idle or has slots free beyond the reserve, else none. Dispatchers of three regions that each used all slots had
// nine requests at back ends of three, twice the load that all could bear (TestRegionsShareSlots).
func (s *BackendState) otherRegionRoom(now time.Time) int {
	idle := s.reportedInFlight == 0
	if s.roomUnknown(now) || !idle && s.reportedInFlight+reservedSlots >= s.Slots {
		return 0
	}
	return maxBorrowed
}

// ownRoom is how many requests of this daemon's a back end of the own region may hold: what other regions
// have there by its last report would have to be worked on before a further one.
func (s *BackendState) ownRegionRoom(now time.Time) int {
	if s.roomUnknown(now) {
		return s.Slots
	}
	return max(s.Slots-s.reportedInFlight, 1)
}

// unheardOf says whether nothing is known of the room at a back end.
func (s *BackendState) roomUnknown(now time.Time) bool {
	return s.reportedAt.IsZero() || now.Sub(s.reportedAt) > roomReportMaxAge
}

// farther is how much the back end counts more for standing in another region.
func (s *BackendState) regionWeight() float64 {
	if s.OtherRegion {
		return otherRegionWeight
	}
	return 1
}

// lender returns a back end of another region that is tried although nothing is known of its room, as no back
// end has a place, or nil: now and then, or at any time where the own region has no back ends at all.
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
