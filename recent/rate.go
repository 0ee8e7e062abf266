// Package recent measures rates of recent events: exponentially decaying averages, and counts of the last
// second. It is pure: time is passed in.
package recent

import (
	"math"
	"time"
)

// Rate is the number of events a second, averaged with exponential decay. The zero value has no events.
// All calls of one Rate must give the same span.
type Rate struct {
	value   float64
	addedAt time.Time
}

// Add adds a number of events.
func (r *Rate) Add(now time.Time, span time.Duration, count float64) {
	r.value = r.At(now, span) + count/span.Seconds()
	r.addedAt = now
}

// At returns the rate at a time, if there were no events since the last call of Add.
func (r *Rate) At(now time.Time, span time.Duration) float64 {
	if r.addedAt.IsZero() {
		return 0
	}
	return r.value * Decay(now.Sub(r.addedAt), span)
}

// Decay returns the weight of an event of a given age, which is 1/e after one span.
func Decay(age, span time.Duration) float64 {
	return math.Exp(-age.Seconds() / span.Seconds())
}

// Last returns when events were last added; zero: never.
func (r *Rate) Last() time.Time {
	return r.addedAt
}
