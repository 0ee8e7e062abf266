package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/outlier"
)

// Tuning of the estimates; see docs/ROUNDS.md for the measurements behind them.
const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 10 * time.Millisecond
	// peerHalfLife is the age at which the in-flight count told by peers
	// counts half.
	peerHalfLife = 20 * time.Millisecond
	// initialLatency is assumed of a back end that has not answered yet.
	initialLatency = time.Millisecond
)

// Backend is what is declared of a back end.
type Backend struct {
	ID   string
	Zone string
	// Version is that of its software; see VersionRule.
	Version string
	Slots   int // requests worked on at once; at least 1
	// Window bounds this daemon's requests at the back end; 0: it is learned.
	Window int
	// Warm: the back end is known to have run for a while, so that it needs no
	// slow start although this daemon meets it for the first time.
	Warm bool
	// WarmUp is what it bears while it is not.
	WarmUp WarmUp
	// Drained: by declaration it gets no new requests.
	Drained bool
	// Evacuated: that is because its zone gets none.
	Evacuated bool
	// Started tells one run of the back end from the next: what was learned of one does not
	// speak for the other.
	Started int64
	// OtherRegion: it stands in another region, whose dispatcher gives out its places, too.
	OtherRegion bool
	// Limit is how many requests it says that it takes.
	Limit backendlimit.Limit
	// PausedUntil is until when it wants no probes of this daemon. Requests of each daemon say by themselves which back
	// ends they must not reach.
	PausedUntil time.Time
}

// BackendState is what one daemon knows of one back end.
type BackendState struct {
	Backend
	zoneIndex int    // of its zone in the group
	hashOrder uint64 // in which back ends are drawn on; 0: not reckoned yet
	// InFlight counts this daemon's requests at the back end.
	InFlight int
	// Draining back ends get no new requests.
	Draining bool

	latency          time.Duration // moving average over answers; 0: none yet
	baseLatency      time.Duration // the same without the slowdown that was expected
	latencyRoot      float64       // square root of the latency, in seconds
	reportedInFlight int           // requests of other daemons, from the last report
	reportedAt       time.Time
	peerInFlight     int // requests of other daemons, as told by them
	peerInFlightAt   time.Time
	slowStartAnswers int // answers since the back end appeared or came back
	health           outlier.Detector
	heardAt          time.Time // of the last answer or probe
	window           float64   // most requests of this daemon at the back end
	slowdown         slowdown
	warmUp           warmUp
	limit            requestLimit
	// bound is how many requests it is to hold at most, of those with a declared window.
	bound             int
	answersSinceBound int  // requests that succeeded since it was chosen
	boundWhenShort    bool // places were short then
	occupancy         occupancy
	loadProbing       bool      // a probe for a fresher report is under way
	arrivalProbeSince time.Time // when the last request began of which it is to be learned what it met; zero: none
	loadProbedAt      time.Time
	// introduced is how often it was asked for its first report.
	introductions     int
	eligibleSince     time.Time // when it could first have got a request; zero: never yet
	used              bool      // it has got one
	excludedInRequest uint64    // the request, by its number in the group, that must not reach it
	// quietSince is since when the back end holds requests and has answered
	// none; zero: it holds none.
	silentSince time.Time
}

// PeerInFlight estimates the requests of other daemons at the back end from the
// freshest source, which counts less the older it is.
func (s *BackendState) PeerInFlight(now time.Time) float64 {
	if s.peerInFlight == 0 && s.reportedInFlight == 0 {
		return 0
	}
	if s.peerInFlightAt.After(s.reportedAt) {
		return decay(s.peerInFlight, now.Sub(s.peerInFlightAt), peerHalfLife)
	}
	if s.reportedAt.IsZero() {
		return 0
	}
	return decay(s.reportedInFlight, now.Sub(s.reportedAt), reportHalfLife)
}

// decay halves the count for each half-life of age, by straight lines between
// the halvings.
func decay(count int, age, halfLife time.Duration) float64 {
	if count == 0 || age < 0 {
		return float64(count)
	}
	return float64(count) / (1 + float64(age)/float64(halfLife))
}

// Latency returns the moving average of answers' latencies.
func (s *BackendState) Latency() time.Duration {
	if s.latency == 0 {
		return initialLatency
	}
	return s.latency
}

// score is what the back end costs a request from an origin: its load, weighed by the
// latency or, where the back end tells it, by how much longer work takes there now, and
// then by its zone. Where it would be most or more, anything from most on is returned.
func (s *BackendState) score(now time.Time, from origin, bound float64) float64 {
	load := s.load(now) * s.regionWeight()
	if !s.slowdown.known() {
		return load * s.latencyRoot
	}
	if from.zone != s.Zone {
		load *= from.otherZoneWeight()
	}
	return s.slowdownScore(now, load, bound)
}

// nearScore is the score for a request from the back end's own zone.
func (s *BackendState) sameZoneScore(now time.Time, bound float64) float64 {
	load := s.load(now) * s.regionWeight()
	if !s.slowdown.known() {
		return load * s.latencyRoot
	}
	return s.slowdownScore(now, load, bound)
}

// slowed is a load times the slowdown that is to be expected. Most back ends are known to
// be no better than the best so far before that is reckoned.
func (s *BackendState) slowdownScore(now time.Time, load, bound float64) float64 {
	if lower := load * s.slowdown.lowerBound(); lower > bound {
		return lower
	}
	return load * max(s.slowdown.expected(now), s.stallSlowdown(now))
}

// load is the load with one more request. Where slowdowns are told, slots that are free
// count less than those that are not.
func (s *BackendState) load(now time.Time) float64 {
	load := (float64(s.InFlight) + s.PeerInFlight(now) + 1) / float64(s.Slots)
	if !s.slowdown.known() {
		return load
	}
	return slotWeight*min(load, 1) + max(load, 1)
}

// pace returns how many requests the back end finishes in a second, as far as its latency
// and what it bears tell.
func (s *BackendState) serviceRate(now time.Time) float64 {
	places := s.Slots
	if s.OtherRegion {
		places = s.otherRegionRoom(now)
	}
	perSecond := float64(places) / s.Latency().Seconds()
	if s.limitedByWarmUp(now) {
		perSecond = min(perSecond, s.WarmUp.PerSecond)
	}
	if s.limit.Limited {
		perSecond = min(perSecond, s.limit.rate())
	}
	return perSecond
}

// origin is what of a request its score at a back end depends on.
type origin struct {
	zone       string // of the daemon that sends it
	repeatable bool
}

// otherZone is how much a back end in another zone counts more for the request.
func (o origin) otherZoneWeight() float64 {
	if o.repeatable {
		return otherZoneWeight
	}
	return otherZoneOnceWeight
}

// stall is the slowdown that the back end's silence tells: it holds requests and
// has not answered any for so many times the time that they take undisturbed.
func (s *BackendState) stallSlowdown(now time.Time) float64 {
	if s.baseLatency == 0 {
		return 0
	}
	return float64(s.silence(now)) / float64(s.baseLatency)
}

// quiet returns for how long the back end has held requests and answered none.
func (s *BackendState) silence(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// stallLimit is for how many times its latency a back end may be quiet, before a
// request that was given up on counts as failed.
const maxSilenceLatencies = 4

// otherZone is how much a back end in another zone counts more: its wire is longer
// and its bytes cost, but a free or undisturbed one is worth more than a near one.
const otherZoneWeight = 1.9

// otherZoneOnce is the same for a request that may run once only: it cannot be sent to
// a second back end when the first turns out to be slow.
const otherZoneOnceWeight = 1.2

// slotWeight is how much a slot's load counts while slots are free, against the time that
// work takes: of two slots the second costs 1.4 times as much as the first. At 0.5 it cost a
// fifth more, so that back ends that had just answered were sent a second request while others
// stood idle that had told nothing of late. Of the requests of 8 days at 257 back ends 0.128
// were late with 0.5 and 0.119 with 2; at their capacity (load pattern capacity) 0.881 were in
// time with 0.5, 0.873 with 1.5 and 0.861 with 2.
const slotWeight = 1.5

// mostInFlight bounds this daemon's requests at the back end.
func (s *BackendState) maxInFlight(slowStart bool) int {
	full := int(s.window)
	if !slowStart {
		return full
	}
	return min(full, 1+s.slowStartAnswers)
}

// Bounds and steps of the window; see learnWindow.
const (
	maxWindowPerSlot     = 8 // most requests a slot
	windowIncrement      = 0.25
	windowDecrement      = 0.05
	windowQueueThreshold = 2 // queued requests at the back end that narrow the window
)

// learnWindow widens the window of a back end that has a free slot while
// requests wait for it here, as the wire is long against its work, and narrows
// it again when its queue grows.
func (s *BackendState) adjustWindow(inFlight int, waiting bool, minWindow float64) {
	switch {
	case s.Window > 0:
		s.window = float64(s.Window)
	case waiting && inFlight < s.Slots:
		s.window = min(s.window+windowIncrement, float64(maxWindowPerSlot*s.Slots))
	case inFlight > s.Slots+windowQueueThreshold:
		s.window = max(s.window-windowDecrement, minWindow)
	}
}

// ReportAge returns the age of the last report, or -1 when there was none.
func (s *BackendState) ReportAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// Ejected says whether the back end is out for failing.
func (s *BackendState) Ejected(now time.Time) bool {
	return s.health.Ejected(now)
}
