package ratelimit

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// bucket is a tenant's token bucket, as this daemon knows it.
type bucket struct {
	limit   Limit
	level   float64 // may be below 0: others have granted more than was left
	known   bool
	at      time.Time   // until when it is refilled
	used    uint64      // own grants, all told
	refused uint64      // own refusals
	last    time.Time   // of the last own grant or refusal
	pace    recent.Rate // of own grants

	round   uint64  // in which spent and allowed hold
	spent   float64 // own grants of the round
	allowed float64 // own share of the round
	// promised is when the caller that was refused last may come back.
	promised time.Time
	// reserve is what a daemon that is no grantor may use.
	reserve reserve
}

// refilled returns the tenant's bucket as it is now.
func (l *Limiter) refilled(now time.Time, tenant string, limit Limit) *bucket {
	b, known := l.buckets[tenant]
	if !known {
		b = l.newBucket(now, limit)
		l.buckets[tenant] = b
	}
	if b.limit != limit {
		b.limit, b.round = limit, l.round-1 // the own share is reckoned anew below
	}
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return b.inRound(l, now, tenant)
	}
	b.at = now
	room := l.capacity(limit)
	gained := min(limit.Rate*l.visible*l.refilledShare(now, tenant, b)*elapsed, max(room-b.level, 0))
	b.level = min(b.level+gained, room)
	b.known = b.known || now.Sub(l.began) >= settleTime
	if b.round == l.round {
		b.allowed += gained / float64(l.sharers(now, tenant))
	}
	return b.inRound(l, now, tenant)
}

// newBucket returns the bucket of a tenant that has sent nothing through here of late, nor,
// as far as others have told, elsewhere. A grantor that has just begun takes it for empty
// when it began.
func (l *Limiter) newBucket(now time.Time, limit Limit) *bucket {
	if l.isSettled(now) {
		return &bucket{limit: limit, at: now, level: l.capacity(limit), known: true}
	}
	since := now
	if l.IsGrantor(now) {
		since = l.began
	}
	return &bucket{limit: limit, at: since, level: 1}
}

// inRound reckons the daemon's own share anew where a new round has begun.
func (b *bucket) inRound(l *Limiter, now time.Time, tenant string) *bucket {
	if b.round != l.round {
		b.round, b.spent = l.round, 0
		b.allowed = max(b.level, 0) / float64(l.sharers(now, tenant))
	}
	return b
}

// capacity is what a full bucket holds.
func (l *Limiter) capacity(limit Limit) float64 {
	return max(limit.Burst+limit.Rate*roomSpan.Seconds(), 1) * l.visible
}
