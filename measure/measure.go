// Package measure probes back ends for their health and load, within a budget.
//
// Load is normally learned from responses, at no cost. A probe takes time of a slot that callers
// could use, so it is sent only where it changes a decision: to find out whether an ejected back end
// has recovered, to hear from one that has been silent, and, for services configured so, to get a
// fresh load report of one that is next in line for a request. The probe budget of a service is
// shared by all daemons. It belongs entirely to the daemon that holds the service's lease: a daemon
// without the lease sends no probes, and one that was paused past the end of its lease detects that
// at the moment of use.
package measure

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lease"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
	"github.com/tuliphall/tuliphall/wait"
)

// Timing and limits of the prober.
const (
	// pollInterval is how often the prober checks whether a health probe is due.
	pollInterval = 20 * time.Millisecond
	// idlePollInterval is how often it checks while no service has a probe budget.
	idlePollInterval = time.Second
	// maxSilence is how long a back end may go without a response before it is probed.
	maxSilence = 2 * time.Second
	// healthProbeTimeout limits one health probe.
	healthProbeTimeout = 500 * time.Millisecond
	storeTimeout       = 2 * time.Second
	// loadPollInterval is how often the prober checks whether a load report is too old. Over a quiet
	// day, 13 daemons took 8.6 s of processor time with 2 ms, and 6.7 s with 5 ms.
	loadPollInterval = 5 * time.Millisecond
	// loadProbeTimeout limits a load probe; a report that takes longer is too old to use.
	loadProbeTimeout = 100 * time.Millisecond
	// maxLoadProbes limits the concurrent load probes of one service: it is the number of checks, one
	// probe each, during a probe of 40 ms, four times the usual duration.
	maxLoadProbes = 8
	// maxWarmUpLeft is the longest remaining warm-up time accepted from a back end: an hour, the same
	// limit as for the warm-up time in a service's configuration (config.MaxWarmUp).
	maxWarmUpLeft = time.Duration(config.MaxWarmUp)
	// maxProbeBody limits how much of a probe's response body is read.
	maxProbeBody = 4 << 10
	// maxLoggedValue limits how many bytes of an invalid header are logged.
	maxLoggedValue = 100
)

// Options are the dependencies and settings of a Prober.
type Options struct {
	Holder   string // the daemon's name and address, as passed to lease.New
	Store    objectstore.Store
	Services *service.Registry
	// Dispatches reports whether this daemon is the dispatcher of a service.
	Dispatches func(service string) bool
	// Now is the clock for leases; nil: clock.Monotonic.
	Now clock.Clock
	// Dialect defines the headers in which back ends report load.
	Dialect backend.Dialect
	// Signals observes the responses to probes; nil: they are not observed.
	Signals signals.Listener
	Log     *slog.Logger
	Metrics tally.Scope
}

// Prober probes the back ends of the services that this daemon dispatches. Its state is owned by one
// goroutine.
type Prober struct {
	options Options
	log     *slog.Logger
	probes  tally.Counter
	skipped tally.Counter
	states  map[string]*probeState
}

// probeState is the state of probing one service.
type probeState struct {
	lease          *lease.Lease
	budget         Budget
	leaseHeld      bool
	lastMaintained time.Time
	// inFlight is the number of probes in flight. A health probe is sent only if there is none, so
	// that probes cannot accumulate on a stalled network. Concurrent load probes go to different back
	// ends.
	inFlight atomic.Int32
}

// NewProber returns a prober.
func NewProber(options Options) *Prober {
	if options.Signals == nil {
		options.Signals = signals.NopListener{}
	}
	return &Prober{
		options: options, log: logging.Component(options.Log, "measure"), states: make(map[string]*probeState),
		probes: options.Metrics.Counter("probes"), skipped: options.Metrics.Counter("probes_without_lease"),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for {
		pause := idlePollInterval
		for name, svc := range p.options.Services.All() {
			spec := svc.Target().Service
			if spec.ProbesPerSecond <= 0 || !p.options.Dispatches(name) {
				continue
			}
			pause = min(pause, pollIntervalOf(spec))
			p.probeService(ctx, name, svc, spec)
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// pollIntervalOf returns how often the prober checks whether a probe of the service is due.
func pollIntervalOf(spec config.Service) time.Duration {
	if spec.ProbeFreshness > 0 {
		return loadPollInterval
	}
	return pollInterval
}

// probeService sends one probe for a service if one is due and allowed.
func (p *Prober) probeService(ctx context.Context, name string, svc *service.Service, spec config.Service) {
	now := time.Now()
	d := p.probeState(name)
	if spec.ProbeFreshness > 0 {
		p.probeLoad(ctx, d, now, name, svc, spec)
		return
	}
	id, due := svc.Dispatcher.HealthProbeTarget(maxSilence)
	if !due || !p.holdsLease(ctx, d, now, spec.ProbesPerSecond) {
		return
	}
	target := p.newTarget(name, id, svc)
	if target.client == nil || d.inFlight.Load() > 0 || !d.budget.Spend(time.Now(), spec.ProbesPerSecond) {
		return
	}
	svc.Dispatcher.RecordHealthProbeStart(id)
	p.startProbe(ctx, d, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, healthProbeTimeout)
		defer cancel()
		sent := time.Now()
		report, healthy, err := p.probe(ctx, target)
		if err != nil {
			p.log.Debug("health probe failed", "service", name, "backend", id, "error", logging.ExcerptOfError(err))
		}
		if backend.NeverSent(err) {
			svc.Dispatcher.RecordUnansweredProbe(id, sent)
			return
		}
		svc.Dispatcher.RecordHealthProbe(id, err == nil && healthy, report)
	})
}

// probeLoad sends a load probe to a back end that is next in line for a request, if its report is
// too old.
func (p *Prober) probeLoad(ctx context.Context, d *probeState, now time.Time, name string, svc *service.Service, spec config.Service) {
	if d.inFlight.Load() >= maxLoadProbes || !p.holdsLease(ctx, d, now, spec.ProbesPerSecond) || !d.budget.Ready(now) {
		return
	}
	spacing := time.Duration(0)
	if spec.ProbesPerBackend > 0 {
		spacing = interval(spec.ProbesPerBackend)
	}
	id, due := svc.Dispatcher.LoadProbeTarget(time.Duration(spec.ProbeFreshness), spacing)
	if !due {
		return
	}
	target := p.newTarget(name, id, svc)
	if target.client == nil || !d.budget.Spend(time.Now(), spec.ProbesPerSecond) {
		svc.Dispatcher.RecordLoadProbeFailure(id)
		return
	}
	p.startProbe(ctx, d, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
		defer cancel()
		report, _, err := p.probe(ctx, target)
		if err != nil || report == nil {
			p.log.Debug("load probe failed or returned no report", "service", name, "backend", id, "error", logging.ExcerptOfError(err))
			svc.Dispatcher.RecordLoadProbeFailure(id)
			return
		}
		svc.Dispatcher.RecordLoadProbe(id, *report)
	})
}

// holdsLease acquires or renews the service's lease if that is due, and reports whether this daemon
// holds it.
func (p *Prober) holdsLease(ctx context.Context, d *probeState, now time.Time, perSecond float64) bool {
	p.maintainLease(ctx, d, now, perSecond)
	if !d.lease.Valid() {
		d.leaseHeld = false
		p.skipped.Inc(1)
		return false
	}
	return true
}

// startProbe sends one probe in its own goroutine.
func (p *Prober) startProbe(ctx context.Context, d *probeState, send func(ctx context.Context)) {
	p.probes.Inc(1)
	d.inFlight.Add(1)
	// The probe also ends with the lease: a daemon that is paused between the check and the send
	// sends nothing when it resumes.
	probeCtx, cancel := context.WithTimeout(ctx, d.lease.Remaining())
	go func() {
		defer d.inFlight.Add(-1)
		defer cancel()
		send(probeCtx)
	}()
}

func (p *Prober) probeState(name string) *probeState {
	d, found := p.states[name]
	if !found {
		d = &probeState{lease: lease.New(p.options.Store, "measure-"+name, p.options.Holder, p.options.Now)}
		p.states[name] = d
	}
	return d
}

// maintainLease acquires or renews the lease if that is due. A newly acquired lease starts with an
// empty budget.
func (p *Prober) maintainLease(ctx context.Context, d *probeState, now time.Time, perSecond float64) {
	if now.Sub(d.lastMaintained) < lease.RenewInterval {
		return
	}
	d.lastMaintained = now
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.lease.AcquireOrRenew(ctx); err != nil {
		p.log.Warn("cannot acquire or renew the probe lease", "error", err)
	}
	if !d.leaseHeld && d.lease.Valid() {
		d.leaseHeld = true
		d.budget.Reset(time.Now(), perSecond)
	}
}

// probeTarget is a back end to probe.
type probeTarget struct {
	backend backend.Key
	started int64 // start time of its current run; 0: not reported
	client  *backend.Client
	path    string
}

// newTarget returns the probe target for a back end; its client is nil if the back end is not configured.
func (p *Prober) newTarget(name, id string, svc *service.Service) probeTarget {
	client, started := svc.ProbeClient(id)
	return probeTarget{backend: backend.Key{Service: name, Backend: id}, started: started, client: client, path: svc.Target().Service.ProbePath}
}

// probe sends one probe. healthy is false if the response is a server error; report is nil if the
// response has none.
func (p *Prober) probe(ctx context.Context, target probeTarget) (report *routing.Report, healthy bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.path, nil)
	if err != nil {
		return nil, false, errors.Annotate(err, "creating the probe request")
	}
	request.Header = http.Header{"User-Agent": nil} // nil: no User-Agent is sent
	sent := time.Now()
	response, err := target.client.Do(ctx, request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	// A body that is read to its end allows the connection to be reused.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody)); err != nil {
		return nil, false, errors.Annotate(err, "reading the probe response")
	}
	// The address may now belong to another back end, whose load and health must not be attributed
	// to this one.
	if name := p.options.Dialect.ProbedInstance; name != "" {
		if instance := response.Header.Get(name); instance != "" && instance != target.backend.Backend {
			return nil, false, errors.Errorf("probe of %s: answered by %s", target.backend.Backend, instance)
		}
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	p.options.Signals.Observe(signals.Response{Key: target.backend, Started: target.started, Sent: sent, Status: response.StatusCode, Header: response.Header})
	if parsed, ok := p.options.Dialect.ParseReport(response.Header.Get(p.options.Dialect.Report)); ok {
		parsed.WarmUpLeft = p.warmUpLeft(response.Header)
		report = new(routing.Report(parsed))
	}
	return report, !failed, nil
}

// warmUpLeft returns the reported time until the back end is warm; 0 if it reports none.
func (p *Prober) warmUpLeft(header http.Header) time.Duration {
	value := header.Get(p.options.Dialect.WarmUpLeft)
	if value == "" {
		return 0
	}
	left, err := strconv.ParseFloat(value, 64)
	if err != nil || !(left >= 0 && left <= maxWarmUpLeft.Seconds()*1000) {
		p.log.Warn("invalid remaining warm-up time from a back end", "value", logging.Excerpt(value, maxLoggedValue), "error", logging.ExcerptOfError(err))
		return 0
	}
	return time.Duration(left * float64(time.Millisecond))
}
