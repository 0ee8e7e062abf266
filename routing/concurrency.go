package routing

import (
	"math"
	"math/rand/v2"
)

// Parameters of the learned concurrency.
const (
	// maxLatencySamples is how many recent requests of each number in flight the mean latency
	// covers: it is accurate to 1/28 where single latencies vary by half.
	maxLatencySamples = 200
	// latencyPriorSamples is the weight, in requests, of the prior assumption that one more request
	// in flight does not increase latency. The mean of as few requests is off by a sixth.
	latencyPriorSamples = 10
	// maxInFlightVariance is the maximum variance of the number in flight during a request for
	// which the latency counts as a sample of the mean number: about one half in both directions.
	maxInFlightVariance = 0.36
	// exploreUnknownShare is the share of the back ends that try fewer requests in flight than the
	// best number while some of the lower numbers have too few samples.
	exploreUnknownShare = 1.0 / 8
	// exploreKnownShare is the share of the back ends that try a number in flight other than the
	// best, to keep the estimates current.
	exploreKnownShare = 1.0 / 16
	// fullUseSlots: back ends with at most so many slots use all of them from the start; see
	// initialBound.
	fullUseSlots = 3
	// boundRevisionRounds is how often each unit of a back end's bound is used before the bound is
	// chosen again: requests that began under the previous bound say little about this one.
	boundRevisionRounds = 3
)

// concurrencyEstimator learns how many requests in flight are best at the back ends of a service:
// the number with the highest throughput for its latency. That quotient, Kleinrock's power (Power
// and deterministic rules of thumb for probabilistic problems in computer communications, 1979),
// falls where one more request in flight slows down the others by more than it adds. The zero value
// has no samples. Back ends with different numbers of slots are estimated separately.
//
// At first two thirds of the slots are used, or all where there are at most three. As soon as
// capacity is short, some back ends try one more until it is known whether that is better; from
// then on they try other numbers occasionally.
type concurrencyEstimator struct {
	bySlots map[int]*latencyCurve
}

// observe records the latency of a successful request and what was in flight meanwhile. It reports
// whether the bounds should be chosen again.
func (c *concurrencyEstimator) observe(slots int, stats inFlightStats) bool {
	inFlight := int(math.Round(stats.mean))
	if stats.duration <= 0 || stats.variance > maxInFlightVariance || inFlight < 1 || inFlight > slots {
		return false
	}
	curve := c.forSlots(slots)
	best, settled := curve.best, curve.settled()
	curve.byInFlight[inFlight-1].add(stats.duration.Seconds())
	curve.best = curve.mostPowerful()
	return curve.best != best || curve.settled() != settled
}

// forSlots returns the latencies of back ends with so many slots.
func (c *concurrencyEstimator) forSlots(slots int) *latencyCurve {
	curve, known := c.bySlots[slots]
	if !known {
		if c.bySlots == nil {
			c.bySlots = make(map[int]*latencyCurve)
		}
		curve = newLatencyCurve(slots)
		c.bySlots[slots] = curve
	}
	return curve
}

// settledBest returns the best number in flight once one more has been tried, 0 before that.
func (c *concurrencyEstimator) settledBest(slots int) int {
	if curve, known := c.bySlots[slots]; known && curve.settled() {
		return curve.best
	}
	return 0
}

// best returns the best number in flight according to the samples so far.
func (c *concurrencyEstimator) best(slots int) int {
	if curve, known := c.bySlots[slots]; known {
		return curve.best
	}
	return initialBound(slots)
}

// setHint sets the best number in flight as learned by another daemon. It applies until there are
// enough samples here.
func (c *concurrencyEstimator) setHint(slots, hint int) {
	curve := c.forSlots(slots)
	curve.hint = hint
	curve.best = curve.mostPowerful()
}

// chooseBound chooses the next bound of a back end with so many slots. Numbers other than the best
// are tried only while capacity is short: otherwise fewer requests in flight cost nothing.
func (c *concurrencyEstimator) chooseBound(slots int, capacityShort bool, random *rand.Rand) int {
	if slots == 0 {
		return 0 // no number of slots is declared
	}
	curve := c.forSlots(slots)
	if !capacityShort {
		return curve.best
	}
	candidates, share := curve.explorationCandidates()
	if len(candidates) > 0 && random.Float64() < share {
		return candidates[random.IntN(len(candidates))]
	}
	return curve.best
}

// explorationCandidates returns the numbers other than the best that some back ends try, and the
// share of those back ends.
func (l *latencyCurve) explorationCandidates() (candidates []int, share float64) {
	if !l.settled() {
		// The share equals the possible gain.
		return []int{l.best + 1}, 1 / float64(l.best)
	}
	low, high := minBound(len(l.byInFlight)), min(l.best+1, len(l.byInFlight))
	for inFlight := low; inFlight < l.best; inFlight++ {
		if !l.hasSamples(inFlight) {
			candidates = append(candidates, inFlight)
		}
	}
	if len(candidates) > 0 {
		return candidates, exploreUnknownShare
	}
	for inFlight := low; inFlight <= high; inFlight++ {
		if inFlight != l.best {
			candidates = append(candidates, inFlight)
		}
	}
	return candidates, exploreKnownShare
}

// settled reports whether one more request in flight is known to be worse than the best number.
func (l *latencyCurve) settled() bool {
	return l.best == l.hint || l.best == len(l.byInFlight) || l.hasSamples(l.best+1)
}

// hasSamples reports whether a number in flight has enough samples.
func (l *latencyCurve) hasSamples(inFlight int) bool {
	return l.byInFlight[inFlight-1].count >= latencyPriorSamples
}

// initialBound is the bound of a back end without any samples: two thirds of its slots. If it is
// too low, the first requests that wait raise it. At back ends that slow down beyond four of six
// slots, starting with a half or three quarters of the slots lost 0.01 of the requests in time
// (mean of 15 runs of 50 s under faults). Back ends with few slots start with all: using two of
// three where nothing slows down lost 0.01 of the requests in time of a quiet day and sent a third
// more bytes between zones, as nearby back ends counted as full.
func initialBound(slots int) int {
	return max((2*slots+2)/3, min(slots, fullUseSlots))
}

// minBound is the lowest bound of a back end: half of its slots.
func minBound(slots int) int {
	return (slots + 1) / 2
}

// runningMean is the mean of the most recent values, in seconds.
type runningMean struct {
	value float64
	count float64
}

func (a *runningMean) add(value float64) {
	a.count = min(a.count+1, maxLatencySamples)
	a.value += (value - a.value) / a.count
}

// latencyCurve holds the latencies by number in flight of back ends with the same number of slots.
type latencyCurve struct {
	byInFlight        []runningMean // by the number in flight, from 1 on
	hint              int           // best number as learned by another daemon; 0: none
	best              int
	pools             []pool    // scratch space of expected, reused between calls
	expectedLatencies []float64 // result of the last call of expected
}

func newLatencyCurve(slots int) *latencyCurve {
	return &latencyCurve{byInFlight: make([]runningMean, slots), best: initialBound(slots)}
}

// mostPowerful returns the number in flight with the highest power, at least minBound, among those
// with enough samples. The initial bound counts as sampled.
func (l *latencyCurve) mostPowerful() int {
	low, initial, maxPower := minBound(len(l.byInFlight)), initialBound(len(l.byInFlight)), 0.0
	best := initial
	if l.hint > 0 {
		best = l.hint
	}
	for index, latency := range l.expected() {
		inFlight := index + 1
		if inFlight < low || latency == 0 || (!l.hasSamples(inFlight) && inFlight != l.hint && inFlight != initial) {
			continue
		}
		if power := float64(inFlight) / (latency * latency); power > maxPower {
			best, maxPower = inFlight, power
		}
	}
	return best
}

// expected returns the expected latency of a request by number in flight. A number with few samples
// is expected to take about as long as the one before it, so that it is tried. More requests in
// flight never make each one faster: where the samples say so, the numbers share one estimate
// (isotonic regression by pooling adjacent violators). The result is valid until the next call.
func (l *latencyCurve) expected() []float64 {
	pools := l.pools[:0]
	for _, measured := range l.byInFlight {
		next := pool{runningMean: measured, levels: 1}
		if len(pools) > 0 && pools[len(pools)-1].count > 0 {
			next = next.merge(pool{runningMean: runningMean{value: pools[len(pools)-1].value, count: latencyPriorSamples}})
		}
		for len(pools) > 0 && pools[len(pools)-1].value >= next.value {
			next = pools[len(pools)-1].merge(next)
			pools = pools[:len(pools)-1]
		}
		pools = append(pools, next)
	}
	l.pools, l.expectedLatencies = pools, l.expectedLatencies[:0]
	for _, shared := range pools {
		for range shared.levels {
			l.expectedLatencies = append(l.expectedLatencies, shared.value)
		}
	}
	return l.expectedLatencies
}

// pool is a mean shared by several adjacent numbers in flight.
type pool struct {
	runningMean
	levels int
}

// merge joins two pools.
func (p pool) merge(next pool) pool {
	joined := pool{runningMean: runningMean{count: p.count + next.count}, levels: p.levels + next.levels}
	if joined.count > 0 {
		joined.value = (p.count*p.value + next.count*next.value) / joined.count
	}
	return joined
}
