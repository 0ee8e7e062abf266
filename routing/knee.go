package routing

import "time"

// Tuning of the knee.
const (
	// kneeWeight is the weight of a new latency in the two averages.
	kneeWeight = 0.02
	// kneeSamples is how many latencies of each kind are needed before the
	// averages are compared.
	kneeSamples = 20
	// kneeExplore is the share of picks that may fill a back end whatever the
	// averages say, so that they do not go stale.
	kneeExplore = 0.03
	// kneeMargin is the part of the gain in throughput that the last slot must
	// bring, as more requests at once also make each one slower.
	kneeMargin = 0.8
)

// knee learns whether back ends slow down when they are full, so that the last
// slot of each is better left free. The zero value knows nothing and fills them.
type knee struct {
	full, free average // latencies of requests that took the last slot, or did not
}

// average is a moving average of latencies, in seconds.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count++
	weight := max(kneeWeight, 1/float64(a.count))
	a.value += weight * (value - a.value)
}

// observe takes in the latency of a request, divided by the slowdown that was
// expected when it was sent.
func (k *knee) observe(tookLast bool, latency time.Duration, slowdown float64) {
	value := latency.Seconds() / max(slowdown, 1)
	if tookLast {
		k.full.add(value)
		return
	}
	k.free.add(value)
}

// spare says whether the last of so many slots is better left free: with it the
// back end finishes hardly more requests in the same time.
func (k *knee) spare(slots int) bool {
	if slots < 2 || k.full.count < kneeSamples || k.free.count < kneeSamples {
		return false
	}
	gain := float64(slots)/float64(slots-1) - 1
	return k.full.value > k.free.value*(1+kneeMargin*gain)
}
