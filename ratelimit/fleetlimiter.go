package ratelimit

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Timing of the exchange of reports between grantors.
const (
	// checkInterval is how often it is checked whether an exchange with another grantor is due.
	checkInterval = 50 * time.Millisecond
	// nearLimitInterval is the minimum time between two exchanges with a grantor while tenants
	// near their limits are served.
	nearLimitInterval = 100 * time.Millisecond
	// normalInterval is the time between exchanges while all tenants served are far from
	// their limits; a little less than silenceTimeout.
	normalInterval = 300 * time.Millisecond
	// countInterval is how often the daemons of the fleet are counted, which iterates over
	// all members.
	countInterval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 300 * time.Millisecond
	// forgetInterval is how often idle buckets are dropped.
	forgetInterval = 10 * time.Second
)

// Grantor is another daemon that grants permits.
type Grantor struct {
	Name    string
	Address string
}

// Fleet gives a FleetLimiter access to the other daemons. No method but Exchange blocks.
type Fleet interface {
	// Grantors returns the other daemons that grant permits, and whether
	// this one does; none if no tenant has a rate.
	Grantors() (others []Grantor, self bool)
	// Alive returns how many daemons are believed to be alive, and how many there may be, including
	// those that cannot be reached.
	Alive() (alive, all int)
	// Exchange sends a report of this daemon to a grantor and returns the grantor's. It
	// blocks for the round trip.
	Exchange(ctx context.Context, address string, report Report) (Report, error)
}

// Options are the dependencies of a FleetLimiter.
type Options struct {
	Name string // of the daemon
	// Limits returns the limit of a tenant that is in force, or false if it has none.
	// It must not block.
	Limits func(tenant string) (Limit, bool)
	// Declared returns whether the configuration in force declares a tenant. One that is not declared was revoked, and
	// daemons without this configuration may still ask for permits for it: its last limit remains in force. It must not
	// block. nil: tenants without a limit are not limited.
	Declared func(tenant string) bool
	// Now is the clock by which reports expire. It must include the time that the machine is suspended, as
	// others let requests through meanwhile. nil: clock.Monotonic.
	Now     clock.Clock
	Random  *rand.Rand
	Log     *slog.Logger
	Metrics tally.Scope
}

// FleetLimiter is a daemon's limiter, kept in step with the other daemons. It is safe for concurrent use. No method
// but Run and Usage blocks.
type FleetLimiter struct {
	options  Options
	log      *slog.Logger
	now      clock.Clock
	granted  tally.Counter
	exceeded tally.Counter
	fleet    Fleet // set before Run

	mutex     sync.Mutex
	limiter   *Limiter
	exchanges map[string]*exchange // by the grantor's name
	nearLimit bool
	countedAt time.Time // when the daemons of the fleet were counted last
}

// exchange is the state of the exchanges with one grantor.
type exchange struct {
	address   string
	startedAt time.Time // of the latest one
	running   bool
}

// NewFleetLimiter returns a limiter without any counts.
func NewFleetLimiter(options Options) *FleetLimiter {
	now := clock.OrMonotonic(options.Now)
	return &FleetLimiter{
		options: options, now: now, log: logging.Component(options.Log, "ratelimit"), limiter: NewLimiter(options.Name, now(), options.Random), exchanges: make(map[string]*exchange),
		granted: options.Metrics.Counter("tenant_requests_granted"), exceeded: options.Metrics.Counter("tenant_requests_exceeded"),
	}
}

// limitOf returns the limit of a tenant, or false if it has none. That of a tenant that is not declared any more is its
// last one, as long as its bucket is kept. The caller holds the mutex.
func (f *FleetLimiter) limitOf(tenant string) (Limit, bool) {
	limit, limited := f.options.Limits(tenant)
	if limited || f.isDeclared(tenant) {
		return limit, limited
	}
	b, known := f.limiter.buckets[tenant]
	if !known {
		return Limit{}, false
	}
	return b.limit, true
}

// isDeclared returns whether the configuration in force declares a tenant.
func (f *FleetLimiter) isDeclared(tenant string) bool {
	return f.options.Declared == nil || f.options.Declared(tenant)
}

// mayBeLimited returns false if a tenant certainly has no limit, without the mutex.
func (f *FleetLimiter) mayBeLimited(tenant string) bool {
	_, limited := f.options.Limits(tenant)
	return limited || !f.isDeclared(tenant)
}

// Take counts a request of a tenant. It returns nil if the request may be served, or the failure to answer with
// if it exceeds the limit.
func (f *FleetLimiter) Take(tenant string, role Role) *resultcode.Failure {
	if !f.mayBeLimited(tenant) {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	limit, limited := f.limitOf(tenant)
	if !limited {
		return nil
	}
	now := f.now()
	began := role == Dispatcher && !f.limiter.IsGrantor(now)
	retryAfter, ok := f.limiter.Take(now, tenant, limit, role)
	if began {
		f.refreshGrantors(now)
	}
	f.nearLimit = f.nearLimit || !ok || began || f.limiter.NearLimit(tenant)
	if ok {
		f.granted.Inc(1)
		return nil
	}
	f.exceeded.Inc(1)
	return &resultcode.Failure{
		Code: resultcode.RateExceeded, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("tenant %s: %g requests a second and %g at once are allowed; %s", tenant, limit.Rate, limit.Burst, f.limiter.DescribeRefusal(now, tenant)),
	}
}

// Return gives back what was taken for a request that has not run.
func (f *FleetLimiter) Return(tenant string) {
	if !f.mayBeLimited(tenant) {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, limited := f.limitOf(tenant); !limited {
		return
	}
	f.limiter.Return(f.now(), tenant)
}

// HandleReport merges another grantor's report and returns this daemon's in exchange. A report
// without a grantor's name is a query, which is answered with a full report.
func (f *FleetLimiter) HandleReport(report Report) Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	if report.Grantor == "" {
		return f.limiter.FullReport(now)
	}
	f.limiter.MergeReport(now, report, f.limitOf)
	return f.limiter.Report(now, report.Grantor)
}

// SetFleet connects the limiter to the other daemons. It must be called before Run.
func (f *FleetLimiter) SetFleet(fleet Fleet) {
	f.fleet = fleet
}

// Run exchanges reports with the other grantors until ctx ends.
func (f *FleetLimiter) Run(ctx context.Context) {
	check, forget := time.NewTicker(checkInterval), time.NewTicker(forgetInterval)
	defer check.Stop()
	defer forget.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-forget.C:
			f.mutex.Lock()
			f.limiter.Forget(f.now())
			f.mutex.Unlock()
		case <-check.C:
			for _, grantor := range f.dueGrantors(f.now()) {
				running.Go(func() { f.exchange(ctx, grantor) })
			}
		}
	}
}

// refreshGrantors updates which daemons are grantors, and returns the others. The caller holds the mutex.
func (f *FleetLimiter) refreshGrantors(now time.Time) []Grantor {
	if f.fleet == nil {
		return nil
	}
	others, self := f.fleet.Grantors()
	names := make([]string, 0, len(others))
	for _, grantor := range others {
		names = append(names, grantor.Name)
		f.exchangeOf(grantor.Name).address = grantor.Address
	}
	if (self || len(others) > 0) && now.Sub(f.countedAt) >= countInterval {
		f.countedAt = now
		f.limiter.SetFleet(f.fleet.Alive())
	}
	f.limiter.SetGrantors(now, self, names)
	return others
}

// dueGrantors returns the grantors with which an exchange is due, and marks the exchanges as running.
func (f *FleetLimiter) dueGrantors(now time.Time) []Grantor {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	others := f.refreshGrantors(now)
	if !f.limiter.IsGrantor(now) {
		return nil
	}
	interval := normalInterval
	if f.nearLimit {
		interval = nearLimitInterval
	}
	var due []Grantor
	for _, name := range f.limiter.PossibleGrantors() {
		if state := f.exchanges[name]; state != nil {
			others = append(others, Grantor{Name: name, Address: state.address})
		}
	}
	for _, grantor := range others {
		state := f.exchangeOf(grantor.Name)
		if !state.running && now.Sub(state.startedAt) >= interval {
			state.running, state.startedAt = true, now
			due = append(due, grantor)
		}
	}
	f.nearLimit = f.nearLimit && len(due) == 0 && len(others) > 0
	return due
}

// exchangeOf returns the state of the exchanges with a grantor. The caller holds the mutex.
func (f *FleetLimiter) exchangeOf(name string) *exchange {
	state, known := f.exchanges[name]
	if !known {
		state = &exchange{}
		f.exchanges[name] = state
	}
	return state
}

// exchange sends a report to a grantor and merges its reply.
func (f *FleetLimiter) exchange(ctx context.Context, grantor Grantor) {
	f.mutex.Lock()
	report := f.limiter.Report(f.now(), grantor.Name)
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := f.fleet.Exchange(ctx, grantor.Address, report)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.exchanges[grantor.Name].running = false
	if err != nil {
		f.limiter.ReportLost(grantor.Name)
		f.log.Debug("exchange with the grantor failed", "grantor", grantor.Name, "error", err)
		return
	}
	f.limiter.MergeReport(f.now(), reply, f.limitOf)
}
