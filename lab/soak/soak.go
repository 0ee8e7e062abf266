package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// Options are the options of a run.
type Options struct {
	Binary        string // path of tuliphalld
	Directory     string // for settings and logs of the daemons
	Seed          uint64
	Daemons       int
	Workers       int
	FaultCount    int
	FaultDuration time.Duration // how long faults are injected
	Rate          int           // requests a second
}

// Timing of a run and its final check.
const (
	warmUpTime      = 3 * time.Second
	recoveryTime    = 15 * time.Second // time from the last fault to the final check
	measurementTime = 3 * time.Second  // length of the final check
	// minServedFraction is the minimum fraction of requests that must be served in the final check.
	minServedFraction = 0.9
)

// host is the host name of all routes.
const host = "soak.example"

// Result is the outcome of a run.
type Result struct {
	Violations []string
	Counts     map[string]int
}

// fleet holds the daemons, the stub store and back ends, and the callers of a run.
type fleet struct {
	options Options
	report  *report
	store   *objectstub.Stub
	daemons []*process
	server  *http.Server
	callers *callers
	cuts    *cutter

	mutex          sync.Mutex
	workers        []*worker
	workersStarted int // number of back ends started so far
	route          int
	routeAckedAt   time.Time
	// limitsChangedAt is when the limits on requests were last declared or removed.
	limitsChangedAt time.Time
	// evacuatedSince is when the evacuation of evacuatedZone began; zero: it is not evacuated.
	evacuatedSince time.Time
	runningFaults  sync.WaitGroup
}

// Run performs one run with the faults of one seed. An error means that the run could not be performed;
// violated guarantees are in the result.
func Run(ctx context.Context, options Options, progress io.Writer) (Result, error) {
	f := &fleet{options: options, report: newReport(progress), store: objectstub.New()}
	f.cuts = newCutter(f.pids, f.report.log)
	defer f.close()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	checkContext, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	go f.checkReadiness(checkContext)
	go f.report.watchStalls(checkContext)
	if err := waitUntilReady(ctx, f.daemons); err != nil {
		return Result{}, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadCallers := newCallers(f, options.Seed)
	f.callers = loadCallers
	var loading sync.WaitGroup
	loading.Go(func() { loadCallers.sendLoad(loadContext, options.Rate) })
	f.injectFaults(ctx)
	f.checkRecovery(ctx)
	for _, w := range f.currentWorkers() {
		w.update(func() { w.runs = 0 })
	}
	loadCallers.flood(Fault{Duration: finalFloodDuration})
	stopLoad()
	loading.Wait()
	f.checkReuse()
	f.stopAll()
	f.report.checkShares()
	f.checkOutputs()
	f.report.print(options.Seed)
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	return Result{Violations: f.report.violations, Counts: f.report.counts}, nil
}

// address returns a loopback address that is derived from the process id, so that concurrent runs use
// different ones.
func address(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%64, pid/64%256, number)
}

func (f *fleet) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", address(250)+":8000")
	if err != nil {
		return errors.Annotate(err, "start the stub store")
	}
	f.server = &http.Server{Handler: f.store.Handler()}
	go func() { _ = f.server.Serve(listener) }()
	for range f.options.Workers {
		if _, err := f.addWorker(); err != nil {
			return err
		}
	}
	f.configure()
	var seedPeers []string
	for number := range f.options.Daemons {
		daemon := &process{
			name: fmt.Sprintf("edge-%d", number+1), address: address(number + 1), directory: f.options.Directory, binary: f.options.Binary,
			report: f.report, peers: seedPeers,
		}
		if len(seedPeers) < 3 {
			seedPeers = append(seedPeers, daemon.addr(portPeer))
		}
		if daemon.storeProxy, err = startProxy(daemon.addr(portStore), listener.Addr().String(), nil); err != nil {
			return errors.Annotate(err, "start the proxy to the store")
		}
		f.daemons = append(f.daemons, daemon)
	}
	for _, daemon := range f.daemons {
		daemon.peers = seedPeers
		if err := daemon.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for ctx.Err() == nil {
		for _, daemon := range f.daemons {
			go daemon.checkReady(client)
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) newestRoute() (route int, acked time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.route, f.routeAckedAt
}

func (f *fleet) faultFreeFor() time.Duration {
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	return f.report.faultFreeFor()
}

type resource struct {
	Kind     string         `json:"resourceKind"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

// configure writes the next configuration, in which a route with a new path replaces the one of the
// configuration before.
func (f *fleet) configure() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.route++
	route := func(name, prefix, kind string) resource {
		return resource{Kind: "routes", Metadata: map[string]any{"name": name}, Spec: map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": 2, "targetLatencyS": 0.4, "priority": 1, "service": "board", "maxAttempts": 2,
		}}
	}
	resources := []resource{
		route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe"),
		route("flood", floodPath, "safe"),
		route("change", fmt.Sprintf("/change-%d/", f.route), "safe"),
		{Kind: "services", Metadata: map[string]any{"name": "board"}, Spec: map[string]any{"healthPath": "/health"}},
	}
	resources = append(resources, tenantResources()...)
	if hasLimits(f.route) {
		resources = append(resources, limitsResource())
	}
	f.store.Set("config", "main", map[string]any{"version": f.route, "resources": resources})
	f.routeAckedAt = time.Now()
	if hasLimits(f.route) != hasLimits(f.route-1) {
		f.limitsChangedAt = f.routeAckedAt
	}
}

// evacuatedZone is the zone that faults evacuate. It holds every other back end.
const evacuatedZone = "zone-b"

var zones = []string{"zone-a", evacuatedZone}

// addWorker starts a new back end and lists it in the store.
func (f *fleet) addWorker() (*worker, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workersStarted++
	return f.startWorker(fmt.Sprintf("i-%d", f.workersStarted), zones[f.workersStarted%len(zones)])
}

// restartWorker starts a crashed back end again under the same id.
func (f *fleet) restartWorker(crashed *worker) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, err := f.startWorker(crashed.id, crashed.zone)
	return err
}

// startWorker starts a back end and lists it in the store. The caller must hold the mutex.
func (f *fleet) startWorker(id, zone string) (*worker, error) {
	w, err := startWorker(id, address(100)+":0", address(101)+":0", f.cuts, f.report)
	if err != nil {
		return nil, err
	}
	w.zone, w.onCrashingRequest = zone, f.crash
	w.evacuatedSince = f.evacuationStart(zone)
	f.workers = append(f.workers, w)
	f.listWorker(w, "ready")
	return w, nil
}

func (f *fleet) listWorker(w *worker, state string) {
	f.store.Set("servers", w.id, map[string]any{
		"address": w.address(), "info": map[string]any{"service": "board", "version": "v1", "zone": w.zone, "slots": workerSlots},
		"status": map[string]any{"state": state, "seq": 1, "warmupLeftS": 0}, "born": w.bornAt,
	})
}

// removeWorker removes a back end from the running ones, which faults can target, and returns it; nil: at
// most two are running.
func (f *fleet) removeWorker(target int) *worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.workers) <= 2 {
		return nil
	}
	index := target % len(f.workers)
	removed := f.workers[index]
	f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
	return removed
}

// worker returns a running back end; nil: there is none.
func (f *fleet) worker(target int) *worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.workers) == 0 {
		return nil
	}
	return f.workers[target%len(f.workers)]
}

// injectFaults plays the schedule and waits for the end of all faults.
func (f *fleet) injectFaults(ctx context.Context) {
	startedAt := time.Now()
	for _, fault := range NewSchedule(f.options.Seed, f.options.FaultCount, warmUpTime, warmUpTime+f.options.FaultDuration) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(fault.At))):
		}
		f.report.log("%s", fault)
		f.runningFaults.Go(func() {
			if fault.Kind != TenantFlood {
				defer f.report.beginOperation()()
			}
			if !plannedKinds[fault.Kind] {
				defer f.report.beginFault()()
			}
			f.playFault(fault)
		})
	}
	f.runningFaults.Wait()
}

// checkRecovery waits for recoveryTime, and then checks that at least minServedFraction of the requests is
// served.
func (f *fleet) checkRecovery(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(recoveryTime):
	}
	before := f.counts()
	time.Sleep(measurementTime)
	after := f.counts()
	sent, served := after["sent"]-before["sent"], after["status 200"]-before["status 200"]
	if float64(served) < minServedFraction*float64(sent) {
		f.report.mutex.Lock()
		defer f.report.mutex.Unlock()
		f.report.addViolation("RECOVER: %d of %d requests served, %s after the last fault", served, sent, recoveryTime)
	}
}

func (f *fleet) counts() map[string]int {
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	counts := make(map[string]int, len(f.report.counts))
	for event, count := range f.report.counts {
		counts[event] = count
	}
	return counts
}

// stopAll shuts down all daemons at once, as planned.
func (f *fleet) stopAll() {
	var stops sync.WaitGroup
	for _, daemon := range f.daemons {
		stops.Go(daemon.stop)
	}
	stops.Wait()
}

// close ends everything that this run started.
func (f *fleet) close() {
	for _, daemon := range f.daemons {
		daemon.signal(syscall.SIGCONT, running)
		daemon.kill()
		if daemon.storeProxy != nil {
			daemon.storeProxy.close()
		}
	}
	for _, w := range f.workers {
		w.close()
	}
	if f.server != nil {
		f.server.Close()
	}
}

// PrintViolations writes the violations of a result.
func (r Result) PrintViolations(out io.Writer) error {
	_, err := fmt.Fprintln(out, strings.Join(r.Violations, "\n"))
	return err
}
