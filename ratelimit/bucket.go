package ratelimit

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// bucket is this daemon's copy of a tenant's token bucket.
type bucket struct {
	limit      Limit
	level      float64 // may be below 0: others have granted more than was left
	known      bool    // level is not just the cautious initial value
	refilledAt time.Time
	used       uint64      // own grants in total
	refused    uint64      // own refusals
	lastUsed   time.Time   // of the last own grant or refusal
	pace       recent.Rate // of own grants

	round   uint64  // to which spent and allowed refer
	spent   float64 // own grants of the round
	allowed float64 // own share of the round
	// nextRetry is when the caller that was refused last may retry.
	nextRetry time.Time
	// reserve is what the daemon may use while it is no grantor.
	reserve reserve
}

// refilled returns the tenant's bucket, refilled until now.
func (l *Limiter) refilled(now time.Time, tenant string, limit Limit) *bucket {
	b, known := l.buckets[tenant]
	if !known {
		b = l.newBucket(now, limit)
		l.buckets[tenant] = b
	}
	if b.limit != limit {
		b.limit, b.round = limit, l.round-1 // makes enterRound compute the own share again
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return b.enterRound(l, now, tenant)
	}
	b.refilledAt = now
	capacity := l.capacity(limit)
	gained := min(limit.Rate*l.aliveShare*l.refillShare(now, tenant, b)*elapsed, max(capacity-b.level, 0))
	b.level = min(b.level+gained, capacity)
	b.known = b.known || now.Sub(l.grantorSince) >= settleTime
	if b.round == l.round {
		b.allowed += gained / float64(l.sharers(now, tenant))
	}
	return b.enterRound(l, now, tenant)
}

// newBucket returns the bucket of a tenant that has not recently sent requests through this daemon
// nor, as far as others have reported, elsewhere. A grantor that is not settled assumes that the bucket was
// empty when it became one.
func (l *Limiter) newBucket(now time.Time, limit Limit) *bucket {
	if l.isSettled(now) {
		return &bucket{limit: limit, refilledAt: now, level: l.capacity(limit), known: true}
	}
	since := now
	if l.IsGrantor(now) {
		since = l.grantorSince
	}
	return &bucket{limit: limit, refilledAt: since, level: 1}
}

// enterRound computes the daemon's own share again if a new round has started.
func (b *bucket) enterRound(l *Limiter, now time.Time, tenant string) *bucket {
	if b.round != l.round {
		b.round, b.spent = l.round, 0
		b.allowed = max(b.level, 0) / float64(l.sharers(now, tenant))
	}
	return b
}

// capacity returns what a full bucket holds.
func (l *Limiter) capacity(limit Limit) float64 {
	return max(limit.Burst+limit.Rate*refillAllowance.Seconds(), 1) * l.aliveShare
}
