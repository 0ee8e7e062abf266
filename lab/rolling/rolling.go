// Package rolling performs a rolling restart of a fleet of real daemon processes under
// load, with a long stream through each, and counts failed requests and interrupted
// streams.
package rolling

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/launcher"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
)

// Options are the options of a rolling restart.
type Options struct {
	Binary         string // path of tuliphalld
	Directory      string // for settings files and logs
	Daemons        int
	StreamDuration time.Duration // length of the stream through each daemon
	Rate           float64       // requests a second, all daemons together
}

// Result is the outcome of a rolling restart.
type Result struct {
	Restarts           int
	Streams            int64
	InterruptedStreams int64 // streams that ended early
	SentRequests       int64
	FailedRequests     int64 // requests without a complete response
	FirstFailure       string
}

// Timing and concurrency of restarts.
const (
	stopNotice            = 1500 * time.Millisecond
	balancerDelay         = 500 * time.Millisecond // from SIGTERM until the balancer stops sending requests
	readyTimeout          = 20 * time.Second
	maxConcurrentRestarts = 3 // daemons that restart at the same time
)

// fleet is the fleet of daemons under test.
type fleet struct {
	options Options
	site    *site.Site
	daemons []*process
	result  Result
	mutex   sync.Mutex
}

// process is one daemon of the fleet, across its restart.
type process struct {
	name       string
	address    string // IP; each daemon has its own loopback address
	command    *exec.Cmd
	inBalancer atomic.Bool // the balancer sends requests to it
}

// Ports of every daemon.
const (
	portCaller  = "8080"
	portPeer    = "7000"
	portForward = "7001"
	portAdmin   = "9090"
)

func (p *process) addr(port string) string { return p.address + ":" + port }

// Run starts the fleet, restarts every daemon under load, and returns the counts.
func Run(ctx context.Context, options Options, progress io.Writer) (Result, error) {
	running, err := site.Start(ctx, site.Options{
		Zones:    []string{"zone-a", "zone-b", "zone-c"},
		Services: []site.Service{{Config: config.Service{Name: "work", Slots: 32}, Backends: 6, Backend: backendstub.Options{Slots: 32, MeanServiceTime: 5 * time.Millisecond}}},
	})
	if err != nil {
		return Result{}, err
	}
	defer running.Close()
	f := &fleet{options: options, site: running}
	defer f.close()
	for number := range options.Daemons {
		daemon := &process{name: fmt.Sprintf("entry-%d", number+1), address: fmt.Sprintf("127.0.1.%d", number+1)}
		f.daemons = append(f.daemons, daemon)
		if err := f.start(ctx, daemon); err != nil {
			return Result{}, err
		}
	}
	client := admin.NewClient("http://" + f.daemons[0].addr(portAdmin))
	if _, err := client.Apply(ctx, admin.ApplyRequest{Edit: config.Edit{ID: "rolling", Set: running.Content()}}); err != nil {
		return Result{}, err
	}
	time.Sleep(2 * time.Second)
	return f.restartAll(ctx, progress)
}

// restartAll sends load and restarts all daemons, at most maxConcurrentRestarts at a time.
func (f *fleet) restartAll(ctx context.Context, progress io.Writer) (Result, error) {
	stopLoad := make(chan struct{})
	var loadDone, restarts sync.WaitGroup
	loadDone.Go(func() { f.sendLoad(ctx, stopLoad) })
	restartSlots := make(chan struct{}, maxConcurrentRestarts)
	var restartErr error
	for _, daemon := range f.daemons {
		restartSlots <- struct{}{}
		restarts.Go(func() {
			defer func() { <-restartSlots }()
			if err := f.restart(ctx, daemon); err != nil {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				restartErr = err
				return
			}
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.result.Restarts++
			fmt.Fprintf(progress, "%s restarted, %d of %d\n", daemon.name, f.result.Restarts, len(f.daemons))
		})
	}
	restarts.Wait()
	close(stopLoad)
	loadDone.Wait()
	return f.result, restartErr
}

// settingsTemplate is the settings file of one daemon.
const settingsTemplate = `name = %q
region = "region-1"
zone = "zone-a"
peers = [%s]
[listen]
caller = %q
peer = %q
forward = %q
admin = %q
[platform]
address = %q
[stop]
notice = %q
`

func (f *fleet) start(ctx context.Context, daemon *process) error {
	var peers []string
	for _, other := range f.daemons {
		if other != daemon {
			peers = append(peers, fmt.Sprintf("%q", other.addr(portPeer)))
		}
	}
	settings := fmt.Sprintf(settingsTemplate, daemon.name, strings.Join(peers, ", "), daemon.addr(portCaller), daemon.addr(portPeer), daemon.addr(portForward), daemon.addr(portAdmin), f.site.PlatformURL(), stopNotice)
	command, err := launcher.Start(f.options.Binary, f.options.Directory, daemon.name, settings)
	if err != nil {
		return err
	}
	daemon.command = command
	if err := waitUntilReady(ctx, "http://"+daemon.addr(portAdmin)+admin.PathReady); err != nil {
		return errors.Annotate(err, daemon.name)
	}
	daemon.inBalancer.Store(true)
	return nil
}

func waitUntilReady(ctx context.Context, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := http.Get(url)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Timeoutf("%s", url)
}

// restart starts a stream through a daemon, shuts the daemon down with SIGTERM and starts it again.
func (f *fleet) restart(ctx context.Context, daemon *process) error {
	var streamDone sync.WaitGroup
	streamDone.Go(func() { f.stream(ctx, daemon) })
	time.Sleep(200 * time.Millisecond)
	if err := daemon.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotate(err, daemon.name)
	}
	time.Sleep(balancerDelay)
	daemon.inBalancer.Store(false)
	err := daemon.command.Wait()
	streamDone.Wait()
	if err != nil {
		return errors.Annotatef(err, "%s did not shut down cleanly", daemon.name)
	}
	return f.start(ctx, daemon)
}

// streamInterval is the time between two chunks of a stream.
const streamInterval = 200 * time.Millisecond

func (f *fleet) stream(ctx context.Context, daemon *process) {
	url := fmt.Sprintf("http://%s%s?pieces=%d&every=%s", daemon.addr(portCaller), backendstub.PathStream, f.options.StreamDuration/streamInterval, streamInterval)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	complete := false
	if err == nil {
		var response *http.Response
		if response, err = http.DefaultClient.Do(request); err == nil {
			body, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			complete = readErr == nil && strings.HasSuffix(string(body), "end\n")
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.result.Streams++
	if !complete {
		f.result.InterruptedStreams++
	}
}

// balancerRefreshInterval is how long the balancer keeps its list of daemons.
const balancerRefreshInterval = 200 * time.Millisecond

// sendLoad sends requests to the daemons that the balancer considers ready, until stop is closed.
func (f *fleet) sendLoad(ctx context.Context, stop <-chan struct{}) {
	for seed := uint64(1); ; seed++ {
		select {
		case <-stop:
			return
		default:
		}
		var targets []string
		for _, daemon := range f.daemons {
			if daemon.inBalancer.Load() {
				targets = append(targets, daemon.addr(portCaller))
			}
		}
		result := load.Run(ctx, load.Options{
			Targets: targets, Rate: f.options.Rate, Duration: balancerRefreshInterval, Seed: seed,
			Kinds: []load.RequestKind{{Name: "all", Method: http.MethodGet, Path: "/work", Share: 1}},
		})
		f.mutex.Lock()
		f.result.SentRequests += int64(result.Sent)
		f.result.FailedRequests += int64(result.Failed())
		if f.result.FirstFailure == "" {
			f.result.FirstFailure = result.FirstFailure()
		}
		f.mutex.Unlock()
	}
}

// close kills every process that this run started.
func (f *fleet) close() {
	for _, daemon := range f.daemons {
		if daemon.command != nil && daemon.command.Process != nil && daemon.command.ProcessState == nil {
			_ = daemon.command.Process.Kill()
			_ = daemon.command.Wait()
		}
	}
}
