package ratelimit

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// What is promised for a tenant: in any window, at most rate and burst, exceeded by overshoot and extraRequests.
const (
	window        = 5 * time.Second
	overshoot     = 0.1
	extraRequests = 20
)

// fleet is a fleet of daemons of which a few dispatch services.
type fleet struct {
	random      *rand.Rand // of the load
	faultRandom *rand.Rand // of the faults
	limit       Limit
	services    int
	nodes       []*node
	separate    bool // each daemon counts by itself, which the check must detect

	mutex   sync.Mutex
	grants  []time.Duration
	refused int
	started time.Time
}

// node is one daemon of the fleet.
type node struct {
	fleet   *fleet
	number  int
	limiter *FleetLimiter
	cancel  context.CancelFunc
	// up: it runs; partition is its side of a partitioned network.
	up, frozen bool
	partition  int
	// suspected are the daemons that it believes to be unreachable.
	suspected map[int]bool
}

var errUnreachable = errors.New("unreachable")

func newFleet(seed uint64, daemons, services int, limit Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), faultRandom: rand.New(rand.NewPCG(seed, 4)), limit: limit, services: services, started: time.Now()}
	for number := range daemons {
		n := &node{fleet: f, number: number, up: true, suspected: make(map[int]bool)}
		f.nodes = append(f.nodes, n)
		n.start()
	}
	return f
}

func (n *node) start() {
	f := n.fleet
	n.limiter = NewFleetLimiter(Options{
		Name: string(rune('a' + n.number)), Limits: func(string) (Limit, bool) { return f.limit, true },
		Random: rand.New(rand.NewPCG(f.faultRandom.Uint64(), 2)), Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	n.limiter.SetFleet(n)
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	go n.limiter.Run(ctx)
}

// Grantors implements Fleet.
func (n *node) Grantors() (others []Grantor, self bool) {
	if n.fleet.separate {
		return nil, true
	}
	seen := make(map[int]bool)
	for service := range n.fleet.services {
		number := n.dispatcherOf(service)
		if number != n.number && !seen[number] {
			others = append(others, Grantor{Name: string(rune('a' + number)), Address: string(rune('a' + number))})
		}
		seen[number] = true
	}
	return others, seen[n.number]
}

// Alive implements Fleet.
func (n *node) Alive() (alive, all int) {
	return len(n.fleet.nodes) - len(n.suspected), len(n.fleet.nodes)
}

// dispatcherOf returns which daemon it believes to be the dispatcher of a service: the first that it does not
// suspect, in an order that is the same for all.
func (n *node) dispatcherOf(service int) int {
	for rank := range n.fleet.nodes {
		number := (service + rank*n.fleet.services) % len(n.fleet.nodes)
		if !n.suspected[number] {
			return number
		}
	}
	return n.number
}

// membershipTime is the time in which the members agree on who is alive.
const membershipTime = 4 * time.Second

// agree lets each daemon find out, after a random delay, which others are reachable.
func (f *fleet) agree() {
	for _, n := range f.nodes {
		delay := time.Duration(f.faultRandom.Float64() * float64(membershipTime))
		time.AfterFunc(delay, func() {
			for _, other := range f.nodes {
				delete(n.suspected, other.number)
				if other != n && !n.reaches(other) {
					n.suspected[other.number] = true
				}
			}
		})
	}
}

// Exchange implements Fleet.
func (n *node) Exchange(ctx context.Context, address string, report Report) (Report, error) {
	to := n.fleet.nodes[int(address[0]-'a')]
	time.Sleep(2 * time.Millisecond)
	if !n.reaches(to) {
		time.Sleep(100 * time.Millisecond)
		return Report{}, errUnreachable
	}
	reply := to.limiter.HandleReport(report)
	time.Sleep(2 * time.Millisecond)
	if !n.reaches(to) {
		return Report{}, errUnreachable
	}
	return reply, nil
}

func (n *node) reaches(to *node) bool {
	return n.up && to.up && !n.frozen && !to.frozen && n.partition == to.partition
}

// request sends one request of the tenant through a daemon.
func (f *fleet) request(through *node, service int) {
	if !through.up || through.frozen {
		return
	}
	refused := f.take(through, service)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if refused {
		f.refused++
		return
	}
	f.grants = append(f.grants, time.Since(f.started))
}

// take counts a request as the request path does: at the dispatcher, at the next one, or at this daemon.
func (f *fleet) take(through *node, service int) (refused bool) {
	if f.separate {
		return through.limiter.Take("tenant", Dispatcher) != nil
	}
	for range 2 {
		dispatcher := f.nodes[through.dispatcherOf(service)]
		if dispatcher == through || through.reaches(dispatcher) {
			return dispatcher.limiter.Take("tenant", Dispatcher) != nil
		}
		// It does not answer: it is suspected, and the next one is asked.
		through.suspected[dispatcher.number] = true
	}
	return through.limiter.Take("tenant", Fallback) != nil
}

// load sends requests at a rate for a time, unevenly spread over daemons and services.
func (f *fleet) load(perSecond float64, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		through := int(float64(len(f.nodes)) * f.random.Float64() * f.random.Float64())
		f.request(f.nodes[through], int(float64(f.services)*f.random.Float64()*f.random.Float64()))
	}
}

// stop ends all daemons.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
	}
}

// maxGrants returns the largest number of grants in any window.
func (f *fleet) maxGrants() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	largest, first := 0, 0
	for last := range f.grants {
		for f.grants[last]-f.grants[first] > window {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// bound returns what is promised for any window.
func (l Limit) bound() float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+overshoot) + extraRequests
}

// inFleet runs a test with a fleet in virtual time.
func inFleet(t *testing.T, seed uint64, daemons, services int, limit Limit, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed, daemons, services, limit)
		defer func() {
			f.stop()
			time.Sleep(time.Second) // lets running exchanges end
		}()
		run(f)
	})
}

// TestRateIsReached sends twice the rate, unevenly spread: nearly the whole rate is used, and no
// window exceeds what is promised.
func TestRateIsReached(t *testing.T) {
	for _, limit := range []Limit{{5, 5}, {20, 20}, {200, 200}, {200, 10}} {
		for _, services := range []int{1, 4, 10} {
			inFleet(t, 7, 20, services, limit, func(f *fleet) {
				f.load(limit.Rate*0.6, 10*time.Second)
				f.mutex.Lock()
				before, refusedBefore := len(f.grants), f.refused
				f.mutex.Unlock()
				const overloaded = 30 * time.Second
				f.load(limit.Rate*2, overloaded)
				reached := float64(len(f.grants)-before) / (limit.Rate * overloaded.Seconds())
				refusedShare := float64(refusedBefore) / float64(before+refusedBefore)
				t.Logf("rate %g, burst %g, %d dispatchers: %.2f of the rate, at most %d in a window of %.0f promised, %.3f refused at 0.6 of the rate",
					limit.Rate, limit.Burst, services, reached, f.maxGrants(), limit.bound(), refusedShare)
				require.Greater(t, reached, 0.97)
				require.LessOrEqual(t, float64(f.maxGrants()), limit.bound())
			})
		}
	}
}

// TestSeparateCountsAreDetected verifies that the check detects daemons that each count by themselves.
func TestSeparateCountsAreDetected(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 20}
	inFleet(t, 7, 20, 3, limit, func(f *fleet) {
		f.separate = true
		f.load(200, 15*time.Second)
		require.Greater(t, float64(f.maxGrants()), limit.bound())
	})
}

// TestNeverOver runs the schedules of faults of this many consecutive seeds, from the first on.
var (
	firstSchedule = flag.Uint64("first-schedule", 0, "seed of the first schedule of troubles that TestNeverOver plays")
	schedules     = flag.Uint64("schedules", 300, "schedules of troubles that TestNeverOver plays")
)

// fault makes something fail in a fleet, and repairs it.
type fault func(f *fleet)

func (f *fleet) sleepUpTo(longest time.Duration) {
	time.Sleep(time.Duration(f.faultRandom.Float64() * float64(longest)))
}

// dispatcher returns a daemon that dispatches a service.
func (f *fleet) dispatcher() *node {
	return f.nodes[f.nodes[0].dispatcherOf(f.faultRandom.IntN(f.services))]
}

var faults = map[string]fault{
	"a dispatcher crashes and restarts": func(f *fleet) {
		victim := f.dispatcher()
		victim.up = false
		victim.cancel()
		f.agree()
		f.sleepUpTo(6 * time.Second)
		victim.up = true
		victim.start()
		f.agree()
	},
	"a dispatcher freezes": func(f *fleet) {
		victim := f.dispatcher()
		victim.frozen = true
		f.agree()
		f.sleepUpTo(6 * time.Second)
		victim.frozen = false
		f.agree()
	},
	"two daemons dispatch one service": func(f *fleet) {
		suspect := f.dispatcher()
		for _, n := range f.nodes[:len(f.nodes)/2] {
			if n != suspect {
				n.suspected[suspect.number] = true
			}
		}
		f.sleepUpTo(4 * time.Second)
		f.agree()
	},
	"the network is partitioned": func(f *fleet) {
		half := 1 + f.faultRandom.IntN(len(f.nodes)-1)
		for _, n := range f.nodes[:half] {
			n.partition = 1
		}
		f.agree()
		f.sleepUpTo(8 * time.Second)
		for _, n := range f.nodes {
			n.partition = 0
		}
		f.agree()
	},
	"all daemons restart": func(f *fleet) {
		for _, n := range f.nodes {
			n.up = false
			n.cancel()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range f.nodes {
			n.up = true
			n.start()
		}
		f.agree()
	},
}

// TestNeverOver injects random faults at random times under random load: no window exceeds what is promised.
func TestNeverOver(t *testing.T) {
	fullest := 0.0
	for number := range *schedules {
		fullest = max(fullest, runSchedule(t, *firstSchedule+number))
	}
	t.Logf("%d schedules, fullest window %.2f of what is promised", *schedules, fullest)
}

// TestPartitionAfterStart partitions the fleet half a second after all its daemons have started. Both
// sides assumed that they were the whole fleet: the grantors of one had exchanged reports, and those of the
// other started to grant because they did not reach the first, whose grants they knew nothing about.
// Until the members agreed, after 3 s, the sides let through 100 and 85 requests a second of a rate of 100:
// 643 in a window for which 623 are promised.
func TestPartitionAfterStart(t *testing.T) {
	const seed = 4076
	runSchedule(t, seed)
}

// TestCutTwiceWhileAllAreNew partitions the network for three seconds, one second after all daemons have started.
// The side without dispatchers used half of the rate and, after a report from the others, all of it, as it
// no longer reported to them: 662 in a window for which 604 are promised.
func TestCutTwiceWhileAllAreNew(t *testing.T) {
	const seed = 6831
	runSchedule(t, seed)
}

// TestFaultsAfterPartitionAfterStart continues after such a partition with a dispatcher that freezes or is suspected,
// and one that crashes: 1,950 in a window for which 1,755 are promised, and 696 for 653.
func TestFaultsAfterPartitionAfterStart(t *testing.T) {
	for _, seed := range []uint64{5857, 6275} {
		runSchedule(t, seed)
	}
}

// runSchedule runs one schedule and returns its fullest window as a share of what is promised.
func runSchedule(t *testing.T, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	rate := []float64{2, 5, 20, 100, 300}[random.IntN(5)]
	limit := Limit{Rate: rate, Burst: rate * random.Float64()}
	share := 0.0
	inFleet(t, seed, 20, 3, limit, func(f *fleet) {
		names := []string{"a dispatcher crashes and restarts", "a dispatcher freezes", "two daemons dispatch one service", "the network is partitioned", "all daemons restart"}
		var injected []string
		var running sync.WaitGroup
		running.Go(func() {
			for range 3 {
				f.sleepUpTo(5 * time.Second)
				name := names[f.faultRandom.IntN(len(names))]
				injected = append(injected, name)
				faults[name](f)
			}
		})
		f.load(rate*(0.5+4*random.Float64()), 20*time.Second)
		running.Wait()
		time.Sleep(membershipTime)
		share = float64(f.maxGrants()) / limit.bound()
		assert.LessOrEqual(t, share, 1.0, "seed %d, limit %v, %v: %d in a window, %.0f promised", seed, limit, injected, f.maxGrants(), limit.bound())
	})
	return share
}

// TestSuspendedGrantor suspends the machine of a grantor while others continue to grant. As its clock includes the
// suspended time, the grantor does not mistake the last reported level for the current one.
func TestSuspendedGrantor(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 20}
	limiter := NewLimiter("a", time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
	limits := func(string) (Limit, bool) { return limit, true }
	now := time.Unix(100, 0)
	limiter.SetFleet(2, 2)
	limiter.SetGrantors(now, true, []string{"b"})
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		limiter.SetGrantors(now, true, []string{"b"})
		limiter.MergeReport(now, Report{Grantor: "b", Settled: true, Age: time.Minute, Uses: []TenantUse{{Tenant: "tenant", Used: uint64(now.UnixMilli() / 20), Level: 1, Known: true}}}, limits)
		_, _ = limiter.Take(now, "tenant", limit, Dispatcher)
	}
	now = now.Add(3 * time.Second) // suspended; the other grantor uses half of the rate
	limiter.SetGrantors(now, true, []string{"b"})
	granted := 0
	for range 200 {
		if _, ok := limiter.Take(now, "tenant", limit, Dispatcher); ok {
			granted++
		}
	}
	require.LessOrEqual(t, float64(granted), limiter.capacity(limit)/2+Slack)
}
