package measure

import (
	"time"
)

// Budget spaces probes evenly. It does no I/O and is not safe for concurrent use.
type Budget struct {
	next time.Time // earliest time of the next probe
}

// Reset empties the budget. It is called when the lease was newly acquired, as the previous holder
// may have sent a probe just before.
func (b *Budget) Reset(now time.Time, perSecond float64) {
	b.next = now.Add(interval(perSecond))
}

// Spend takes one probe from the budget, and returns false if there is none. Probes are at least
// 1/perSecond apart; unused budget does not accumulate into a burst.
func (b *Budget) Spend(now time.Time, perSecond float64) bool {
	if perSecond <= 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(interval(perSecond))
	return true
}

// Ready reports whether Spend would return true, if perSecond is positive.
func (b *Budget) Ready(now time.Time) bool {
	return !now.Before(b.next)
}

func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(float64(time.Second) / perSecond)
}
