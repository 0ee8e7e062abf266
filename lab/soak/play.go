package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// Times of planned work.
const (
	drainTime    = 2 * time.Second // a leaving back end goes on serving
	drainMore    = time.Second
	rollGap      = 300 * time.Millisecond
	stormChanges = 5
	stormGap     = 150 * time.Millisecond
)

// play plays one fault and returns at its end.
func (f *fleet) play(fault Fault) {
	daemon := f.daemons[fault.Target%len(f.daemons)]
	switch fault.Kind {
	case Stop:
		f.restart(daemon, daemon.stop)
	case Kill:
		f.restart(daemon, daemon.kill)
	case KillAll:
		for _, one := range f.daemons {
			f.faults.Go(func() { f.restart(one, one.kill) })
		}
		time.Sleep(startDelay)
	case StopAll:
		for _, one := range f.daemons {
			f.faults.Go(func() { f.restart(one, one.stop) })
			time.Sleep(rollGap)
		}
	case Suspend:
		daemon.signal(syscall.SIGSTOP, running)
		time.Sleep(fault.Duration)
		daemon.signal(syscall.SIGCONT, running)
	case StoreDown:
		f.store.SetFaults(objectstub.Faults{Down: true})
		time.Sleep(fault.Duration)
		f.store.SetFaults(objectstub.Faults{})
	case StoreWatchLoss:
		f.store.SetFaults(objectstub.Faults{StallWatches: true})
		f.configure()
		time.Sleep(time.Second)
		f.store.Compact()
		f.store.SetFaults(objectstub.Faults{})
	case StoreRollback:
		f.storeComesBackOlder(fault.Duration)
	case StoreLink:
		daemon.store.set(fault.Link)
		time.Sleep(fault.Duration)
		daemon.store.set(Healthy)
	case WorkerLink:
		if one := f.worker(fault.Target); one != nil {
			one.proxy.set(fault.Link)
			time.Sleep(fault.Duration)
			one.proxy.set(Healthy)
		}
	case ConfigChange:
		f.configure()
	case Evacuate:
		f.evacuate(true)
		time.Sleep(fault.Duration)
		f.evacuate(false)
	case CrashingRequest:
		f.callers.repeatCrashing(fmt.Sprintf("%s%d", crashPath, fault.At))
	case ForeignEntries:
		f.writeForeign(fault.Duration)
	case ConfigBurst:
		for range stormChanges {
			f.configure()
			time.Sleep(stormGap)
		}
	default:
		f.playWorker(fault)
	}
}

// evacuate evacuates the zone of every other back end, or takes it back.
func (f *fleet) evacuate(evacuated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evacuated = time.Time{}
	if evacuated {
		f.store.Set("evacuations", emptiedZone, struct{}{})
		f.evacuated = time.Now()
	} else {
		f.store.Remove("evacuations", emptiedZone)
	}
	for _, one := range f.workers {
		one.change(func() { one.evacuated = f.evacuatedIn(one.zone) })
	}
}

// evacuatedIn returns since when a zone is evacuated; zero: it is not. The caller holds the
// mutex.
func (f *fleet) evacuatedIn(zone string) time.Time {
	if zone == emptiedZone {
		return f.evacuated
	}
	return time.Time{}
}

// playWorker plays what strikes one back end.
func (f *fleet) playWorker(fault Fault) {
	one := f.worker(fault.Target)
	if one == nil {
		return // all have ended
	}
	during := func(set func(on bool)) {
		one.change(func() { set(true) })
		time.Sleep(fault.Duration)
		one.change(func() { set(false) })
	}
	switch fault.Kind {
	case WorkerSlow:
		during(func(on bool) { one.slow = on })
	case WorkerDropsResponses:
		during(func(on bool) { one.loses = on })
	case WorkerRejects:
		during(func(on bool) { one.full = on })
	case WorkerLimit:
		during(one.setLimit)
	case WorkerPushback:
		during(one.setPushback)
	case WorkerAnnouncesDrain:
		if leaving := f.removeWorker(fault.Target); leaving != nil {
			f.replace()
			leaving.change(func() { leaving.leaves = true })
			time.Sleep(fault.Duration)
			f.store.Remove("servers", leaving.id)
			time.Sleep(drainMore)
			leaving.end()
		}
	case WorkerWrongRequestID:
		during(func(on bool) { one.lies = on })
	case WorkerCrash:
		if gone := f.removeWorker(fault.Target); gone != nil {
			gone.end()
			time.Sleep(fault.Duration)
			f.store.Remove("servers", gone.id)
			f.replace()
		}
	case WorkerDrains:
		if leaving := f.removeWorker(fault.Target); leaving != nil {
			f.replace()
			f.list(leaving, "draining")
			leaving.change(func() { leaving.left, leaving.leaves = time.Now(), true })
			time.Sleep(drainTime + drainMore)
			f.store.Remove("servers", leaving.id)
			time.Sleep(drainMore)
			leaving.end()
		}
	}
}

// restart ends a daemon and starts it again after the delay. A daemon that another
// fault is restarting is only ended, which may be in the middle of a planned stop.
func (f *fleet) restart(one *process, end func()) {
	if !one.restarting.TryLock() {
		end()
		return
	}
	defer one.restarting.Unlock()
	end()
	time.Sleep(startDelay)
	if err := one.start(); err != nil {
		f.report.log("%s not started: %v", one.name, err)
	}
}

func (f *fleet) replace() {
	if _, err := f.addWorker(); err != nil {
		f.report.log("no new back end: %v", err)
	}
}
