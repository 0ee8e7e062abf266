package dispatch

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// metWithin is how long after a request began a report of its back end tells what it met:
// what is told later may have begun later. It is the arrival at the back end, and a probe
// that waits for a slot there.
const metWithin = 40 * time.Millisecond

// followed are the places of which it is to be learned whether their requests met a
// disturbed back end. The zero value holds none.
type followed struct {
	byBackend map[*routing.BackendState][]*Permit
}

func (f *followed) add(place *Permit) {
	if f.byBackend == nil {
		f.byBackend = make(map[*routing.BackendState][]*Permit)
	}
	f.byBackend[place.Backend] = append(f.byBackend[place.Backend], place)
}

func (f *followed) remove(place *Permit) {
	left := slices.DeleteFunc(f.byBackend[place.Backend], func(one *Permit) bool { return one == place })
	if len(left) == 0 {
		delete(f.byBackend, place.Backend)
		return
	}
	f.byBackend[place.Backend] = left
}

// met takes out the places whose requests met a disturbance, after a back end has told how
// it is.
func (f *followed) met(now time.Time, state *routing.BackendState) []*Permit {
	if !state.Disturbed() {
		return nil
	}
	var met []*Permit
	for _, place := range slices.Clone(f.byBackend[state]) {
		if now.Sub(place.GrantedAt) <= metWithin {
			f.remove(place)
			met = append(met, place)
		}
	}
	return met
}

// RecordLoadProbe takes in the report that a probe brought, and returns the places whose requests
// have just met a disturbance at the back end: a second attempt is worth making at once.
func (c *Core) RecordLoadProbe(now time.Time, id string, report routing.Report) []*Permit {
	c.Group.RecordLoadProbe(now, id, report)
	state := c.Group.State(id)
	if state == nil {
		return nil
	}
	return c.followed.met(now, state)
}
