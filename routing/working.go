package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tuliphall/tuliphall/recent"
)

// Sizes of the working set: the back ends that requests go to while there are many more than it
// takes. The same load on fewer back ends is known the better: each tells of itself more often.
const (
	// reserve is how many slots the working set has for each request in flight at the peak of the
	// last seconds.
	slotsPerInFlight = 8
	// leastWorking is how many back ends are always in it: a walk over as many takes 15 us, and in
	// smaller services the zones of a region would have few of them each.
	minWorkingSet = 256
	// peakSpan is over what time the peak of requests in flight fades.
	peakDecayTime = 10 * time.Second
	// enoughFree is the part of the set that must be free; it grows by growBy where less is.
	minFreeFraction = 0.25
	growFactor      = 1.25
	// shrinkEvery and shrinkBy are how it shrinks that is larger than it need be.
	shrinkInterval = time.Second
	shrinkFactor   = 0.95
	// newcomersLooked is how many back ends that have had no request yet are looked at for a
	// request, besides the set.
	maxUnusedScanned = 8
	// newcomerTurns is for one request in how many they are looked at where they are many: each
	// request would go to one otherwise, for as long as it takes.
	unusedScanInterval = 4
)

// working is the working set of a group. The zero value has no back ends.
type workingSet struct {
	order           []*BackendState // all, in the order in which they are drawn on
	size            int
	unusedScanTurns int             // requests for which newcomers were to be looked at
	unused          []*BackendState // that have had no request yet and came after the first, oldest first
	inFlight        int
	peak            float64
	peakAt          time.Time
	shrunkAt        time.Time
}

// setAll sets the back ends. The order is that of their hashes, so that the set has back ends of all
// zones and a change of the list hardly moves it.
func (w *workingSet) setBackends(now time.Time, states []*BackendState) {
	w.order = slices.Clone(states)
	for _, state := range states {
		if state.hashOrder == 0 {
			state.hashOrder = xxhash.Sum64String(state.ID)
		}
	}
	slices.SortFunc(w.order, func(a, b *BackendState) int { return cmp.Compare(a.hashOrder, b.hashOrder) })
	w.inFlight = 0
	w.unused = w.unused[:0]
	for _, state := range states {
		w.inFlight += state.InFlight
		if !state.used {
			w.unused = append(w.unused, state)
		}
	}
	if len(w.unused) > maxUnusedScanned {
		// Not all are looked at soon: their time begins now.
		for _, state := range w.unused {
			if state.eligibleSince.IsZero() {
				state.eligibleSince = now
			}
		}
	}
	w.size = min(max(w.size, minWorkingSet), len(w.order))
}

// began and ended count a request.
func (w *workingSet) requestStarted(now time.Time) {
	w.inFlight++
	w.peak = max(w.decayedPeak(now), float64(w.inFlight))
	w.peakAt = now
}

func (w *workingSet) requestEnded() {
	w.inFlight = max(w.inFlight-1, 0)
}

func (w *workingSet) decayedPeak(now time.Time) float64 {
	if w.peakAt.IsZero() {
		return 0
	}
	return w.peak * recent.Decay(now.Sub(w.peakAt), peakDecayTime)
}

// set returns the back ends that a request may go to now, without the newcomers.
func (w *workingSet) members(now time.Time) []*BackendState {
	if len(w.order) <= minWorkingSet {
		return w.order
	}
	slots := 0
	for _, state := range w.order[:minWorkingSet] {
		slots += state.Slots
	}
	perBackend := float64(slots) / minWorkingSet
	needed := min(max(int(math.Ceil(slotsPerInFlight*w.decayedPeak(now)/perBackend)), minWorkingSet), len(w.order))
	switch {
	case needed >= w.size:
		w.size = needed
	case now.Sub(w.shrunkAt) >= shrinkInterval:
		w.size = max(int(shrinkFactor*float64(w.size)), needed)
		w.shrunkAt = now
	}
	return w.order[:w.size]
}

// grow makes the set larger, as too little of it is free, and says whether it could.
func (w *workingSet) grow() bool {
	if w.size >= len(w.order) {
		return false
	}
	w.size = min(int(growFactor*float64(w.size))+1, len(w.order))
	return true
}

// nextNewcomers returns some back ends that have had no request yet and takes those off the list
// that have had one meanwhile.
func (w *workingSet) unusedToScan() []*BackendState {
	w.unused = slices.DeleteFunc(w.unused, func(state *BackendState) bool { return state.used })
	if len(w.unused) <= maxUnusedScanned {
		return w.unused
	}
	if w.unusedScanTurns++; w.unusedScanTurns%unusedScanInterval != 0 {
		return nil
	}
	return w.unused[:maxUnusedScanned]
}
