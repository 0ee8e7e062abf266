package routing

import (
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/clock"
)

// pacing spaces the requests to one back end evenly: several that arrive together would be worked
// on at the same time by a back end that can take only a few. The zero value has sent nothing.
type pacing struct {
	lastSent time.Time // zero: nothing was sent
	// lastOwnTurn is the time of the last request for a daemon that has only a fraction of the rate
	// while others send independently; zero: the phase is not drawn yet.
	lastOwnTurn time.Time
}

// Share is a daemon's share of a rate that all daemons have together.
type Share struct {
	Fraction float64 // of the rate, at most 1
	// Since is when the daemon last regained contact with others that had sent independently; zero:
	// never. What they sent is not known and counts as the whole rate.
	Since time.Time
}

// sendInterval is the time between two requests at a rate.
func sendInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// due reports whether something may be sent now to a back end with a given rate for all daemons, of
// which this one has a share. Daemons that pick independently each send at a phase of their own: 20
// daemons without a dispatcher sent a cold back end 15 requests in one second when each decided at
// random, and 3 with phases (TestWarmUpRateWithoutDispatcher).
func (p *pacing) due(now time.Time, perSecond float64, share Share, random *rand.Rand) bool {
	if lastKnown := clock.Later(p.lastSent, share.Since); !lastKnown.IsZero() && now.Sub(lastKnown) < sendInterval(perSecond) {
		return false
	}
	if share.Fraction >= 1 {
		return true
	}
	own := sendInterval(perSecond * share.Fraction)
	if p.lastOwnTurn.IsZero() {
		p.lastOwnTurn = now.Add(-time.Duration(random.Float64() * float64(own)))
	}
	return now.Sub(p.lastOwnTurn) >= own
}

// dueAt returns the earliest time at which something may be sent; see due.
func (p *pacing) dueAt(perSecond float64, share Share) time.Time {
	earliest := clock.Later(p.lastSent, share.Since).Add(sendInterval(perSecond))
	if own := p.lastOwnTurn.Add(sendInterval(perSecond * share.Fraction)); share.Fraction < 1 && !p.lastOwnTurn.IsZero() && own.After(earliest) {
		return own
	}
	return earliest
}

// recordSend records that something is sent.
func (p *pacing) recordSend(now time.Time) {
	p.lastSent, p.lastOwnTurn = now, now
}
