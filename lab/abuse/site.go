package abuse

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/lab/launcher"
	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// host is the host name of all routes.
const host = "abuse.example"

// Paths of the routes: requests may be repeated, or run at most once.
const (
	pathRepeatable = "/safe/"
	pathOnce       = "/unsafe/"
)

// Ports of every daemon; each daemon has its own loopback address.
const (
	portCaller  = "8080"
	portPeer    = "7000"
	portForward = "7001"
	portAdmin   = "9090"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
)

// stopAndLog are the settings that all daemons share.
const stopAndLog = `[stop]
notice = "300ms"
within = "6s"
[log]
decisions = true
format = "json"
`

// settingsTemplate is the settings file of one daemon, with the values of deploy/daemon.toml.
const settingsTemplate = `name = %q
region = "region-1"
zone = "zone-a"
cores = 0.32
peers = [%q]
[resources]
memory_mb = %d
[listen]
caller = %q
peer = %q
forward = %q
admin = %q
[platform]
address = "http://%s"
protocol = "objects"
timeout = "1s"
max_backoff = "1s"
watchers = 8
watch_interval = "700ms"
watch_gap = "700ms"
connections = 8
retry_ratio = 0.2
retry_burst = 64.0
` + stopAndLog

// standaloneTemplate begins the file of a daemon without a platform, which is not told how much memory its machine has.
const standaloneTemplate = `name = %q
region = "region-1"
zone = "zone-a"
[listen]
caller = %q
peer = %q
forward = %q
admin = %q
` + stopAndLog + `[[policy]]
name = "repeatable"
retry = "true"
deadline = 'duration("2s")'
[[policy]]
name = "once"
deadline = 'duration("2s")'
[[service]]
name = "repeatable"
path_prefix = "/safe"
policy = "repeatable"
[[service]]
name = "once"
path_prefix = "/unsafe"
policy = "once"
`

// Options are the options of a site.
type Options struct {
	Binary    string // path of tuliphalld
	Directory string // for settings and logs of the daemons
	// Number distinguishes the loopback addresses of sites that run at the same time.
	Number  int
	Machine Machine
	Daemons int
	// Backends is the number of back ends. Each works on backendSlots requests at a time.
	Backends int
	// Standalone: there is one daemon, without a platform.
	Standalone bool
}

// Site is a set of daemons with a store and back ends. The first daemon is the one that clients are played against.
type Site struct {
	options      Options
	store        *objectstub.Stub
	storeAddress string
	servers      []*http.Server
	backends     []backendAddress
	daemons      []*Daemon
	journal      *journal
	cancel       context.CancelFunc
	watching     sync.WaitGroup
}

// Start starts a site and waits until its daemons are ready. The caller must close it, also after an error.
func Start(ctx context.Context, options Options) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{options: options, store: objectstub.New(), journal: newJournal(), cancel: cancel}
	if err := s.startStore(); err != nil {
		return s, err
	}
	for number := range options.Daemons {
		daemon, err := s.startDaemon(ctx, number)
		if err != nil {
			return s, err
		}
		s.daemons = append(s.daemons, daemon)
	}
	for _, daemon := range s.daemons {
		if err := daemon.awaitReady(readyTimeout); err != nil {
			return s, err
		}
	}
	return s, nil
}

type backendAddress struct{ id, address string }

func (s *Site) address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, s.options.Number, number)
}

// Numbers of loopback addresses within a site.
const (
	storeNumber   = 250
	backendNumber = 200
)

func (s *Site) listen(number int, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", s.address(number)+":0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

type resource struct {
	Kind     string         `json:"resourceKind"`
	Metadata map[string]any `json:"metadata"`
	Spec     map[string]any `json:"spec"`
}

// Limits that the operator declares.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 64 << 20
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
)

// startStore starts the store and the back ends, and declares the configuration.
func (s *Site) startStore() error {
	var err error
	if s.storeAddress, err = s.listen(storeNumber, s.store.Handler()); err != nil {
		return err
	}
	for number := range s.options.Backends {
		backend := newBackend(fmt.Sprintf("i-%d", number+1), s.journal)
		address, err := s.listen(backendNumber, backend)
		if err != nil {
			return err
		}
		s.backends = append(s.backends, backendAddress{backend.id, address})
		s.store.Set("servers", backend.id, map[string]any{
			"address": address, "info": map[string]any{"service": "board", "version": "v1", "zone": "zone-a", "slots": backendSlots},
			"status": map[string]any{"state": "ready", "seq": 1, "warmupLeftS": 0}, "born": time.Now().UnixMilli(),
		})
	}
	route := func(name, prefix, kind string) resource {
		return resource{Kind: "routes", Metadata: map[string]any{"name": name}, Spec: map[string]any{
			"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": 2, "targetLatencyS": 0.4, "priority": 1, "service": "board", "maxAttempts": 2,
		}}
	}
	resources := []resource{
		route("repeatable", pathRepeatable, "safe"), route("once", pathOnce, "unsafe"),
		{Kind: "services", Metadata: map[string]any{"name": "board"}, Spec: map[string]any{"healthPath": "/health"}},
	}
	resources = append(resources, resource{Kind: "limits", Spec: map[string]any{
		"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": headerTimeout.Seconds(), "idleTimeoutS": idleTimeout.Seconds(),
	}})
	s.store.Set("config", "main", map[string]any{"version": 1, "resources": resources})
	return nil
}

// Daemon is a daemon process.
type Daemon struct {
	name    string
	address string
	command *exec.Cmd
	watcher *watcher
	exited  chan struct{}
	started time.Time
	ending  atomic.Bool
	err     error // of the process; valid once exited is closed
}

func (s *Site) startDaemon(ctx context.Context, number int) (*Daemon, error) {
	d := &Daemon{name: fmt.Sprintf("edge-%d", number+1), address: s.address(number + 1), started: time.Now(), exited: make(chan struct{})}
	limits := launcher.Limits{Descriptors: s.options.Machine.Descriptors, Processors: 1}
	var err error
	if s.options.Standalone {
		d.command, err = launcher.StartStandalone(s.options.Binary, s.options.Directory, d.name, s.standaloneFile(d), limits)
	} else {
		settings := fmt.Sprintf(settingsTemplate, d.name, s.address(1)+":"+portPeer, s.options.Machine.MemoryBytes/1e6, d.Addr(portCaller), d.Addr(portPeer), d.Addr(portForward), d.Addr(portAdmin), s.storeAddress)
		d.command, err = launcher.StartLimited(s.options.Binary, s.options.Directory, d.name, settings, limits)
	}
	if err != nil {
		return nil, err
	}
	d.watcher = &watcher{pid: d.command.Process.Pid, address: d.address, machine: s.options.Machine}
	s.watching.Go(func() { d.watcher.watch(ctx) })
	if cores := s.options.Machine.Cores; cores > 0 {
		s.watching.Go(func() { keepQuota(ctx, d.command.Process.Pid, cores) })
	}
	go func() {
		d.err = d.command.Wait()
		close(d.exited)
	}()
	return d, nil
}

// standaloneFile returns the file of a daemon without a platform.
func (s *Site) standaloneFile(d *Daemon) string {
	var file strings.Builder
	fmt.Fprintf(&file, standaloneTemplate, d.name, d.Addr(portCaller), d.Addr(portPeer), d.Addr(portForward), d.Addr(portAdmin))
	for _, service := range []string{"repeatable", "once"} {
		fmt.Fprintf(&file, "[[placement]]\nservice = %q\n", service)
		for _, backend := range s.backends {
			fmt.Fprintf(&file, "[[placement.backend]]\nid = %q\naddress = %q\nzone = \"zone-a\"\nslots = %d\n", backend.id, backend.address, backendSlots)
		}
	}
	return file.String()
}

// Addr returns the daemon's address with one of its ports.
func (d *Daemon) Addr(port string) string {
	return net.JoinHostPort(d.address, port)
}

// Ended reports whether the process has ended by itself, or was ended for its memory.
func (d *Daemon) Ended() bool {
	select {
	case <-d.exited:
		return !d.ending.Load()
	default:
		return false
	}
}

// awaitReady waits until the daemon is ready.
func (d *Daemon) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for !d.ready() {
		if d.Ended() || time.Now().After(deadline) {
			return errors.Timeoutf("readiness of %s", d.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// readyClient asks for readiness over new connections, as the platform's balancer does.
var readyClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *Daemon) ready() bool {
	response, err := readyClient.Get("http://" + d.Addr(portAdmin) + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// goroutines returns the number of goroutines of the process.
func (d *Daemon) goroutines() (int, error) {
	response, err := readyClient.Get("http://" + d.Addr(portAdmin) + "/debug/pprof/goroutine?debug=1")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var count int
	_, err = fmt.Fscanf(response.Body, "goroutine profile: total %d", &count)
	return count, err
}

// requestMemory returns how many bytes of memory the daemon has reserved for requests.
func (d *Daemon) requestMemory() (float64, error) {
	response, err := readyClient.Get("http://" + d.Addr(portAdmin) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "tuliphall_request_memory_bytes "); found {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Annotate(cmp.Or(lines.Err(), io.EOF), "tuliphall_request_memory_bytes")
}

// descriptors returns the number of descriptors that the process has open.
func (d *Daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// stop ends the daemon as planned, and returns how it ended.
func (d *Daemon) stop() error {
	d.ending.Store(true)
	// An error means that the process has ended.
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
		return d.err
	case <-time.After(stopTimeout):
		_ = d.command.Process.Kill()
		<-d.exited
		return errors.Timeoutf("stop of %s", d.name)
	}
}

// logBytes returns the size of a daemon's output.
func (s *Site) logBytes(daemon *Daemon) int64 {
	info, err := os.Stat(filepath.Join(s.options.Directory, daemon.name+".log"))
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close ends everything that the site started.
func (s *Site) Close() {
	for _, daemon := range s.daemons {
		daemon.ending.Store(true)
		_ = daemon.command.Process.Kill()
		<-daemon.exited
	}
	s.cancel()
	s.watching.Wait()
	for _, server := range s.servers {
		server.Close()
	}
}
