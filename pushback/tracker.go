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

// pruneInterval is how often pauses that have ended are removed.
const pruneInterval = time.Second

// Options configure a Tracker. No function may block.
type Options struct {
	// Apply applies the pause of a back end to the probes of this daemon.
	Apply   func(backend.Key)
	Log     *slog.Logger
	Metrics tally.Scope
}

// Tracker tracks the pauses that a daemon has been asked for. It is safe for concurrent use. No method except Run blocks.
type Tracker struct {
	options   Options
	log       *slog.Logger
	requested tally.Counter
	gauge     tally.Gauge
	// count is the number of pauses. While it is 0, lookups for requests do not lock the mutex.
	count atomic.Int64

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a tracker without pauses.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Component(options.Log, "pushback"), table: NewTable(),
		requested: options.Metrics.Counter("backend_pauses_asked"), gauge: options.Metrics.Gauge("backends_paused"),
	}
}

// RecordPause records that the run of a back end that started at the given time has refused a request and asks for a
// pause. It is called on the request path.
func (t *Tracker) RecordPause(key backend.Key, duration time.Duration, started int64, requestID string) {
	t.requested.Inc(1)
	t.mutex.Lock()
	isNew := t.table.RecordPause(time.Now(), key, duration, started, requestID, rand.Float64())
	t.publish()
	t.mutex.Unlock()
	t.options.Apply(key)
	if isNew {
		t.log.Info("back end asks for a pause", "service", key.Service, "backend", key.Backend, "started", started, "lasts", duration, "by_request", requestID)
	}
}

// publish updates the count and the gauge. The caller holds the mutex.
func (t *Tracker) publish() {
	t.count.Store(int64(t.table.count))
	t.gauge.Update(float64(t.table.count))
}

// ActivePause returns the active pause of the run of a back end that started at the given time, and false if there is
// none. It is called on the request path.
func (t *Tracker) ActivePause(key backend.Key, started int64) (Pause, bool) {
	if t.count.Load() == 0 {
		return Pause{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.ActivePause(time.Now(), key, started)
}

// PausedBackends returns the ids of a service's paused back ends, regardless of their run. It is called on the request
// path.
func (t *Tracker) PausedBackends(service string) []string {
	if t.count.Load() == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.PausedBackends(time.Now(), service)
}

// PauseCount returns the number of paused back ends.
func (t *Tracker) PauseCount() int {
	return int(t.count.Load())
}

// Run removes pauses that have ended, until ctx is canceled.
func (t *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, pruneInterval) {
		t.mutex.Lock()
		t.table.Prune(time.Now())
		t.publish()
		t.mutex.Unlock()
	}
}
