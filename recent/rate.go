// Package recent averages how often something happened of late. It is pure: time is passed in.
package recent

import (
	"math"
	"time"
)

// Rate is how many times a second something happened over the last span, later ones counting more. The zero
// value has counted nothing. All calls of one Rate give the same span.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts so many.
func (r *Rate) Add(now time.Time, span time.Duration, count float64) {
	r.value = r.At(now, span) + count/span.Seconds()
	r.at = now
}

// At returns the rate at a time, nothing having happened since.
func (r *Rate) At(now time.Time, span time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * Decay(now.Sub(r.at), span)
}

// Decay is how much something counts that is so old, where it counts 1/e after a span.
func Decay(age, span time.Duration) float64 {
	return math.Exp(-age.Seconds() / span.Seconds())
}

// Last returns when something was counted last; zero: never.
func (r *Rate) Last() time.Time {
	return r.at
}
