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
	highest = int64(5 * time.Minute / time.Microsecond)
	digits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highest, digits)
}

// node is a daemon that decides.
type node struct {
	core   dispatch.Core
	zone   int
	budget retry.Budget
	// told holds what other nodes said they have in flight, by node and worker.
	told [][]int
}

// simulation is one run.
type simulation struct {
	clock
	scenario Scenario
	system   System
	random   *rand.Rand
	workers  []*worker
	byID     map[string]*worker
	nodes    []*node
	central  []*request
	result   *Result
}

// request is one caller's request.
type request struct {
	class    Class
	zone     int
	begun    time.Duration
	deadline time.Time
	work     time.Duration
	tried    []string
	attempts int
	ran      bool
	node     *node
}

// Run simulates the scenario under the system.
func Run(scenario Scenario, system System) *Result {
	s := newSimulation(scenario, system)
	s.arrivals()
	s.faults()
	if system.ExchangeInterval > 0 {
		s.exchange()
	}
	s.run(scenario.Duration)
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
	s.makeNodes()
	return s
}

func (s *simulation) makeWorkers() {
	for number := range s.scenario.Workers {
		// Neighbours have randomness of their own, so that every system meets
		// the same spells.
		random := rand.New(rand.NewPCG(s.scenario.Seed, uint64(100+number)))
		one := newWorker(&s.clock, random, workerID(number), number%s.scenario.Zones, s.scenario.Slots)
		one.disturb(s.scenario.Noise)
		s.workers = append(s.workers, one)
		s.byID[one.id] = one
	}
}

func workerID(number int) string {
	return "w" + string(rune('0'+number/100)) + string(rune('0'+number/10%10)) + string(rune('0'+number%10))
}

func (s *simulation) makeNodes() {
	count := s.system.Dispatchers
	if count == 0 {
		count = s.scenario.Daemons
	}
	var backends []routing.Backend
	for _, one := range s.workers {
		backends = append(backends, routing.Backend{ID: one.id, Slots: one.slots})
	}
	for number := range count {
		random := rand.New(rand.NewPCG(s.scenario.Seed, uint64(1000+number)))
		group := routing.NewGroup(routing.Options{Picker: s.system.Picker(s.oracle), Random: random, Overcommit: s.system.Overcommit})
		group.SetBackends(epoch, backends)
		one := &node{zone: number % s.scenario.Zones, core: dispatch.Core{Group: group, Queue: admission.NewQueue(s.scenario.Queue)}}
		for range count {
			one.told = append(one.told, make([]int, len(s.workers)))
		}
		s.nodes = append(s.nodes, one)
	}
}

func (s *simulation) oracle(backend string) int {
	return s.byID[backend].assigned
}

// wire returns how long a message takes between two zones.
func (s *simulation) wire(from, to int) time.Duration {
	if from == to {
		return s.scenario.SameZoneDelay
	}
	return s.scenario.CrossZoneDelay
}
