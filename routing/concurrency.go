package routing

import (
	"math"
	"math/rand/v2"
)

// Tuning of the learned concurrency.
const (
	// concurrencyMemory is how many requests of each number in flight are remembered:
	// their mean is right to 1/28 where single ones differ by half.
	maxLatencySamples = 200
	// concurrencyPrior is for how many requests the assumption counts that one more in
	// flight slows nothing down. The mean of as few is wrong by a sixth.
	latencyPriorSamples = 10
	// concurrencyVariance is how much the number in flight may have varied while a
	// request was, for it to tell of their average: by about a half in both directions.
	maxInFlightVariance = 0.36
	// exploreUnknown is the share of the back ends that try fewer in flight than is best,
	// while little is known of that.
	exploreUnknownShare = 1.0 / 8
	// exploreShare is the share of the back ends that try another number in flight than
	// the best, so that what is known of it stays true.
	exploreKnownShare = 1.0 / 16
	// fewSlots are all used from the start; see firstBound.
	fullUseSlots = 3
	// boundRounds is how often each place at a back end is used before its bound is
	// chosen again: requests that began under another one tell little.
	boundRevisionRounds = 3
)

// concurrency learns how many requests in flight are best at the back ends of a service:
// the number with the most throughput for its latency. That quotient, Kleinrock's power
// (Power and deterministic rules of thumb for probabilistic problems in computer
// communications, 1979), falls where one more in flight slows down the others by more
// than it brings. The zero value has seen none. Back ends with a different number of slots
// are kept apart.
//
// Two thirds of the slots are used at first, of three and fewer all. As soon as places are short, one more is
// tried, until it is known whether it is better; from then on, now and then another number.
type concurrencyEstimator struct {
	bySlots map[int]*latencyCurve
}

// observe takes in what a request that succeeded met at a back end, and says whether the
// bounds should be chosen anew for what it tells.
func (c *concurrencyEstimator) observe(slots int, seen inFlightStats) bool {
	inFlight := int(math.Round(seen.mean))
	if seen.duration <= 0 || seen.variance > maxInFlightVariance || inFlight < 1 || inFlight > slots {
		return false
	}
	curve := c.forSlots(slots)
	best, settled := curve.best, curve.settled()
	curve.byInFlight[inFlight-1].add(seen.duration.Seconds())
	curve.best = curve.mostPowerful()
	return curve.best != best || curve.settled() != settled
}

// of returns what is known of back ends with so many slots.
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

// known returns the best number in flight, once one more has been tried; 0 before.
func (c *concurrencyEstimator) settledBest(slots int) int {
	if curve, known := c.bySlots[slots]; known && curve.settled() {
		return curve.best
	}
	return 0
}

// best returns the best number in flight as far as is known.
func (c *concurrencyEstimator) best(slots int) int {
	if curve, known := c.bySlots[slots]; known {
		return curve.best
	}
	return initialBound(slots)
}

// advise takes in the best number in flight as learned elsewhere. It counts until enough
// has been seen here.
func (c *concurrencyEstimator) setHint(slots, hint int) {
	curve := c.forSlots(slots)
	curve.hint = hint
	curve.best = curve.mostPowerful()
}

// bound chooses how many requests a back end with so many slots is to hold next. Others
// than the best are tried only while places are short: otherwise fewer in flight cost
// nothing.
func (c *concurrencyEstimator) chooseBound(slots int, capacityShort bool, random *rand.Rand) int {
	if slots == 0 {
		return 0 // nothing is declared
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

// toTry returns the numbers besides the best that some back ends try, and the share of
// those.
func (l *latencyCurve) explorationCandidates() (candidates []int, share float64) {
	if !l.settled() {
		// That share is what could be gained.
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

// settled says whether one more in flight than the best is known to be worse.
func (l *latencyCurve) settled() bool {
	return l.best == l.hint || l.best == len(l.byInFlight) || l.hasSamples(l.best+1)
}

// seen says whether enough is known of a number in flight.
func (l *latencyCurve) hasSamples(inFlight int) bool {
	return l.byInFlight[inFlight-1].count >= latencyPriorSamples
}

// firstBound is the bound of a back end before anything is known: two thirds of its
// slots. Where it is too low, the first requests that wait raise it. At back ends that slow
// down beyond four of six slots, beginning with half or three quarters of them cost 0.01 of
// the requests in time, mean of 15 runs of 50 s under faults. Few slots are used at once:
// two of three, where nothing slows down, cost 0.01 of the requests in time of a quiet day,
// and a third more bytes between zones, as back ends nearby count as full.
func initialBound(slots int) int {
	return max((2*slots+2)/3, min(slots, fullUseSlots))
}

// leastBound is the lowest bound of a back end: half of its slots.
func minBound(slots int) int {
	return (slots + 1) / 2
}

// average is the mean of the last values, in seconds.
type runningMean struct {
	value float64
	count float64
}

func (a *runningMean) add(value float64) {
	a.count = min(a.count+1, maxLatencySamples)
	a.value += (value - a.value) / a.count
}

// latencies is what is known of back ends with the same number of slots.
type latencyCurve struct {
	byInFlight        []runningMean // by the number in flight, from 1 on
	hint              int           // best as learned elsewhere; 0: nobody said
	best              int
	pools             []pool    // of expected, kept from call to call
	expectedLatencies []float64 // what expected returned last
}

func newLatencyCurve(slots int) *latencyCurve {
	return &latencyCurve{byInFlight: make([]runningMean, slots), best: initialBound(slots)}
}

// choose returns the number in flight with the most power, of those that enough is known
// of, from the lowest bound on. The first bound counts as known.
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

// expected returns how long a request is expected to take by the number in flight. A
// number of which little is known counts as taking about as long as the one before it,
// so that it is tried. More in flight never make each one faster: where it looks so, the
// two count as alike (isotonic regression by pooling adjacent violators). The result is
// valid until the next call.
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
	for _, measured := range pools {
		for range measured.levels {
			l.expectedLatencies = append(l.expectedLatencies, measured.value)
		}
	}
	return l.expectedLatencies
}

// pool is an average that several numbers in flight share.
type pool struct {
	runningMean
	levels int
}

// with joins two pools.
func (p pool) merge(next pool) pool {
	joined := pool{runningMean: runningMean{count: p.count + next.count}, levels: p.levels + next.levels}
	if joined.count > 0 {
		joined.value = (p.count*p.value + next.count*next.value) / joined.count
	}
	return joined
}
