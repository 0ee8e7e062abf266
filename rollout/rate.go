package rollout

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Time constants of the decay with which the old version's rates are averaged.
const (
	// shortWindow lets a problem that affects both versions count in favor of the new one within a second.
	shortWindow = time.Second
	// longWindow steadies the rates of classes with few requests.
	longWindow = 4 * time.Second
)

// rate is the rate of an event among the old version's responses: the higher of the averages over
// shortWindow and longWindow.
type rate struct {
	short, long decayingRate
}

func (r *rate) add(now time.Time, hit bool) {
	r.short.add(now, shortWindow, hit)
	r.long.add(now, longWindow, hit)
}

func (r *rate) value(now time.Time) float64 {
	return max(r.short.value(now, shortWindow), r.long.value(now, longWindow))
}

// decayingRate is the rate of an event, averaged with exponential decay.
type decayingRate struct {
	count, hits float64
	updatedAt   time.Time
}

func (r *decayingRate) add(now time.Time, window time.Duration, hit bool) {
	r.decay(now, window)
	r.count++
	if hit {
		r.hits++
	}
}

// decay reduces the weight of older events.
func (r *decayingRate) decay(now time.Time, window time.Duration) {
	if !r.updatedAt.IsZero() {
		factor := recent.Decay(now.Sub(r.updatedAt), window)
		r.count, r.hits = r.count*factor, r.hits*factor
	}
	r.updatedAt = now
}

// value returns the rate, or 0 if the decayed count is below 1.
func (r *decayingRate) value(now time.Time, window time.Duration) float64 {
	r.decay(now, window)
	if r.count < 1 {
		return 0
	}
	return r.hits / r.count
}
