package ratelimit

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// other is another grantor.
type other struct {
	expected bool // this daemon's view of the members has it as one
	since    time.Time
	heard    time.Time // zero: never
	epoch    uint64
	used     map[string]uint64
	paces    map[string]recent.Rate // of its grants, by tenant
	told     map[string]uint64      // own use that it was told
	// unreached: it was never heard from, and the last attempt to tell it failed.
	unreached bool
}

func newOther(now time.Time) *other {
	return &other{since: now, used: make(map[string]uint64), paces: make(map[string]recent.Rate), told: make(map[string]uint64)}
}

func (o *other) lastSign() time.Time {
	if o.heard.IsZero() {
		return o.since
	}
	return o.heard
}

// silent says whether nothing is known of what the grantor uses now.
func (o *other) silent(now time.Time) bool {
	return now.Sub(o.lastSign()) > silentAfter
}

// serves says whether the grantor uses the tenant's rate, or may do so without a word.
func (o *other) serves(now time.Time, tenant string) bool {
	if o.heard.IsZero() {
		return o.expected
	}
	used, known := o.paces[tenant]
	return known && o.heard.Sub(used.Last()) <= activeTime
}

// floor is how many requests a grantor lets through for a tenant without hearing from the
// others, as long as anything is left: its part of the slack.
func (l *Limiter) floor(now time.Time) float64 {
	grantors := 1
	for _, one := range l.others {
		if one.expected || !one.silent(now) {
			grantors++
		}
	}
	return max(math.Floor(Slack/float64(grantors)), 1)
}

// sharers is among how many what is left of a tenant's bucket is divided: the grantors that
// serve it, and one more where others may begin to.
func (l *Limiter) sharers(now time.Time, tenant string) int {
	serving, idle := 1, 0
	for _, one := range l.others {
		switch {
		case one.serves(now, tenant):
			serving++
		case one.expected:
			idle = 1
		}
	}
	return serving + idle
}

// refilledShare is the part of the rate that may be refilled.
func (l *Limiter) refilledShare(now time.Time, tenant string, b *bucket) float64 {
	if !l.isSettled(now) && !l.met && l.began.Sub(l.started) >= startTime {
		return unsettledShare
	}
	return l.heardShare(now, tenant, b)
}

// heardShare is the part of the rate of the grantors that are heard. What silent grantors used before
// they fell silent is left to them; one that was never heard from gets as much as each of
// the others on average.
func (l *Limiter) heardShare(now time.Time, tenant string, b *bucket) float64 {
	heard, silent := b.pace.At(now, paceTime), 0.0
	known, unknown := 1, 0
	for _, one := range l.others {
		switch {
		case one.heard.IsZero() && (one.expected || one.unreached):
			unknown++
		case one.silent(now):
			used := one.paces[tenant]
			silent += used.At(one.heard, paceTime)
		default:
			used := one.paces[tenant]
			heard += used.At(now, paceTime)
			known++
		}
	}
	knownPart := float64(known) / float64(known+unknown)
	if silent == 0 {
		return knownPart
	}
	return knownPart * heard / (heard + silent)
}
