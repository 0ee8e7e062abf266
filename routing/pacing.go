package routing

import (
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/clock"
)

// pacing spaces what is sent to one back end evenly: several requests that come together would have
// to be worked on together, by a back end that can bear only a few. The zero value has sent nothing.
type pacing struct {
	last time.Time // of what was sent last; zero: nothing was
	// alone is the same for a daemon that may use only a part of the rate, as others send by
	// themselves; zero: its turn is not drawn yet.
	alone time.Time
}

// Share is what a daemon may use of a rate that all daemons have together.
type Share struct {
	Fraction float64 // of the rate, at most 1
	// Since is when the daemon last found others again that had sent by themselves; zero: it never has.
	// What they sent is not known, and counts as all that there was.
	Since time.Time
}

// spacingOf is the time between two requests at so many a second.
func spacingOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// due says whether something may be sent now to a back end that takes so many a second from all
// daemons, of which this one may use a share. Of several daemons that choose by themselves each sends
// at times of its own: 20 daemons that lost their dispatcher sent a cold back end 15 requests in a
// second where each decided by chance, and 3 so (TestColdWorkersWithoutDispatcher).
func (p *pacing) due(now time.Time, perSecond float64, share Share, random *rand.Rand) bool {
	if last := clock.Later(p.last, share.Since); !last.IsZero() && now.Sub(last) < spacingOf(perSecond) {
		return false
	}
	if share.Fraction >= 1 {
		return true
	}
	own := spacingOf(perSecond * share.Fraction)
	if p.alone.IsZero() {
		p.alone = now.Add(-time.Duration(random.Float64() * float64(own)))
	}
	return now.Sub(p.alone) >= own
}

// next returns when something may be sent at the earliest; see due.
func (p *pacing) next(perSecond float64, share Share) time.Time {
	at := clock.Later(p.last, share.Since).Add(spacingOf(perSecond))
	if own := p.alone.Add(spacingOf(perSecond * share.Fraction)); share.Fraction < 1 && !p.alone.IsZero() && own.After(at) {
		return own
	}
	return at
}

// sent notes that something is sent.
func (p *pacing) sent(now time.Time) {
	p.last, p.alone = now, now
}
