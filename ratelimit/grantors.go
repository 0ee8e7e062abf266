package ratelimit

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// peerGrantor is what is known of another grantor.
type peerGrantor struct {
	listed     bool // this daemon's view of the members lists it as a grantor
	since      time.Time
	lastReport time.Time // zero: never
	epoch      uint64
	used       map[string]uint64
	paces      map[string]recent.Rate // of its grants, by tenant
	reported   map[string]uint64      // this daemon's use as last reported to it
	// unreachable: it has never reported, and the last exchange with it failed.
	unreachable bool
}

func newPeerGrantor(now time.Time) *peerGrantor {
	return &peerGrantor{since: now, used: make(map[string]uint64), paces: make(map[string]recent.Rate), reported: make(map[string]uint64)}
}

func (p *peerGrantor) lastSeen() time.Time {
	if p.lastReport.IsZero() {
		return p.since
	}
	return p.lastReport
}

// silent returns whether the grantor's current use is unknown.
func (p *peerGrantor) silent(now time.Time) bool {
	return now.Sub(p.lastSeen()) > silenceTimeout
}

// serves returns whether the grantor uses the tenant's rate, or may do so without having reported.
func (p *peerGrantor) serves(now time.Time, tenant string) bool {
	if p.lastReport.IsZero() {
		return p.listed
	}
	pace, known := p.paces[tenant]
	return known && p.lastReport.Sub(pace.Last()) <= activeTimeout
}

// slackShare returns this grantor's share of Slack: how many requests of a tenant it lets through
// between reports of the others as long as the bucket is not empty.
func (l *Limiter) slackShare(now time.Time) float64 {
	grantors := 1
	for _, peer := range l.peers {
		if peer.listed || !peer.silent(now) {
			grantors++
		}
	}
	return max(math.Floor(Slack/float64(grantors)), 1)
}

// sharers returns the number of grantors that share what is left of a tenant's bucket: those that
// serve it, and one more if others may start to.
func (l *Limiter) sharers(now time.Time, tenant string) int {
	serving, idle := 1, 0
	for _, peer := range l.peers {
		switch {
		case peer.serves(now, tenant):
			serving++
		case peer.listed:
			idle = 1
		}
	}
	return serving + idle
}

// refillShare returns the share of the rate that may be refilled.
func (l *Limiter) refillShare(now time.Time, tenant string, b *bucket) float64 {
	if !l.isSettled(now) && !l.metEarlier && l.mayFollowOthers() {
		return unsettledShare
	}
	return l.reportingShare(now, tenant, b)
}

// mayFollowOthers returns whether others may have been grantors before this daemon: it has not just
// started, or a grantor that may have started earlier has never been reached.
func (l *Limiter) mayFollowOthers() bool {
	if l.grantorSince.Sub(l.started) >= startupTime {
		return true
	}
	for _, peer := range l.peers {
		if peer.unreachable && peer.lastReport.IsZero() {
			return true
		}
	}
	return false
}

// reportingShare returns the share of the rate that belongs to the grantors that report. Silent grantors keep
// what they used before they fell silent; one that has never reported gets as much as each of
// the others on average.
func (l *Limiter) reportingShare(now time.Time, tenant string, b *bucket) float64 {
	reporting, silent := b.pace.At(now, paceWindow), 0.0
	known, unknown := 1, 0
	for _, peer := range l.peers {
		switch {
		case peer.lastReport.IsZero() && (peer.listed || peer.unreachable):
			unknown++
		case peer.silent(now):
			pace := peer.paces[tenant]
			silent += pace.At(peer.lastReport, paceWindow)
		default:
			pace := peer.paces[tenant]
			reporting += pace.At(now, paceWindow)
			known++
		}
	}
	knownShare := float64(known) / float64(known+unknown)
	if silent == 0 {
		return knownShare
	}
	return knownShare * reporting / (reporting + silent)
}
