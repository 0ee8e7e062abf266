// Package rolling restarts a fleet of real daemon processes one after another
// under load, with a long stream through each, and counts what was lost.
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

// Options say what is restarted.
type Options struct {
	Binary         string // of tuliphalld
	Directory      string // for settings files and logs
	Daemons        int
	StreamDuration time.Duration // length of the stream through each daemon
	Rate           float64       // requests a second, all daemons together
}

// Result is what came of it.
type Result struct {
	Restarts           int
	Streams            int64
	InterruptedStreams int64 // streams that ended early
	SentRequests       int64
	FailedRequests     int64 // requests without their whole answer
	FirstFailure       string
}

// Timing of a restart.
const (
	notice       = 1500 * time.Millisecond
	balancerLag  = 500 * time.Millisecond // until the balancer stops sending
	readyTimeout = 20 * time.Second
	atOnce       = 3 // daemons that are being restarted
)

// fleet is a running fleet.
type fleet struct {
	options Options
	site    *site.Site
	daemons []*process
	result  Result
	mutex   sync.Mutex
}

// process is one daemon's place in the fleet.
type process struct {
	name    string
	address string // IP; each daemon has one of its own on the loopback
	command *exec.Cmd
	serving atomic.Bool // the balancer sends to it
}

// Ports of every daemon.
const (
	portCaller  = "8080"
	portPeer    = "7000"
	portForward = "7001"
	portAdmin   = "9090"
)

func (p *process) at(port string) string { return p.address + ":" + port }

// Run starts the fleet, restarts every daemon and counts.
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
	defer f.end()
	for number := range options.Daemons {
		one := &process{name: fmt.Sprintf("entry-%d", number+1), address: fmt.Sprintf("127.0.1.%d", number+1)}
		f.daemons = append(f.daemons, one)
		if err := f.start(ctx, one); err != nil {
			return Result{}, err
		}
	}
	client := admin.NewClient("http://" + f.daemons[0].at(portAdmin))
	if _, err := client.Apply(ctx, admin.ApplyRequest{Edit: config.Edit{ID: "rolling", Set: running.Content()}}); err != nil {
		return Result{}, err
	}
	time.Sleep(2 * time.Second)
	return f.roll(ctx, progress)
}

// roll sends load and restarts daemons, a few at once.
func (f *fleet) roll(ctx context.Context, progress io.Writer) (Result, error) {
	stopLoad := make(chan struct{})
	var loading, restarting sync.WaitGroup
	loading.Go(func() { f.load(ctx, stopLoad) })
	slots := make(chan struct{}, atOnce)
	var failed error
	for _, one := range f.daemons {
		slots <- struct{}{}
		restarting.Go(func() {
			defer func() { <-slots }()
			if err := f.restart(ctx, one); err != nil {
				f.mutex.Lock()
				defer f.mutex.Unlock()
				failed = err
				return
			}
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.result.Restarts++
			fmt.Fprintf(progress, "%s restarted, %d of %d\n", one.name, f.result.Restarts, len(f.daemons))
		})
	}
	restarting.Wait()
	close(stopLoad)
	loading.Wait()
	return f.result, failed
}

// settings is one daemon's settings file.
const settings = `name = %q
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

func (f *fleet) start(ctx context.Context, one *process) error {
	var peers []string
	for _, other := range f.daemons {
		if other != one {
			peers = append(peers, fmt.Sprintf("%q", other.at(portPeer)))
		}
	}
	text := fmt.Sprintf(settings, one.name, strings.Join(peers, ", "), one.at(portCaller), one.at(portPeer), one.at(portForward), one.at(portAdmin), f.site.PlatformURL(), notice)
	command, err := launcher.Start(f.options.Binary, f.options.Directory, one.name, text)
	if err != nil {
		return err
	}
	one.command = command
	if err := ready(ctx, "http://"+one.at(portAdmin)+admin.PathReady); err != nil {
		return errors.Annotate(err, one.name)
	}
	one.serving.Store(true)
	return nil
}

func ready(ctx context.Context, url string) error {
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

// restart begins a stream through a daemon, stops it as planned and starts it again.
func (f *fleet) restart(ctx context.Context, one *process) error {
	var streaming sync.WaitGroup
	streaming.Go(func() { f.stream(ctx, one) })
	time.Sleep(200 * time.Millisecond)
	if err := one.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotate(err, one.name)
	}
	time.Sleep(balancerLag)
	one.serving.Store(false)
	err := one.command.Wait()
	streaming.Wait()
	if err != nil {
		return errors.Annotatef(err, "%s did not end cleanly", one.name)
	}
	return f.start(ctx, one)
}

// piece is the time between two pieces of a stream.
const piece = 200 * time.Millisecond

func (f *fleet) stream(ctx context.Context, one *process) {
	url := fmt.Sprintf("http://%s%s?pieces=%d&every=%s", one.at(portCaller), backendstub.PathStream, f.options.StreamDuration/piece, piece)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	whole := false
	if err == nil {
		var response *http.Response
		if response, err = http.DefaultClient.Do(request); err == nil {
			text, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			whole = readErr == nil && strings.HasSuffix(string(text), "end\n")
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.result.Streams++
	if !whole {
		f.result.InterruptedStreams++
	}
}

// loadSlice is how long the balancer keeps its list of daemons.
const loadSlice = 200 * time.Millisecond

// load sends requests to the daemons that the balancer knows as ready.
func (f *fleet) load(ctx context.Context, stop <-chan struct{}) {
	for seed := uint64(1); ; seed++ {
		select {
		case <-stop:
			return
		default:
		}
		var targets []string
		for _, one := range f.daemons {
			if one.serving.Load() {
				targets = append(targets, one.at(portCaller))
			}
		}
		result := load.Run(ctx, load.Options{
			Targets: targets, Rate: f.options.Rate, Duration: loadSlice, Seed: seed,
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

// end ends every process that this run started.
func (f *fleet) end() {
	for _, one := range f.daemons {
		if one.command != nil && one.command.Process != nil && one.command.ProcessState == nil {
			_ = one.command.Process.Kill()
			_ = one.command.Wait()
		}
	}
}
