package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// VersionUse restricts which requests are sent to the back ends of a version.
type VersionUse int

// Restrictions of a version.
const (
	// AnyVersion: versions are not restricted.
	AnyVersion VersionUse = iota
	// CanaryVersion: it gets only the requests that compare it with the others.
	CanaryVersion
	// ExcludedVersion: it gets no requests.
	ExcludedVersion
	// OnlyVersion: all other versions get no requests.
	OnlyVersion
)

// VersionRule restricts one version of a service's back ends. The zero value restricts nothing.
type VersionRule struct {
	Version string
	Use     VersionUse
}

// newVersionHold is for how long a new version gets no requests while versions are held: the
// rollout order for it may be on its way. Changes that a broken watch does not deliver arrive
// within 1.4 s.
const newVersionHold = 5 * time.Second

// SetVersionRule sets the version rule.
func (g *Group) SetVersionRule(rule VersionRule) {
	g.versionRule = rule
}

// SetHoldNewVersions sets whether versions that were not seen before get no requests for
// newVersionHold.
func (g *Group) SetHoldNewVersions(hold bool) {
	g.holdsNewVersions = hold
}

// recordVersion records that there are back ends of a version. initial: they are among the first
// back ends of the group, none of whose versions counts as new.
func (g *Group) recordVersion(now time.Time, version string, initial bool) {
	if _, seen := g.versionFirstSeen[version]; seen {
		return
	}
	if g.versionFirstSeen == nil {
		g.versionFirstSeen = make(map[string]time.Time)
	}
	if initial {
		now = time.Time{}
	}
	g.versionFirstSeen[version] = now
}

// unavailable reports whether a back end gets no requests because it is draining or because of its
// version.
func (g *Group) unavailable(state *BackendState, now time.Time) bool {
	return state.Draining || g.versionExcluded(state) || g.versionHeld(state, now)
}

// ExcludesVersion reports whether a version gets no requests, not even to compare it.
func (g *Group) ExcludesVersion(version string) bool {
	switch g.versionRule.Use {
	case ExcludedVersion:
		return version == g.versionRule.Version
	case OnlyVersion:
		return version != g.versionRule.Version
	}
	return false
}

// versionExcluded reports whether a back end's version gets no requests, except perhaps those that
// compare it.
func (g *Group) versionExcluded(state *BackendState) bool {
	switch g.versionRule.Use {
	case CanaryVersion, ExcludedVersion:
		return state.Version == g.versionRule.Version
	case OnlyVersion:
		return state.Version != g.versionRule.Version
	}
	return false
}

func (g *Group) versionHeld(state *BackendState, now time.Time) bool {
	if !g.holdsNewVersions || g.versionRule.Use != AnyVersion && g.versionRule.Version == state.Version {
		return false // the rule for the version is known
	}
	seen := g.versionFirstSeen[state.Version]
	return !seen.IsZero() && now.Sub(seen) < newVersionHold
}

// turnMultiplier spreads the turns over all bits of a hash: 2^64 divided by the golden ratio
// (Fibonacci hashing).
const turnMultiplier = 0x9e3779b97f4a7c15

// PickCanary picks a back end of a version for a request that is used to compare it, and counts the
// request as sent. The requests are packed on a few back ends, which change with each turn counted
// by the caller: a version that is bad under load shows it only under load, and no single back end
// represents all. All slots are used, even if back ends were learned to do best with fewer
// requests: without this, 6 of 896 versions that fail only if all slots are taken were completed
// (TestRollouts).
func (g *Group) PickCanary(now time.Time, request Request, version string, turn int) (PickResult, bool) {
	var best *BackendState
	var bestHash uint64
	candidates := 0
	g.markExcluded(now, &request)
	for _, state := range g.states {
		if state.Version != version || state.Draining || g.excludes(state) || state.Ejected(now) || contains(request.Tried, state.ID) ||
			state.InFlight >= g.maxInFlightWithin(state, now, max(state.bound, state.Slots)) || !g.withinRateLimits(state, now, request.dispatchRole()) {
			continue
		}
		candidates++
		if best != nil && state.InFlight < best.InFlight {
			continue
		}
		hash := xxhash.Sum64String(state.ID) ^ uint64(turn)*turnMultiplier
		if best == nil || state.InFlight > best.InFlight || hash > bestHash {
			best, bestHash = state, hash
		}
	}
	if best == nil {
		return PickResult{}, false
	}
	g.recordSend(best, now)
	return PickResult{
		Backend: best, Reason: ReasonCanary, Candidates: candidates, ReportAge: best.ReportAge(now),
		slowdownAtPick: best.slowdown.expected(now), occupancyAtPick: best.occupancy, BestInFlight: g.concurrency.settledBest(best.Window),
	}, true
}

// VersionCounts counts the back ends of a version and of all others.
type VersionCounts struct {
	Backends, Slots, OtherSlots, OtherInFlight int
	// Ejected is how many of Backends are ejected.
	Ejected int
	// Others are the back ends of other versions that take requests.
	Others []BackendHealth
}

// BackendHealth is the health of a back end of another version.
type BackendHealth struct {
	Ejected  bool
	Slowdown float64 // how much longer work is expected to take there now than usual
}

// CountVersion counts the back ends of a version that take requests, and the requests at the
// others.
func (g *Group) CountVersion(now time.Time, version string) VersionCounts {
	var counts VersionCounts
	for _, state := range g.states {
		switch {
		case state.Version != version:
			counts.OtherInFlight += state.InFlight
			if !state.Draining {
				counts.OtherSlots += state.Slots
				counts.Others = append(counts.Others, BackendHealth{Ejected: state.Ejected(now), Slowdown: state.slowdown.expected(now)})
			}
		case !state.Draining:
			counts.Backends++
			counts.Slots += state.Slots
			if state.Ejected(now) {
				counts.Ejected++
			}
		}
	}
	return counts
}
