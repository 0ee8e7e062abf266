package pushback

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
)

const (
	// spreadPart of a pause, at most maxSpread, is the longest by which it is drawn out: daemons that were asked at
	// the same moment do not all come back together.
	spreadPart = 0.1
	maxSpread  = 500 * time.Millisecond
	// maxPauses bounds the pauses that are kept; one takes about 200 bytes. The largest fleet has 10,000 back ends.
	maxPauses = 1 << 14
)

// Pause is what a back end has asked this daemon for.
type Pause struct {
	Until     time.Time
	Since     time.Time // when it first asked, of pauses without a gap between
	Started   int64     // of the run that asked, in Unix milliseconds; 0: it does not say
	RequestID string    // id of the request that was turned away last; empty: a probe was
}

// Table holds the pauses of a daemon. It is not safe for concurrent use.
type Table struct {
	pauses map[string]map[string]Pause // by service and back end
	count  int
}

// NewTable returns a table without pauses.
func NewTable() *Table {
	return &Table{pauses: make(map[string]map[string]Pause)}
}

// RecordPause takes in that a back end asks for a pause from now on, and says whether it is in one only since now. draw is
// a random number from 0 to 1.
func (t *Table) RecordPause(now time.Time, key backend.Key, lasts time.Duration, started int64, request string, draw float64) (begins bool) {
	spread := min(time.Duration(spreadPart*float64(lasts)), maxSpread)
	asked := Pause{Until: now.Add(lasts + time.Duration(draw*float64(spread))), Since: now, Started: started, RequestID: request}
	known, kept := t.pauses[key.Service][key.Backend]
	switch {
	case !kept && t.count >= maxPauses:
		return false
	case !kept:
		t.count++
	case known.Started > started:
		return false // an earlier run asks
	case known.Started == started && known.Until.After(now):
		if known.Until.Before(asked.Until) {
			known.Until, known.RequestID = asked.Until, request
			t.pauses[key.Service][key.Backend] = known
		}
		return false
	}
	if t.pauses[key.Service] == nil {
		t.pauses[key.Service] = make(map[string]Pause)
	}
	t.pauses[key.Service][key.Backend] = asked
	return true
}

// ActivePause returns the pause that the run of a back end that started at a time is in, and false where it is in none.
func (t *Table) ActivePause(now time.Time, key backend.Key, started int64) (Pause, bool) {
	known, kept := t.pauses[key.Service][key.Backend]
	if !kept || known.Started != started || !known.Until.After(now) {
		return Pause{}, false
	}
	return known, true
}

// PausedBackends returns the ids of a service's back ends that are in a pause, whichever their run.
func (t *Table) PausedBackends(now time.Time, service string) []string {
	var paused []string
	for id, known := range t.pauses[service] {
		if known.Until.After(now) {
			paused = append(paused, id)
		}
	}
	return paused
}

// Prune drops the pauses that are over, and returns how many there are.
func (t *Table) Prune(now time.Time) int {
	for service, pauses := range t.pauses {
		for id, known := range pauses {
			if !known.Until.After(now) {
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
