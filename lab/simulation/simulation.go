package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

const (
	maxLatencyMicros  = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// decider is a daemon that picks back ends, either for all daemons as a
// dispatcher or for itself.
type decider struct {
	core   dispatch.Core
	zone   int
	budget retry.Budget
	// peerInFlight holds the requests in flight that the deciders last reported, by
	// decider and back end.
	peerInFlight [][]int
}

// simulation is the state of one run.
type simulation struct {
	clock
	scenario     Scenario
	system       System
	random       *rand.Rand
	workers      []*worker
	byID         map[string]*worker
	deciders     []*decider
	centralQueue []*request
	result       *Result
}

// request is one request of a caller.
type request struct {
	class     Class
	zone      int
	arrivedAt time.Duration
	deadline  time.Time
	work      time.Duration
	tried     []string
	attempts  int
	executed  bool
	decider   *decider
}

// Run simulates the scenario under the system.
func Run(scenario Scenario, system System) *Result {
	s := newSimulation(scenario, system)
	s.scheduleArrival()
	s.scheduleFaults()
	if system.ExchangeInterval > 0 {
		s.scheduleExchange()
	}
	s.runUntil(scenario.Duration)
	return s.result
}

func newSimulation(scenario Scenario, system System) *simulation {
	if scenario.Queue == 0 {
		scenario.Queue = 100_000
	}
	if len(scenario.Classes) == 0 {
		scenario.Classes = []Class{{Name: "all", Share: 1, Weight: 1}}
	}
	s := &simulation{
		scenario: scenario, system: system, random: rand.New(rand.NewPCG(scenario.Seed, 1)), byID: make(map[string]*worker),
		result: &Result{
			Latency: newHistogram(), Classes: make(map[string]*hdrhistogram.Histogram),
			ClassSent: make(map[string]int), ClassInTime: make(map[string]int), MeasuredDuration: scenario.Duration - scenario.WarmUp,
		},
	}
	slots := float64(scenario.Workers * scenario.Slots)
	s.result.Capacity = slots / scenario.Work.Seconds() * scenario.Noise.MeanSpeed()
	s.makeWorkers()
	s.makeDeciders()
	return s
}

func (s *simulation) makeWorkers() {
	for number := range s.scenario.Workers {
		// Each noisy neighbour has its own random source, so that every system
		// sees the same noise.
		random := rand.New(rand.NewPCG(s.scenario.Seed, uint64(100+number)))
		backend := newWorker(&s.clock, random, workerID(number), number%s.scenario.Zones, s.scenario.Slots)
		backend.startNoise(s.scenario.Noise)
		s.workers = append(s.workers, backend)
		s.byID[backend.id] = backend
	}
}

func workerID(number int) string {
	return "w" + string(rune('0'+number/100)) + string(rune('0'+number/10%10)) + string(rune('0'+number%10))
}

func (s *simulation) makeDeciders() {
	count := s.system.Dispatchers
	if count == 0 {
		count = s.scenario.Daemons
	}
	var backends []routing.Backend
	for _, backend := range s.workers {
		backends = append(backends, routing.Backend{ID: backend.id, Slots: backend.slots})
	}
	for number := range count {
		random := rand.New(rand.NewPCG(s.scenario.Seed, uint64(1000+number)))
		group := routing.NewGroup(routing.Options{Picker: s.system.Picker(s.requestsAssigned), Random: random, Overcommit: s.system.Overcommit})
		group.SetBackends(epoch, backends)
		added := &decider{zone: number % s.scenario.Zones, core: dispatch.Core{Group: group, Queue: admission.NewQueue(s.scenario.Queue)}}
		for range count {
			added.peerInFlight = append(added.peerInFlight, make([]int, len(s.workers)))
		}
		s.deciders = append(s.deciders, added)
	}
}

// requestsAssigned is the Oracle of a run.
func (s *simulation) requestsAssigned(backend string) int {
	return s.byID[backend].assigned
}

// messageDelay returns the one-way delay of a message between two zones.
func (s *simulation) messageDelay(from, to int) time.Duration {
	if from == to {
		return s.scenario.SameZoneDelay
	}
	return s.scenario.CrossZoneDelay
}
