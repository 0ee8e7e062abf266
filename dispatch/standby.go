package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/routing"
)

// standbyDelay is how long after the last request for a permit a daemon discards its state of
// the back ends. Most daemons of a fleet grant no permits for a service. Keeping the state of
// 10,000 back ends took 7 MB of memory, and 4 ms of CPU time for each change of one.
const standbyDelay = 10 * time.Second

// standby is the state that a daemon keeps of a service's back ends while it grants no permits.
type standby struct {
	random *rand.Rand
	// backends returns the back ends as last declared; nil: the daemon is not on standby and
	// the group holds them.
	backends    func(now time.Time) []routing.Backend
	hint        concurrencyHint
	lastAcquire time.Time // when a permit was last asked for
	// gradualReturn is the setting of the groups; see Dispatcher.SetGradualReturn.
	gradualReturn bool
}

// concurrencyHint is a concurrency hint that another daemon has learned.
type concurrencyHint struct {
	id       string
	inFlight int
}

func newGroup(random *rand.Rand) *routing.Group {
	return routing.NewGroup(routing.Options{
		Picker: routing.LeastLoad{}, Random: random, Overcommit: routing.DefaultOvercommit, SlowStart: true,
	})
}

// Configure sets the back ends and the limit of the queue. backends may be called later, and
// returns the back ends as known at that time.
func (d *Dispatcher) Configure(backends func(now time.Time) []routing.Backend, queueLimit int) {
	d.change(func() {
		now := time.Now()
		d.core.Queue.SetLimit(queueLimit)
		if d.standby.backends == nil && d.core.idle() && now.Sub(d.standby.lastAcquire) >= standbyDelay {
			d.core.Group = newGroup(d.standby.random)
			d.core.Group.SetGradualReturn(d.standby.gradualReturn)
			d.standby.backends = backends
			d.core.applyVersionRule(now)
			return
		}
		if d.standby.backends != nil {
			d.standby.backends = backends
			return
		}
		d.core.Group.SetBackends(now, backends(now))
	})
}

// leaveStandby populates the group if the daemon is on standby, because a permit is asked for.
// The caller must hold the mutex.
func (d *Dispatcher) leaveStandby(now time.Time) {
	d.standby.lastAcquire = now
	if d.standby.backends == nil {
		return
	}
	d.standby.populate(d.core.Group, now)
	d.standby.backends = nil
}

// statusGroup returns the group to show to operators. On standby it is a temporary one. The
// caller must hold the mutex.
func (d *Dispatcher) statusGroup(now time.Time) *routing.Group {
	if d.standby.backends == nil {
		return d.core.Group
	}
	group := newGroup(d.standby.random)
	d.standby.populate(group, now)
	return group
}

// populate sets the back ends and the concurrency hint of a group.
func (s *standby) populate(group *routing.Group, now time.Time) {
	group.SetBackends(now, s.backends(now))
	if s.hint.id != "" {
		group.SetConcurrencyHint(s.hint.id, s.hint.inFlight)
	}
}

// SetDraining updates whether a back end is draining to the result of draining, which must not
// block. On standby that is queried together with the back ends instead.
func (d *Dispatcher) SetDraining(id string, draining func() bool) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetDraining(time.Now(), id, draining())
		}
	})
}

// SetLimit updates the request limit of a back end to the result of limit, which must not
// block. On standby that is queried together with the back ends instead.
func (d *Dispatcher) SetLimit(id string, limit func() backendlimit.Limit) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetLimit(time.Now(), id, limit())
		}
	})
}

// SetPause updates the time before which this daemon must not probe a back end to the result
// of until, which must not block. On standby that is queried together with the back ends
// instead.
func (d *Dispatcher) SetPause(id string, until func() time.Time) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetPause(id, until())
		}
	})
}

// ExcludesVersion reports whether a version of the service gets no requests at all, not even
// for a comparison.
func (d *Dispatcher) ExcludesVersion(version string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Group.ExcludesVersion(version)
}

// SetConcurrencyHint records the concurrency hint that another dispatcher of the service has
// learned for back ends like this one, so that this daemon need not learn it anew when it
// takes over.
func (d *Dispatcher) SetConcurrencyHint(id string, inFlight int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.standby.backends == nil {
		d.core.Group.SetConcurrencyHint(id, inFlight)
	} else if inFlight > 0 {
		d.standby.hint = concurrencyHint{id: id, inFlight: inFlight}
	}
}
