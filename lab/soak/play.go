package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// Timing of planned operations.
const (
	drainServingTime  = 2 * time.Second // how long a draining back end goes on serving
	drainRemovalDelay = time.Second     // margin before and after its removal from the store
	stopAllInterval   = 300 * time.Millisecond
	burstChanges      = 5
	burstInterval     = 150 * time.Millisecond
)

// playFault injects one fault, and returns when it has ended.
func (f *fleet) playFault(fault Fault) {
	daemon := f.daemons[fault.Target%len(f.daemons)]
	switch fault.Kind {
	case Stop:
		f.restart(daemon, daemon.stop)
	case Kill:
		f.restart(daemon, daemon.kill)
	case KillAll:
		for _, target := range f.daemons {
			f.runningFaults.Go(func() { f.restart(target, target.kill) })
		}
		time.Sleep(restartDelay)
	case StopAll:
		for _, target := range f.daemons {
			f.runningFaults.Go(func() { f.restart(target, target.stop) })
			time.Sleep(stopAllInterval)
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
		f.rollBackStore(fault.Duration)
	case StoreLink:
		daemon.storeProxy.setMode(fault.Link)
		time.Sleep(fault.Duration)
		daemon.storeProxy.setMode(Healthy)
	case WorkerLink:
		if target := f.worker(fault.Target); target != nil {
			target.proxy.setMode(fault.Link)
			time.Sleep(fault.Duration)
			target.proxy.setMode(Healthy)
		}
	case DaemonsCut:
		f.cutDaemons(fault)
	case BackendsRefuse:
		f.refuseConnections(fault)
	case ConfigChange:
		f.configure()
	case Evacuate:
		f.evacuate(true)
		time.Sleep(fault.Duration)
		f.evacuate(false)
	case CrashingRequest:
		f.callers.repeatCrashing(fmt.Sprintf("%s%d", crashPath, fault.At))
	case TenantFlood:
		f.callers.flood(fault)
	case WorkersSilent:
		f.silenceWorkers(fault)
	case ForeignEntries:
		f.writeForeignEntries(fault.Duration)
	case ConfigBurst:
		for range burstChanges {
			f.configure()
			time.Sleep(burstInterval)
		}
	default:
		f.playWorkerFault(fault)
	}
}

// cutDaemons cuts some daemons off from all back ends, and ends the cut.
func (f *fleet) cutDaemons(fault Fault) {
	count := min(fault.Count, len(f.daemons))
	for number := range count {
		f.cuts.set(f.daemons[(fault.Target+number)%len(f.daemons)].name, fault.Link)
	}
	for _, target := range f.currentWorkers() {
		target.proxy.resetCut()
	}
	time.Sleep(fault.Duration)
	for number := range count {
		f.cuts.set(f.daemons[(fault.Target+number)%len(f.daemons)].name, Healthy)
	}
}

// refuseConnections refuses connections to all back ends for a time. Open ones are reset, too, if the
// fault's link mode is Reset.
func (f *fleet) refuseConnections(fault Fault) {
	workers := f.currentWorkers()
	for _, target := range workers {
		target.proxy.refuse()
		if fault.Link == Reset {
			target.proxy.resetAll()
		}
	}
	time.Sleep(fault.Duration)
	for _, target := range workers {
		if err := target.proxy.accept(); err != nil {
			f.report.log("proxy does not listen again: %v", err)
		}
	}
}

// currentWorkers returns the back ends that are running.
func (f *fleet) currentWorkers() []*worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.workers)
}

// pids returns the process ids of the daemons that are running, by name.
func (f *fleet) pids() map[string]int {
	pids := make(map[string]int, len(f.daemons))
	for _, daemon := range f.daemons {
		daemon.mutex.Lock()
		if daemon.command != nil && daemon.state != ended {
			pids[daemon.name] = daemon.command.Process.Pid
		}
		daemon.mutex.Unlock()
	}
	return pids
}

// evacuate evacuates evacuatedZone, or ends its evacuation.
func (f *fleet) evacuate(evacuated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evacuatedSince = time.Time{}
	if evacuated {
		f.store.Set("evacuations", evacuatedZone, struct{}{})
		f.evacuatedSince = time.Now()
	} else {
		f.store.Remove("evacuations", evacuatedZone)
	}
	for _, w := range f.workers {
		w.update(func() { w.evacuatedSince = f.evacuationStart(w.zone) })
	}
}

// evacuationStart returns since when a zone is evacuated; zero: it is not. The caller must
// hold the mutex.
func (f *fleet) evacuationStart(zone string) time.Time {
	if zone == evacuatedZone {
		return f.evacuatedSince
	}
	return time.Time{}
}

// playWorkerFault injects a fault that concerns one back end.
func (f *fleet) playWorkerFault(fault Fault) {
	target := f.worker(fault.Target)
	if target == nil {
		return // no back end is running
	}
	during := func(set func(on bool)) {
		target.update(func() { set(true) })
		time.Sleep(fault.Duration)
		target.update(func() { set(false) })
	}
	switch fault.Kind {
	case WorkerSlow:
		during(func(on bool) { target.slow = on })
	case WorkerDropsResponses:
		during(func(on bool) { target.dropsResponses = on })
	case WorkerRejects:
		during(func(on bool) { target.rejects = on })
	case WorkerLimit:
		during(target.setLimit)
	case WorkerPushback:
		during(target.setPushback)
	case WorkerAnnouncesDrain:
		if draining := f.removeWorker(fault.Target); draining != nil {
			f.addReplacement()
			draining.update(func() { draining.announcesDrain = true })
			time.Sleep(fault.Duration)
			f.store.Remove("servers", draining.id)
			time.Sleep(drainRemovalDelay)
			draining.close()
		}
	case WorkerWrongRequestID:
		during(func(on bool) { target.wrongRequestID = on })
	case WorkerCrash:
		if crashed := f.removeWorker(fault.Target); crashed != nil {
			crashed.close()
			time.Sleep(fault.Duration)
			f.store.Remove("servers", crashed.id)
			f.addReplacement()
		}
	case WorkerDrains:
		if draining := f.removeWorker(fault.Target); draining != nil {
			f.addReplacement()
			f.listWorker(draining, "draining")
			draining.update(func() { draining.drainListedSince, draining.announcesDrain = time.Now(), true })
			time.Sleep(drainServingTime + drainRemovalDelay)
			f.store.Remove("servers", draining.id)
			time.Sleep(drainRemovalDelay)
			draining.close()
		}
	}
}

// restart ends a daemon and starts it again after restartDelay. If another fault is
// restarting the daemon already, restart only ends it, possibly during a planned stop.
func (f *fleet) restart(daemon *process, end func()) {
	if !daemon.restarting.TryLock() {
		end()
		return
	}
	defer daemon.restarting.Unlock()
	end()
	time.Sleep(restartDelay)
	if err := daemon.start(); err != nil {
		f.report.log("restart of daemon %s failed: %v", daemon.name, err)
	}
}

func (f *fleet) addReplacement() {
	if _, err := f.addWorker(); err != nil {
		f.report.log("start of a replacement back end failed: %v", err)
	}
}
