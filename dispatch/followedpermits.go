package dispatch

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// disturbanceWindow is how long after the grant a report that the back end is disturbed
// applies to the request; a disturbance that is reported later may have begun later. It
// covers the arrival at the back end and a probe that waits for a slot there.
const disturbanceWindow = 40 * time.Millisecond

// followedPermits holds the permits whose requests may turn out to have met a disturbed back
// end. The zero value is empty.
type followedPermits struct {
	byBackend map[*routing.BackendState][]*Permit
}

func (f *followedPermits) add(permit *Permit) {
	if f.byBackend == nil {
		f.byBackend = make(map[*routing.BackendState][]*Permit)
	}
	f.byBackend[permit.Backend] = append(f.byBackend[permit.Backend], permit)
}

func (f *followedPermits) remove(permit *Permit) {
	remaining := slices.DeleteFunc(f.byBackend[permit.Backend], func(followed *Permit) bool { return followed == permit })
	if len(remaining) == 0 {
		delete(f.byBackend, permit.Backend)
		return
	}
	f.byBackend[permit.Backend] = remaining
}

// takeDisturbed removes and returns the permits whose requests met a disturbance, given that
// the back end has just reported its state.
func (f *followedPermits) takeDisturbed(now time.Time, state *routing.BackendState) []*Permit {
	if !state.Disturbed() {
		return nil
	}
	var disturbed []*Permit
	for _, permit := range slices.Clone(f.byBackend[state]) {
		if now.Sub(permit.GrantedAt) <= disturbanceWindow {
			f.remove(permit)
			disturbed = append(disturbed, permit)
		}
	}
	return disturbed
}

// RecordLoadProbe records the load report that a load probe returned, and returns the permits
// whose requests have just met a disturbed back end, for which an immediate hedge is
// worthwhile.
func (c *Core) RecordLoadProbe(now time.Time, id string, report routing.Report) []*Permit {
	c.Group.RecordLoadProbe(now, id, report)
	state := c.Group.State(id)
	if state == nil {
		return nil
	}
	return c.followed.takeDisturbed(now, state)
}
