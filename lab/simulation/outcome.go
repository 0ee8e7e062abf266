package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome holds the results of a replay.
type Outcome struct {
	Classes map[string]*ClassOutcome
	// ColdFailures counts failures of cold back ends that got too many requests,
	// PeakColdArrivals is the most requests that one got within a second, and
	// EvacuatedArrivals counts requests that reached evacuated back ends.
	ColdFailures, PeakColdArrivals, EvacuatedArrivals int
	// PeakFirstSecond is the most requests that a back end got in the first second after its return.
	PeakFirstSecond int
	// RefusedWhileFree counts refused tries while a back end of another zone could have served them,
	// and OtherZone the requests that were sent to another zone.
	RefusedWhileFree, OtherZone int
	// Seconds holds what happened in each second of the replay.
	Seconds []SecondOutcome
}

// SecondOutcome counts what happened within one second of a replay.
type SecondOutcome struct {
	Arrived int // first tries of callers
	Retried int // further tries of callers
	Refused int // tries that were refused
	Waiting int // the most requests that waited at once
}

// second returns the counts of the second that contains a time.
func (o *Outcome) second(at time.Duration) *SecondOutcome {
	index := int(at / time.Second)
	for len(o.Seconds) <= index {
		o.Seconds = append(o.Seconds, SecondOutcome{})
	}
	return &o.Seconds[index]
}

// recordWorkers adds the counts of the back ends.
func (o *Outcome) recordWorkers(workers []*worker) {
	for _, backend := range workers {
		o.ColdFailures += backend.coldFailures
		o.PeakColdArrivals = max(o.PeakColdArrivals, backend.peakColdArrivals)
		o.EvacuatedArrivals += backend.evacuatedArrivals
		o.PeakFirstSecond = max(o.PeakFirstSecond, backend.peakFirstSecond)
	}
}

// ClassOutcome holds the results of a class.
type ClassOutcome struct {
	Requests          int
	InTime            int // answered within the objective, from the first try
	Late              int // answered later, but before the deadline
	Refused           int // tries that were refused
	RefusedRepeatedly int // callers that were refused more than once
	GaveUp            int // callers that got no response before their deadline or ran out of retries
	Hedges            int
	Latency           *hdrhistogram.Histogram // of answered requests, from the first try
	RefusalDelay      *hdrhistogram.Histogram // from the arrival of a refused try at the dispatcher to its refusal
}

func newOutcome(pattern Pattern) *Outcome {
	outcome := &Outcome{Classes: make(map[string]*ClassOutcome)}
	for _, class := range pattern.Classes {
		outcome.Classes[class.Name] = &ClassOutcome{Latency: newHistogram(), RefusalDelay: newHistogram()}
	}
	return outcome
}

func (o *Outcome) forClass(class PatternClass) *ClassOutcome {
	return o.Classes[class.Name]
}

func (o *Outcome) recordAnswer(sender *caller, at time.Time) {
	outcome := o.forClass(sender.class)
	switch {
	case at.After(sender.deadline):
		outcome.GaveUp++
		return
	case at.Sub(sender.startedAt) <= time.Duration(sender.class.Objective):
		outcome.InTime++
	default:
		outcome.Late++
	}
	_ = outcome.Latency.RecordValue(at.Sub(sender.startedAt).Microseconds()) // below the maximum, because of the deadline
}

func (o *Outcome) recordRefusal(t *try, at, delay time.Duration) {
	o.second(at).Refused++
	outcome := o.forClass(t.class)
	outcome.Refused++
	if t.refusals == 1 {
		outcome.RefusedRepeatedly++
	}
	_ = outcome.RefusalDelay.RecordValue(delay.Microseconds()) // below the maximum, because of the deadline
}

func (o *Outcome) recordGiveUp(sender *caller) {
	o.forClass(sender.class).GaveUp++
}

// Share returns a count as a share of all requests.
func (c *ClassOutcome) Share(count int) float64 {
	return float64(count) / float64(max(c.Requests, 1))
}

// RefusalDelayAt returns a quantile, in percent, of the refusal delay.
func (c *ClassOutcome) RefusalDelayAt(quantile float64) time.Duration {
	return time.Duration(c.RefusalDelay.ValueAtQuantile(quantile)) * time.Microsecond
}

// LatencyAt returns a quantile, in percent, of the latency of answered requests.
func (c *ClassOutcome) LatencyAt(quantile float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Merge adds the results of another replay of the same pattern.
func (o *Outcome) Merge(other *Outcome) {
	for name, class := range other.Classes {
		o.Classes[name].merge(class)
	}
	o.ColdFailures += other.ColdFailures
	o.PeakColdArrivals = max(o.PeakColdArrivals, other.PeakColdArrivals)
	o.EvacuatedArrivals += other.EvacuatedArrivals
	o.PeakFirstSecond = max(o.PeakFirstSecond, other.PeakFirstSecond)
	o.RefusedWhileFree += other.RefusedWhileFree
	o.OtherZone += other.OtherZone
	for index, counts := range other.Seconds {
		second := o.second(time.Duration(index) * time.Second)
		second.Arrived += counts.Arrived
		second.Retried += counts.Retried
		second.Refused += counts.Refused
		second.Waiting = max(second.Waiting, counts.Waiting)
	}
}

// Total returns the sum over all classes.
func (o *Outcome) Total() *ClassOutcome {
	total := &ClassOutcome{Latency: newHistogram(), RefusalDelay: newHistogram()}
	for _, class := range o.Classes {
		total.merge(class)
	}
	return total
}

func (c *ClassOutcome) merge(other *ClassOutcome) {
	c.Requests += other.Requests
	c.InTime += other.InTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.RefusedRepeatedly += other.RefusedRepeatedly
	c.GaveUp += other.GaveUp
	c.Hedges += other.Hedges
	c.Latency.Merge(other.Latency)
	c.RefusalDelay.Merge(other.RefusalDelay)
}
