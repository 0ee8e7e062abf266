package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tuliphall/tuliphall/routing"
)

// Noise describes how a noisy neighbour slows a back end down.
type Noise struct {
	Slowdown float64       `toml:"slowdown" json:"slowdown"` // factor on the service time during a noisy period
	Noisy    time.Duration `toml:"noisy" json:"noisy_ns"`    // mean duration of a noisy period
	Quiet    time.Duration `toml:"quiet" json:"quiet_ns"`    // mean time between noisy periods
}

// MeanSpeed returns the mean speed under the noise, as a share of full speed.
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

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	FaultReject FaultKind = "reject" // rejects every request immediately
	FaultSlow   FaultKind = "slow"   // serves requests Factor times as slowly
)

// Fault is a fault of one back end.
type Fault struct {
	Kind   FaultKind
	Worker int
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Scenario is the deployment and load that are simulated.
type Scenario struct {
	Name           string
	Zones          int
	Daemons        int
	Workers        int
	Slots          int
	Work           time.Duration // mean service time at full speed
	Noise          Noise
	SameZoneDelay  time.Duration
	CrossZoneDelay time.Duration
	HopCost        time.Duration
	Load           float64 // offered load, as a share of the capacity under noise
	Duration       time.Duration
	WarmUp         time.Duration // excluded from the results
	Classes        []Class
	Faults         []Fault
	Queue          int // limit of each queue; 0: 100,000
	Seed           uint64
	// Timeline, if above 0, is the length of the intervals of Result.Intervals.
	Timeline time.Duration
}

// System is a way of balancing requests.
type System struct {
	Name string
	// Picker returns a new picker for one decider.
	Picker func(oracle Oracle) routing.Picker
	// Overcommit is routing.Options.Overcommit.
	Overcommit func(slots int) int
	// Dispatchers is the number of dispatchers; 0: every daemon decides for
	// itself. Daemon i uses dispatcher i modulo this number. If there is one per
	// zone, that is the dispatcher in the daemon's zone.
	Dispatchers int
	// Permits makes daemons get a permit from the dispatcher and send the request
	// to the back end themselves. Otherwise they forward the request.
	Permits bool
	// ExchangeInterval is how often deciders send each other their requests in
	// flight; 0: never.
	ExchangeInterval time.Duration
	// LoadReports makes back ends report their load with each response.
	LoadReports bool
	// CentralQueue replaces the pickers by one queue for all slots, which is the
	// theoretical limit.
	CentralQueue bool
}

// Oracle returns the current number of requests at a back end, those on their way to
// it included.
type Oracle func(backend string) int

// Interval holds the results of one interval of the timeline.
type Interval struct {
	From    time.Duration
	Latency *hdrhistogram.Histogram
	Sent    []int // attempts by back end
}

// Result holds the results of a run.
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

// Goodput returns the requests answered before their deadline, per second.
func (r *Result) Goodput() float64 {
	return float64(r.InTime) / r.MeasuredDuration.Seconds()
}
