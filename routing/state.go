package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/outlier"
	"github.com/tuliphall/tuliphall/silentfull"
)

// Parameters of the estimates; see docs/ROUNDS.md for the measurements behind them.
const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
	// reportHalfLife is the age at which a report has half its weight.
	reportHalfLife = 10 * time.Millisecond
	// peerHalfLife is the age at which the number in flight reported by peers has half its weight.
	peerHalfLife = 20 * time.Millisecond
	// initialLatency is assumed for a back end that has not answered yet.
	initialLatency = time.Millisecond
)

// Backend is the declaration of a back end.
type Backend struct {
	ID   string
	Zone string
	// Version is the version of its software; see VersionRule.
	Version string
	Slots   int // requests it works on at once; at least 1
	// Window bounds this daemon's requests at the back end; 0: the bound is learned.
	Window int
	// Warm: the back end is known to have run for a while, so that it needs no slow start although
	// it is new to this daemon.
	Warm bool
	// WarmUp is the rate that it can take while it is not warm.
	WarmUp WarmUp
	// Drained: by declaration it gets no new requests.
	Drained bool
	// Evacuated: it is drained because its zone is evacuated.
	Evacuated bool
	// Started identifies one run of the back end's process: what was learned about one run does not
	// apply to the next.
	Started int64
	// OtherRegion: it is in another region, whose dispatcher also hands out its permits.
	OtherRegion bool
	// Limit is the request limit that it announced.
	Limit backendlimit.Limit
	// PausedUntil is until when this daemon must not probe it. Which back ends a request must not
	// be sent to is stated in the request.
	PausedUntil time.Time
	// DetectSilentFull: it is detected if the back end does not answer when it is full.
	DetectSilentFull bool
}

// BackendState is what one daemon knows about one back end.
type BackendState struct {
	Backend
	zoneIndex int    // index of its zone in the group
	hashOrder uint64 // hash that defines the order of the working set; 0: not computed yet
	// InFlight counts this daemon's requests at the back end.
	InFlight int
	// Draining back ends get no new requests.
	Draining bool

	latency            time.Duration // moving average over responses; 0: none yet
	baseLatency        time.Duration // the same, divided by the slowdown expected at the time
	latencyRoot        float64       // square root of the latency, in seconds
	reportedInFlight   int           // requests of other daemons, from the last report
	reportedAt         time.Time
	peerInFlight       int // requests of other daemons, as reported by them
	peerInFlightAt     time.Time
	slowStartResponses int // responses since the back end appeared, was reinstated or turned cold
	health             outlier.Detector
	heardAt            time.Time // time of the last response or health probe
	answeredAt         time.Time // time of the last response
	window             float64   // maximum number of this daemon's requests at the back end
	slowdown           slowdown
	warmUp             warmUp
	limit              requestLimit
	gradual            gradualReturn
	// bound is the learned maximum of requests in flight, if a window is declared.
	bound               int
	responsesSinceBound int  // requests that succeeded since bound was chosen
	boundWhenShort      bool // bound was chosen while capacity was short
	occupancy           occupancy
	loadProbing         bool      // a load probe is under way
	arrivalProbeSince   time.Time // start of the last request that an arrival probe is scheduled for; zero: none
	loadProbedAt        time.Time
	// introductions is how often the back end was asked for its first report.
	introductions     int
	eligibleSince     time.Time // when it could first have got a request; zero: never yet
	used              bool      // it has had a request
	excludedInRequest uint64    // sequence number of the request that must not be sent to it
	// silentSince is since when the back end has held requests without answering any; zero: it
	// holds none.
	silentSince time.Time
	// silentFull detects that it does not answer when it is full; nil: that is not detected.
	silentFull *silentfull.Detector
	// lastSilenceID is the number of the last request there.
	lastSilenceID uint64
}

// PeerInFlight estimates the requests of other daemons at the back end from the most recent source,
// whose weight decreases with its age.
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

// decay halves the count after one half-life and reduces it hyperbolically with age.
func decay(count int, age, halfLife time.Duration) float64 {
	if count == 0 || age < 0 {
		return float64(count)
	}
	return float64(count) / (1 + float64(age)/float64(halfLife))
}

// Latency returns the moving average of response latencies.
func (s *BackendState) Latency() time.Duration {
	if s.latency == 0 {
		return initialLatency
	}
	return s.latency
}

// score is the cost of sending a request from an origin to the back end: its load, weighted by the
// latency or, if the back end reports it, by the slowdown expected there, and then by its zone. If
// the score is at least bound, any value from bound on may be returned.
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

// sameZoneScore is the score for a request from the back end's own zone.
func (s *BackendState) sameZoneScore(now time.Time, bound float64) float64 {
	load := s.load(now) * s.regionWeight()
	if !s.slowdown.known() {
		return load * s.latencyRoot
	}
	return s.slowdownScore(now, load, bound)
}

// slowdownScore is a load multiplied by the expected slowdown. For most back ends the cheaper lower
// bound already exceeds the best score so far, so that the slowdown need not be computed.
func (s *BackendState) slowdownScore(now time.Time, load, bound float64) float64 {
	if lower := load * s.slowdown.lowerBound(); lower > bound {
		return lower
	}
	return load * max(s.slowdown.expected(now), s.stallSlowdown(now))
}

// load is the load with one more request. If slowdowns are reported, free slots have less weight
// than occupied ones.
func (s *BackendState) load(now time.Time) float64 {
	load := (float64(s.InFlight) + s.PeerInFlight(now) + 1) / float64(s.Slots)
	if !s.slowdown.known() {
		return load
	}
	return slotWeight*min(load, 1) + max(load, 1)
}

// serviceRate returns how many requests per second the back end can serve according to its latency
// and its rate limits.
func (s *BackendState) serviceRate(now time.Time) float64 {
	slots := s.Slots
	if s.OtherRegion {
		slots = s.otherRegionRoom(now)
	}
	perSecond := float64(slots) / s.Latency().Seconds()
	if s.limitedByWarmUp(now) {
		perSecond = min(perSecond, s.WarmUp.PerSecond)
	}
	if s.limit.Limited {
		perSecond = min(perSecond, s.limit.rate())
	}
	return perSecond
}

// origin is the part of a request that its score at a back end depends on.
type origin struct {
	zone       string // zone of the daemon that sends the request
	repeatable bool
}

// Zone returns the zone of the daemon that sends the request.
func (o origin) Zone() string {
	return o.zone
}

// otherZoneWeight multiplies the load of a back end in another zone for the request.
func (o origin) otherZoneWeight() float64 {
	if o.repeatable {
		return otherZoneWeight
	}
	return otherZoneOnceWeight
}

// stallSlowdown is the slowdown implied by the back end's silence: the time for which it has held
// requests without answering any, relative to its latency when undisturbed.
func (s *BackendState) stallSlowdown(now time.Time) float64 {
	if s.baseLatency == 0 {
		return 0
	}
	return float64(s.silence(now)) / float64(s.baseLatency)
}

// silence returns for how long the back end has held requests without answering any.
func (s *BackendState) silence(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// maxSilenceLatencies is for how many times its latency a back end may be silent before an
// abandoned request counts as failed.
const maxSilenceLatencies = 4

// otherZoneWeight multiplies the load of a back end in another zone: its round trip is longer and
// its traffic costs money, but a free or undisturbed back end is worth more than a near one.
const otherZoneWeight = 1.9

// otherZoneOnceWeight is the same for a request that may run only once: it cannot be sent to a
// second back end when the first turns out to be slow.
const otherZoneOnceWeight = 1.2

// slotWeight is the weight of the load while slots are free, relative to the time that work takes:
// of two slots the second costs 1.4 times as much as the first. At 0.5 it cost a fifth more, so
// that back ends that had just answered got a second request while others without a recent report
// were idle. Of the requests of 8 days at 257 back ends 0.128 were late with 0.5 and 0.119 with 2;
// at full capacity (load pattern capacity) 0.881 were in time with 0.5, 0.873 with 1.5 and 0.861
// with 2.
const slotWeight = 1.5

// maxInFlight is the bound on this daemon's requests at the back end.
func (s *BackendState) maxInFlight(slowStart bool) int {
	full := int(s.window)
	if !slowStart {
		return full
	}
	return min(full, 1+s.slowStartResponses)
}

// Bounds and steps of the window; see adjustWindow.
const (
	maxWindowPerSlot     = 8 // maximum window per slot
	windowIncrement      = 0.25
	windowDecrement      = 0.05
	windowQueueThreshold = 2 // requests queued at the back end above which the window shrinks
)

// adjustWindow widens the window of a back end that has a free slot while requests wait for it
// here, because the round trip is long compared to its work, and narrows it again when its queue
// grows.
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

// ReportAge returns the age of the last report, or -1 if there was none.
func (s *BackendState) ReportAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// Ejected reports whether the back end is ejected.
func (s *BackendState) Ejected(now time.Time) bool {
	return s.health.Ejected(now)
}
