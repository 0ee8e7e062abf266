package pushback

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
)

const (
	// spreadPart is the fraction of a pause, at most maxSpread, by which it is extended at random, so that daemons
	// that were asked at the same moment do not all resume together.
	spreadPart = 0.1
	maxSpread  = 500 * time.Millisecond
	// maxPauses is the maximum number of pauses; one takes about 200 bytes. The largest fleet has 10,000 back ends.
	maxPauses = 1 << 14
)

// Pause is a pause that a back end has asked this daemon for.
type Pause struct {
	Until     time.Time
	Since     time.Time // when the first of these adjoining pauses was asked for
	Started   int64     // start of the run that asked, in Unix milliseconds; 0: not stated
	RequestID string    // id of the last refused request; empty: it was a probe
}

// Table holds the pauses that a daemon has been asked for. It is not safe for concurrent use.
type Table struct {
	pauses map[string]map[string]Pause // by service and back end
	count  int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{pauses: make(map[string]map[string]Pause)}
}

// RecordPause records that a back end asks for a pause from now on, and reports whether a new pause starts, as opposed
// to one that continues. draw is a random number from 0 to 1. A table that is full ignores the pause.
func (t *Table) RecordPause(now time.Time, key backend.Key, duration time.Duration, started int64, requestID string, draw float64) (isNew bool) {
	spread := min(time.Duration(spreadPart*float64(duration)), maxSpread)
	pause := Pause{Until: now.Add(duration + time.Duration(draw*float64(spread))), Since: now, Started: started, RequestID: requestID}
	current, exists := t.pauses[key.Service][key.Backend]
	switch {
	case !exists && t.count >= maxPauses:
		return false
	case !exists:
		t.count++
	case current.Started > started:
		return false // an earlier run of the back end asks
	case current.Started == started && current.Until.After(now):
		if current.Until.Before(pause.Until) {
			current.Until, current.RequestID = pause.Until, requestID
			t.pauses[key.Service][key.Backend] = current
		}
		return false
	}
	if t.pauses[key.Service] == nil {
		t.pauses[key.Service] = make(map[string]Pause)
	}
	t.pauses[key.Service][key.Backend] = pause
	return true
}

// ActivePause returns the active pause of the run of a back end that started at the given time, and false if there is
// none.
func (t *Table) ActivePause(now time.Time, key backend.Key, started int64) (Pause, bool) {
	current, exists := t.pauses[key.Service][key.Backend]
	if !exists || current.Started != started || !current.Until.After(now) {
		return Pause{}, false
	}
	return current, true
}

// PausedBackends returns the ids of a service's paused back ends, regardless of their run.
func (t *Table) PausedBackends(now time.Time, service string) []string {
	var paused []string
	for id, pause := range t.pauses[service] {
		if pause.Until.After(now) {
			paused = append(paused, id)
		}
	}
	return paused
}

// Prune removes the pauses that have ended, and returns how many remain.
func (t *Table) Prune(now time.Time) int {
	for service, pauses := range t.pauses {
		for id, pause := range pauses {
			if !pause.Until.After(now) {
				delete(pauses, id)
				t.count--
			}
		}
		if len(pauses) == 0 {
			delete(t.pauses, service)
		}
	}
	return t.count
}
