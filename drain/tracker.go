package drain

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/wait"
)

// pruneInterval is how often obsolete records are removed.
const pruneInterval = 5 * time.Second

// Options configure a Tracker. No function may block.
type Options struct {
	// Declared reports whether a back end is declared.
	Declared func(backend.Key) bool
	// Apply applies the current state of a back end to the granting of permits.
	Apply func(backend.Key)
	// Broadcast sends a record of a signal that this daemon has observed to its peers.
	Broadcast func(Record)
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Tracker tracks the draining back ends known to a daemon. It is safe for concurrent use. No method except Run blocks.
type Tracker struct {
	options Options
	log     *slog.Logger
	gauge   tally.Gauge
	// draining is the number of signals that say that a back end is draining. While it is 0, lookups for requests do not
	// lock the mutex.
	draining atomic.Int64

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a tracker without records.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, log: logging.Component(options.Log, "drains"), table: NewTable(), gauge: options.Metrics.Gauge("backends_leaving")}
}

// Observe takes in a signal that this daemon observes. It is called on the request path.
func (t *Tracker) Observe(signal Signal) {
	if !signal.Draining && t.draining.Load() == 0 {
		return
	}
	t.mutex.Lock()
	changed := t.table.Observe(time.Now(), signal)
	record, _ := t.table.Record(signal.SignalKey)
	t.publish()
	t.mutex.Unlock()
	if !changed {
		return
	}
	t.options.Apply(signal.Key)
	t.logChange(record, signal.Source.String(), signal.RequestID)
	t.options.Broadcast(record)
}

// Merge implements peer.Records.
func (t *Tracker) Merge(records []Record) []Record {
	var changes []Record
	for _, record := range records {
		t.mutex.Lock()
		changed := t.table.Merge(time.Now(), record)
		t.publish()
		t.mutex.Unlock()
		if changed {
			t.options.Apply(record.Key)
			t.logChange(record, "daemon", "")
			changes = append(changes, record)
		}
	}
	return changes
}

// publish updates the draining count and the gauge. The caller holds the mutex.
func (t *Tracker) publish() {
	t.draining.Store(int64(t.table.DrainingCount()))
	t.gauge.Update(float64(t.table.DrainingCount()))
}

// logChange logs a change of state. requestID is the id of the request whose response had the signal; empty: none.
func (t *Tracker) logChange(record Record, heardFrom, requestID string) {
	message := "back end is leaving"
	if !record.Draining {
		message = "back end is back"
	}
	t.log.Info(message, "service", record.Service, "backend", record.Backend, "started", record.Started, "source", record.Source.String(),
		"heard_from", heardFrom, "by_request", requestID)
}

// Draining returns the notice by which the run of a back end that started at the given time is draining, and false if
// there is none. A start time of 0 means any run. It is called on the request path.
func (t *Tracker) Draining(key backend.Key, started int64) (Notice, bool) {
	if t.draining.Load() == 0 {
		return Notice{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Draining(key, started)
}

// DrainingCount returns the number of signals that say that a back end is draining.
func (t *Tracker) DrainingCount() int {
	return int(t.draining.Load())
}

// Record implements peer.Records.
func (t *Tracker) Record(key SignalKey) (Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Record(key)
}

// Records implements peer.Records.
func (t *Tracker) Records(most int) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Records(most)
}

// Run removes obsolete records until ctx is canceled.
func (t *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, pruneInterval) {
		t.mutex.Lock()
		t.table.Prune(time.Now(), t.options.Declared)
		t.publish()
		t.mutex.Unlock()
	}
}
