package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tuliphall/tuliphall/routing"
)

// Noise says how a neighbour disturbs a back end.
type Noise struct {
	Slowdown float64       `toml:"slowdown" json:"slowdown"` // factor on work during a spell
	Noisy    time.Duration `toml:"noisy" json:"noisy_ns"`    // mean length of a spell
	Quiet    time.Duration `toml:"quiet" json:"quiet_ns"`    // mean time between spells
}

// MeanSpeed returns the share of full speed that is left on average.
func (n Noise) MeanSpeed() float64 {
	if n.Slowdown <= 1 {
		return 1
	}
	noisy := n.Noisy.Seconds() / (n.Noisy + n.Quiet).Seconds()
	return 1 - noisy + noisy/n.Slowdown
}

// Class is one class of requests.
type Class struct {
	Name     string
	Share    float64
	Weight   int
	Deadline time.Duration // 0: 10 s
}

// FaultKind is a way in which a back end fails.
type FaultKind string

// The faults.
const (
	FaultReject FaultKind = "reject" // answers everything at once with a refusal
	FaultSlow   FaultKind = "slow"   // works Factor times as slowly
)

// Fault makes one back end fail for a time.
type Fault struct {
	Kind   FaultKind
	Worker int
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Scenario is what is simulated.
type Scenario struct {
	Name           string
	Zones          int
	Daemons        int
	Workers        int
	Slots          int
	Work           time.Duration // mean work of a request at full speed
	Noise          Noise
	SameZoneDelay  time.Duration
	CrossZoneDelay time.Duration
	HopCost        time.Duration
	Load           float64 // offered, as a share of capacity under noise
	Duration       time.Duration
	WarmUp         time.Duration // not counted
	Classes        []Class
	Faults         []Fault
	Queue          int // bound of a queue; 0: 100,000
	Seed           uint64
	// Timeline, if above 0, is the length of the intervals of Result.Intervals.
	Timeline time.Duration
}

// System is how requests are balanced.
type System struct {
	Name string
	// Picker makes the picker of one deciding daemon.
	Picker func(oracle Oracle) routing.Picker
	// Overcommit is routing.Options.Overcommit.
	Overcommit func(slots int) int
	// Dispatchers is how many daemons decide, the others forward to one in
	// their zone or the first; 0: every daemon decides for itself.
	Dispatchers int
	// Permits lets the others ask the dispatcher for a place only, and send the
	// request themselves.
	Permits bool
	// ExchangeInterval is how often deciding daemons tell each other their requests in
	// flight; 0: never.
	ExchangeInterval time.Duration
	// LoadReports lets back ends tell their load on answers.
	LoadReports bool
	// CentralQueue is the limit of one queue over all slots, without any decision.
	CentralQueue bool
}

// Oracle knows every back end's requests now, those on the wire included.
type Oracle func(backend string) int

// Interval sums up one interval of the timeline.
type Interval struct {
	From    time.Duration
	Latency *hdrhistogram.Histogram
	Sent    []int // attempts by back end
}

// Result is what came of a run.
type Result struct {
	Latency          *hdrhistogram.Histogram
	Classes          map[string]*hdrhistogram.Histogram
	Offered          int
	Answered         int
	InTime           int // answered before the deadline
	Refused          int
	Failed           int // the last attempt failed
	Attempts         int
	PeerMessages     int // messages between daemons
	Capacity         float64
	MeasuredDuration time.Duration
	Intervals        []Interval
	ClassSent        map[string]int
	ClassInTime      map[string]int
	// RefusedAfterRun counts refused requests that had run; it must be 0.
	RefusedAfterRun int
}

// Quantile returns a latency quantile; q is in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the requests answered in time, a second.
func (r *Result) Goodput() float64 {
	return float64(r.InTime) / r.MeasuredDuration.Seconds()
}
