package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options are a Group's settings.
type Options struct {
	Picker Picker
	Random *rand.Rand
	// Overcommit is how many requests beyond its slots a back end may hold from
	// this daemon, before its reports say that it could do with more.
	Overcommit func(slots int) int
	// SlowStart lets a cold back end begin with a single request and gives it
	// one more with each answer.
	SlowStart bool
}

// DefaultOvercommit keeps as many requests again, and one more, at hand before a
// back end's slots, so that they do not idle while answers are under way. It is
// the smallest that costs nothing at 95% load over a wire of 1.5 ms; see
// docs/ROUNDS.md.
func DefaultOvercommit(slots int) int {
	return slots + 1
}

// Group is one daemon's view of a service's back ends.
type Group struct {
	options         Options
	states          []*BackendState
	workingSet      workingSet
	byID            map[string]*BackendState
	zones           []string   // of the back ends, each once
	scanned         scanResult // of the last request, kept for its memory
	scanCount       int
	requestSequence uint64 // requests for which a back end was looked for, to mark those that they must not reach
	concurrency     concurrencyEstimator
	capacityShort   bool // at the last pick at most one back end had a place
	// boundsStale says that bounds may have been chosen since places were last short, which
	// hold for then only.
	boundsStale    bool
	commonSlowdown commonSlowdown
	// probeCredit is how many probes for fresher reports the last requests earned,
	// and origins are those that requests had.
	probeCredit   float64
	origins       []origin
	bestTargets   bestTargets // kept for its memory
	introducing   bool        // the last probe was for a first report, if any was wanted
	reportAge     reportAgeEstimator
	arrivalProbes []*BackendState // back ends that are to be asked what requests met, oldest first
	// versionRule is what holds for a version, holdsVersions whether unfamiliar ones get nothing
	// for a moment, and versionSeen since when each was seen; zero: from the beginning.
	versionRule      VersionRule
	holdsNewVersions bool
	// shared: some back ends stand in other regions, whose dispatchers use those of this one, too.
	hasOtherRegions    bool
	otherRegionTriedAt time.Time // when a back end of another region was last tried
	// ofLimits is what this daemon may use of what limited back ends take, as of its last pick.
	limitShare       Share
	versionFirstSeen map[string]time.Time
}

// NewGroup returns a group without back ends.
func NewGroup(options Options) *Group {
	return &Group{options: options, byID: make(map[string]*BackendState), limitShare: soleDispatcher.limitShare}
}

// SetBackends replaces the declared back ends. What is known of those that stay
// is kept; requests in flight at those that go are still counted when finished.
func (g *Group) SetBackends(now time.Time, backends []Backend) {
	byID := make(map[string]*BackendState, len(backends))
	states := make([]*BackendState, 0, len(backends))
	initial := len(g.states) == 0
	for _, backend := range backends {
		g.recordVersion(now, backend.Version, initial)
		state, known := g.byID[backend.ID]
		if known && state.Started != backend.Started {
			known = false // it has started again: requests of the earlier run keep the earlier state
		}
		if !known {
			// It must not get a request before it is said that it gets none.
			state = &BackendState{latencyRoot: math.Sqrt(initialLatency.Seconds()), Draining: backend.Drained}
			// Of those that were there before this daemon gave out places none is new to the
			// service, unless it is cold: each would get a request at once, whatever its load.
			state.used = initial && backend.Warm
			state.slowdown.common = &g.commonSlowdown
		}
		if state.Slots != backend.Slots || state.Window != backend.Window {
			state.window = g.initialWindow(backend)
			state.bound = g.concurrency.chooseBound(backend.Window, g.capacityShort, g.options.Random)
		}
		wasWarm := known && state.Warm
		undrained := known && state.Draining && !backend.Drained
		state.Backend, state.Draining = backend, backend.Drained
		switch {
		case backend.Warm && !wasWarm:
			state.setWarm()
		case undrained, !backend.Warm && (wasWarm || !known):
			state.setCold(now, backend.WarmUp.Duration)
		}
		state.setLimit(now, backend.Limit)
		byID[backend.ID] = state
		states = append(states, state)
	}
	g.states, g.byID = states, byID
	g.hasOtherRegions = slices.ContainsFunc(states, func(state *BackendState) bool { return state.OtherRegion })
	g.workingSet.setBackends(now, states)
	g.arrivalProbes = slices.DeleteFunc(g.arrivalProbes, func(state *BackendState) bool { return byID[state.ID] != state })
	g.boundsStale = true
	g.indexZones()
}

// numberZones gives each zone of the back ends a number.
func (g *Group) indexZones() {
	g.zones = g.zones[:0]
	for _, state := range g.states {
		state.zoneIndex = slices.Index(g.zones, state.Zone)
		if state.zoneIndex < 0 {
			state.zoneIndex = len(g.zones)
			g.zones = append(g.zones, state.Zone)
		}
	}
}

// States returns the back ends' states. The caller must not change them.
func (g *Group) States() []*BackendState {
	return g.states
}

// Busy says whether any back end has a request of this daemon's.
func (g *Group) Busy() bool {
	return slices.ContainsFunc(g.states, func(state *BackendState) bool { return state.InFlight > 0 })
}

// ScanCount returns how often all back ends were looked at for a request.
func (g *Group) ScanCount() int {
	return g.scanCount
}

// State returns a back end's state, or nil where it is not known.
func (g *Group) State(id string) *BackendState {
	return g.byID[id]
}

// ServiceInterval returns how long the back ends take for one request, all together, as far
// as their latencies tell. It is 0 when no back end takes requests.
func (g *Group) ServiceInterval(now time.Time) time.Duration {
	serviceRate := 0.0
	for _, state := range g.states {
		if !g.unavailable(state, now) {
			serviceRate += state.serviceRate(now)
		}
	}
	if serviceRate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / serviceRate)
}

// SetDraining notes that a back end is to get no new requests, or gets them again. One that
// comes back may have turned cold, whatever was heard of it last.
func (g *Group) SetDraining(now time.Time, id string, draining bool) {
	if state, ok := g.byID[id]; ok {
		if state.Draining && !draining {
			state.setCold(now, state.WarmUp.Duration)
		}
		state.Draining = draining
	}
}

// AcceptsRequests says whether a back end is known and not leaving.
func (g *Group) AcceptsRequests(id string) bool {
	state, known := g.byID[id]
	return known && !state.Draining && !g.ExcludesVersion(state.Version)
}

// Available says whether any back end could take a request, now or later.
func (g *Group) Available() bool {
	for _, state := range g.states {
		if !state.Draining && !g.versionExcluded(state) {
			return true
		}
	}
	return false
}

// Request is what routing needs to know of a request.
type Request struct {
	// Session binds requests with the same text to one back end; empty: no
	// binding.
	Session string
	// Tried holds the back ends that already failed the request.
	Tried []string
	// Repeatable requests may be used to try an ejected back end.
	Repeatable bool
	// Zone is that of the daemon that sends the request.
	Zone string
	// LimitShare is what the daemon that chooses may use of what limited back ends take; a part of 0:
	// all of it.
	LimitShare Share
	// Excluded are the back ends that it must not reach, though others may.
	Excluded []Exclusion
	// IndependentDaemons is how many daemons may choose for requests of the service just now, each by
	// itself; 0 or 1: one dispatcher for all.
	IndependentDaemons int
}

// Pick chooses a back end for a request and counts it as sent. It returns false
// when every back end is full, draining or ejected, and the request must wait.
func (g *Group) Pick(now time.Time, request Request) (PickResult, bool) {
	g.limitShare = request.dispatchRole().limitShare
	g.markExcluded(now, &request)
	g.scan(now, request)
	if request.Session != "" {
		return g.pickSession(now, request)
	}
	if trial := g.scanned.trial; trial != nil {
		trial.health.RecordTrial(now)
		g.recordSend(trial, now)
		return g.pickResult(trial, ReasonTrial, 1, now), true
	}
	if len(g.scanned.eligible) == 0 {
		return PickResult{}, false
	}
	if len(g.scanned.free) == 0 && g.refreshStaleBounds() {
		g.scan(now, request)
	}
	free := g.scanned.free
	g.capacityShort = len(free) < 2
	if len(free) == 0 {
		if borrowed := g.otherRegionTarget(now, request.dispatchRole()); borrowed != nil {
			g.recordSend(borrowed, now)
			return g.pickResult(borrowed, ReasonOtherRegion, 1, now), true
		}
		return PickResult{}, false
	}
	from := origin{zone: request.Zone, repeatable: request.Repeatable}
	g.earnProbes(from)
	if unused := g.firstRequestTarget(now, request); unused != nil {
		g.recordSend(unused, now)
		return g.pickResult(unused, ReasonFirstRequest, len(free), now), true
	}
	chosen := free[g.options.Picker.Pick(PickInfo{Now: now, Random: g.options.Random, Origin: from, Candidates: free})]
	g.recordSend(chosen, now)
	return g.pickResult(chosen, ReasonLoad, len(free), now), true
}

func (g *Group) pickResult(state *BackendState, reason Reason, candidates int, now time.Time) PickResult {
	return PickResult{
		Backend: state, Reason: reason, Candidates: candidates, MostlyFull: 2*candidates < len(g.scanned.eligible), ReportAge: state.ReportAge(now),
		slowdownAtPick: state.slowdown.expected(now), occupancyAtPick: state.occupancy,
		BestInFlight: g.concurrency.settledBest(state.Window),
	}
}

// mostInFlight bounds this daemon's requests at a back end.
func (g *Group) maxInFlight(state *BackendState, now time.Time) int {
	return g.maxInFlightWithin(state, now, state.bound)
}

// mostWithin is mostInFlight where something else than what was learned bounds it.
func (g *Group) maxInFlightWithin(state *BackendState, now time.Time, bound int) int {
	limit := state.maxInFlight(g.options.SlowStart)
	switch {
	case state.OtherRegion:
		limit = min(limit, state.otherRegionRoom(now))
	case g.hasOtherRegions:
		limit = min(limit, state.ownRegionRoom(now))
	}
	if state.Window == 0 {
		return limit
	}
	return min(limit, bound)
}

// learn takes in a request that succeeded, and chooses the bound of its back end anew
// after some of them.
func (g *Group) learnConcurrency(picked PickResult) {
	state := picked.Backend
	if state.Window == 0 {
		return
	}
	if g.concurrency.observe(state.Window, state.occupancy.since(picked.occupancyAtPick)) {
		g.resetBounds(state.Window)
	}
	if state.answersSinceBound++; state.answersSinceBound >= boundRevisionRounds*state.bound {
		g.resetBound(state)
	}
}

// BestInFlight returns with how many requests in flight a back end does best, as far as is
// known; 0 where it is not known or has no bound.
func (g *Group) BestInFlight(id string) int {
	if state, known := g.byID[id]; known && state.Window > 0 {
		return g.concurrency.best(state.Window)
	}
	return 0
}

// SetConcurrencyHint takes in with how many requests in flight another daemon, which dispatched the
// service until now, found that a back end does best.
func (g *Group) SetConcurrencyHint(id string, inFlight int) {
	if state, known := g.byID[id]; known && inFlight > 0 && inFlight <= state.Window {
		g.concurrency.setHint(state.Window, inFlight)
	}
}

// rebound chooses the bounds of those back ends anew for which it was chosen before
// places were short, and says whether there were any.
func (g *Group) refreshStaleBounds() bool {
	g.capacityShort = true
	if !g.boundsStale {
		return false
	}
	g.boundsStale = false
	changed := false
	for _, state := range g.states {
		if state.Window > 0 && !state.boundWhenShort {
			g.resetBound(state)
			changed = true
		}
	}
	return changed
}

// chooseAll chooses the bounds of all back ends with so many slots.
func (g *Group) resetBounds(slots int) {
	for _, state := range g.states {
		if state.Window == slots {
			g.resetBound(state)
		}
	}
}

// choose chooses how many requests a back end is to hold from now on.
func (g *Group) resetBound(state *BackendState) {
	state.answersSinceBound, state.boundWhenShort = 0, g.capacityShort
	g.boundsStale = g.boundsStale || !g.capacityShort
	state.bound = g.concurrency.chooseBound(state.Window, g.capacityShort, g.options.Random)
}

// pickSession chooses by rendezvous hashing, so that every daemon chooses alike
// without any state. A bound back end may be sent more than its limit.
func (g *Group) pickSession(now time.Time, request Request) (PickResult, bool) {
	best := g.sessionBackend(request.Session)
	if best == nil {
		return PickResult{}, false
	}
	if g.excludes(best) || !g.withinRateLimits(best, now, request.dispatchRole()) {
		return PickResult{}, false // the request waits: only this one has its session
	}
	g.recordSend(best, now)
	return g.pickResult(best, ReasonSession, len(g.scanned.eligible), now), true
}

// bound returns the back end that a session is bound to, of those that were found; nil: there is none.
func (g *Group) sessionBackend(session string) *BackendState {
	var best *BackendState
	var bestHash uint64
	for _, state := range g.scanned.eligible {
		hash := xxhash.Sum64String(session + "\x00" + state.ID)
		if best == nil || hash > bestHash {
			best, bestHash = state, hash
		}
	}
	return best
}

// SessionBlockedUntil returns when the back end that a request is bound to by its session takes one again, and false
// where the request is not bound or may be sent now. It is called after Pick has found no place.
func (g *Group) SessionBlockedUntil(now time.Time, request Request) (time.Time, bool) {
	if request.Session == "" {
		return time.Time{}, false
	}
	state := g.sessionBackend(request.Session)
	if state == nil {
		return time.Time{}, false
	}
	if index := slices.IndexFunc(request.Excluded, func(e Exclusion) bool { return e.Backend == state.ID && e.active(now) }); index >= 0 {
		return request.Excluded[index].Until, true
	}
	if !state.limit.Limited {
		return time.Time{}, false
	}
	return state.limit.pacing.dueAt(state.limit.rate(), request.dispatchRole().limitShare), true
}

func (g *Group) recordSend(state *BackendState, now time.Time) {
	state.advanceOccupancy(now)
	if state.InFlight == 0 {
		state.silentSince = now
	}
	state.InFlight++
	state.used = true
	g.workingSet.requestStarted(now)
	state.chargeRateLimits(now)
}

// firstWindow is the bound before any report.
func (g *Group) initialWindow(backend Backend) float64 {
	if backend.Window > 0 {
		return float64(backend.Window)
	}
	return g.minWindow(backend.Slots)
}

func (g *Group) minWindow(slots int) float64 {
	return float64(slots + g.options.Overcommit(slots))
}

// Report is what a back end tells of its load.
type Report struct {
	InFlight int // requests it holds, of every daemon
	// Slowdown is how much longer work takes there now than usually; 0: not
	// told.
	Slowdown float64
	// WarmUpLeft is for how long it remains cold; 0: not told.
	WarmUpLeft time.Duration
}

// RecordReport notes a load report of the back end. waiting says whether requests wait
// for a place here.
func (g *Group) RecordReport(state *BackendState, report Report, waiting bool, at time.Time) {
	if at.Before(state.reportedAt) {
		return
	}
	if report.Slowdown > 0 {
		if !state.slowdown.at.IsZero() {
			g.reportAge.recordReports(state.slowdown.last, report.Slowdown, at.Sub(state.slowdown.at))
		}
		g.commonSlowdown.record(report.Slowdown)
		state.slowdown.record(at, report.Slowdown)
	}
	if report.WarmUpLeft > 0 {
		state.setCold(at, report.WarmUpLeft)
	}
	inFlight := report.InFlight
	state.adjustWindow(inFlight, waiting, g.minWindow(state.Slots))
	state.reportedInFlight = max(inFlight-state.InFlight, 0)
	state.reportedAt = at
}

// SetPeers notes what other daemons together have in flight at a back end.
func (g *Group) SetPeers(id string, inFlight int, at time.Time) {
	if state, ok := g.byID[id]; ok && at.After(state.peerInFlightAt) {
		state.peerInFlight, state.peerInFlightAt = inFlight, at
	}
}

func contains(list []string, id string) bool {
	for _, entry := range list {
		if entry == id {
			return true
		}
	}
	return false
}
