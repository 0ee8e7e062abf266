package ratelimit

import (
	"math/rand/v2"
	"time"
)

// Limit is what a tenant may use.
type Limit struct {
	Rate  float64 // requests a second, over all daemons together
	Burst float64 // requests beyond the rate at once
}

// Timing of what grantors believe of each other.
const (
	// silentAfter is after how long without a word a grantor's use is not known any more:
	// four tellings while tenants near their limits are served. Two sides of a cut fleet both
	// use the whole of a rate until then; a tenth of five seconds' rate is promised at most.
	silentAfter = 400 * time.Millisecond
	// hearingTime is how old what a grantor tells is at the most, while nothing is wrong: half
	// of the time between two tellings while tenants near their limits are served.
	hearingTime = 50 * time.Millisecond
	// activeTime is for how long a grantor counts as serving a tenant after its last grant.
	activeTime = 5 * time.Second
	// unknownTime is for how long a grantor that fell silent counts as using as much as
	// before. By then the members have found out whether it is gone.
	unknownTime = 8 * time.Second
	// settleTime is after how long a grantor trusts its own count where no other one has
	// told it theirs: a bucket that began nearly empty errs on the safe side by then.
	settleTime = 5 * time.Second
	// startTime is for how long a daemon counts as having just started. Where all have, there
	// is no grantor from before.
	startTime = 1500 * time.Millisecond
	// beforeTime is by how much longer another daemon must have been a grantor to count as one
	// from before: those that take over together are not.
	beforeTime = time.Second
	// grantorTime is for how long a daemon stays a grantor after it gave out a place that
	// it was asked for as the dispatcher.
	grantorTime = 5 * time.Second
	// retireTime is after how long without being asked a daemon that is no dispatcher any more
	// tells the others not to reckon with it; it does so until grantorTime is over.
	retireTime = time.Second
	// paceTime is over what time requests are averaged to a pace: a few tellings.
	paceTime = 2 * time.Second
	// idleTime is after how long without a request a tenant's bucket is forgotten. It is
	// full by then, unless its burst takes longer to refill.
	idleTime = time.Minute
)

// Shares of a limit.
const (
	// roomSpan is how much of the rate a bucket holds besides the burst: what is refilled
	// while the grantors hear from each other twice. Without it a tenant without a burst
	// gets a fraction of its rate.
	roomSpan = 200 * time.Millisecond
	// unsettledShare is the part of a rate that a grantor uses which has just begun to be one
	// and has not heard from one that was one before: those may go on out of its sight.
	unsettledShare = 0.03
	// substituteShare is the part of a limit that daemons which reach no grantor may use,
	// all together, beyond what the grantors give out.
	substituteShare = 0.03
)

// Role is as what a daemon gives out the place of a request.
type Role int

// The roles.
const (
	// Dispatcher was asked as the daemon that dispatches the service, or takes itself for it.
	Dispatcher Role = iota
	// Fallback chooses a place for want of a dispatcher that it reaches.
	Fallback
	// Independent is one of all daemons, which each give out places of the service by themselves.
	Independent
)

// Slack is how many requests beyond its limit all daemons together may let through for a
// tenant at a time, as they hear of each other's grants late. A rate of one request a
// second could not be shared among several grantors without.
const Slack = 10

// Limiter is one daemon's view of all tenants' buckets. It is not safe for concurrent use.
type Limiter struct {
	self    string
	random  *rand.Rand
	buckets map[string]*bucket
	others  map[string]*other
	epoch   uint64
	// visible is the part of the fleet's daemons that this one takes for alive.
	visible float64
	daemons int
	// grantorUntil is until when the daemon counts as a grantor, which it is since began.
	grantorUntil, began time.Time
	settled             bool
	// chosen: the daemon's view of the members has it as a grantor; asked is when it was last
	// asked as one.
	chosen bool
	asked  time.Time
	// started is when the daemon started.
	started time.Time
	// met: a grantor was heard from that was one before this daemon.
	met bool
	// round counts how often all others were heard from anew, last at roundAt.
	round   uint64
	roundAt time.Time
}

// NewLimiter returns a limiter of the daemon with a name that has counted nothing.
func NewLimiter(self string, started time.Time, random *rand.Rand) *Limiter {
	return &Limiter{
		self: self, started: started, random: random, visible: 1, daemons: 1, epoch: random.Uint64(),
		buckets: make(map[string]*bucket), others: make(map[string]*other),
	}
}

// SetFleet tells how many daemons are taken for alive, and how many there may be.
func (l *Limiter) SetFleet(alive, all int) {
	l.daemons = max(alive, 1)
	l.visible = float64(l.daemons) / float64(max(all, l.daemons))
}

// SetGrantors tells which other daemons give out places, as this one's view of the members
// has it, and whether this one does.
func (l *Limiter) SetGrantors(now time.Time, grantor bool, names []string) {
	l.chosen = grantor
	if grantor {
		l.becomeGrantor(now)
	}
	for _, one := range l.others {
		one.expected = false
	}
	for _, name := range names {
		if l.others[name] == nil {
			l.others[name] = newOther(now)
		}
		l.others[name].expected = true
	}
	for name, one := range l.others {
		if !one.expected && now.Sub(one.lastSign()) > unknownTime {
			delete(l.others, name)
		}
	}
}

// PossibleGrantors returns the daemons that are not expected to be grantors and may be: those that were
// expected of late and never heard from, and those that have told of grants and not that they are
// done. They are told, too: of 10,000 schedules of troubles four broke a limit, by up to 0.24, where
// they were not.
func (l *Limiter) PossibleGrantors() []string {
	var names []string
	for name, one := range l.others {
		if !one.expected {
			names = append(names, name)
		}
	}
	return names
}

// becomeGrantor begins to count for the fleet, unless the daemon does so already.
func (l *Limiter) becomeGrantor(now time.Time) {
	if !l.IsGrantor(now) {
		l.began, l.settled, l.met, l.epoch = now, false, false, l.epoch+1
		clear(l.buckets)
		for name := range l.others {
			l.others[name] = newOther(now)
		}
		l.round++
		l.roundAt = now
	}
	l.grantorUntil = now.Add(grantorTime)
}

// IsGrantor says whether the daemon counts for the fleet.
func (l *Limiter) IsGrantor(now time.Time) bool {
	return now.Before(l.grantorUntil)
}

// age is for how long the daemon has been a grantor.
func (l *Limiter) age(now time.Time) time.Duration {
	if !l.IsGrantor(now) {
		return 0
	}
	return now.Sub(l.began)
}

// retired says whether the others need not reckon with this daemon any more.
func (l *Limiter) retired(now time.Time) bool {
	return !l.chosen && now.Sub(l.asked) > retireTime
}

// isSettled says whether a tenant that nobody told of has used nothing of late.
func (l *Limiter) isSettled(now time.Time) bool {
	l.settled = l.settled || now.Sub(l.began) >= settleTime
	return l.settled && l.IsGrantor(now)
}

// Take counts a request of a tenant, and returns false with the time after which its caller
// may come back where it is beyond the limit.
func (l *Limiter) Take(now time.Time, tenant string, limit Limit, role Role) (retryAfter time.Duration, ok bool) {
	if role == Dispatcher {
		l.asked = now
		l.becomeGrantor(now)
	}
	b := l.refilled(now, tenant, limit)
	b.last = now
	if role == Independent || !l.IsGrantor(now) {
		if b.reserve.take(now, limit, l.partOf(role), l.random) {
			return 0, true
		}
		b.refused++
		return b.comeBack(now, limit.Rate*l.visible, l.random), false
	}
	if !l.permits(now, tenant, b) {
		b.refused++
		return b.comeBack(now, limit.Rate*l.visible/float64(l.sharers(now, tenant)), l.random), false
	}
	b.level--
	b.spent++
	b.used++
	b.pace.Add(now, paceTime, 1)
	return 0, true
}

// partOf returns the part of a limit that a daemon may use that does not count for the fleet.
func (l *Limiter) partOf(role Role) float64 {
	part := l.visible / float64(l.daemons)
	if role == Independent {
		return part
	}
	return part * substituteShare
}

// Return gives back what was taken for a request that did not run.
func (l *Limiter) Return(now time.Time, tenant string) {
	b, known := l.buckets[tenant]
	if !known || !l.IsGrantor(now) || b.used == 0 {
		return
	}
	b.level = min(b.level+1, l.capacity(b.limit))
	b.spent = max(b.spent-1, 0)
	b.used--
}

// permits says whether the daemon may let a request through.
func (l *Limiter) permits(now time.Time, tenant string, b *bucket) bool {
	if b.level < 1 {
		return false
	}
	return b.spent+1 <= b.allowed || b.spent < l.floor(now)
}

// NearLimit says whether the daemon has used up half of its share of some tenant's bucket,
// so that it should hear from the others soon.
func (l *Limiter) NearLimit(tenant string) bool {
	b := l.buckets[tenant]
	return b != nil && b.round == l.round && b.spent > b.allowed/2
}

// Forget drops the buckets of tenants without requests for long.
func (l *Limiter) Forget(now time.Time) {
	for tenant, b := range l.buckets {
		if now.Sub(b.last) > idleTime {
			delete(l.buckets, tenant)
		}
	}
	for _, one := range l.others {
		for tenant, used := range one.paces {
			if now.Sub(used.Last()) > idleTime {
				delete(one.paces, tenant)
			}
		}
	}
}

// Tenants returns how many tenants have a bucket here.
func (l *Limiter) Tenants() int {
	return len(l.buckets)
}
