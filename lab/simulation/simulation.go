package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// Noise says how a neighbour disturbs a back end.
type Noise struct {
	Slowdown float64       `toml:"slowdown" json:"slowdown"` // factor on work during a spell
	Noisy    time.Duration `toml:"noisy" json:"noisy_ns"`    // mean length of a spell
	Quiet    time.Duration `toml:"quiet" json:"quiet_ns"`    // mean time between spells
}

// Share returns the share of full speed that is left on average.
func (n Noise) Share() float64 {
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
	Name     string
	Zones    int
	Daemons  int
	Workers  int
	Slots    int
	Work     time.Duration // mean work of a request at full speed
	Noise    Noise
	WireNear time.Duration
	WireFar  time.Duration
	HopCost  time.Duration
	Load     float64 // offered, as a share of capacity under noise
	Duration time.Duration
	WarmUp   time.Duration // not counted
	Classes  []Class
	Faults   []Fault
	Queue    int // bound of a queue; 0: 100,000
	Seed     uint64
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
	// Exchange is how often deciding daemons tell each other their requests in
	// flight; 0: never.
	Exchange time.Duration
	// Reports lets back ends tell their load on answers.
	Reports bool
	// Central is the limit of one queue over all slots, without any decision.
	Central bool
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
	Latency    *hdrhistogram.Histogram
	Classes    map[string]*hdrhistogram.Histogram
	Offered    int
	Answered   int
	InTime     int // answered before the deadline
	Refused    int
	Failed     int // the last attempt failed
	Attempts   int
	Exchanges  int // messages between daemons
	Capacity   float64
	Counted    time.Duration
	Intervals  []Interval
	ClassSent  map[string]int
	ClassInTim map[string]int
	// RefusedRan counts refused requests that had run; it must be 0.
	RefusedRan int
}

// P returns a latency quantile; q is in percent.
func (r *Result) P(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the requests answered in time, a second.
func (r *Result) Goodput() float64 {
	return float64(r.InTime) / r.Counted.Seconds()
}

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
	if system.Exchange > 0 {
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
			ClassSent: make(map[string]int), ClassInTim: make(map[string]int), Counted: scenario.Duration - scenario.WarmUp,
		},
	}
	slots := float64(scenario.Workers * scenario.Slots)
	s.result.Capacity = slots / scenario.Work.Seconds() * scenario.Noise.Share()
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
		group.SetBackends(backends)
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
		return s.scenario.WireNear
	}
	return s.scenario.WireFar
}

// arrivals schedules the next arrival, which schedules the one after it.
func (s *simulation) arrivals() {
	rate := s.result.Capacity * s.scenario.Load
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		s.arrive()
		s.arrivals()
	})
}

func (s *simulation) arrive() {
	daemon := s.random.IntN(s.scenario.Daemons)
	class := s.pickClass()
	deadline := class.Deadline
	if deadline == 0 {
		deadline = 10 * time.Second
	}
	r := &request{
		class: class, zone: daemon % s.scenario.Zones, begun: s.now, deadline: s.time().Add(deadline),
		work: time.Duration(s.random.ExpFloat64() * float64(s.scenario.Work)),
	}
	if s.counted(r) {
		s.result.Offered++
		s.result.ClassSent[class.Name]++
	}
	if s.system.Central {
		s.central = append(s.central, r)
		s.serveCentral()
		return
	}
	r.node = s.deciding(daemon)
	if s.system.Dispatchers == 0 {
		s.after(s.scenario.HopCost, func() { s.offer(r) })
		return
	}
	s.after(s.scenario.HopCost+s.wire(r.zone, r.node.zone)+s.scenario.HopCost, func() { s.offer(r) })
}

func (s *simulation) pickClass() Class {
	total := 0.0
	for _, class := range s.scenario.Classes {
		total += class.Share
	}
	drawn := s.random.Float64() * total
	for _, class := range s.scenario.Classes {
		drawn -= class.Share
		if drawn < 0 {
			return class
		}
	}
	return s.scenario.Classes[len(s.scenario.Classes)-1]
}

// deciding returns the node that decides for a daemon.
func (s *simulation) deciding(daemon int) *node {
	return s.nodes[daemon%len(s.nodes)]
}

func (s *simulation) counted(r *request) bool {
	return r.begun >= s.scenario.WarmUp
}

// offer asks the node for a place.
func (s *simulation) offer(r *request) {
	decision := r.node.core.Offer(s.time(), s.dispatchRequest(r), r)
	if decision.Displaced != nil {
		s.refuse(decision.Displaced.(*request))
	}
	switch {
	case decision.Place != nil:
		s.send(r, decision.Place)
	case decision.Ticket == nil:
		s.refuse(r)
	default:
		s.after(decision.Ticket.Expiry.Sub(s.time()), func() {
			if r.node.core.Queue.Remove(decision.Ticket) {
				s.refuse(r)
			}
		})
	}
}

func (s *simulation) dispatchRequest(r *request) dispatch.Request {
	return dispatch.Request{Weight: r.class.Weight, Deadline: r.deadline, Routing: routing.Request{Tried: r.tried, Repeatable: true}}
}

func (s *simulation) refuse(r *request) {
	if r.ran {
		s.result.RefusedRan++
	}
	if s.counted(r) {
		s.result.Refused++
	}
}

// send sends the request to the back end of its place.
func (s *simulation) send(r *request, place *dispatch.Place) {
	target := s.byID[place.Backend.ID]
	target.assigned++
	r.attempts++
	if r.attempts == 1 {
		r.node.budget.Earn()
	}
	r.tried = append(r.tried, target.id)
	if s.counted(r) {
		s.result.Attempts++
	}
	s.noteSent(target)
	s.after(s.wire(r.node.zone, target.zone), func() {
		if target.rejects {
			target.assigned--
			s.after(s.wire(target.zone, r.node.zone), func() { s.rejected(r, place) })
			return
		}
		target.arrive(r.work, func() {
			r.ran = true
			load := target.inFlight()
			s.after(s.wire(target.zone, r.node.zone), func() { s.answered(r, place, load) })
		})
	})
}

// answered takes in an answer at the node.
func (s *simulation) answered(r *request, place *dispatch.Place, load int) {
	now := s.time()
	r.node.core.Done(now, place, routing.Success, now.Sub(place.Sent))
	if s.system.Reports {
		r.node.core.Report(now, place.Backend, load)
	}
	s.serve(r.node)
	wait := time.Duration(0)
	if s.system.Dispatchers > 0 {
		wait = s.wire(r.node.zone, r.zone)
	}
	s.after(wait, func() { s.record(r) })
}

// rejected takes in a refusal at the node and tries another back end.
func (s *simulation) rejected(r *request, place *dispatch.Place) {
	now := s.time()
	r.node.core.Done(now, place, routing.Failed, 0)
	s.serve(r.node)
	verdict := retry.Decide(retry.Attempt{
		Code: resultcode.BackendRefused, Number: r.attempts, Rewindable: true, Remaining: r.deadline.Sub(now), Backends: len(s.workers) - len(r.tried),
	}, &r.node.budget)
	if verdict == retry.Again {
		s.offer(r)
		return
	}
	if s.counted(r) {
		s.result.Failed++
	}
}

// serve gives places to the node's waiting requests.
func (s *simulation) serve(n *node) {
	for {
		place, payload := n.core.Next(s.time())
		if place == nil {
			return
		}
		s.send(payload.(*request), place)
	}
}

// serveCentral gives free slots to the one queue, wherever they are.
func (s *simulation) serveCentral() {
	for len(s.central) > 0 {
		var free *worker
		for _, one := range s.workers {
			if len(one.running) < one.slots {
				free = one
				break
			}
		}
		if free == nil {
			return
		}
		r := s.central[0]
		s.central = s.central[1:]
		s.noteSent(free)
		free.assigned++
		free.arrive(r.work, func() {
			wires := s.wire(r.zone, free.zone) * 2
			s.after(wires, func() { s.record(r) })
			s.after(0, s.serveCentral)
		})
	}
}

func (s *simulation) record(r *request) {
	if !s.counted(r) {
		return
	}
	latency := s.now - r.begun
	s.result.Answered++
	if !s.time().After(r.deadline) {
		s.result.InTime++
		s.result.ClassInTim[r.class.Name]++
	}
	histogram, ok := s.result.Classes[r.class.Name]
	if !ok {
		histogram = newHistogram()
		s.result.Classes[r.class.Name] = histogram
	}
	// No latency is above the histogram's highest value: runs are shorter.
	_ = s.result.Latency.RecordValue(latency.Microseconds())
	_ = histogram.RecordValue(latency.Microseconds())
	if interval := s.interval(); interval != nil {
		_ = interval.Latency.RecordValue(latency.Microseconds())
	}
}

// interval returns the present interval of the timeline, or nil without one.
func (s *simulation) interval() *Interval {
	if s.scenario.Timeline == 0 {
		return nil
	}
	index := int(s.now / s.scenario.Timeline)
	for len(s.result.Intervals) <= index {
		s.result.Intervals = append(s.result.Intervals, Interval{
			From:    time.Duration(len(s.result.Intervals)) * s.scenario.Timeline,
			Latency: newHistogram(), Sent: make([]int, len(s.workers)),
		})
	}
	return &s.result.Intervals[index]
}

func (s *simulation) noteSent(target *worker) {
	interval := s.interval()
	if interval == nil {
		return
	}
	for index, one := range s.workers {
		if one == target {
			interval.Sent[index]++
		}
	}
}

// faults schedules the scenario's faults.
func (s *simulation) faults() {
	for _, fault := range s.scenario.Faults {
		target := s.workers[fault.Worker]
		s.after(fault.From, func() { target.apply(fault, true) })
		s.after(fault.Until, func() { target.apply(fault, false) })
	}
}

func (w *worker) apply(fault Fault, begins bool) {
	switch fault.Kind {
	case FaultReject:
		w.rejects = begins
	case FaultSlow:
		slow := 1.0
		if begins {
			slow = fault.Factor
		}
		w.setSpeed(w.speed, slow)
	}
}

// exchange lets every deciding daemon tell every other what it has in flight.
func (s *simulation) exchange() {
	s.after(s.system.Exchange, func() {
		for index, from := range s.nodes {
			counts := make([]int, len(s.workers))
			for number, state := range from.core.Group.States() {
				counts[number] = state.InFlight
			}
			for _, to := range s.nodes {
				if to == from {
					continue
				}
				s.result.Exchanges++
				s.after(s.wire(from.zone, to.zone), func() { s.told(to, index, counts) })
			}
		}
		s.exchange()
	})
}

func (s *simulation) told(to *node, from int, counts []int) {
	to.told[from] = counts
	for number, one := range s.workers {
		sum := 0
		for _, told := range to.told {
			sum += told[number]
		}
		to.core.Group.SetPeers(one.id, sum, s.time())
	}
}
