// Package site brings up a whole site in one process: the platform's stand-in,
// back ends and real daemons, joined by the machine's loopback or by a network in
// memory.
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

// Service declares one service of the site.
type Service struct {
	Config   config.Service
	Policy   config.Policy
	Backends int
	Backend  backendstub.Options
}

// Options declare a site.
type Options struct {
	Network    func(name string) network.Network // nil: TCP for all
	Address    func(name string) string          // address to listen on; nil: loopback, port picked by the kernel
	Regions    []string
	Zones      []string // in order; zones are spread over the regions
	Daemons    int
	Services   []Service
	LogOutput  io.Writer
	LogLevel   string
	StopNotice time.Duration // of a planned stop
	// Decisions logs a line for each routing decision.
	Decisions bool
}

// Backend is one running back end.
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
	options  Options
	Platform *platformstub.Stub
	platform string // URL
	Backends []*Backend

	mutex   sync.Mutex
	daemons map[string]*daemon.Daemon
	logs    map[string]*SyncBuffer
	servers []*http.Server
	ended   sync.WaitGroup
}

// SyncBuffer is a buffer that a daemon writes and a test reads.
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

// String returns what was written.
func (b *SyncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// Start brings up the platform, the back ends and the daemons, and declares the
// services.
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
	s.platform = "http://" + address
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
	if err := s.declare(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// DaemonName returns the name of the daemon with a number, from 0.
func DaemonName(number int) string {
	return fmt.Sprintf("entry-%d", number+1)
}

func (s *Site) zone(number int) string {
	return s.options.Zones[number%len(s.options.Zones)]
}

func (s *Site) region(number int) string {
	return s.options.Regions[number%len(s.options.Zones)%len(s.options.Regions)]
}

// maxSeeds bounds the peers that a starting daemon is told of.
const maxSeeds = 20

func (s *Site) serve(name string, handler http.Handler) (string, error) {
	listener, err := s.options.Network(name).Listen(s.options.Address(name))
	if err != nil {
		return "", errors.Annotate(err, name)
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	s.servers = append(s.servers, server)
	s.ended.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (s *Site) startBackends() error {
	for _, declared := range s.options.Services {
		for number := range declared.Backends {
			options := declared.Backend
			options.Seed += uint64(number)
			one := &Backend{ID: fmt.Sprintf("%s-%d", declared.Config.Name, number+1), Service: declared.Config.Name, Zone: s.zone(number), Stub: backendstub.New(options)}
			address, err := s.serve(one.ID, one.Stub.Handler())
			if err != nil {
				return err
			}
			one.Address, one.server = address, s.servers[len(s.servers)-1]
			s.Backends = append(s.Backends, one)
		}
	}
	return nil
}

// StartDaemon starts the daemon with this name, or starts it again after Kill or
// Stop.
func (s *Site) StartDaemon(name string) error {
	var number int
	if _, err := fmt.Sscanf(name, "entry-%d", &number); err != nil {
		return errors.NotValidf("daemon name %q", name)
	}
	address := s.options.Address(name)
	made := settings.Settings{
		Name: name, Region: s.region(number - 1), Zone: s.zone(number - 1), Peers: s.peerAddresses(),
		Listen:   settings.Listen{Caller: address, Peer: address, Forward: address, Admin: address},
		Platform: settings.Platform{Address: s.platform},
		Stop:     settings.Stop{Notice: config.Duration(s.options.StopNotice)},
		Log:      settings.Log{Level: s.options.LogLevel, Decisions: s.options.Decisions},
	}
	made.SetDefaults()
	if err := made.Validate(); err != nil {
		return err
	}
	log := s.logOf(name)
	target := io.Writer(log)
	if s.options.LogOutput != nil {
		target = io.MultiWriter(log, s.options.LogOutput)
	}
	started, err := daemon.Start(daemon.Options{Settings: made, Network: s.options.Network(name), LogOutput: target})
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.daemons[name] = started
	s.mutex.Unlock()
	s.updateMachines()
	return nil
}

func (s *Site) logOf(name string) *SyncBuffer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.logs[name] == nil {
		s.logs[name] = &SyncBuffer{}
	}
	return s.logs[name]
}

// Log returns what a daemon has logged, over all its lives.
func (s *Site) Log(name string) string {
	return s.logOf(name).String()
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

// updateMachines puts the running machines on the platform's list.
func (s *Site) updateMachines() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var machines []objectstore.Machine
	for name, running := range s.daemons {
		machines = append(machines, objectstore.Machine{ID: name, Role: objectstore.RoleEntry, Address: running.Addresses().Peer, State: objectstore.MachineLive})
	}
	for _, one := range s.Backends {
		machines = append(machines, objectstore.Machine{ID: one.ID, Role: objectstore.RoleBackend, Address: one.Address, Zone: one.Zone, State: objectstore.MachineLive})
	}
	s.Platform.SetMachines(machines)
}

// Content returns the objects that declare the site's services.
func (s *Site) Content() config.Content {
	var content config.Content
	for _, declared := range s.options.Services {
		content.Services = append(content.Services, declared.Config)
		if declared.Policy.Name != "" {
			content.Policies = append(content.Policies, declared.Policy)
		}
		placement := config.Placement{Service: declared.Config.Name}
		for _, one := range s.Backends {
			if one.Service == declared.Config.Name {
				placement.Backends = append(placement.Backends, config.Backend{ID: one.ID, Address: one.Address, Zone: one.Zone, Connections: 64})
			}
		}
		content.Placements = append(content.Placements, placement)
	}
	return content
}

func (s *Site) declare(ctx context.Context) error {
	edit := config.Edit{ID: "site", Author: "lab", Summary: "the site's services", Set: s.Content()}
	running := s.Daemon(DaemonName(0))
	document, err := running.Apply(ctx, edit)
	if err != nil {
		return errors.Annotate(err, "declaring the services")
	}
	return s.WaitInForce(ctx, document.Revision)
}

// settlePoll is the pause between two looks.
const settlePoll = 20 * time.Millisecond

// WaitInForce waits until a revision is in force at every running daemon, and
// every daemon knows every other.
func (s *Site) WaitInForce(ctx context.Context, revision config.Revision) error {
	for {
		if s.InForce(revision) && s.MembershipComplete() {
			return nil
		}
		select {
		case <-time.After(settlePoll):
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "revision %d not in force everywhere: %s", revision, s.lagging(revision))
		}
	}
}

// InForce says whether a revision is in force at every running daemon.
func (s *Site) InForce(revision config.Revision) bool {
	for _, running := range s.Daemons() {
		if running.Document().Revision < revision {
			return false
		}
	}
	return true
}

// MembershipComplete says whether every running daemon knows every other.
func (s *Site) MembershipComplete() bool {
	daemons := s.Daemons()
	for _, running := range daemons {
		if running.AliveCount() < len(daemons) {
			return false
		}
	}
	return true
}

// PlatformURL returns where the platform's stand-in serves.
func (s *Site) PlatformURL() string {
	return s.platform
}

// Daemon returns a running daemon by name, or nil.
func (s *Site) Daemon(name string) *daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.daemons[name]
}

// Daemons returns the running daemons by name.
func (s *Site) Daemons() map[string]*daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := make(map[string]*daemon.Daemon, len(s.daemons))
	for name, one := range s.daemons {
		running[name] = one
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

// Admin returns a client of a daemon's operators' interface.
func (s *Site) Admin(name string) *admin.Client {
	return admin.NewClient("http://" + s.Daemon(name).Addresses().Admin)
}

func (s *Site) take(name string) *daemon.Daemon {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := s.daemons[name]
	delete(s.daemons, name)
	return running
}

// KillDaemon ends a daemon as a crash would.
func (s *Site) KillDaemon(name string) {
	if running := s.take(name); running != nil {
		running.Kill()
	}
}

// StopDaemon stops a daemon as planned.
func (s *Site) StopDaemon(ctx context.Context, name string) error {
	running := s.take(name)
	if running == nil {
		return errors.NotFoundf("daemon %s", name)
	}
	s.updateMachines()
	return running.Stop(ctx)
}

// Backend returns a back end by id, or nil.
func (s *Site) Backend(id string) *Backend {
	for _, one := range s.Backends {
		if one.ID == id {
			return one
		}
	}
	return nil
}

// RunsByRequest returns how often each named request ran, over all back ends.
func (s *Site) RunsByRequest() map[string]int {
	return s.sum((*backendstub.Stub).RunsByRequest)
}

// RunsByKey returns how often the operation of each key ran, over all back ends.
func (s *Site) RunsByKey() map[string]int {
	return s.sum((*backendstub.Stub).RunsByKey)
}

func (s *Site) sum(of func(*backendstub.Stub) map[string]int) map[string]int {
	totals := make(map[string]int)
	for _, one := range s.Backends {
		for name, count := range of(one.Stub) {
			totals[name] += count
		}
	}
	return totals
}

// Close ends everything at once.
func (s *Site) Close() {
	for name := range s.Daemons() {
		s.KillDaemon(name)
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.ended.Wait()
}

// lagging describes the daemons that lack a revision or do not know every other.
func (s *Site) lagging(revision config.Revision) string {
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
