// Package clock provides the clocks for periods agreed with other processes.
//
// Go's monotonic clock may stop while the machine is suspended, but the clocks of other machines
// continue. Periods that several processes rely on (leases, claims, saved retries) are therefore
// measured by a clock that includes suspension. Local periods such as timeouts use the monotonic
// clock. docs/PROMISES.md lists both.
package clock

import "time"

// Clock returns the current time. Its times may only be compared with times of the same clock. It
// does not block.
type Clock func() time.Time

// Monotonic is Go's monotonic clock, which may stop while the machine is suspended.
func Monotonic() time.Time {
	return time.Now()
}

// WallElapsedExceeds reports whether more than threshold has passed between two times by the wall clock,
// which continues while the machine is suspended. An adjustment of the wall clock has the same effect, so
// use it only where a false positive is harmless. It takes 2 ns, while Boot makes a system call.
func WallElapsedExceeds(earlier, later time.Time, threshold time.Duration) bool {
	return later.Round(0).Sub(earlier.Round(0)) > threshold
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// OrMonotonic returns the clock, or Monotonic if it is nil.
func OrMonotonic(clock Clock) Clock {
	if clock == nil {
		return Monotonic
	}
	return clock
}
