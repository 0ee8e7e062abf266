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

// Options say what is run and harmed.
type Options struct {
	Binary        string // of tuliphalld
	Directory     string // for settings and logs of the daemons
	Seed          uint64
	Daemons       int
	Workers       int
	FaultCount    int
	FaultDuration time.Duration // of the time with faults
	Rate          int           // requests a second
}

// Timing of a run.
const (
	warmUp   = 3 * time.Second
	recovery = 15 * time.Second // after the last fault
	measured = 3 * time.Second  // then, how much is served
	// servedShare is how much must be served then.
	servedShare = 0.9
)

// host is the host of all routes.
const host = "soak.example"

// Result is what came of a run.
type Result struct {
	Violations []string
	Counts     map[string]int
}

// fleet is everything that runs.
type fleet struct {
	options Options
	report  *report
	store   *objectstub.Stub
	daemons []*process
	server  *http.Server
	callers *callers

	mutex   sync.Mutex
	workers []*worker
	started int // workers so far
	route   int
	acked   time.Time
	// evacuated is since when emptiedZone is evacuated; zero: it is not.
	evacuated time.Time
	faults    sync.WaitGroup
}

// Run runs one seed.
func Run(ctx context.Context, options Options, progress io.Writer) (Result, error) {
	f := &fleet{options: options, report: newReport(progress), store: objectstub.New()}
	defer f.end()
	if err := f.begin(ctx); err != nil {
		return Result{}, err
	}
	balancing, stopBalancing := context.WithCancel(ctx)
	defer stopBalancing()
	go f.balance(balancing)
	if err := awaitReady(ctx, f.daemons); err != nil {
		return Result{}, err
	}
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sender := newCallers(f, options.Seed)
	f.callers = sender
	var sending sync.WaitGroup
	sending.Go(func() { sender.load(loading, options.Rate) })
	f.harm(ctx)
	f.recover(ctx)
	stopLoad()
	sending.Wait()
	f.stopAll()
	f.report.print(options.Seed)
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	return Result{Violations: f.report.violations, Counts: f.report.counts}, nil
}

// address returns a loopback address that no other run uses at the same time.
func address(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%64, pid/64%256, number)
}

func (f *fleet) begin(ctx context.Context) error {
	listener, err := net.Listen("tcp", address(250)+":8000")
	if err != nil {
		return errors.Annotate(err, "stand-in store")
	}
	f.server = &http.Server{Handler: f.store.Handler()}
	go func() { _ = f.server.Serve(listener) }()
	for range f.options.Workers {
		if _, err := f.addWorker(); err != nil {
			return err
		}
	}
	f.configure()
	var seeds []string
	for number := range f.options.Daemons {
		one := &process{
			name: fmt.Sprintf("edge-%d", number+1), address: address(number + 1), folder: f.options.Directory, binary: f.options.Binary,
			report: f.report, peers: seeds,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, one.at(portPeer))
		}
		if one.store, err = startProxy(one.at(portStore), listener.Addr().String()); err != nil {
			return errors.Annotate(err, "proxy to the store")
		}
		f.daemons = append(f.daemons, one)
	}
	for _, one := range f.daemons {
		one.peers = seeds
		if err := one.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) balance(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for ctx.Err() == nil {
		for _, one := range f.daemons {
			go one.balance(client)
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) newestRoute() (route int, acked time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.route, f.acked
}

func (f *fleet) calmFor() time.Duration {
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	return f.report.calmFor()
}

type resource struct {
	Kind     string         `json:"resourceKind"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

// configure declares the next configuration: a route of its own replaces the last one.
func (f *fleet) configure() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.route++
	route := func(name, prefix, kind string) resource {
		return resource{Kind: "routes", Metadata: map[string]any{"name": name}, Spec: map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": 2, "targetLatencyS": 0.4, "priority": 1, "service": "board", "maxAttempts": 2,
		}}
	}
	f.store.Set("config", "main", map[string]any{"version": f.route, "resources": []resource{
		route("safe", "/safe/", "safe"), route("unsafe", "/unsafe/", "unsafe"),
		route("change", fmt.Sprintf("/change-%d/", f.route), "safe"),
		{Kind: "services", Metadata: map[string]any{"name": "board"}, Spec: map[string]any{"healthPath": "/health"}},
	}})
	f.acked = time.Now()
}

// emptiedZone is the zone that is evacuated, in which every other back end stands.
const emptiedZone = "zone-b"

var zones = []string{"zone-a", emptiedZone}

// addWorker starts a back end and lists it.
func (f *fleet) addWorker() (*worker, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.started++
	return f.startWorker(fmt.Sprintf("i-%d", f.started), zones[f.started%len(zones)])
}

// startAgain starts a back end again under the id that it had.
func (f *fleet) startAgain(ended *worker) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, err := f.startWorker(ended.id, ended.zone)
	return err
}

// startWorker starts a back end and lists it. The caller holds the mutex.
func (f *fleet) startWorker(id, zone string) (*worker, error) {
	one, err := startWorker(id, address(100)+":0", address(101)+":0", f.report)
	if err != nil {
		return nil, err
	}
	one.zone, one.crash = zone, f.crash
	one.evacuated = f.evacuatedIn(zone)
	f.workers = append(f.workers, one)
	f.list(one, "ready")
	return one, nil
}

func (f *fleet) list(one *worker, state string) {
	f.store.Set("servers", one.id, map[string]any{
		"address": one.address(), "info": map[string]any{"service": "board", "version": "v1", "zone": one.zone, "slots": workerSlots},
		"status": map[string]any{"state": state, "seq": 1, "warmupLeftS": 0}, "born": one.born,
	})
}

// removeWorker takes a back end from those that faults strike, and returns it.
func (f *fleet) removeWorker(target int) *worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.workers) <= 2 {
		return nil
	}
	index := target % len(f.workers)
	one := f.workers[index]
	f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
	return one
}

// worker returns a back end that runs; nil: none does.
func (f *fleet) worker(target int) *worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.workers) == 0 {
		return nil
	}
	return f.workers[target%len(f.workers)]
}

// harm plays the schedule and waits for the end of its last fault.
func (f *fleet) harm(ctx context.Context) {
	begun := time.Now()
	for _, fault := range NewSchedule(f.options.Seed, f.options.FaultCount, warmUp, warmUp+f.options.FaultDuration) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(fault.At))):
		}
		f.report.log("%s", fault)
		f.faults.Go(func() {
			if !planned[fault.Kind] {
				defer f.report.fault()()
			}
			f.play(fault)
		})
	}
	f.faults.Wait()
}

// recover waits for the time within which all must be served again, and measures.
func (f *fleet) recover(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(recovery):
	}
	before := f.counts()
	time.Sleep(measured)
	after := f.counts()
	sent, served := after["sent"]-before["sent"], after["status 200"]-before["status 200"]
	if float64(served) < servedShare*float64(sent) {
		f.report.mutex.Lock()
		defer f.report.mutex.Unlock()
		f.report.violated("RECOVER: %d of %d served, %s after the last fault", served, sent, recovery)
	}
}

func (f *fleet) counts() map[string]int {
	f.report.mutex.Lock()
	defer f.report.mutex.Unlock()
	counts := make(map[string]int, len(f.report.counts))
	for what, count := range f.report.counts {
		counts[what] = count
	}
	return counts
}

// stopAll ends every daemon as planned.
func (f *fleet) stopAll() {
	var stopping sync.WaitGroup
	for _, one := range f.daemons {
		stopping.Go(one.stop)
	}
	stopping.Wait()
}

// end ends everything that this run started.
func (f *fleet) end() {
	for _, one := range f.daemons {
		one.signal(syscall.SIGCONT, running)
		one.kill()
		if one.store != nil {
			one.store.close()
		}
	}
	for _, one := range f.workers {
		one.end()
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
