package reach

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/network"
)

const (
	// pollInterval is how often the monitor looks whether checks are due.
	pollInterval = 50 * time.Millisecond
	// checkTimeout limits one check.
	checkTimeout = 250 * time.Millisecond
	// maxPathChecks limits how many failed paths are checked at a time.
	maxPathChecks = 4
	// maxSweepChecks limits how many back ends a sweep checks at a time.
	maxSweepChecks = 16
)

// Options are the dependencies of a Monitor.
type Options struct {
	Network network.Network // to the back ends
	// Targets returns the addresses of at most count different back ends that take requests, chosen at
	// random. It must not block.
	Targets func(count int) []string
	Log     *slog.Logger
	Metrics tally.Scope
}

// Monitor observes the connections of this daemon to back ends. It is a network.Network that opens
// them. It is safe for concurrent use.
type Monitor struct {
	options   Options
	log       *slog.Logger
	cutOff    tally.Gauge
	bypassed  tally.Gauge
	checks    tally.Counter
	suspicion chan struct{} // buffers one request to look whether checks are due

	mutex sync.Mutex
	state *State
	round chan struct{} // closed when the round of checks that is under way has ended; nil: there is none
}

// NewMonitor returns a monitor of a daemon that has not used any back end yet.
func NewMonitor(options Options) *Monitor {
	return &Monitor{
		options: options, log: logging.Component(options.Log, "reach"), state: NewState(), suspicion: make(chan struct{}, 1),
		cutOff: options.Metrics.Gauge("backends_unreachable"), bypassed: options.Metrics.Gauge("paths_bypassed"), checks: options.Metrics.Counter("path_checks"),
	}
}

// Listen implements network.Network.
func (m *Monitor) Listen(address string) (net.Listener, error) {
	return m.options.Network.Listen(address)
}

// Dial implements network.Network. It records whether the back end was reached.
func (m *Monitor) Dial(ctx context.Context, address string) (net.Conn, error) {
	started := time.Now()
	conn, err := m.options.Network.Dial(ctx, address)
	switch {
	case err == nil:
		m.record(func(now time.Time) bool { return m.state.RecordContact(now, address) })
		return &observedConn{Conn: conn, monitor: m, address: address}, nil
	case !errors.Is(ctx.Err(), context.Canceled):
		m.recordFailure(address, started)
	}
	return nil, err
}

// observedConn records what is read and written.
type observedConn struct {
	net.Conn
	monitor *Monitor
	address string
}

// NetConn returns the wrapped connection.
func (c *observedConn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *observedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.monitor.record(func(now time.Time) bool { return c.monitor.state.RecordAnswer(now, c.address) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *observedConn) Write(data []byte) (int, error) {
	c.monitor.record(func(now time.Time) bool {
		c.monitor.state.RecordSend(now)
		return false
	})
	return c.Conn.Write(data)
}

// record applies a change under the mutex, and logs the end of a cut if it reports one.
func (m *Monitor) record(apply func(now time.Time) (reconnected bool)) {
	now := time.Now()
	m.mutex.Lock()
	since := m.state.CutOffSince()
	reconnected := apply(now)
	m.mutex.Unlock()
	if reconnected {
		m.cutOff.Update(0)
		m.log.Info("back ends reached again", "unreachable", now.Sub(since))
	}
}

// recordFailure records a connection that could not be opened.
func (m *Monitor) recordFailure(address string, started time.Time) {
	m.mutex.Lock()
	m.state.RecordFailure(time.Now(), address, started)
	m.mutex.Unlock()
	select {
	case m.suspicion <- struct{}{}:
	default: // one is pending
	}
}

// Run sends the checks that are due until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	reported := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.suspicion:
		case <-ticker.C:
		}
		now := time.Now()
		m.mutex.Lock()
		count, sweep, paths := m.state.DueChecks(now), m.state.DueSweep(now), m.state.DuePaths(now, maxPathChecks)
		bypassed := m.state.BypassedPaths()
		m.mutex.Unlock()
		m.reportBypassed(reported, bypassed)
		reported = bypassed
		switch {
		case count == roundSize:
			m.startRound()
		case count > 0:
			checks.Go(func() { m.checkRound(ctx, count) })
		}
		if sweep > 0 {
			checks.Go(func() { m.sweep(ctx, sweep) })
		}
		for _, address := range paths {
			checks.Go(func() { m.check(ctx, address) })
		}
	}
}

// reportBypassed reports how many paths are bypassed if their number has changed, and logs the first and
// the last one.
func (m *Monitor) reportBypassed(before, bypassed int) {
	if bypassed == before {
		return
	}
	m.bypassed.Update(float64(bypassed))
	switch {
	case before == 0:
		m.log.Info("paths to back ends failed; requests for these are sent through other daemons", "paths", bypassed)
	case bypassed == 0:
		m.log.Info("no path is bypassed any more", "before", before)
	}
}

// sweep checks several back ends, so that no request has to find out which paths have failed.
func (m *Monitor) sweep(ctx context.Context, count int) {
	for targets := range slices.Chunk(m.options.Targets(count), maxSweepChecks) {
		var checks sync.WaitGroup
		for _, address := range targets {
			checks.Go(func() { m.check(ctx, address) })
		}
		checks.Wait()
	}
}

// checkRound checks several back ends until one is reached.
func (m *Monitor) checkRound(ctx context.Context, count int) {
	started := time.Now()
	targets := m.options.Targets(count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan struct{}, len(targets))
	var checks sync.WaitGroup
	for index, address := range targets {
		if index == firstChecks {
			waitForFirst(ctx, failed)
		}
		if ctx.Err() != nil {
			break
		}
		checks.Go(func() {
			if m.check(ctx, address) {
				cancel()
				return
			}
			failed <- struct{}{}
		})
	}
	checks.Wait()
	m.mutex.Lock()
	cutOff := ctx.Err() == nil && m.state.RecordRound(time.Now(), started, count, len(targets))
	m.mutex.Unlock()
	if cutOff {
		m.cutOff.Update(1)
		m.log.Warn("no back end reached; requests are sent through other daemons", "checked", len(targets), "took", time.Since(started))
	}
}

// waitForFirst blocks until the first checks of a round have failed or ctx ends, for at most spreadDelay.
func waitForFirst(ctx context.Context, failed <-chan struct{}) {
	timer := time.NewTimer(spreadDelay)
	defer timer.Stop()
	for range firstChecks {
		select {
		case <-failed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// check opens a connection to a back end and closes it, and reports whether it was opened; Dial records
// the result.
func (m *Monitor) check(ctx context.Context, address string) bool {
	m.checks.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := m.Dial(ctx, address)
	if err != nil {
		m.log.Debug("check failed", "address", address, "error", err)
		return false
	}
	conn.Close()
	return true
}

// CutOffSince returns since when this daemon has been cut off from all back ends; zero: it is not.
func (m *Monitor) CutOffSince() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.CutOffSince()
}

// CutOff reports whether this daemon is cut off from all back ends.
func (m *Monitor) CutOff() bool {
	return !m.CutOffSince().IsZero()
}

// Direct reports whether a request to an address is sent there by this daemon itself, as opposed to
// through another daemon. It is called once for each request.
func (m *Monitor) Direct(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Direct(time.Now(), address)
}

// Reaches reports whether this daemon reaches an address as far as it knows.
func (m *Monitor) Reaches(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Reaches(address)
}

// Bypassed reports whether it is the path of this daemon to an address that has failed, and not the back
// end.
func (m *Monitor) Bypassed(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Bypassed(address)
}

// RecordBypass records whether another daemon reached an address for this one.
func (m *Monitor) RecordBypass(address string, reached bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.RecordBypass(address, reached)
}

// Credible reports whether this daemon's failure to reach a back end, in an attempt that began at
// started, says something about that back end. If nothing was heard from any back end of late, it checks
// several, and blocks for at most spreadDelay and checkTimeout.
func (m *Monitor) Credible(ctx context.Context, started time.Time) bool {
	if credible, final := m.credible(started); final {
		return credible
	}
	select {
	case <-m.startRound():
	case <-ctx.Done():
	}
	credible, _ := m.credible(started)
	return credible
}

// credible is Credible without checks; final: checks would not change the result.
func (m *Monitor) credible(started time.Time) (credible, final bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	credible = m.state.Credible(started)
	return credible, credible || !m.state.CutOffSince().IsZero()
}

// startRound starts a round of checks unless one is under way, and returns a channel that is closed at
// its end.
func (m *Monitor) startRound() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.round != nil {
		return m.round
	}
	round := make(chan struct{})
	m.round = round
	go func() {
		m.checkRound(context.Background(), roundSize)
		m.mutex.Lock()
		m.round = nil
		m.mutex.Unlock()
		close(round)
	}()
	return round
}
