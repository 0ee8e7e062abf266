package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tuliphall/tuliphall/recent"
)

// Sizes of the working set: the subset of the back ends that requests are sent to if there are many
// more than needed. Concentrating the same load on fewer back ends keeps their reports more recent.
const (
	// slotsPerInFlight is how many slots the working set has for each request in flight at the
	// recent peak.
	slotsPerInFlight = 8
	// minWorkingSet is the minimum number of back ends in the set: a scan of as many takes 15 us,
	// and in smaller services each zone of a region would have only few of them.
	minWorkingSet = 256
	// peakDecayTime is the time constant with which the peak of requests in flight decays.
	peakDecayTime = 10 * time.Second
	// minFreeFraction is the fraction of the set that must be free; below it the set grows by
	// growFactor.
	minFreeFraction = 0.25
	growFactor      = 1.25
	// shrinkInterval and shrinkFactor determine how a set that is larger than needed shrinks.
	shrinkInterval = time.Second
	shrinkFactor   = 0.95
	// maxUnusedScanned is how many back ends without a request so far are scanned for a request in
	// addition to the set.
	maxUnusedScanned = 8
	// unusedScanInterval: if there are many unused back ends, they are scanned only for one in so
	// many requests. Otherwise each request would be sent to one of them until all have had a
	// request.
	unusedScanInterval = 4
)

// workingSet is the working set of a group. The zero value has no back ends.
type workingSet struct {
	order           []*BackendState // all back ends, by hash
	size            int
	unusedScanTurns int             // requests for which unused back ends were due to be scanned
	unused          []*BackendState // back ends without a request so far, oldest first; initial warm ones count as used
	inFlight        int
	peak            float64
	peakAt          time.Time
	shrunkAt        time.Time
}

// setBackends sets the back ends. They are ordered by hash, so that the set has back ends of all
// zones and hardly changes when the list does.
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
		// They are not all scanned soon: their waiting time starts now.
		for _, state := range w.unused {
			if state.eligibleSince.IsZero() {
				state.eligibleSince = now
			}
		}
	}
	w.size = min(max(w.size, minWorkingSet), len(w.order))
}

// requestStarted and requestEnded count a request.
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

// members returns the back ends that a request may be sent to now, without the unused ones.
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

// grow enlarges the set because too little of it is free, and reports whether that was possible.
func (w *workingSet) grow() bool {
	if w.size >= len(w.order) {
		return false
	}
	w.size = min(int(growFactor*float64(w.size))+1, len(w.order))
	return true
}

// unusedToScan returns some back ends without a request so far, after dropping from the list those
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
