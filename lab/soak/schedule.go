package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault, or of planned work.
type Kind string

// The kinds.
const (
	Stop         Kind = "stop"          // SIGTERM; started again after its end
	Kill         Kind = "kill"          // SIGKILL; started again
	Pause        Kind = "pause"         // SIGSTOP, SIGCONT later
	KillAll      Kind = "kill-all"      // every daemon at once
	StopAll      Kind = "stop-all"      // one after the other
	StoreDown    Kind = "store-down"    // 503 to all
	StoreDeaf    Kind = "store-deaf"    // watches hear nothing, then the history goes
	StoreLink    Kind = "store-link"    // one daemon's link to the store
	WorkerLink   Kind = "worker-link"   // all daemons' link to one back end
	WorkerSlow   Kind = "worker-slow"   //
	WorkerLoses  Kind = "worker-loses"  // runs requests and resets the connection
	WorkerFull   Kind = "worker-full"   // says that it did not run
	WorkerLies   Kind = "worker-lies"   // answers with another request's id
	WorkerCrash  Kind = "worker-crash"  // gone without a word; another comes at its address
	WorkerLeaves Kind = "worker-leaves" // drains, and is replaced
	Change       Kind = "change"        // a configuration
	Storm        Kind = "storm"         // several in quick succession
	Evacuate     Kind = "evacuate"      // a zone, which is taken back later
	Crashing     Kind = "crashing"      // a request that ends back ends comes again and again
	Foreign      Kind = "foreign"       // another writer's entries in the list of back ends
	WorkerLimit  Kind = "worker-limit"  // says that it takes few requests
	WorkerPause  Kind = "worker-pause"  // turns requests away and asks for a pause
	WorkerSays   Kind = "worker-says"   // says with its answers that it leaves, while the store lists it as ready
	StoreOlder   Kind = "store-older"   // the store is away for a moment and comes back from an older copy
)

// planned kinds are no faults: nothing may be lost by them.
var planned = map[Kind]bool{Stop: true, StopAll: true, WorkerLeaves: true, Change: true, Storm: true, Evacuate: true, Crashing: true, Foreign: true, WorkerLimit: true, WorkerPause: true, WorkerSays: true,
	StoreOlder: true, // a fault from when it is away on
}

var kinds = []Kind{
	Stop, Kill, Pause, KillAll, StopAll, StoreDown, StoreDeaf, StoreLink, WorkerLink, WorkerSlow, WorkerLoses, WorkerFull, WorkerLies,
	WorkerCrash, WorkerLeaves, Change, Change, Change, Storm,
}

var links = []Link{Delayed, Reset, Silent, OneWay}

// Fault is one entry of a schedule.
type Fault struct {
	At     time.Duration
	Length time.Duration
	Kind   Kind
	Target int // which daemon or back end, modulo their number
	Link   Link
}

// String names the fault for a log.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s target %d %s for %s", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Link, f.Length.Round(time.Millisecond))
}

// Draw draws a schedule from a seed: so many entries between begin and end, some in
// series at nearly the same time.
func Draw(seed uint64, count int, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, 0, count)
	at := begin
	for range count {
		if random.IntN(3) > 0 || at == begin {
			at = begin + time.Duration(random.Int64N(int64(end-begin)))
		}
		faults = append(faults, Fault{
			At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1000), Link: links[random.IntN(len(links))],
			Length: time.Duration(200+random.IntN(4000)) * time.Millisecond,
		})
		at = min(at+time.Duration(random.IntN(700))*time.Millisecond, end)
	}
	// Longer than every lease and suspicion.
	for index := range faults {
		if faults[index].Kind == Pause && random.IntN(3) == 0 {
			faults[index].Length = 12 * time.Second
		}
	}
	faults = append(faults, drawOnce(seed, 1, Evacuate, evacuationLength, begin, end),
		drawOnce(seed, 2, Crashing, crashLength, begin, end), drawOnce(seed, 3, Foreign, foreignLength, begin, end),
		drawOnce(seed, 4, WorkerLimit, limitLength, begin, end), drawOnce(seed, 5, WorkerPause, pauseLength, begin, end),
		drawOnce(seed, 6, WorkerSays, sayLength, begin, end), drawOnce(seed, 7, StoreOlder, storeAway, begin, end))
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
func drawOnce(seed, stream uint64, kind Kind, length, begin, end time.Duration) Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	return Fault{At: begin + time.Duration(random.Int64N(int64(end-begin))), Kind: kind, Length: length}
}
