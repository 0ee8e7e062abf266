// Package measure asks back ends for their load, within a budget.
//
// Load is learned from answers first, which costs nothing. A probe takes slot
// time from callers, so it is made only where it changes a decision: to find out
// whether an ejected back end is well again, to hear of one that has been silent,
// and, where a service asks for it, for a fresh report of one that would get the next
// request. The budget of a service is for all daemons together. It belongs to
// whichever daemon holds the service's lease, wholly; a daemon that nobody
// granted it has no share, and one that was paused past its lease's end finds that
// out at the moment of use.
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

// Timing of the prober.
const (
	// tick is how often the prober looks whether a probe is wanted.
	tick = 20 * time.Millisecond
	// restTick is how often it looks while no service has a budget.
	restTick = time.Second
	// silence is how long a back end may be unheard of before it is probed.
	silence = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
	// freshTick is how often the prober looks whether a report is too old. At 2 ms a quiet day
	// of 13 daemons took 8.6 s of processor time, at 5 ms 6.7 s.
	freshTick = 5 * time.Millisecond
	// refreshTimeout bounds a probe for a fresher report; what comes later is old.
	refreshTimeout = 100 * time.Millisecond
	// maxOutstanding bounds such probes of one service that are under way: as many as one
	// each look makes while a probe takes 40 ms, four times as long as usual.
	maxOutstanding = 8
	// maxWarmUpLeft is the longest time that a back end may say it remains cold: an hour, as
	// what services declare (config.MaxWarmUp).
	maxWarmUpLeft = time.Duration(config.MaxWarmUp)
	// maxProbeBody bounds what is read of the answer to a probe.
	maxProbeBody = 4 << 10
)

// Options are a Prober's collaborators.
type Options struct {
	Holder   string // the daemon's name and address, as of a lease
	Store    objectstore.Store
	Services *service.Registry
	// Dispatches says whether this daemon dispatches a service.
	Dispatches func(service string) bool
	// Now is the clock of leases; nil: clock.Steady.
	Now clock.Clock
	// Dialect is how back ends spell their load.
	Dialect backend.Dialect
	// Signals takes in what back ends say of themselves with their answers; nil: nobody does.
	Signals signals.Listener
	Log     *slog.Logger
	Metrics tally.Scope
}

// Prober probes the back ends of the services that this daemon dispatches. One
// goroutine owns its state.
type Prober struct {
	options Options
	log     *slog.Logger
	probes  tally.Counter
	skipped tally.Counter
	duties  map[string]*duty
}

// duty is the probing of one service.
type duty struct {
	lease      *lease.Lease
	budget     Budget
	held       bool
	maintained time.Time
	// outstanding probes are under way. Others wait for their end, so that a network
	// that stalls cannot gather many; those for fresher reports go to different
	// back ends.
	outstanding atomic.Int32
}

// NewProber returns a prober.
func NewProber(options Options) *Prober {
	if options.Signals == nil {
		options.Signals = signals.NopListener{}
	}
	return &Prober{
		options: options, log: logging.Part(options.Log, "measure"), duties: make(map[string]*duty),
		probes: options.Metrics.Counter("probes"), skipped: options.Metrics.Counter("probes_without_lease"),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for {
		pause := restTick
		for name, running := range p.options.Services.All() {
			declared := running.Target().Service
			if declared.ProbesPerSecond <= 0 || !p.options.Dispatches(name) {
				continue
			}
			pause = min(pause, tickOf(declared))
			p.consider(ctx, name, running, declared)
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// tickOf is how often the prober looks whether a probe is wanted.
func tickOf(declared config.Service) time.Duration {
	if declared.ProbeFreshness > 0 {
		return freshTick
	}
	return tick
}

// consider probes one back end of a service if that is wanted and allowed.
func (p *Prober) consider(ctx context.Context, name string, running *service.Service, declared config.Service) {
	now := time.Now()
	d := p.duty(name)
	if declared.ProbeFreshness > 0 {
		p.refresh(ctx, d, now, name, running, declared)
		return
	}
	target, wanted := running.Dispatcher.ProbeTarget(silence)
	if !wanted || !p.allowed(ctx, d, now, declared.ProbesPerSecond) {
		return
	}
	asked := p.target(name, target, running)
	if asked.client == nil || d.outstanding.Load() > 0 || !d.budget.Spend(time.Now(), declared.ProbesPerSecond) {
		return
	}
	running.Dispatcher.RecordHealthProbeStart(target)
	p.launch(ctx, d, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, well, err := p.ask(ctx, asked)
		if err != nil {
			p.log.Debug("probe failed", "service", name, "backend", target, "error", err)
		}
		running.Dispatcher.RecordHealthProbe(target, err == nil && well, report)
	})
}

// refresh asks for fresher reports of the back ends that would get the next requests.
func (p *Prober) refresh(ctx context.Context, d *duty, now time.Time, name string, running *service.Service, declared config.Service) {
	if d.outstanding.Load() >= maxOutstanding || !p.allowed(ctx, d, now, declared.ProbesPerSecond) || !d.budget.Ready(now) {
		return
	}
	spacing := time.Duration(0)
	if declared.ProbesPerBackend > 0 {
		spacing = interval(declared.ProbesPerBackend)
	}
	target, wanted := running.Dispatcher.StaleTarget(time.Duration(declared.ProbeFreshness), spacing)
	if !wanted {
		return
	}
	asked := p.target(name, target, running)
	if asked.client == nil || !d.budget.Spend(time.Now(), declared.ProbesPerSecond) {
		running.Dispatcher.RecordLoadProbeFailure(target)
		return
	}
	p.launch(ctx, d, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		report, _, err := p.ask(ctx, asked)
		if err != nil || report == nil {
			p.log.Debug("no fresher report", "service", name, "backend", target, "error", err)
			running.Dispatcher.RecordLoadProbeFailure(target)
			return
		}
		running.Dispatcher.RecordLoadProbe(target, *report)
	})
}

// allowed says whether this daemon has the right to a service's budget now, and keeps
// it up.
func (p *Prober) allowed(ctx context.Context, d *duty, now time.Time, perSecond float64) bool {
	p.maintain(ctx, d, now, perSecond)
	if !d.lease.Valid() {
		d.held = false
		p.skipped.Inc(1)
		return false
	}
	return true
}

// launch makes one probe beside the others.
func (p *Prober) launch(ctx context.Context, d *duty, probe func(ctx context.Context)) {
	p.probes.Inc(1)
	d.outstanding.Add(1)
	// The lease ends the probe too: a daemon paused between the check and the
	// sending sends nothing when it wakes.
	probeCtx, cancel := context.WithTimeout(ctx, d.lease.Remaining())
	go func() {
		defer d.outstanding.Add(-1)
		defer cancel()
		probe(probeCtx)
	}()
}

func (p *Prober) duty(name string) *duty {
	d, known := p.duties[name]
	if !known {
		d = &duty{lease: lease.New(p.options.Store, "measure-"+name, p.options.Holder, p.options.Now)}
		p.duties[name] = d
	}
	return d
}

// maintain renews or takes the lease when that is due. A newly got lease begins
// with an empty budget.
func (p *Prober) maintain(ctx context.Context, d *duty, now time.Time, perSecond float64) {
	if now.Sub(d.maintained) < lease.RenewInterval {
		return
	}
	d.maintained = now
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.lease.AcquireOrRenew(ctx); err != nil {
		p.log.Warn("lease not maintained", "error", err)
	}
	if !d.held && d.lease.Valid() {
		d.held = true
		d.budget.Reset(time.Now(), perSecond)
	}
}

// probeTarget is a back end that is to be probed.
type probeTarget struct {
	backend backend.Key
	started int64 // of its present run; 0: it does not say
	client  *backend.Client
	path    string
}

// target returns what it takes to probe a back end; its client is nil where it is not declared.
func (p *Prober) target(name, id string, running *service.Service) probeTarget {
	client, started := running.ProbeClient(id)
	return probeTarget{backend: backend.Key{Service: name, Backend: id}, started: started, client: client, path: running.Target().Service.ProbePath}
}

// ask probes one back end. well says whether it takes itself for well; the report is
// nil where it told none.
func (p *Prober) ask(ctx context.Context, asked probeTarget) (report *routing.Report, well bool, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, asked.path, nil)
	if err != nil {
		return nil, false, errors.Annotate(err, "probe")
	}
	request.Header = http.Header{"User-Agent": nil} // nil: none is sent
	sent := time.Now()
	response, err := asked.client.Do(ctx, request)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	// What is read to its end leaves the connection to the next probe.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody)); err != nil {
		return nil, false, errors.Annotate(err, "probe")
	}
	// The address may have gone to another back end, whose load and health say nothing of this one.
	if name := p.options.Dialect.ProbedInstance; name != "" {
		if answered := response.Header.Get(name); answered != "" && answered != asked.backend.Backend {
			return nil, false, errors.Errorf("probe of %s: answered by %s", asked.backend.Backend, answered)
		}
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	p.options.Signals.Observe(signals.Response{Key: asked.backend, Started: asked.started, Sent: sent, Status: response.StatusCode, Header: response.Header})
	if told, ok := p.options.Dialect.ParseReport(response.Header.Get(p.options.Dialect.Report)); ok {
		told.WarmUpLeft = p.warmUpLeft(response.Header)
		report = new(routing.Report(told))
	}
	return report, !failed, nil
}

// warmUpLeft reads for how long the back end remains cold; 0 where it does not say.
func (p *Prober) warmUpLeft(from http.Header) time.Duration {
	told := from.Get(p.options.Dialect.WarmUpLeft)
	if told == "" {
		return 0
	}
	left, err := strconv.ParseFloat(told, 64)
	if err != nil || !(left >= 0 && left <= maxWarmUpLeft.Seconds()*1000) {
		p.log.Warn("unusable time until a back end is warm", "value", told, "error", err)
		return 0
	}
	return time.Duration(left * float64(time.Millisecond))
}
