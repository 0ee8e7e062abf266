package measure

import (
	"time"
)

// Budget spaces probes evenly. It is pure and not safe for concurrent use.
type Budget struct {
	next time.Time // earliest time of the next probe
}

// Reset empties the budget, as when a lease was newly got: the holder before may
// have probed a moment ago.
func (b *Budget) Reset(now time.Time, perSecond float64) {
	b.next = now.Add(interval(perSecond))
}

// Spend takes one probe from the budget, and says whether there was one. Two
// probes are never closer than 1/perSecond, so that no idle time is saved up for
// a burst.
func (b *Budget) Spend(now time.Time, perSecond float64) bool {
	if perSecond <= 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(interval(perSecond))
	return true
}

// Ready says whether Spend would find a probe.
func (b *Budget) Ready(now time.Time) bool {
	return !now.Before(b.next)
}

func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(float64(time.Second) / perSecond)
}
