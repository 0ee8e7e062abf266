package measure_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/tuliphall/tuliphall/internal/testseed"
	"github.com/tuliphall/tuliphall/lease"
	"github.com/tuliphall/tuliphall/measure"
	"github.com/tuliphall/tuliphall/objectstore"
)

// daemonLifetime is the lifetime of one daemon in a random fleet.
type daemonLifetime struct {
	startsAfter time.Duration
	duration    time.Duration
	pauses      []time.Duration // before each probe, cyclically
}

// fleet is a set of daemons that probe one service; they start, are paused, and are replaced.
type fleet struct {
	store  *objectstore.Memory
	mutex  sync.Mutex
	probes []time.Time
}

// runDaemon follows the order of checks in Prober: lease, budget, and the lease again at the moment of
// use. skipFinalCheck omits the last one.
func (f *fleet) runDaemon(ctx context.Context, name string, rate float64, daemon daemonLifetime, skipFinalCheck bool) {
	holder := lease.New(f.store, "service", name, nil)
	var budget measure.Budget
	wasValid := false
	for step := 0; ctx.Err() == nil; step++ {
		if step%30 == 0 {
			// The in-memory store fails only with a conflict, which is not an error here.
			_ = holder.AcquireOrRenew(ctx)
		}
		valid := holder.Valid()
		if valid && !wasValid {
			budget.Reset(time.Now(), rate)
		}
		wasValid = valid
		time.Sleep(daemon.pauses[step%len(daemon.pauses)])
		if wasValid && (skipFinalCheck || holder.Valid()) && budget.Spend(time.Now(), rate) {
			f.mutex.Lock()
			f.probes = append(f.probes, time.Now())
			f.mutex.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// excess returns how often two probes were closer together than the budget allows.
func (f *fleet) excess(rate float64) int {
	count := 0
	for index := 1; index < len(f.probes); index++ {
		if f.probes[index].Sub(f.probes[index-1]) < time.Duration(float64(time.Second)/rate) {
			count++
		}
	}
	return count
}

// drawFleet draws the daemons' lifetimes and pauses.
func drawFleet(t *rapid.T) (daemons []daemonLifetime, rate float64) {
	rate = rapid.Float64Range(0.2, 5).Draw(t, "rate")
	for range rapid.IntRange(1, 12).Draw(t, "daemons") {
		daemon := daemonLifetime{
			startsAfter: time.Duration(rapid.IntRange(0, 60).Draw(t, "starts")) * time.Second,
			duration:    time.Duration(rapid.IntRange(5, 200).Draw(t, "lives")) * time.Second,
			pauses:      make([]time.Duration, 50),
		}
		seconds := rapid.SampledFrom([]int{0, 0, 1, 5, 9, 11, 30}).Draw(t, "pause")
		daemon.pauses[rapid.IntRange(0, 49).Draw(t, "when")] = time.Duration(seconds) * time.Second
		daemons = append(daemons, daemon)
	}
	return daemons, rate
}

// runFleet runs the fleet in virtual time, and returns the number of probes over the budget and of all.
func runFleet(t *testing.T, daemons []daemonLifetime, rate float64, skipFinalCheck bool) (excess, probes int) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{store: objectstore.NewMemory()}
		var running sync.WaitGroup
		for number, daemon := range daemons {
			running.Go(func() {
				time.Sleep(daemon.startsAfter)
				ctx, cancel := context.WithTimeout(context.Background(), daemon.duration)
				defer cancel()
				f.runDaemon(ctx, fmt.Sprintf("daemon-%d", number), rate, daemon, skipFinalCheck)
			})
		}
		running.Wait()
		excess, probes = f.excess(rate), len(f.probes)
	})
	return excess, probes
}

// TestBudgetNeverExceeded checks that random fleets, with pauses and restarts, never exceed the probe budget.
func TestBudgetNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		daemons, rate := drawFleet(rt)
		excess, probes := runFleet(t, daemons, rate, false)
		total += probes
		if excess > 0 {
			rt.Fatalf("%d of %d probes exceed the budget of %g per second", excess, probes, rate)
		}
	})
	if total == 0 {
		t.Fatal("no fleet probed")
	}
}

// TestBudgetCheckDetectsProbeAfterLeaseExpiry checks that the check of the budget detects a daemon that does not
// check its lease at the moment of use, and so sends a probe after a pause in which another daemon has acquired the
// lease.
func TestBudgetCheckDetectsProbeAfterLeaseExpiry(t *testing.T) {
	paused := daemonLifetime{duration: 200 * time.Second, pauses: make([]time.Duration, 200)}
	paused.pauses[100] = 30 * time.Second
	other := daemonLifetime{startsAfter: time.Second, duration: 200 * time.Second, pauses: []time.Duration{0}}
	excess, _ := runFleet(t, []daemonLifetime{paused, other}, 2, true)
	if excess == 0 {
		t.Fatal("a probe after the expiry of the lease was not detected")
	}
	if excess, _ = runFleet(t, []daemonLifetime{paused, other}, 2, false); excess > 0 {
		t.Fatal("the budget was exceeded despite the check at the moment of use")
	}
}
