package routing

import (
	"math"
	"math/rand/v2"
)

// Tuning of the learned concurrency.
const (
	// concurrencyMemory is how many requests of each number in flight are remembered:
	// their mean is right to 1/28 where single ones differ by half.
	concurrencyMemory = 200
	// concurrencyPrior is for how many requests the assumption counts that one more in
	// flight slows nothing down. The mean of as few is wrong by a sixth.
	concurrencyPrior = 10
	// concurrencyVariance is how much the number in flight may have varied while a
	// request was, for it to tell of their average: by about a half in both directions.
	concurrencyVariance = 0.36
	// exploreUnknown is the share of the back ends that try fewer in flight than is best,
	// while little is known of that.
	exploreUnknown = 1.0 / 8
	// exploreShare is the share of the back ends that try another number in flight than
	// the best, so that what is known of it stays true.
	exploreShare = 1.0 / 16
	// fewSlots are all used from the start; see firstBound.
	fewSlots = 3
	// boundRounds is how often each place at a back end is used before its bound is
	// chosen again: requests that began under another one tell little.
	boundRounds = 3
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
type concurrency struct {
	bySlots map[int]*latencies
}

// observe takes in what a request that succeeded met at a back end, and says whether the
// bounds should be chosen anew for what it tells.
func (c *concurrency) observe(slots int, one met) bool {
	number := int(math.Round(one.inFlight))
	if one.taken <= 0 || one.variance > concurrencyVariance || number < 1 || number > slots {
		return false
	}
	learned := c.of(slots)
	best, settled := learned.best, learned.settled()
	learned.byNumber[number-1].add(one.taken.Seconds())
	learned.best = learned.choose()
	return learned.best != best || learned.settled() != settled
}

// of returns what is known of back ends with so many slots.
func (c *concurrency) of(slots int) *latencies {
	learned, known := c.bySlots[slots]
	if !known {
		if c.bySlots == nil {
			c.bySlots = make(map[int]*latencies)
		}
		learned = newLatencies(slots)
		c.bySlots[slots] = learned
	}
	return learned
}

// known returns the best number in flight, once one more has been tried; 0 before.
func (c *concurrency) known(slots int) int {
	if learned, known := c.bySlots[slots]; known && learned.settled() {
		return learned.best
	}
	return 0
}

// best returns the best number in flight as far as is known.
func (c *concurrency) best(slots int) int {
	if learned, known := c.bySlots[slots]; known {
		return learned.best
	}
	return firstBound(slots)
}

// advise takes in the best number in flight as learned elsewhere. It counts until enough
// has been seen here.
func (c *concurrency) advise(slots, best int) {
	learned := c.of(slots)
	learned.advised = best
	learned.best = learned.choose()
}

// bound chooses how many requests a back end with so many slots is to hold next. Others
// than the best are tried only while places are short: otherwise fewer in flight cost
// nothing.
func (c *concurrency) bound(slots int, short bool, random *rand.Rand) int {
	if slots == 0 {
		return 0 // nothing is declared
	}
	learned := c.of(slots)
	if !short {
		return learned.best
	}
	others, share := learned.toTry()
	if len(others) > 0 && random.Float64() < share {
		return others[random.IntN(len(others))]
	}
	return learned.best
}

// toTry returns the numbers besides the best that some back ends try, and the share of
// those.
func (l *latencies) toTry() (numbers []int, share float64) {
	if !l.settled() {
		// That share is what could be gained.
		return []int{l.best + 1}, 1 / float64(l.best)
	}
	least, most := leastBound(len(l.byNumber)), min(l.best+1, len(l.byNumber))
	for number := least; number < l.best; number++ {
		if !l.seen(number) {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) > 0 {
		return numbers, exploreUnknown
	}
	for number := least; number <= most; number++ {
		if number != l.best {
			numbers = append(numbers, number)
		}
	}
	return numbers, exploreShare
}

// settled says whether one more in flight than the best is known to be worse.
func (l *latencies) settled() bool {
	return l.best == l.advised || l.best == len(l.byNumber) || l.seen(l.best+1)
}

// seen says whether enough is known of a number in flight.
func (l *latencies) seen(number int) bool {
	return l.byNumber[number-1].count >= concurrencyPrior
}

// firstBound is the bound of a back end before anything is known: two thirds of its
// slots. Where it is too low, the first requests that wait raise it. At back ends that slow
// down beyond four of six slots, beginning with half or three quarters of them cost 0.01 of
// the requests in time, mean of 15 runs of 50 s under faults. Few slots are used at once:
// two of three, where nothing slows down, cost 0.01 of the requests in time of a quiet day,
// and a third more bytes between zones, as back ends nearby count as full.
func firstBound(slots int) int {
	return max((2*slots+2)/3, min(slots, fewSlots))
}

// leastBound is the lowest bound of a back end: half of its slots.
func leastBound(slots int) int {
	return (slots + 1) / 2
}

// average is the mean of the last values, in seconds.
type average struct {
	value float64
	count float64
}

func (a *average) add(value float64) {
	a.count = min(a.count+1, concurrencyMemory)
	a.value += (value - a.value) / a.count
}

// latencies is what is known of back ends with the same number of slots.
type latencies struct {
	byNumber []average // by the number in flight, from 1 on
	advised  int       // best as learned elsewhere; 0: nobody said
	best     int
	pools    []pool    // of expected, kept from call to call
	taken    []float64 // what expected returned last
}

func newLatencies(slots int) *latencies {
	return &latencies{byNumber: make([]average, slots), best: firstBound(slots)}
}

// choose returns the number in flight with the most power, of those that enough is known
// of, from the lowest bound on. The first bound counts as known.
func (l *latencies) choose() int {
	least, first, most := leastBound(len(l.byNumber)), firstBound(len(l.byNumber)), 0.0
	best := first
	if l.advised > 0 {
		best = l.advised
	}
	for index, taken := range l.expected() {
		number := index + 1
		if number < least || taken == 0 || (!l.seen(number) && number != l.advised && number != first) {
			continue
		}
		if power := float64(number) / (taken * taken); power > most {
			best, most = number, power
		}
	}
	return best
}

// expected returns how long a request is expected to take by the number in flight. A
// number of which little is known counts as taking about as long as the one before it,
// so that it is tried. More in flight never make each one faster: where it looks so, the
// two count as alike (isotonic regression by pooling adjacent violators). The result is
// valid until the next call.
func (l *latencies) expected() []float64 {
	pools := l.pools[:0]
	for _, one := range l.byNumber {
		next := pool{average: one, numbers: 1}
		if len(pools) > 0 && pools[len(pools)-1].count > 0 {
			next = next.with(pool{average: average{value: pools[len(pools)-1].value, count: concurrencyPrior}})
		}
		for len(pools) > 0 && pools[len(pools)-1].value >= next.value {
			next = pools[len(pools)-1].with(next)
			pools = pools[:len(pools)-1]
		}
		pools = append(pools, next)
	}
	l.pools, l.taken = pools, l.taken[:0]
	for _, one := range pools {
		for range one.numbers {
			l.taken = append(l.taken, one.value)
		}
	}
	return l.taken
}

// pool is an average that several numbers in flight share.
type pool struct {
	average
	numbers int
}

// with joins two pools.
func (p pool) with(next pool) pool {
	joined := pool{average: average{count: p.count + next.count}, numbers: p.numbers + next.numbers}
	if joined.count > 0 {
		joined.value = (p.count*p.value + next.count*next.value) / joined.count
	}
	return joined
}
