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

// daemonLife is one daemon of a random fleet.
type daemonLife struct {
	starts time.Duration
	lives  time.Duration
	pauses []time.Duration // before a probe, in turn
}

// fleet wants to probe one service: its daemons start, pause for a while, and are
// replaced.
type fleet struct {
	store  *objectstore.Memory
	mutex  sync.Mutex
	probes []time.Time
}

// live follows the order in which Prober asks: lease, budget, lease again at the
// moment of use. unchecked leaves the last out.
func (f *fleet) live(ctx context.Context, name string, rate float64, life daemonLife, unchecked bool) {
	held := lease.New(f.store, "service", name, nil)
	var budget measure.Budget
	had := false
	for step := 0; ctx.Err() == nil; step++ {
		if step%30 == 0 {
			// A store in memory fails only by conflict, which is no error here.
			_ = held.AcquireOrRenew(ctx)
		}
		valid := held.Valid()
		if valid && !had {
			budget.Reset(time.Now(), rate)
		}
		had = valid
		time.Sleep(life.pauses[step%len(life.pauses)])
		if had && (unchecked || held.Valid()) && budget.Spend(time.Now(), rate) {
			f.mutex.Lock()
			f.probes = append(f.probes, time.Now())
			f.mutex.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// excess returns how often two probes were closer than the budget allows.
func (f *fleet) excess(rate float64) int {
	count := 0
	for index := 1; index < len(f.probes); index++ {
		if f.probes[index].Sub(f.probes[index-1]) < time.Duration(float64(time.Second)/rate) {
			count++
		}
	}
	return count
}

// drawFleet draws the daemons' lives, with their pauses.
func drawFleet(t *rapid.T) (lives []daemonLife, rate float64) {
	rate = rapid.Float64Range(0.2, 5).Draw(t, "rate")
	for range rapid.IntRange(1, 12).Draw(t, "daemons") {
		life := daemonLife{
			starts: time.Duration(rapid.IntRange(0, 60).Draw(t, "starts")) * time.Second,
			lives:  time.Duration(rapid.IntRange(5, 200).Draw(t, "lives")) * time.Second,
			pauses: make([]time.Duration, 50),
		}
		seconds := rapid.SampledFrom([]int{0, 0, 1, 5, 9, 11, 30}).Draw(t, "pause")
		life.pauses[rapid.IntRange(0, 49).Draw(t, "when")] = time.Duration(seconds) * time.Second
		lives = append(lives, life)
	}
	return lives, rate
}

// run lets the fleet live in virtual time and returns the probes over the budget.
func run(t *testing.T, lives []daemonLife, rate float64, unchecked bool) (excess, probes int) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{store: objectstore.NewMemory()}
		var running sync.WaitGroup
		for number, life := range lives {
			running.Go(func() {
				time.Sleep(life.starts)
				ctx, cancel := context.WithTimeout(context.Background(), life.lives)
				defer cancel()
				f.live(ctx, fmt.Sprintf("daemon-%d", number), rate, life, unchecked)
			})
		}
		running.Wait()
		excess, probes = f.excess(rate), len(f.probes)
	})
	return excess, probes
}

// TestBudgetNeverExceeded checks random fleets, pauses and restarts.
func TestBudgetNeverExceeded(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		lives, rate := drawFleet(rt)
		excess, probes := run(t, lives, rate, false)
		total += probes
		if excess > 0 {
			rt.Fatalf("%d of %d probes over the budget of %g a second", excess, probes, rate)
		}
	})
	if total == 0 {
		t.Fatal("no fleet probed")
	}
}

// TestBudgetCheckCanFail shows that a daemon which does not ask its lease at the
// moment of use is caught: it sleeps past the end while another takes over.
func TestBudgetCheckCanFail(t *testing.T) {
	paused := daemonLife{lives: 200 * time.Second, pauses: make([]time.Duration, 200)}
	paused.pauses[100] = 30 * time.Second
	other := daemonLife{starts: time.Second, lives: 200 * time.Second, pauses: []time.Duration{0}}
	excess, _ := run(t, []daemonLife{paused, other}, 2, true)
	if excess == 0 {
		t.Fatal("a probe after the lease's end was not caught")
	}
	if excess, _ = run(t, []daemonLife{paused, other}, 2, false); excess > 0 {
		t.Fatal("the check at the moment of use did not help")
	}
}
