package routing

import (
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/clock"
)

// pacing spaces what is sent to one back end evenly: several requests that come together would have
// to be worked on together, by a back end that can bear only a few. The zero value has sent nothing.
type pacing struct {
	lastSent time.Time // of what was sent last; zero: nothing was
	// alone is the same for a daemon that may use only a part of the rate, as others send by
	// themselves; zero: its turn is not drawn yet.
	lastOwnTurn time.Time
}

// Share is what a daemon may use of a rate that all daemons have together.
type Share struct {
	Fraction float64 // of the rate, at most 1
	// Since is when the daemon last found others again that had sent by themselves; zero: it never has.
	// What they sent is not known, and counts as all that there was.
	Since time.Time
}

// spacingOf is the time between two requests at so many a second.
func sendInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// due says whether something may be sent now to a back end that takes so many a second from all
// daemons, of which this one may use a share. Of several daemons that choose by themselves each sends
// at times of its own: 20 daemons that lost their dispatcher sent a cold back end 15 requests in a
// second where each decided by chance, and 3 so (TestColdWorkersWithoutDispatcher).
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

// next returns when something may be sent at the earliest; see due.
func (p *pacing) dueAt(perSecond float64, share Share) time.Time {
	earliest := clock.Later(p.lastSent, share.Since).Add(sendInterval(perSecond))
	if own := p.lastOwnTurn.Add(sendInterval(perSecond * share.Fraction)); share.Fraction < 1 && !p.lastOwnTurn.IsZero() && own.After(earliest) {
		return own
	}
	return earliest
}

// sent notes that something is sent.
func (p *pacing) recordSend(now time.Time) {
	p.lastSent, p.lastOwnTurn = now, now
}
