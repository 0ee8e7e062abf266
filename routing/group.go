package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tuliphall/tuliphall/silentfull"
)

// Options are the settings of a Group.
type Options struct {
	Picker Picker
	Random *rand.Rand
	// Overcommit is how many requests beyond its slots a back end may hold from this daemon before
	// its reports show that it could use more.
	Overcommit func(slots int) int
	// SlowStart lets a cold back end start with one request in flight and adds one with each
	// response.
	SlowStart bool
}

// DefaultOvercommit keeps one more request than there are slots queued at a back end, so that its
// slots do not idle while responses are under way. It is the smallest value that costs nothing at
// 95% load and a round trip of 1.5 ms; see docs/ROUNDS.md.
func DefaultOvercommit(slots int) int {
	return slots + 1
}

// Group is one daemon's view of the back ends of a service.
type Group struct {
	options         Options
	states          []*BackendState
	workingSet      workingSet
	byID            map[string]*BackendState
	zones           []string   // distinct zones of the back ends
	scanned         scanResult // result of the last scan, kept to reuse its memory
	scanCount       int
	requestSequence uint64 // number of the request being picked for, which marks the back ends that it is excluded from
	concurrency     concurrencyEstimator
	capacityShort   bool // the last pick found at most one back end with free capacity
	// boundsStale: some bounds may have been chosen while capacity was not short and do not apply
	// when it is.
	boundsStale    bool
	commonSlowdown commonSlowdown
	// probeCredit is how many load probes the recent requests have earned, and origins are the
	// origins of those requests.
	probeCredit   float64
	origins       []origin
	bestTargets   bestTargets // kept to reuse its memory
	introducing   bool        // the last load probe was for a first report, if any was missing
	reportAge     reportAgeEstimator
	arrivalProbes []*BackendState // back ends with a scheduled arrival probe, oldest first
	// versionRule restricts one version. If holdsNewVersions is set, new versions get no requests
	// for newVersionHold; versionFirstSeen is when each version was first seen; zero: with the
	// first back ends.
	versionRule      VersionRule
	holdsNewVersions bool
	// hasOtherRegions: some back ends are in other regions, whose dispatchers also use those of
	// this region.
	hasOtherRegions    bool
	otherRegionTriedAt time.Time // last attempt at a back end of another region whose capacity is unknown
	// limitShare is this daemon's share of the request limits of back ends, as of its last pick.
	limitShare       Share
	versionFirstSeen map[string]time.Time
	gradualReturn    bool // see SetGradualReturn
	returnCeiling    returnCeiling
	returning        int // back ends that are returning
	// silentService is what is known of silence at all back ends; lastResort: the request that is being
	// picked for may be the trial of a back end that was silent when full.
	silentService silentfull.Service
	lastResort    bool
}

// NewGroup returns a group without back ends.
func NewGroup(options Options) *Group {
	return &Group{options: options, byID: make(map[string]*BackendState), limitShare: soleDispatcher.limitShare}
}

// SetBackends replaces the declared back ends. The state of those that stay is kept; requests in
// flight at removed ones are still counted when they finish.
func (g *Group) SetBackends(now time.Time, backends []Backend) {
	byID := make(map[string]*BackendState, len(backends))
	states := make([]*BackendState, 0, len(backends))
	initial := len(g.states) == 0
	for _, backend := range backends {
		g.recordVersion(now, backend.Version, initial)
		state, known := g.byID[backend.ID]
		restarted := known && state.Started != backend.Started
		if restarted {
			known = false // restarted: requests of the earlier process keep the earlier state
		}
		if !known {
			// A drained back end must not get a request before the field below is set.
			state = &BackendState{latencyRoot: math.Sqrt(initialLatency.Seconds()), Draining: backend.Drained}
			// Of the back ends present before this daemon handed out permits, none is new to the
			// service unless it is cold: otherwise each would get a request at once, whatever its
			// load.
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
		if !known {
			g.beginReturnOfAdded(state, restarted)
		}
		g.updateSilenceDetection(state)
		byID[backend.ID] = state
		states = append(states, state)
	}
	g.states, g.byID = states, byID
	g.returning = g.countReturning()
	g.hasOtherRegions = slices.ContainsFunc(states, func(state *BackendState) bool { return state.OtherRegion })
	g.workingSet.setBackends(now, states)
	g.arrivalProbes = slices.DeleteFunc(g.arrivalProbes, func(state *BackendState) bool { return byID[state.ID] != state })
	g.boundsStale = true
	g.indexZones()
}

// indexZones assigns each zone of the back ends an index.
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

// States returns the states of the back ends. The caller must not change them.
func (g *Group) States() []*BackendState {
	return g.states
}

// Busy reports whether any back end holds a request of this daemon.
func (g *Group) Busy() bool {
	return slices.ContainsFunc(g.states, func(state *BackendState) bool { return state.InFlight > 0 })
}

// ScanCount returns how often all back ends were scanned for a request.
func (g *Group) ScanCount() int {
	return g.scanCount
}

// State returns the state of a back end, or nil if it is not known.
func (g *Group) State(id string) *BackendState {
	return g.byID[id]
}

// ServiceInterval returns the mean time between two requests that the back ends together can serve,
// estimated from their latencies. It is 0 if no back end takes requests.
func (g *Group) ServiceInterval(now time.Time) time.Duration {
	serviceRate := g.serviceRate(now)
	if serviceRate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / serviceRate)
}

// serviceRate returns how many requests per second the back ends together can serve.
func (g *Group) serviceRate(now time.Time) float64 {
	if g.gradualReturn {
		return g.answeringServiceRate(now)
	}
	serviceRate := 0.0
	for _, state := range g.states {
		if !g.unavailable(state, now) {
			serviceRate += state.serviceRate(now)
		}
	}
	return serviceRate
}

// SetDraining sets whether a back end is draining. One that takes requests again may have turned
// cold, whatever was last reported.
func (g *Group) SetDraining(now time.Time, id string, draining bool) {
	if state, ok := g.byID[id]; ok {
		if state.Draining && !draining {
			state.setCold(now, state.WarmUp.Duration)
		}
		state.Draining = draining
	}
}

// AcceptsRequests reports whether a back end is known and takes new requests.
func (g *Group) AcceptsRequests(id string) bool {
	state, known := g.byID[id]
	return known && !state.Draining && !g.ExcludesVersion(state.Version)
}

// Available reports whether any back end can take a request, now or later.
func (g *Group) Available() bool {
	for _, state := range g.states {
		if !state.Draining && !g.versionExcluded(state) {
			return true
		}
	}
	return false
}

// Request holds what routing needs to know about a request.
type Request struct {
	// Session binds requests with the same value to one back end; empty: not bound.
	Session string
	// Tried are the back ends that already failed the request.
	Tried []string
	// Repeatable: the request may be run more than once, so that it may serve as the trial of an
	// ejected back end.
	Repeatable bool
	// Zone is the zone of the daemon that sends the request.
	Zone string
	// LimitShare is the picking daemon's share of the request limits of back ends; a Fraction of 0:
	// all of them.
	LimitShare Share
	// Excluded are the back ends that this request must not be sent to, although others may.
	Excluded []Exclusion
	// IndependentDaemons is how many daemons may currently pick for requests of the service, each
	// independently; 0 or 1: one dispatcher picks for all.
	IndependentDaemons int
	// Urgent: the request has waited so long that, rather than be refused, it may be the trial of a
	// back end that was silent when full, even if it cannot be repeated.
	Urgent bool
}

// Pick chooses a back end for a request and counts the request as sent. It returns false if every
// back end is full, draining or ejected, so that the request must wait.
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
	if len(g.scanned.free) == 0 {
		g.scanForTrial(now, request)
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
		BestInFlight: g.concurrency.settledBest(state.Window), silenceID: state.lastSilenceID,
	}
}

// maxInFlight is the bound on this daemon's requests at a back end.
func (g *Group) maxInFlight(state *BackendState, now time.Time) int {
	return g.maxInFlightWithin(state, now, state.bound)
}

// maxInFlightWithin is maxInFlight with a bound other than the learned one.
func (g *Group) maxInFlightWithin(state *BackendState, now time.Time, bound int) int {
	limit := g.boundOfReturn(state, now, state.maxInFlight(g.options.SlowStart))
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

// Capacity returns how many requests the back ends that are neither draining nor ejected may have in flight at present.
func (g *Group) Capacity(now time.Time) int {
	capacity := 0
	for _, state := range g.states {
		if !state.Draining && !state.Ejected(now) {
			capacity += max(g.maxInFlight(state, now), 0)
		}
	}
	return capacity
}

// learnConcurrency records a successful request and after some of them chooses the bound of its
// back end again.
func (g *Group) learnConcurrency(picked PickResult) {
	state := picked.Backend
	if state.Window == 0 {
		return
	}
	if g.concurrency.observe(state.Window, state.occupancy.since(picked.occupancyAtPick)) {
		g.resetBounds(state.Window)
	}
	if state.responsesSinceBound++; state.responsesSinceBound >= boundRevisionRounds*state.bound {
		g.resetBound(state)
	}
}

// BestInFlight returns the number of requests in flight that a back end does best with, as far as
// is known; 0 if it is not known or has no bound.
func (g *Group) BestInFlight(id string) int {
	if state, known := g.byID[id]; known && state.Window > 0 {
		return g.concurrency.best(state.Window)
	}
	return 0
}

// SetConcurrencyHint sets the number of requests in flight that a back end does best with, as
// learned by the previous dispatcher of the service.
func (g *Group) SetConcurrencyHint(id string, inFlight int) {
	if state, known := g.byID[id]; known && inFlight > 0 && inFlight <= state.Window {
		g.concurrency.setHint(state.Window, inFlight)
	}
}

// refreshStaleBounds chooses the bounds again that were chosen before capacity was short, and
// reports whether there were any.
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

// resetBounds chooses the bounds of all back ends with so many slots again.
func (g *Group) resetBounds(slots int) {
	for _, state := range g.states {
		if state.Window == slots {
			g.resetBound(state)
		}
	}
}

// resetBound chooses the bound of a back end again.
func (g *Group) resetBound(state *BackendState) {
	state.responsesSinceBound, state.boundWhenShort = 0, g.capacityShort
	g.boundsStale = g.boundsStale || !g.capacityShort
	state.bound = g.concurrency.chooseBound(state.Window, g.capacityShort, g.options.Random)
}

// pickSession picks by rendezvous hashing, so that all daemons choose the same back end without
// shared state. The back end of a session may be sent more requests than its bound.
func (g *Group) pickSession(now time.Time, request Request) (PickResult, bool) {
	best := g.sessionBackend(request.Session)
	if best == nil {
		return PickResult{}, false
	}
	if g.excludes(best) || !g.withinRateLimits(best, now, request.dispatchRole()) || g.mayBeFull(best, now, &request) {
		return PickResult{}, false // the request waits: only this back end holds its session
	}
	g.recordSend(best, now)
	return g.pickResult(best, ReasonSession, len(g.scanned.eligible), now), true
}

// sessionBackend returns the back end of a session among the eligible ones, or nil if there are
// none.
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

// SessionBlockedUntil returns when the back end that a request's session is bound to takes a
// request again. It returns false if the request is not bound or may be sent now. It must be called
// after Pick has returned false for the request.
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
	if state.silentFull != nil {
		state.lastSilenceID = state.silentFull.Sent(now)
	}
	state.used = true
	g.workingSet.requestStarted(now)
	state.chargeRateLimits(now)
}

// initialWindow is the window of a back end without a report.
func (g *Group) initialWindow(backend Backend) float64 {
	if backend.Window > 0 {
		return float64(backend.Window)
	}
	return g.minWindow(backend.Slots)
}

func (g *Group) minWindow(slots int) float64 {
	return float64(slots + g.options.Overcommit(slots))
}

// Report is a back end's load report.
type Report struct {
	InFlight int // requests that it holds, of all daemons
	// Slowdown is how much longer work currently takes there than usual; 0: not reported.
	Slowdown float64
	// WarmUpLeft is for how long the back end remains cold; 0: not reported.
	WarmUpLeft time.Duration
}

// RecordReport records a load report of a back end. waiting says whether requests wait here for a
// permit.
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
		state.recordSilenceSlowdown(report.Slowdown)
	}
	if report.WarmUpLeft > 0 {
		state.setCold(at, report.WarmUpLeft)
	}
	inFlight := report.InFlight
	state.adjustWindow(inFlight, waiting, g.minWindow(state.Slots))
	state.reportedInFlight = max(inFlight-state.InFlight, 0)
	state.reportedAt = at
}

// SetPeerInFlight sets how many requests other daemons together have in flight at a back end.
func (g *Group) SetPeerInFlight(id string, inFlight int, at time.Time) {
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
