// Package measure asks back ends for their load, within a budget.
//
// Load is learned from answers first, which costs nothing. A probe takes slot
// time from callers, so it is made only where it changes a decision: to find out
// whether an ejected back end is well again, and to hear of one that has been
// silent. The budget of a service is for all daemons together. It belongs to
// whichever daemon holds the service's lease, wholly; a daemon that nobody
// granted it has no share, and one that was paused past its lease's end finds that
// out at the moment of use.
package measure

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/lease"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/wait"
)

// Budget spaces probes evenly. It is pure and not safe for concurrent use.
type Budget struct {
	next time.Time // earliest time of the next probe
}

// Reset empties the budget, as when a lease was newly got: the holder before may
// have probed a moment ago.
func (b *Budget) Reset(now time.Time, perSecond float64) {
	b.next = now.Add(interval(perSecond))
}

// Spend takes one probe from the budget, and says whether there was one. Two
// probes are never closer than 1/perSecond, so that no idle time is saved up for
// a burst.
func (b *Budget) Spend(now time.Time, perSecond float64) bool {
	if perSecond <= 0 || now.Before(b.next) {
		return false
	}
	b.next = now.Add(interval(perSecond))
	return true
}

func interval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(float64(time.Second) / perSecond)
}

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
)

// Options are a Prober's collaborators.
type Options struct {
	Name     string // the daemon's
	Store    objectstore.Store
	Services *service.Registry
	// Dispatches says whether this daemon dispatches a service.
	Dispatches func(service string) bool
	// Dialect is how back ends spell their load.
	Dialect backend.Dialect
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
	// outstanding: a probe is under way. The next one waits for its end, so that
	// a network that stalls cannot gather several.
	outstanding atomic.Bool
}

// NewProber returns a prober.
func NewProber(options Options) *Prober {
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
			if declared.ProbesPerSecond <= 0 {
				continue
			}
			pause = tick
			if p.options.Dispatches(name) {
				p.consider(ctx, name, running, declared.ProbesPerSecond, declared.ProbePath)
			}
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// consider probes one back end of a service if that is wanted and allowed.
func (p *Prober) consider(ctx context.Context, name string, running *service.Service, perSecond float64, path string) {
	now := time.Now()
	target, wanted := running.Dispatcher.ProbeTarget(silence)
	if !wanted {
		return
	}
	d := p.duty(name)
	p.maintain(ctx, d, now, perSecond)
	if !d.lease.Valid() {
		d.held = false
		p.skipped.Inc(1)
		return
	}
	client := running.ProbeClient(target)
	if client == nil || d.outstanding.Load() || !d.budget.Spend(time.Now(), perSecond) {
		return
	}
	p.probes.Inc(1)
	d.outstanding.Store(true)
	// The lease ends the probe too: a daemon paused between the check and the
	// sending sends nothing when it wakes.
	probeCtx, cancel := context.WithDeadline(ctx, d.lease.Until())
	go func() {
		defer d.outstanding.Store(false)
		defer cancel()
		p.probe(probeCtx, name, running, client, target, path)
	}()
}

func (p *Prober) duty(name string) *duty {
	d, known := p.duties[name]
	if !known {
		d = &duty{lease: lease.New(p.options.Store, "measure-"+name, p.options.Name)}
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
	if err := d.lease.Maintain(ctx); err != nil {
		p.log.Warn("lease not maintained", "error", err)
	}
	if !d.held && d.lease.Valid() {
		d.held = true
		d.budget.Reset(time.Now(), perSecond)
	}
}

// probe asks one back end and tells the dispatcher what came of it.
func (p *Prober) probe(ctx context.Context, name string, running *service.Service, client *backend.Client, target, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		p.log.Error("probe not made", "service", name, "error", err)
		return
	}
	request.Header = make(http.Header)
	begun := time.Now()
	response, err := client.Do(ctx, request)
	if err != nil {
		running.Dispatcher.Probed(target, false, nil)
		p.log.Debug("probe failed", "service", name, "backend", target, "error", err)
		return
	}
	defer response.Body.Close()
	well := response.StatusCode < http.StatusInternalServerError
	var load *routing.Report
	if report, ok := p.options.Dialect.ParseReport(response.Header.Get(p.options.Dialect.Report)); ok {
		load = new(routing.Report(report))
	}
	running.Dispatcher.Probed(target, well, load)
	p.log.Debug("probed", "service", name, "backend", target, "well", well, "took", time.Since(begun))
}
