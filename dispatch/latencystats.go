package dispatch

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of latencies kept per class: enough to estimate the 95th
	// percentile, and as many as a class with 2 requests per second yields in a minute.
	latencySamples = 128
	// minLatencySamples is the number of latencies from which the quantiles are used: the
	// fastest 5% of it is one sample.
	minLatencySamples = 20
	// hedgeMarginFactor, times the median, is added to the quantile at which a hedge is sent.
	// If all requests take about equally long, a hedge would otherwise be sent just before the
	// answer arrives and would use up the retry budget (TestHedge in lab/objectstub).
	hedgeMarginFactor = 0.1
	// quantileRefreshSamples is the number of new latencies after which the quantiles are
	// recomputed.
	quantileRefreshSamples = 8
	// maxClasses bounds the number of classes. Beyond it all statistics are discarded, and
	// are learned anew within some requests.
	maxClasses = 1000
)

// Quantiles of the latencies of a class.
const (
	fastestQuantile = 0.05
	medianQuantile  = 0.5
	// slowQuantile is the quantile beyond which a request is hedged while most back ends have
	// free permits. Hedging the slowest 20% is about what the usual retry budgets pay for. On
	// quiet days it served 0.003 to 0.008 more of the worth than hedging the slowest 5% (means
	// of 3 days at three deployments).
	slowQuantile = 0.8
	// slowestQuantile is the same while most back ends are full, when a hedge takes the permit
	// of another request: the slowest 5% (Dean and Barroso, The Tail at Scale, 2013).
	slowestQuantile = 0.95
)

// latencyStats holds the recent latencies of the requests of one class, measured from the
// grant of the permit. The zero value has no samples.
type latencyStats struct {
	samples         [latencySamples]time.Duration
	count           int
	fastest, median time.Duration // 0: not known yet
	slow, slowest   time.Duration
}

// add records the latency of an answer.
func (l *latencyStats) add(latency time.Duration) {
	l.samples[l.count%latencySamples] = latency
	l.count++
	if l.count < minLatencySamples || l.count%quantileRefreshSamples != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(l.samples[:min(l.count, latencySamples)]))
	quantile := func(fraction float64) time.Duration { return sorted[int(fraction*float64(len(sorted)))] }
	l.fastest, l.median, l.slow, l.slowest = quantile(fastestQuantile), quantile(medianQuantile), quantile(slowQuantile), quantile(slowestQuantile)
}

// statsByClass holds the latencies of each class of requests. The zero value is empty.
type statsByClass struct {
	byClass map[string]*latencyStats
}

// noLatencyStats stands for a class without answers yet. It must not be modified.
var noLatencyStats = new(latencyStats)

// forClass returns the latencies of a class. The result must not be modified.
func (w *statsByClass) forClass(class string) *latencyStats {
	if stats, found := w.byClass[class]; found {
		return stats
	}
	return noLatencyStats
}

// record records the latency of an answer to a request of a class, if it has one.
func (w *statsByClass) record(class string, latency time.Duration) {
	if class == "" {
		return
	}
	stats, found := w.byClass[class]
	if !found {
		if w.byClass == nil || len(w.byClass) >= maxClasses {
			w.byClass = make(map[string]*latencyStats)
		}
		stats = new(latencyStats)
		w.byClass[class] = stats
	}
	stats.add(latency)
}

// canMeetDeadline reports whether an answer may arrive before the deadline, judged by the
// fastest answers.
func (l *latencyStats) canMeetDeadline(now time.Time, request Request) bool {
	return !now.Add(l.fastest).After(request.Deadline)
}

// usefulUntil returns the time until which a permit is worth waiting for: a request granted
// one later would commonly miss its objective, or its deadline if it has no objective. A
// request that is already late does not wait, since the permit that it would hold for the
// whole of its work is worth more to requests that can be in time. It is served only if a
// permit is free.
//
// With lateWait, a request with an objective may wait until it would commonly miss its deadline,
// and inTime is the time from which it waits behind those that can be in time. Otherwise inTime is
// zero.
func (l *latencyStats) usefulUntil(request Request, lateWait bool) (inTime, useful time.Time) {
	useful = request.Deadline.Add(-l.median)
	until, given := l.inTimeUntil(request)
	switch {
	case !given:
		return time.Time{}, useful
	case !lateWait:
		return time.Time{}, until
	}
	return until, useful
}

// inTimeUntil returns the time from which a request that is granted a permit would commonly miss
// its objective, and false if it has none.
func (l *latencyStats) inTimeUntil(request Request) (time.Time, bool) {
	objective, given := request.objectiveDeadline()
	return objective.Add(-l.median), given
}

// shouldFollow reports whether to watch for a disturbance at the back end of a request: it is
// a repeatable first attempt, and a hedge sent as soon as the disturbance is known would
// commonly be in time.
func (l *latencyStats) shouldFollow(sent time.Time, request Request) bool {
	objective, given := request.objectiveDeadline()
	if !given || l.median == 0 || !request.Routing.Repeatable || len(request.Routing.Tried) > 0 {
		return false
	}
	return !sent.Add(disturbanceWindow + l.median).After(objective)
}

// hedgeAfter returns the delay after the grant at which to hedge a request: once it is one of
// the slowest of its class, with a higher quantile if most back ends are full, but not so late
// that the hedge would commonly miss the objective. It returns 0 if the latencies are unknown,
// or if even the fastest answer to a hedge would come too late.
func (l *latencyStats) hedgeAfter(sent time.Time, request Request, mostlyFull bool) time.Duration {
	objective, given := request.objectiveDeadline()
	if !given || l.slowest == 0 {
		return 0
	}
	delay := l.slow
	if mostlyFull {
		delay = l.slowest
	}
	delay += time.Duration(hedgeMarginFactor * float64(l.median))
	if latest := objective.Sub(sent) - l.median; latest > l.median {
		delay = min(delay, latest)
	}
	if sent.Add(delay + l.fastest).After(objective) {
		return 0
	}
	return delay
}
