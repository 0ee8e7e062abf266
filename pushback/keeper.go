package pushback

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/wait"
)

// forgetInterval is how often pauses that are over are dropped.
const forgetInterval = time.Second

// Options are a Keeper's collaborators. No function may block.
type Options struct {
	// Apply puts a back end's pause in force for the probes of this daemon.
	Apply   func(backend.Key)
	Log     *slog.Logger
	Metrics tally.Scope
}

// Tracker is a daemon's table of pauses. It is safe for concurrent use; but for Run, no method blocks.
type Tracker struct {
	options Options
	log     *slog.Logger
	asked   tally.Counter
	gauge   tally.Gauge
	// kept is how many pauses there are. Requests need not look further while it is 0.
	kept atomic.Int64

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a keeper without pauses.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Part(options.Log, "pushback"), table: NewTable(),
		asked: options.Metrics.Counter("backend_pauses_asked"), gauge: options.Metrics.Gauge("backends_paused"),
	}
}

// RecordPause takes in that the run of a back end that started at a time turned a request away and asks for a pause. The
// request path calls it.
func (k *Tracker) RecordPause(key backend.Key, lasts time.Duration, started int64, request string) {
	k.asked.Inc(1)
	k.mutex.Lock()
	begins := k.table.RecordPause(time.Now(), key, lasts, started, request, rand.Float64())
	k.publish()
	k.mutex.Unlock()
	k.options.Apply(key)
	if begins {
		k.log.Info("back end asks for a pause", "service", key.Service, "backend", key.Backend, "started", started, "lasts", lasts, "by_request", request)
	}
}

// publish tells how many pauses there are. The caller holds the mutex.
func (k *Tracker) publish() {
	k.kept.Store(int64(k.table.count))
	k.gauge.Update(float64(k.table.count))
}

// ActivePause returns the pause that the run of a back end that started at a time is in, and false where it is in none. The
// request path calls it.
func (k *Tracker) ActivePause(key backend.Key, started int64) (Pause, bool) {
	if k.kept.Load() == 0 {
		return Pause{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.ActivePause(time.Now(), key, started)
}

// PausedBackends returns the ids of a service's back ends that are in a pause, whichever their run. The request path calls it.
func (k *Tracker) PausedBackends(service string) []string {
	if k.kept.Load() == 0 {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.PausedBackends(time.Now(), service)
}

// PauseCount returns how many back ends are in a pause.
func (k *Tracker) PauseCount() int {
	return int(k.kept.Load())
}

// Run drops pauses that are over until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, forgetInterval) {
		k.mutex.Lock()
		k.table.Prune(time.Now())
		k.publish()
		k.mutex.Unlock()
	}
}
