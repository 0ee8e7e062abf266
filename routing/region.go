package routing

import (
	"slices"
	"time"
)

const (
	// otherRegion is how much a back end of another region counts more than one of another zone of the own:
	// it is for what the own ones cannot work on. Its wire is tens of milliseconds longer and its bytes are
	// the dearest.
	otherRegion = 2.0
	// lendingTrust is for how long a report says that a back end of another region has room: as long as a
	// request or two take there. Its own region sends it requests meanwhile that are not known here.
	lendingTrust = 250 * time.Millisecond
	// lendingReserve is how many slots are left to the back end's own region. Of an idle one any is lent: a
	// region that has lost its back ends would else get next to nothing of those with one slot.
	lendingReserve = 1
	// mostBorrowed is how many requests of this daemon's such a back end holds at most: its own region may
	// fill it while they are on their way.
	mostBorrowed = 1
	// tryInterval is the time between two requests to back ends of other regions of which nothing is known,
	// while the own ones have no place: twenty a second find those with room, and hardly burden those without.
	tryInterval = 50 * time.Millisecond
)

// room is how many requests of this daemon's a back end of another region may hold: mostBorrowed if it has told
// of late that it is idle or has slots free beyond the reserve, else none. Dispatchers of three regions that each used all slots had
// nine requests at back ends of three, twice the load that all could bear (TestRegionsShareSlots).
func (s *BackendState) room(now time.Time) int {
	idle := s.reported == 0
	if s.unheardOf(now) || !idle && s.reported+lendingReserve >= s.Slots {
		return 0
	}
	return mostBorrowed
}

// ownRoom is how many requests of this daemon's a back end of the own region may hold: what other regions
// have there by its last report would have to be worked on before a further one.
func (s *BackendState) ownRoom(now time.Time) int {
	if s.unheardOf(now) {
		return s.Slots
	}
	return max(s.Slots-s.reported, 1)
}

// unheardOf says whether nothing is known of the room at a back end.
func (s *BackendState) unheardOf(now time.Time) bool {
	return s.reportAt.IsZero() || now.Sub(s.reportAt) > lendingTrust
}

// farther is how much the back end counts more for standing in another region.
func (s *BackendState) farther() float64 {
	if s.OtherRegion {
		return otherRegion
	}
	return 1
}

// lender returns a back end of another region that is tried although nothing is known of its room, as no back
// end has a place, or nil: now and then, or at any time where the own region has no back ends at all.
func (g *Group) lender(now time.Time, as sender) *BackendState {
	if !g.shared {
		return nil
	}
	home := slices.ContainsFunc(g.found.eligible, func(state *BackendState) bool { return !state.OtherRegion })
	if home && now.Sub(g.triedAt) < tryInterval {
		return nil
	}
	var chosen *BackendState
	found := 0
	for _, state := range g.found.eligible {
		if !state.OtherRegion || g.excludes(state) || state.InFlight > 0 || !state.unheardOf(now) || !g.bears(state, now, as) {
			continue
		}
		if found++; g.options.Random.IntN(found) == 0 {
			chosen = state
		}
	}
	if chosen != nil {
		g.triedAt = now
	}
	return chosen
}
