// Package clock tells the time by which promises to others are kept.
//
// A machine that sleeps finds Go's steady clock where it left it, while others have waited: what
// lapses by agreement with them (leases, claims, saved retries) is measured by a clock that counts
// sleep. What is only one's own patience, such as a time-out, needs no other than the steady clock.
// docs/PROMISES.md lists both.
package clock

import "time"

// Clock returns the present time. Times of one clock are compared with each other only. It does
// not block.
type Clock func() time.Time

// Monotonic is Go's steady clock, which may stand still while the machine sleeps.
func Monotonic() time.Time {
	return time.Now()
}

// WallElapsedExceeds says whether more than a time has passed between two readings of the steady clock by the
// time of day, which goes on while the machine sleeps. A step of the time of day looks the same:
// it is for what may be given up without need. It takes 2 ns, where Boot takes a system call.
func WallElapsedExceeds(earlier, later time.Time, more time.Duration) bool {
	return later.Round(0).Sub(earlier.Round(0)) > more
}

// Later returns the later one of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OrMonotonic returns the clock, and Steady where there is none.
func OrMonotonic(chosen Clock) Clock {
	if chosen == nil {
		return Monotonic
	}
	return chosen
}
