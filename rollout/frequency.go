package rollout

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Spans over which the old version is observed.
const (
	// shortSpan lets a trouble that comes to both versions speak for the new one within a second.
	shortSpan = time.Second
	// longSpan steadies what is known of classes with few requests.
	longSpan = 4 * time.Second
)

// rate is how often something happens at the old version: the more often of the last second and of
// some seconds.
type rate struct {
	short, long frequency
}

func (r *rate) add(now time.Time, hit bool) {
	r.short.add(now, shortSpan, hit)
	r.long.add(now, longSpan, hit)
}

func (r *rate) of(now time.Time) float64 {
	return max(r.short.of(now, shortSpan), r.long.of(now, longSpan))
}

// frequency is how often something happens, of late.
type frequency struct {
	count, hits float64
	at          time.Time
}

func (f *frequency) add(now time.Time, span time.Duration, hit bool) {
	f.fade(now, span)
	f.count++
	if hit {
		f.hits++
	}
}

// fade lets what was seen count the less the longer ago that is.
func (f *frequency) fade(now time.Time, span time.Duration) {
	if !f.at.IsZero() {
		left := recent.Decay(now.Sub(f.at), span)
		f.count, f.hits = f.count*left, f.hits*left
	}
	f.at = now
}

// of returns the frequency; 0 where hardly anything was seen.
func (f *frequency) of(now time.Time, span time.Duration) float64 {
	f.fade(now, span)
	if f.count < 1 {
		return 0
	}
	return f.hits / f.count
}
