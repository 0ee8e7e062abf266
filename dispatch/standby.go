package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/routing"
)

// standbyAfter is after how long without a place that it gave out a daemon forgets what it knows
// of the back ends. Most daemons of a fleet give out none of a service: what each keeps of
// 10,000 back ends for that took 7 MB of it, and 4 ms of its processor for each change of one.
const standbyAfter = 10 * time.Second

// standby is what a daemon keeps of the back ends of a service while it gives out no places.
type standby struct {
	random *rand.Rand
	// backends returns the back ends as they were last declared; nil: the group has them.
	backends func(now time.Time) []routing.Backend
	advice   advice
	used     time.Time // when a place was last asked for
}

// advice is what another daemon has learned of a back end.
type advice struct {
	id       string
	inFlight int
}

func newGroup(random *rand.Rand) *routing.Group {
	return routing.NewGroup(routing.Options{
		Picker: routing.LeastLoad{}, Random: random, Overcommit: routing.DefaultOvercommit, SlowStart: true,
	})
}

// Configure sets the back ends and the bound of the queue. backends may be called later, and returns them as they
// are known then.
func (d *Dispatcher) Configure(backends func(now time.Time) []routing.Backend, queueLimit int) {
	d.change(func() {
		now := time.Now()
		d.core.Queue.SetLimit(queueLimit)
		if d.standby.backends == nil && d.core.idle() && now.Sub(d.standby.used) >= standbyAfter {
			d.core.Group = newGroup(d.standby.random)
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

// build makes the group know the back ends, as a place is asked for. The caller holds the mutex.
func (d *Dispatcher) build(now time.Time) {
	d.standby.used = now
	if d.standby.backends == nil {
		return
	}
	d.standby.fill(d.core.Group, now)
	d.standby.backends = nil
}

// shown returns the group that operators see: on standby one that is made for them. The caller holds
// the mutex.
func (d *Dispatcher) shown(now time.Time) *routing.Group {
	if d.standby.backends == nil {
		return d.core.Group
	}
	group := newGroup(d.standby.random)
	d.standby.fill(group, now)
	return group
}

// fill makes a group know the back ends.
func (s *standby) fill(group *routing.Group, now time.Time) {
	group.SetBackends(now, s.backends(now))
	if s.advice.id != "" {
		group.SetConcurrencyHint(s.advice.id, s.advice.inFlight)
	}
}

// SetDraining puts in force whether a back end is leaving: what draining returns when it is called, which must
// not block. On standby it is asked when the back ends are.
func (d *Dispatcher) SetDraining(id string, draining func() bool) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetDraining(time.Now(), id, draining())
		}
	})
}

// SetLimit puts in force how many requests a back end takes: what limit returns when it is called,
// which must not block. On standby it is asked when the back ends are.
func (d *Dispatcher) SetLimit(id string, limit func() backendlimit.Limit) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetLimit(time.Now(), id, limit())
		}
	})
}

// SetPause puts in force until when this daemon must not probe a back end: what until returns when it is called, which
// must not block. On standby it is asked when the back ends are.
func (d *Dispatcher) SetPause(id string, until func() time.Time) {
	d.change(func() {
		if d.standby.backends == nil {
			d.core.Group.SetPause(id, until())
		}
	})
}

// ExcludesVersion says whether a version of the service gets no requests, not even to be judged by.
func (d *Dispatcher) ExcludesVersion(version string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.Group.ExcludesVersion(version)
}

// SetConcurrencyHint takes in what another daemon that dispatches the service has learned of back
// ends like this one, so that this one need not learn it anew when it takes over.
func (d *Dispatcher) SetConcurrencyHint(id string, inFlight int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.standby.backends == nil {
		d.core.Group.SetConcurrencyHint(id, inFlight)
	} else if inFlight > 0 {
		d.standby.advice = advice{id: id, inFlight: inFlight}
	}
}
