// Package site runs a whole site in one process: the platform stub, back-end stubs
// and real daemons, connected by the loopback interface or by an in-memory
// network.
package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/platformstub"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/settings"
)

// Service is one service of the site.
type Service struct {
	Config   config.Service
	Policy   config.Policy
	Backends int
	Backend  backendstub.Options
}

// Options are the options of a site.
type Options struct {
	Network    func(name string) network.Network // nil: TCP for all
	Address    func(name string) string          // listen address; nil: loopback with a port chosen by the kernel
	Regions    []string
	Zones      []string // assigned to the regions round-robin
	Daemons    int
	Services   []Service
	LogOutput  io.Writer
	LogLevel   string
	StopNotice time.Duration // notice of a planned stop
	// LogDecisions enables the log line of each routing decision.
	LogDecisions bool
}

// Backend is a running back end.
type Backend struct {
	ID      string
	Service string
	Zone    string
	Address string
	Stub    *backendstub.Stub
	server  *http.Server
}

// Site is a running site.
type Site struct {
	options     Options
	Platform    *platformstub.Stub
	platformURL string
	Backends    []*Backend

	mutex   sync.Mutex
	daemons map[string]*daemon.Daemon
	logs    map[string]*SyncBuffer
	servers []*http.Server
	serving sync.WaitGroup
}

// SyncBuffer is a buffer that is safe for concurrent use by daemons and tests.
type SyncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *SyncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// String returns the content of the buffer.
func (b *SyncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// Start starts the platform, the back ends and the daemons, and applies the
// configuration of the services.
func Start(ctx context.Context, options Options) (*Site, error) {
	if options.Network == nil {
		options.Network = func(string) network.Network { return network.TCP{} }
	}
	if options.Address == nil {
		options.Address = func(string) string { return "127.0.0.1:0" }
	}
	if options.LogLevel == "" {
		options.LogLevel = "warn"
	}
	if len(options.Regions) == 0 {
		options.Regions = []string{"region-1"}
	}
	s := &Site{options: options, Platform: platformstub.New(), daemons: make(map[string]*daemon.Daemon), logs: make(map[string]*SyncBuffer)}
	address, err := s.serve("platform", s.Platform.Handler())
	if err != nil {
		return nil, err
	}
	s.platformURL = "http://" + address
	if err := s.startBackends(); err != nil {
		return nil, err
	}
	for number := range options.Daemons {
		if err := s.StartDaemon(DaemonName(number)); err != nil {
			return nil, err
		}
	}
	if options.Daemons == 0 || len(options.Services) == 0 {
		return s, nil
	}
	if err := s.applyServices(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// DaemonName returns the name of the daemon with this number, counted from 0.
func DaemonName(number int) string {
	return fmt.Sprintf("entry-%d", number+1)
}

func (s *Site) zoneOf(number int) string {
	return s.options.Zones[number%len(s.options.Zones)]
}

func (s *Site) regionOf(number int) string {
	return s.options.Regions[number%len(s.options.Zones)%len(s.options.Regions)]
}

// maxSeeds is the maximum number of peer addresses given to a starting daemon.
const maxSeeds = 20

func (s *Site) serve(name string, handler http.Handler) (string, error) {
	listener, err := s.options.Network(name).Listen(s.options.Address(name))
	if err != nil {
		return "", errors.Annotate(err, name)
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (s *Site) startBackends() error {
	for _, declared := range s.options.Services {
		for number := range declared.Backends {
			options := declared.Backend
			options.Seed += uint64(number)
			started := &Backend{ID: fmt.Sprintf("%s-%d", declared.Config.Name, number+1), Service: declared.Config.Name, Zone: s.zoneOf(number), Stub: backendstub.New(options)}
			address, err := s.serve(started.ID, started.Stub.Handler())
			if err != nil {
				return err
			}
			started.Address, started.server = address, s.servers[len(s.servers)-1]
			s.Backends = append(s.Backends, started)
		}
	}
	return nil
}

// StartDaemon starts the daemon with this name, also after KillDaemon or
// StopDaemon.
func (s *Site) StartDaemon(name string) error {
	var number int
	if _, err := fmt.Sscanf(name, "entry-%d", &number); err != nil {
		return errors.NotValidf("daemon name %q", name)
	}
	address := s.options.Address(name)
	daemonSettings := settings.Settings{
		Name: name, Region: s.regionOf(number - 1), Zone: s.zoneOf(number - 1), Peers: s.peerAddresses(),
		Listen:   settings.Listen{Caller: address, Peer: address, Forward: address, Admin: address},
		Platform: settings.Platform{Address: s.platformURL},
		Stop:     settings.Stop{Notice: config.Duration(s.options.StopNotice)},
		Log:      settings.Log{Level: s.options.LogLevel, Decisions: s.options.LogDecisions},
	}
	daemonSettings.SetDefaults()
	if err := daemonSettings.Validate(); err != nil {
		return err
	}
	buffer := s.logBuffer(name)
	output := io.Writer(buffer)
	if s.options.LogOutput != nil {
		output = io.MultiWriter(buffer, s.options.LogOutput)
	}
	started, err := daemon.Start(daemon.Options{Settings: daemonSettings, Network: s.options.Network(name), LogOutput: output})
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.daemons[name] = started
	s.mutex.Unlock()
	s.updateMachines()
	return nil
}

func (s *Site) logBuffer(name string) *SyncBuffer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.logs[name] == nil {
		s.logs[name] = &SyncBuffer{}
	}
	return s.logs[name]
}

// Log returns the log of all runs of a daemon.
func (s *Site) Log(name string) string {
	return s.logBuffer(name).String()
}

func (s *Site) peerAddresses() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var addresses []string
	for _, running := range s.daemons {
		if len(addresses) == maxSeeds {
			break
		}
		addresses = append(addresses, running.Addresses().Peer)
	}
	return addresses
}

// updateMachines sets the platform's machine list to the running machines.
func (s *Site) updateMachines() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var machines []objectstore.Machine
	for name, running := range s.daemons {
		machines = append(machines, objectstore.Machine{ID: name, Role: objectstore.RoleEntry, Address: running.Addresses().Peer, State: objectstore.MachineLive})
	}
	for _, backend := range s.Backends {
		machines = append(machines, objectstore.Machine{ID: backend.ID, Role: objectstore.RoleBackend, Address: backend.Address, Zone: backend.Zone, State: objectstore.MachineLive})
	}
	s.Platform.SetMachines(machines)
}

// Content returns the configuration of the site's services.
func (s *Site) Content() config.Content {
	var content config.Content
	for _, declared := range s.options.Services {
		content.Services = append(content.Services, declared.Config)
		if declared.Policy.Name != "" {
			content.Policies = append(content.Policies, declared.Policy)
		}
		placement := config.Placement{Service: declared.Config.Name}
		for _, backend := range s.Backends {
			if backend.Service == declared.Config.Name {
				placement.Backends = append(placement.Backends, config.Backend{ID: backend.ID, Address: backend.Address, Zone: backend.Zone, Connections: 64})
			}
		}
		content.Placements = append(content.Placements, placement)
	}
	return content
}

func (s *Site) applyServices(ctx context.Context) error {
	edit := config.Edit{ID: "site", Author: "lab", Summary: "the site's services", Set: s.Content()}
	running := s.Daemon(DaemonName(0))
	document, err := running.Apply(ctx, edit)
	if err != nil {
		return errors.Annotate(err, "applying the configuration of the services")
	}
	return s.WaitInForce(ctx, document.Revision)
}

// pollInterval is the interval between two checks.
const pollInterval = 20 * time.Millisecond

// WaitInForce waits until a revision is in force at every running daemon and the
// daemons know each other.
func (s *Site) WaitInForce(ctx context.Context, revision config.Revision) error {
	for {
		if s.InForce(revision) && s.MembershipComplete() {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "revision %d not in force everywhere: %s", revision, s.describeLagging(revision))
		}
	}
}

// InForce reports whether a revision is in force at every running daemon.
func (s *Site) InForce(revision config.Revision) bool {
	for _, running := range s.Daemons() {
		if running.Document().Revision < revision {
			return false
		}
	}
	return true
}

// MembershipComplete reports whether every running daemon knows all others.
func (s *Site) MembershipComplete() bool {
	daemons := s.Daemons()
	for _, running := range daemons {
		if running.AliveCount() < len(daemons) {
			return false
		}
	}
	return true
}

// PlatformURL returns the URL of the platform stub.
func (s *Site) PlatformURL() string {
	return s.platformURL
}

// Daemon returns the running daemon with this name, or nil.
func (s *Site) Daemon(name string) *daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.daemons[name]
}

// Daemons returns the running daemons, keyed by name.
func (s *Site) Daemons() map[string]*daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := make(map[string]*daemon.Daemon, len(s.daemons))
	for name, member := range s.daemons {
		running[name] = member
	}
	return running
}

// Targets returns the caller addresses of the running daemons.
func (s *Site) Targets() []string {
	var targets []string
	for _, running := range s.Daemons() {
		targets = append(targets, running.Addresses().Caller)
	}
	return targets
}

// Admin returns a client of a daemon's admin API.
func (s *Site) Admin(name string) *admin.Client {
	return admin.NewClient("http://" + s.Daemon(name).Addresses().Admin)
}

func (s *Site) removeDaemon(name string) *daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := s.daemons[name]
	delete(s.daemons, name)
	return running
}

// KillDaemon ends a daemon without notice, as a crash does.
func (s *Site) KillDaemon(name string) {
	if running := s.removeDaemon(name); running != nil {
		running.Kill()
	}
}

// StopDaemon performs a planned stop of a daemon.
func (s *Site) StopDaemon(ctx context.Context, name string) error {
	running := s.removeDaemon(name)
	if running == nil {
		return errors.NotFoundf("daemon %s", name)
	}
	s.updateMachines()
	return running.Stop(ctx)
}

// Backend returns the back end with this id, or nil.
func (s *Site) Backend(id string) *Backend {
	for _, backend := range s.Backends {
		if backend.ID == id {
			return backend
		}
	}
	return nil
}

// RunsByRequest returns the number of runs of each named request at all back ends.
func (s *Site) RunsByRequest() map[string]int {
	return s.sumRuns((*backendstub.Stub).RunsByRequest)
}

// RunsByKey returns the number of runs by idempotency key at all back ends.
func (s *Site) RunsByKey() map[string]int {
	return s.sumRuns((*backendstub.Stub).RunsByKey)
}

func (s *Site) sumRuns(counts func(*backendstub.Stub) map[string]int) map[string]int {
	totals := make(map[string]int)
	for _, backend := range s.Backends {
		for name, count := range counts(backend.Stub) {
			totals[name] += count
		}
	}
	return totals
}

// Close kills the daemons and closes all servers.
func (s *Site) Close() {
	for name := range s.Daemons() {
		s.KillDaemon(name)
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.serving.Wait()
}

// describeLagging lists the daemons that lack a revision or do not know all others.
func (s *Site) describeLagging(revision config.Revision) string {
	var rows []string
	daemons := s.Daemons()
	for name, running := range daemons {
		if running.Document().Revision < revision || running.AliveCount() < len(daemons) {
			rows = append(rows, fmt.Sprintf("%s (revision %d, %d members)", name, running.Document().Revision, running.AliveCount()))
		}
	}
	sort.Strings(rows)
	return strings.Join(rows, ", ")
}
