package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/weighted"
)

// PatternZones are the zones in which the back ends and the callers of a pattern are. The zero
// value is a single zone.
type PatternZones struct {
	Count int `toml:"count"`
	// The share of the requests that come from a zone varies by Amplitude, as a share of its
	// mean, with Period. The phases of the zones are evenly spaced, so that the total does not vary.
	Amplitude float64         `toml:"amplitude"`
	Period    config.Duration `toml:"period"`
	// Delay is the additional one-way delay between two zones.
	Delay config.Duration `toml:"delay"`
}

// name returns the name of a zone; empty: there is only one.
func (z PatternZones) name(zone int) string {
	if z.Count == 0 {
		return ""
	}
	return fmt.Sprintf("z%d", zone)
}

// ofWorker returns the zone of the worker with a number.
func (z PatternZones) ofWorker(number int) int {
	if z.Count == 0 {
		return 0
	}
	return number % z.Count
}

// draw draws the zone of a request that arrives now.
func (z PatternZones) draw(now time.Duration, random *rand.Rand) int {
	if z.Count == 0 {
		return 0
	}
	zones := make([]int, z.Count)
	for zone := range zones {
		zones[zone] = zone
	}
	return weighted.Draw(random, zones, func(zone int) float64 {
		phase := float64(zone) / float64(z.Count)
		if z.Period > 0 {
			phase += now.Seconds() / time.Duration(z.Period).Seconds()
		}
		return 1 + z.Amplitude*math.Sin(2*math.Pi*phase)
	})
}

// between returns the additional one-way delay between two zones.
func (z PatternZones) between(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return time.Duration(z.Delay)
}

// recordZones counts a request that is sent to a back end of another zone.
func (o *Outcome) recordZones(t *try, target *worker) {
	if t.zone != target.zone {
		o.OtherZone++
	}
}

// recordRefusalZones counts a refused try while a back end of another zone that is not disturbed has
// fewer requests than slow it down.
func (r *replay) recordRefusalZones(t *try) {
	for _, target := range r.workers {
		state := r.core.Group.State(target.id)
		if target.zone != t.zone && !target.exited && target.speed == 1 && state != nil && state.InFlight < target.knee-1 && !state.Ejected(r.time()) {
			r.outcome.RefusedWhileFree++
			return
		}
	}
}
