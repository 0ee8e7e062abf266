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

// Timing of what grantors assume about each other.
const (
	// silenceTimeout is how long after its last report a grantor's use counts as unknown: four exchanges
	// while tenants near their limits are served. The two sides of a network partition both use the whole
	// of a rate until then; the guaranteed bound permits an excess of at most a tenth of five seconds' rate.
	silenceTimeout = 400 * time.Millisecond
	// maxReportAge is the maximum age of a report while the network is healthy: half of the time
	// between two exchanges while tenants near their limits are served.
	maxReportAge = 50 * time.Millisecond
	// activeTimeout is how long after its last grant a grantor counts as serving a tenant.
	activeTimeout = 5 * time.Second
	// silentRetention is how long a silent grantor counts as using as much as before. By then the
	// membership has found out whether it is gone.
	silentRetention = 8 * time.Second
	// settleTime is after how long a grantor trusts its own count if no other one has
	// reported: a bucket that started nearly empty errs on the safe side by then.
	settleTime = 5 * time.Second
	// startupTime is how long a daemon counts as having just started. If all daemons have, there
	// is no earlier grantor.
	startupTime = 1500 * time.Millisecond
	// minSeniority is by how much longer another daemon must have been a grantor to count as an
	// earlier one: those that take over together do not.
	minSeniority = time.Second
	// grantorTimeout is how long a daemon stays a grantor after it was last asked for a permit
	// as the dispatcher.
	grantorTimeout = 5 * time.Second
	// retireDelay is how long after its last request a daemon that is no longer a dispatcher reports
	// itself as retired, so that the others stop reserving a share for it. It does so until grantorTimeout is over.
	retireDelay = time.Second
	// paceWindow is the averaging window of request rates: a few exchanges.
	paceWindow = 2 * time.Second
	// idleTimeout is how long after its last request a tenant's bucket is dropped. It is
	// full by then, unless its burst takes longer to refill.
	idleTimeout = time.Minute
)

// Shares of a limit.
const (
	// refillAllowance is the time for which a bucket can hold the rate besides the burst: what is
	// refilled during two exchanges of reports. Without it a tenant without a burst gets only a
	// fraction of its rate.
	refillAllowance = 200 * time.Millisecond
	// unsettledShare is the share of a rate that is used by a grantor which has just become one
	// and has no report from an earlier one: earlier ones may still be granting out of its sight.
	unsettledShare = 0.03
	// fallbackShare is the share of a limit that daemons which reach no grantor may use,
	// all together, beyond what the grantors use.
	fallbackShare = 0.03
)

// Role is the capacity in which a daemon grants the permit of a request.
type Role int

// The roles.
const (
	// Dispatcher was asked as the daemon that dispatches the service, or believes itself to be it.
	Dispatcher Role = iota
	// Fallback grants permits because no dispatcher is reachable.
	Fallback
	// Independent is one of all daemons, each of which grants permits of the service by itself.
	Independent
)

// Slack is how many requests beyond its limit all daemons together may let through for a
// tenant at a time, as each learns of the others' grants with a delay. Without it, a rate of one
// request a second could not be shared among several grantors.
const Slack = 10

// Limiter is one daemon's view of all tenants' buckets. It is not safe for concurrent use.
type Limiter struct {
	self    string
	random  *rand.Rand
	buckets map[string]*bucket
	peers   map[string]*peerGrantor
	epoch   uint64
	// aliveShare is the share of the fleet's daemons that this one believes to be alive.
	aliveShare float64
	daemons    int
	// grantorUntil is when the daemon stops being a grantor, and grantorSince when it became one.
	grantorUntil, grantorSince time.Time
	settled                    bool
	// listed: the daemon is a grantor by its own view of the members; lastAsked is when it was last
	// asked as one.
	listed    bool
	lastAsked time.Time
	// started is when the daemon started.
	started time.Time
	// metEarlier: a report was received from an earlier grantor.
	metEarlier bool
	// round counts how often all peers have reported again, last at roundStarted.
	round        uint64
	roundStarted time.Time
}

// NewLimiter returns a limiter of the named daemon without any counts.
func NewLimiter(self string, started time.Time, random *rand.Rand) *Limiter {
	return &Limiter{
		self: self, started: started, random: random, aliveShare: 1, daemons: 1, epoch: random.Uint64(),
		buckets: make(map[string]*bucket), peers: make(map[string]*peerGrantor),
	}
}

// SetFleet sets how many daemons are believed to be alive, and how many there may be.
func (l *Limiter) SetFleet(alive, all int) {
	l.daemons = max(alive, 1)
	l.aliveShare = float64(l.daemons) / float64(max(all, l.daemons))
}

// SetGrantors sets which other daemons are grantors according to this one's view of the members,
// and whether this one is.
func (l *Limiter) SetGrantors(now time.Time, grantor bool, names []string) {
	l.listed = grantor
	if grantor {
		l.becomeGrantor(now)
	}
	for _, peer := range l.peers {
		peer.listed = false
	}
	for _, name := range names {
		if l.peers[name] == nil {
			l.peers[name] = newPeerGrantor(now)
		}
		l.peers[name].listed = true
	}
	for name, peer := range l.peers {
		if !peer.listed && now.Sub(peer.lastSeen()) > silentRetention {
			delete(l.peers, name)
		}
	}
}

// PossibleGrantors returns the daemons that are not listed as grantors but may be some: those that were
// listed recently and never reported, and those that reported grants but not that they retired. They get
// reports, too: otherwise four of 10,000 schedules of random faults exceeded a limit, by up to 0.24.
func (l *Limiter) PossibleGrantors() []string {
	var names []string
	for name, peer := range l.peers {
		if !peer.listed {
			names = append(names, name)
		}
	}
	return names
}

// becomeGrantor makes the daemon a grantor with new counts, or extends the time for which it is one.
func (l *Limiter) becomeGrantor(now time.Time) {
	if !l.IsGrantor(now) {
		l.grantorSince, l.settled, l.metEarlier, l.epoch = now, false, false, l.epoch+1
		clear(l.buckets)
		for name := range l.peers {
			l.peers[name] = newPeerGrantor(now)
		}
		l.round++
		l.roundStarted = now
	}
	l.grantorUntil = now.Add(grantorTimeout)
}

// IsGrantor returns whether the daemon is a grantor.
func (l *Limiter) IsGrantor(now time.Time) bool {
	return now.Before(l.grantorUntil)
}

// age returns how long the daemon has been a grantor.
func (l *Limiter) age(now time.Time) time.Duration {
	if !l.IsGrantor(now) {
		return 0
	}
	return now.Sub(l.grantorSince)
}

// isRetired returns whether the peers need not reserve a share for this daemon any more.
func (l *Limiter) isRetired(now time.Time) bool {
	return !l.listed && now.Sub(l.lastAsked) > retireDelay
}

// isSettled returns whether a tenant that no grantor has reported can be assumed unused recently.
func (l *Limiter) isSettled(now time.Time) bool {
	l.settled = l.settled || now.Sub(l.grantorSince) >= settleTime
	return l.settled && l.IsGrantor(now)
}

// Take counts a request of a tenant. If the request exceeds the limit, it returns false and the time after
// which the caller may retry.
func (l *Limiter) Take(now time.Time, tenant string, limit Limit, role Role) (retryAfter time.Duration, ok bool) {
	if role == Dispatcher {
		l.lastAsked = now
		l.becomeGrantor(now)
	}
	b := l.refilled(now, tenant, limit)
	b.lastUsed = now
	if role == Independent || !l.IsGrantor(now) {
		if b.reserve.take(now, limit, l.shareOf(role), l.random) {
			return 0, true
		}
		b.refused++
		return b.retryAfter(now, limit.Rate*l.aliveShare, l.random), false
	}
	if !l.allows(now, tenant, b) {
		b.refused++
		return b.retryAfter(now, limit.Rate*l.aliveShare/float64(l.sharers(now, tenant)), l.random), false
	}
	b.level--
	b.spent++
	b.used++
	b.pace.Add(now, paceWindow, 1)
	return 0, true
}

// shareOf returns the share of a limit that a daemon may use without being a grantor.
func (l *Limiter) shareOf(role Role) float64 {
	share := l.aliveShare / float64(l.daemons)
	if role == Independent {
		return share
	}
	return share * fallbackShare
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

// allows returns whether the daemon may let a request through.
func (l *Limiter) allows(now time.Time, tenant string, b *bucket) bool {
	if b.level < 1 {
		return false
	}
	return b.spent+1 <= b.allowed || b.spent < l.slackShare(now)
}

// NearLimit returns whether the daemon has used more than half of its share of a tenant's bucket,
// so that it should get the other grantors' reports soon.
func (l *Limiter) NearLimit(tenant string) bool {
	b := l.buckets[tenant]
	return b != nil && b.round == l.round && b.spent > b.allowed/2
}

// Forget drops the buckets of tenants that have been idle.
func (l *Limiter) Forget(now time.Time) {
	for tenant, b := range l.buckets {
		if now.Sub(b.lastUsed) > idleTimeout {
			delete(l.buckets, tenant)
		}
	}
	for _, peer := range l.peers {
		for tenant, pace := range peer.paces {
			if now.Sub(pace.Last()) > idleTimeout {
				delete(peer.paces, tenant)
			}
		}
	}
}

// Tenants returns how many tenants have a bucket here.
func (l *Limiter) Tenants() int {
	return len(l.buckets)
}
