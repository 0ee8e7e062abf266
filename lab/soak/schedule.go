package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault or planned operation.
type FaultKind string

// Kinds of faults and planned operations.
const (
	Stop                 FaultKind = "stop"          // SIGTERM; restarted after its exit
	Kill                 FaultKind = "kill"          // SIGKILL; restarted
	Suspend              FaultKind = "pause"         // SIGSTOP, then SIGCONT
	KillAll              FaultKind = "kill-all"      // every daemon at once
	StopAll              FaultKind = "stop-all"      // rolling restart of all daemons
	StoreDown            FaultKind = "store-down"    // the store answers 503 to every request
	StoreWatchLoss       FaultKind = "store-deaf"    // watches deliver nothing, then the history is compacted
	StoreLink            FaultKind = "store-link"    // fault of one daemon's link to the store
	WorkerLink           FaultKind = "worker-link"   // fault of the link from all daemons to one back end
	WorkerSlow           FaultKind = "worker-slow"   // runs requests more slowly
	WorkerDropsResponses FaultKind = "worker-loses"  // runs requests and closes the connection without a response
	WorkerRejects        FaultKind = "worker-full"   // rejects requests as not executed
	WorkerWrongRequestID FaultKind = "worker-lies"   // responds with the id of another request
	WorkerCrash          FaultKind = "worker-crash"  // ends without draining; replaced by a new back end
	WorkerDrains         FaultKind = "worker-leaves" // drains and is replaced
	ConfigChange         FaultKind = "change"        // one new configuration
	ConfigBurst          FaultKind = "storm"         // several configurations in quick succession
	Evacuate             FaultKind = "evacuate"      // evacuates a zone for some time
	CrashingRequest      FaultKind = "crashing"      // a request that crashes back ends is sent repeatedly
	ForeignEntries       FaultKind = "foreign"       // entries of another program in the list of back ends
	WorkerLimit          FaultKind = "worker-limit"  // sends a low request limit
	WorkerPushback       FaultKind = "worker-pause"  // rejects requests and asks for a pause
	WorkerAnnouncesDrain FaultKind = "worker-says"   // announces its drain in responses while the store lists it as ready
	DaemonsCut           FaultKind = "daemons-cut"   // one daemon, half or all are cut off from all back ends
	BackendsRefuse       FaultKind = "refuse"        // connections to all back ends are refused to all daemons
	TenantFlood          FaultKind = "flood"         // one tenant sends more than the back ends can take
	WorkersSilent        FaultKind = "silent"        // some back ends hold requests without an answer when they are full
	StoreRollback        FaultKind = "store-older"   // the store is unavailable for a moment and is restored from an older backup
)

// plannedKinds are planned operations, not faults: no request may be lost by them.
var plannedKinds = map[FaultKind]bool{Stop: true, StopAll: true, WorkerDrains: true, ConfigChange: true, ConfigBurst: true, Evacuate: true, CrashingRequest: true, ForeignEntries: true, WorkerLimit: true, WorkerPushback: true, WorkerAnnouncesDrain: true, TenantFlood: true,
	StoreRollback: true, // counted as a fault from the start of the outage
}

var drawnKinds = []FaultKind{
	Stop, Kill, Suspend, KillAll, StopAll, StoreDown, StoreWatchLoss, StoreLink, WorkerLink, WorkerSlow, WorkerDropsResponses, WorkerRejects, WorkerWrongRequestID,
	WorkerCrash, WorkerDrains, ConfigChange, ConfigChange, ConfigChange, ConfigBurst,
}

var drawnLinkModes = []LinkMode{Delayed, Reset, Silent, OneWay}

// Fault is one entry of a schedule.
type Fault struct {
	At       time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int // index of the daemon or back end, modulo their number
	Link     LinkMode
	Count    int // daemons concerned, if several
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s target %d %s for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Link, f.Duration.Round(time.Millisecond))
}

// NewSchedule derives a schedule from a seed: count random entries between begin and end, some of them
// close together, and one entry of each kind that occurs once in every run.
func NewSchedule(seed uint64, count int, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, 0, count)
	next := begin
	for range count {
		if random.IntN(3) > 0 || next == begin {
			next = begin + time.Duration(random.Int64N(int64(end-begin)))
		}
		faults = append(faults, Fault{
			At: next, Kind: drawnKinds[random.IntN(len(drawnKinds))], Target: random.IntN(1000), Link: drawnLinkModes[random.IntN(len(drawnLinkModes))],
			Duration: time.Duration(200+random.IntN(4000)) * time.Millisecond,
		})
		next = min(next+time.Duration(random.IntN(700))*time.Millisecond, end)
	}
	// A third of the suspensions lasts 12 s, longer than every lease and every suspicion timeout of the
	// membership protocol.
	for index := range faults {
		if faults[index].Kind == Suspend && random.IntN(3) == 0 {
			faults[index].Duration = 12 * time.Second
		}
	}
	faults = append(faults, scheduleOnce(seed, 1, Evacuate, evacuationDuration, begin, end),
		scheduleOnce(seed, 2, CrashingRequest, crashDuration, begin, end), scheduleOnce(seed, 3, ForeignEntries, foreignEntriesDuration, begin, end),
		scheduleOnce(seed, 4, WorkerLimit, limitFaultDuration, begin, end), scheduleOnce(seed, 5, WorkerPushback, pushbackFaultDuration, begin, end),
		scheduleOnce(seed, 6, WorkerAnnouncesDrain, announcedDrainDuration, begin, end), scheduleOnce(seed, 7, StoreRollback, storeOutage, begin, end))
	faults = append(faults, scheduleCuts(seed, begin, end)...)
	faults = append(faults, scheduleRefusals(seed, begin, end)...)
	faults = append(faults, scheduleFloods(seed, begin, end)...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	return faults
}

// Cuts of daemons from the back ends: how many there are, and which daemons they may concern at the most.
const (
	cutsPerRun     = 2
	maxCutDuration = 6 * time.Second
	maxCutDaemons  = 8
)

// scheduleCuts returns cuts between daemons and all back ends, which may overlap each other and other
// faults.
func scheduleCuts(seed uint64, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 8))
	cuts := make([]Fault, 0, cutsPerRun)
	for range cutsPerRun {
		cuts = append(cuts, Fault{
			At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: DaemonsCut, Target: random.IntN(1000), Count: 1 + random.IntN(maxCutDaemons),
			Duration: time.Second + time.Duration(random.Int64N(int64(maxCutDuration-time.Second))), Link: []LinkMode{Silent, Reset}[random.IntN(2)],
		})
	}
	return cuts
}

// scheduleRefusals returns a cut in which some daemons can open no connections while their open ones live
// on, and one in which connections to all back ends are refused to all daemons.
func scheduleRefusals(seed uint64, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 9))
	draw := func(kind FaultKind, link LinkMode) Fault {
		return Fault{
			At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: kind, Target: random.IntN(1000), Count: 1 + random.IntN(maxCutDaemons),
			Duration: time.Second + time.Duration(random.Int64N(int64(maxCutDuration-time.Second))), Link: link,
		}
	}
	return []Fault{draw(DaemonsCut, Closed), draw(BackendsRefuse, []LinkMode{Healthy, Reset}[random.IntN(2)])}
}

// scheduleFloods returns a flood through all daemons and one through a single daemon. Some back ends become silent when full
// during the first one, as they are seldom full otherwise.
func scheduleFloods(seed uint64, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 10))
	draw := func(kind FaultKind, count int) Fault {
		return Fault{
			At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: kind, Target: random.IntN(1000), Count: count,
			Duration: 2*time.Second + time.Duration(random.Int64N(int64(4*time.Second))),
		}
	}
	floods := []Fault{draw(TenantFlood, 0), draw(TenantFlood, 1), draw(WorkersSilent, 1+random.IntN(3))}
	floods[2].At = min(floods[0].At+time.Second, end)
	return floods
}

// evacuationDuration exceeds evacuationBound, so that requests arrive after the bound.
const evacuationDuration = evacuationBound + 4*time.Second

// foreignEntriesDuration is how long the entries of another program stay.
const foreignEntriesDuration = 3 * time.Second

// storeOutage is how long the store is unavailable before a rollback.
const storeOutage = 800 * time.Millisecond

// announcedDrainDuration is how long a back end announces its drain in responses before its entry leaves the
// store. It exceeds drainBound, so that requests can arrive after the bound.
const announcedDrainDuration = drainBound + 3*time.Second

// scheduleOnce returns a fault of a kind that occurs once in each run, at a random time. It uses a random
// stream of its own, so that the other faults of known seeds stay the same.
func scheduleOnce(seed, stream uint64, kind FaultKind, duration, begin, end time.Duration) Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	return Fault{At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: kind, Duration: duration}
}
