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

// Timing of what grantors tell each other.
const (
	// lookInterval is how often it is looked whether another grantor is to be told.
	lookInterval = 50 * time.Millisecond
	// pressingInterval is the least time between two tellings of a grantor while tenants
	// near their limits are served.
	pressingInterval = 100 * time.Millisecond
	// calmInterval is the time between tellings while tenants are served that are far from
	// their limits; a little less than silentAfter.
	calmInterval = 300 * time.Millisecond
	// fleetInterval is how often the daemons of the fleet are counted, which takes a walk over
	// all members.
	fleetInterval = 250 * time.Millisecond
	// tellTimeout bounds one telling.
	tellTimeout = 300 * time.Millisecond
	// forgetInterval is how often buckets without requests are dropped.
	forgetInterval = 10 * time.Second
)

// Grantor is another daemon that gives out places.
type Grantor struct {
	Name    string
	Address string
}

// Fleet is what a Keeper asks of the other daemons. No method but Exchange blocks.
type Fleet interface {
	// Grantors returns the daemons that give out places, without this one, and whether
	// this one does; none where no tenant has a rate.
	Grantors() (others []Grantor, self bool)
	// Alive returns how many daemons are taken for alive, and how many may be, those that
	// cannot be reached included.
	Alive() (alive, all int)
	// Exchange tells a grantor of this daemon's grants and returns what it tells. It
	// blocks for the way there and back.
	Exchange(ctx context.Context, address string, report Report) (Report, error)
}

// Options are a Keeper's collaborators.
type Options struct {
	Name string // the daemon's
	// Limits returns the limit of a tenant that is in force, and false for one without.
	// It must not block.
	Limits func(tenant string) (Limit, bool)
	// Now is the clock of promises to others: it must count the time that the machine sleeps, as
	// others let requests through meanwhile. nil: clock.Steady.
	Now     clock.Clock
	Random  *rand.Rand
	Log     *slog.Logger
	Metrics tally.Scope
}

// FleetLimiter is a daemon's limiter. It is safe for concurrent use; but for Run, no method blocks.
type FleetLimiter struct {
	options  Options
	log      *slog.Logger
	now      clock.Clock
	granted  tally.Counter
	exceeded tally.Counter
	fleet    Fleet // set before Run

	mutex    sync.Mutex
	limiter  *Limiter
	tellings map[string]*telling // by the grantor's name
	pressing bool
	counted  time.Time // when the daemons of the fleet were
}

// telling is where and when a grantor was last told, and whether it is being told.
type telling struct {
	address string
	at      time.Time
	under   bool
}

// NewFleetLimiter returns a keeper that has counted nothing.
func NewFleetLimiter(options Options) *FleetLimiter {
	now := clock.OrSteady(options.Now)
	return &FleetLimiter{
		options: options, now: now, log: logging.Part(options.Log, "ratelimit"), limiter: NewLimiter(options.Name, now(), options.Random), tellings: make(map[string]*telling),
		granted: options.Metrics.Counter("tenant_requests_granted"), exceeded: options.Metrics.Counter("tenant_requests_exceeded"),
	}
}

// Take counts a request of a tenant, and returns why it must not be served where it is
// beyond the limit; nil: it may be.
func (k *FleetLimiter) Take(tenant string, role Role) *resultcode.Failure {
	limit, limited := k.options.Limits(tenant)
	if !limited {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.now()
	began := role == Dispatcher && !k.limiter.IsGrantor(now)
	retryAfter, ok := k.limiter.Take(now, tenant, limit, role)
	if began {
		k.refresh(now)
	}
	k.pressing = k.pressing || !ok || began || k.limiter.NearLimit(tenant)
	if ok {
		k.granted.Inc(1)
		return nil
	}
	k.exceeded.Inc(1)
	return &resultcode.Failure{
		Code: resultcode.RateExceeded, RetryAfter: retryAfter,
		Detail: fmt.Sprintf("tenant %s: %g requests a second and %g at once are allowed; %s", tenant, limit.Rate, limit.Burst, k.limiter.DescribeRefusal(now, tenant)),
	}
}

// Return gives back what was taken for a request that has not run.
func (k *FleetLimiter) Return(tenant string) {
	if _, limited := k.options.Limits(tenant); !limited {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.limiter.Return(k.now(), tenant)
}

// HandleReport takes in what another grantor tells, and returns what it is told in turn. A report
// without a name is a question: it is answered with all that is known.
func (k *FleetLimiter) HandleReport(report Report) Report {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.now()
	if report.Grantor == "" {
		return k.limiter.FullReport(now)
	}
	k.limiter.MergeReport(now, report, k.options.Limits)
	return k.limiter.Report(now, report.Grantor)
}

// SetFleet joins the keeper to the other daemons. It must be called before Run.
func (k *FleetLimiter) SetFleet(fleet Fleet) {
	k.fleet = fleet
}

// Run tells other grantors of what is granted here until ctx ends.
func (k *FleetLimiter) Run(ctx context.Context) {
	look, forget := time.NewTicker(lookInterval), time.NewTicker(forgetInterval)
	defer look.Stop()
	defer forget.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-forget.C:
			k.mutex.Lock()
			k.limiter.Forget(k.now())
			k.mutex.Unlock()
		case <-look.C:
			for _, grantor := range k.due(k.now()) {
				running.Go(func() { k.tell(ctx, grantor) })
			}
		}
	}
}

// refresh takes in who gives out places now. The caller holds the mutex.
func (k *FleetLimiter) refresh(now time.Time) []Grantor {
	if k.fleet == nil {
		return nil
	}
	others, self := k.fleet.Grantors()
	names := make([]string, 0, len(others))
	for _, grantor := range others {
		names = append(names, grantor.Name)
		k.tellingOf(grantor.Name).address = grantor.Address
	}
	if (self || len(others) > 0) && now.Sub(k.counted) >= fleetInterval {
		k.counted = now
		k.limiter.SetFleet(k.fleet.Alive())
	}
	k.limiter.SetGrantors(now, self, names)
	return others
}

// due returns the grantors that are to be told now, and notes that they are being told.
func (k *FleetLimiter) due(now time.Time) []Grantor {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	others := k.refresh(now)
	if !k.limiter.IsGrantor(now) {
		return nil
	}
	interval := calmInterval
	if k.pressing {
		interval = pressingInterval
	}
	var due []Grantor
	for _, name := range k.limiter.PossibleGrantors() {
		if one := k.tellings[name]; one != nil {
			others = append(others, Grantor{Name: name, Address: one.address})
		}
	}
	for _, grantor := range others {
		one := k.tellingOf(grantor.Name)
		if !one.under && now.Sub(one.at) >= interval {
			one.under, one.at = true, now
			due = append(due, grantor)
		}
	}
	k.pressing = k.pressing && len(due) == 0 && len(others) > 0
	return due
}

// tellingOf returns the state of a grantor's tellings. The caller holds the mutex.
func (k *FleetLimiter) tellingOf(name string) *telling {
	one, known := k.tellings[name]
	if !known {
		one = &telling{}
		k.tellings[name] = one
	}
	return one
}

// tell tells one grantor and takes in what it tells.
func (k *FleetLimiter) tell(ctx context.Context, grantor Grantor) {
	k.mutex.Lock()
	report := k.limiter.Report(k.now(), grantor.Name)
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	reply, err := k.fleet.Exchange(ctx, grantor.Address, report)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.tellings[grantor.Name].under = false
	if err != nil {
		k.limiter.ReportLost(grantor.Name)
		k.log.Debug("grantor not told", "grantor", grantor.Name, "error", err)
		return
	}
	k.limiter.MergeReport(k.now(), reply, k.options.Limits)
}
