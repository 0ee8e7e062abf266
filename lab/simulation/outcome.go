package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what the callers of a pattern got.
type Outcome struct {
	Classes map[string]*ClassOutcome
	// ColdFailures is how often a cold back end got more than it bears, MostCold the most that
	// one got within a second, and Intruders how many requests reached evacuated ones.
	ColdFailures, PeakColdArrivals, EvacuatedArrivals int
}

// seen takes in what the back ends have seen.
func (o *Outcome) seen(workers []*worker) {
	for _, one := range workers {
		o.ColdFailures += one.fell
		o.PeakColdArrivals = max(o.PeakColdArrivals, one.most)
		o.EvacuatedArrivals += one.intruders
	}
}

// ClassOutcome is what the callers of a class got.
type ClassOutcome struct {
	Requests          int
	InTime            int // answered within the objective, from the first try
	Late              int // answered before the deadline
	Refused           int // tries that were refused
	RefusedRepeatedly int // callers that were refused more than once
	GaveUp            int // callers without an answer
	Hedges            int
	Latency           *hdrhistogram.Histogram // of the answered, from the first try
	RefusalDelay      *hdrhistogram.Histogram // of the refused tries, until they were told
}

func newOutcome(pattern Pattern) *Outcome {
	outcome := &Outcome{Classes: make(map[string]*ClassOutcome)}
	for _, class := range pattern.Classes {
		outcome.Classes[class.Name] = &ClassOutcome{Latency: newHistogram(), RefusalDelay: newHistogram()}
	}
	return outcome
}

func (o *Outcome) of(class PatternClass) *ClassOutcome {
	return o.Classes[class.Name]
}

func (o *Outcome) answered(asking *caller, at time.Time) {
	to := o.of(asking.class)
	switch {
	case at.After(asking.deadline):
		to.GaveUp++
		return
	case at.Sub(asking.begun) <= time.Duration(asking.class.Objective):
		to.InTime++
	default:
		to.Late++
	}
	_ = to.Latency.RecordValue(at.Sub(asking.begun).Microseconds()) // below the highest value: there is a deadline
}

func (o *Outcome) refused(one *try, held time.Duration) {
	to := o.of(one.class)
	to.Refused++
	if one.refused == 1 {
		to.RefusedRepeatedly++
	}
	_ = to.RefusalDelay.RecordValue(held.Microseconds()) // below the highest value: there is a deadline
}

func (o *Outcome) gaveUp(asking *caller) {
	o.of(asking.class).GaveUp++
}

// Share returns a part of all that asked.
func (c *ClassOutcome) Share(part int) float64 {
	return float64(part) / float64(max(c.Requests, 1))
}

// RefusalDelayAt returns for how long this many in a hundred refused tries were held at most.
func (c *ClassOutcome) RefusalDelayAt(quantile float64) time.Duration {
	return time.Duration(c.RefusalDelay.ValueAtQuantile(quantile)) * time.Microsecond
}

// LatencyAt returns a quantile, in percent, of the latency of those that were answered.
func (c *ClassOutcome) LatencyAt(quantile float64) time.Duration {
	return time.Duration(c.Latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// Merge takes in what the callers of another play got.
func (o *Outcome) Merge(other *Outcome) {
	for name, one := range other.Classes {
		o.Classes[name].add(one)
	}
	o.ColdFailures += other.ColdFailures
	o.PeakColdArrivals = max(o.PeakColdArrivals, other.PeakColdArrivals)
	o.EvacuatedArrivals += other.EvacuatedArrivals
}

// Total sums up the classes.
func (o *Outcome) Total() *ClassOutcome {
	all := &ClassOutcome{Latency: newHistogram(), RefusalDelay: newHistogram()}
	for _, one := range o.Classes {
		all.add(one)
	}
	return all
}

func (c *ClassOutcome) add(other *ClassOutcome) {
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
