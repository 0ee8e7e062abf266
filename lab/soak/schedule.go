package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// FaultKind is a kind of fault, or of planned work.
type FaultKind string

// The kinds.
const (
	Stop                 FaultKind = "stop"          // SIGTERM; started again after its end
	Kill                 FaultKind = "kill"          // SIGKILL; started again
	Suspend              FaultKind = "pause"         // SIGSTOP, SIGCONT later
	KillAll              FaultKind = "kill-all"      // every daemon at once
	StopAll              FaultKind = "stop-all"      // one after the other
	StoreDown            FaultKind = "store-down"    // 503 to all
	StoreWatchLoss       FaultKind = "store-deaf"    // watches hear nothing, then the history goes
	StoreLink            FaultKind = "store-link"    // one daemon's link to the store
	WorkerLink           FaultKind = "worker-link"   // all daemons' link to one back end
	WorkerSlow           FaultKind = "worker-slow"   //
	WorkerDropsResponses FaultKind = "worker-loses"  // runs requests and resets the connection
	WorkerRejects        FaultKind = "worker-full"   // says that it did not run
	WorkerWrongRequestID FaultKind = "worker-lies"   // answers with another request's id
	WorkerCrash          FaultKind = "worker-crash"  // gone without a word; another comes at its address
	WorkerDrains         FaultKind = "worker-leaves" // drains, and is replaced
	ConfigChange         FaultKind = "change"        // a configuration
	ConfigBurst          FaultKind = "storm"         // several in quick succession
	Evacuate             FaultKind = "evacuate"      // a zone, which is taken back later
	CrashingRequest      FaultKind = "crashing"      // a request that ends back ends comes again and again
	ForeignEntries       FaultKind = "foreign"       // another writer's entries in the list of back ends
	WorkerLimit          FaultKind = "worker-limit"  // says that it takes few requests
	WorkerPushback       FaultKind = "worker-pause"  // turns requests away and asks for a pause
	WorkerAnnouncesDrain FaultKind = "worker-says"   // says with its answers that it leaves, while the store lists it as ready
	StoreRollback        FaultKind = "store-older"   // the store is away for a moment and comes back from an older copy
)

// planned kinds are no faults: nothing may be lost by them.
var planned = map[FaultKind]bool{Stop: true, StopAll: true, WorkerDrains: true, ConfigChange: true, ConfigBurst: true, Evacuate: true, CrashingRequest: true, ForeignEntries: true, WorkerLimit: true, WorkerPushback: true, WorkerAnnouncesDrain: true,
	StoreRollback: true, // a fault from when it is away on
}

var kinds = []FaultKind{
	Stop, Kill, Suspend, KillAll, StopAll, StoreDown, StoreWatchLoss, StoreLink, WorkerLink, WorkerSlow, WorkerDropsResponses, WorkerRejects, WorkerWrongRequestID,
	WorkerCrash, WorkerDrains, ConfigChange, ConfigChange, ConfigChange, ConfigBurst,
}

var links = []LinkMode{Delayed, Reset, Silent, OneWay}

// Fault is one entry of a schedule.
type Fault struct {
	At       time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int // which daemon or back end, modulo their number
	Link     LinkMode
}

// String names the fault for a log.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s target %d %s for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Link, f.Duration.Round(time.Millisecond))
}

// NewSchedule draws a schedule from a seed: so many entries between begin and end, some in
// series at nearly the same time.
func NewSchedule(seed uint64, count int, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, 0, count)
	at := begin
	for range count {
		if random.IntN(3) > 0 || at == begin {
			at = begin + time.Duration(random.Int64N(int64(end-begin)))
		}
		faults = append(faults, Fault{
			At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1000), Link: links[random.IntN(len(links))],
			Duration: time.Duration(200+random.IntN(4000)) * time.Millisecond,
		})
		at = min(at+time.Duration(random.IntN(700))*time.Millisecond, end)
	}
	// Longer than every lease and suspicion.
	for index := range faults {
		if faults[index].Kind == Suspend && random.IntN(3) == 0 {
			faults[index].Duration = 12 * time.Second
		}
	}
	faults = append(faults, drawOnce(seed, 1, Evacuate, evacuationLength, begin, end),
		drawOnce(seed, 2, CrashingRequest, crashLength, begin, end), drawOnce(seed, 3, ForeignEntries, foreignLength, begin, end),
		drawOnce(seed, 4, WorkerLimit, limitLength, begin, end), drawOnce(seed, 5, WorkerPushback, pauseLength, begin, end),
		drawOnce(seed, 6, WorkerAnnouncesDrain, sayLength, begin, end), drawOnce(seed, 7, StoreRollback, storeAway, begin, end))
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	return faults
}

// evacuationLength is long enough for requests to come after the bound.
const evacuationLength = evacuationBound + 4*time.Second

// foreignLength is how long entries of another writer stay.
const foreignLength = 3 * time.Second

// storeAway is for how long the store is away before it comes back older.
const storeAway = 800 * time.Millisecond

// sayLength is for how long a back end says that it leaves before the store knows it: longer than the bound.
const sayLength = drainBound + 3*time.Second

// drawOnce draws when a kind is played that each run has once. It leaves what else is drawn from
// the seed as it was, so that seeds that were kept still play the same.
func drawOnce(seed, stream uint64, kind FaultKind, length, begin, end time.Duration) Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	return Fault{At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: kind, Duration: length}
}
