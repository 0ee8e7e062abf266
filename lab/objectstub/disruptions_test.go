package objectstub_test

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/fakenet"
	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// disruption is a fault or a load that is injected into a fleet while a guarantee is checked.
type disruption struct {
	name  string
	apply func(f *fleet, load *randomLoad)
	// divergent: some daemons get no records from others for a while, or all lose them.
	divergent bool
	// independentDaemons is the number of daemons that choose back ends independently at the same time; 0: one.
	independentDaemons int
}

// commonDisruptions are disruptions of the store, of daemons, and of how requests reach back ends, for tests of any
// guarantee. They do not change the first two workers.
var commonDisruptions = []disruption{
	{name: "the store is down", apply: func(f *fleet, _ *randomLoad) { f.store.SetFaults(objectstub.Faults{Down: true}) }},
	{name: "the dispatcher is powered off", apply: func(f *fleet, load *randomLoad) {
		host := f.dispatcher()
		load.pausedWhile(func() {
			f.powerOff(func(_ *daemon.Daemon, number int) bool { return hostOf(number) == host })
		})
	}},
	{name: "daemons are replaced one by one", apply: func(f *fleet, load *randomLoad) {
		for range daemons {
			load.pausedWhile(func() { f.replaceDaemon(0) })
			time.Sleep(startTime)
		}
	}},
	{name: "all daemons are replaced", divergent: true, apply: func(f *fleet, load *randomLoad) {
		load.pausedWhile(func() {
			f.replaceAllDaemons()
			time.Sleep(startTime)
		})
	}},
	{name: "daemons choose back ends by themselves", divergent: true, independentDaemons: daemons, apply: func(f *fleet, load *randomLoad) {
		load.pausedWhile(func() {
			f.direct = true
			f.replaceAllDaemons()
			time.Sleep(startTime)
		})
	}},
	{name: "half of the daemons are partitioned from the others", divergent: true, independentDaemons: 2, apply: func(f *fleet, _ *randomLoad) {
		f.net.SetPartitionRule(func(a, b string) bool { return inFirstHalf(a) && inSecondHalf(b) || inSecondHalf(a) && inFirstHalf(b) })
		time.Sleep(8 * time.Second)
		f.net.SetPartitionRule(nil)
	}},
	{name: "half of the daemons are cut off from the back ends, silently", apply: func(f *fleet, _ *randomLoad) {
		f.cutOff(f.selectDaemons(daemons/2, true), fakenet.LinkSilent)
		time.Sleep(8 * time.Second)
		f.net.SetLinkRule(nil)
	}},
	{name: "all daemons but one are cut off from the back ends, which refuse them", apply: func(f *fleet, _ *randomLoad) {
		f.cutOff(f.selectDaemons(daemons-1, false), fakenet.LinkReset)
		time.Sleep(8 * time.Second)
		f.net.SetLinkRule(nil)
	}},
	{name: "the dispatcher is frozen and recovers", divergent: true, apply: func(f *fleet, _ *randomLoad) {
		host := f.dispatcher()
		f.net.SetFrozen(host, true)
		time.Sleep(4 * time.Second)
		f.net.SetFrozen(host, false)
	}},
	{name: "requests are not repeatable", apply: func(_ *fleet, load *randomLoad) { load.nonRepeatable.Store(true) }},
	{name: "pipelined requests wait for permits", apply: func(f *fleet, _ *randomLoad) {
		f.burst(200)
		for number := range 20 {
			go f.pipeline(number%daemons, fmt.Sprintf("/one/safe/together-%d", number), 4)
			time.Sleep(200 * time.Millisecond)
		}
	}},
	{name: "other back ends reject requests, so that these are retried", apply: func(f *fleet, _ *randomLoad) {
		for _, worker := range f.workers[len(f.workers)/2:] {
			worker.update(func() { worker.rejects = true })
		}
	}},
	{name: "other back ends are disturbed, so that requests are hedged", apply: func(f *fleet, _ *randomLoad) {
		for _, worker := range f.workers[2:] {
			worker.update(func() { worker.disturbPeriod = 150 * time.Millisecond })
		}
	}},
	{name: "more requests than all back ends can serve", apply: func(f *fleet, _ *randomLoad) {
		extra := f.randomLoad(2 * time.Millisecond)
		time.Sleep(10 * time.Second)
		extra.finish()
	}},
}
