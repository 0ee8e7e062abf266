package backendlimit

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/wait"
)

// forgetInterval is how often records that are not needed any more are dropped.
const forgetInterval = 5 * time.Second

// Options are the dependencies of a Tracker. No function may block.
type Options struct {
	// Header is the name of the header in which back ends name their limit; empty: they have none.
	Header string
	// Declared returns whether a back end is declared.
	Declared func(backend.Key) bool
	// Apply enforces the current record of a back end where permits are granted.
	Apply func(backend.Key)
	// Broadcast sends a record that this daemon has observed to the other daemons.
	Broadcast func(Record)
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Tracker is a daemon's table of limits. It is safe for concurrent use. No method but Run blocks.
type Tracker struct {
	options    Options
	log        *slog.Logger
	unreadable tally.Counter
	gauge      tally.Gauge
	// limited is how many back ends are limited. While it is 0, the many responses that name no limit need no
	// further processing.
	limited atomic.Int64
	// warned are the back ends for which an unreadable limit was logged.
	warned *logging.Deduplicator[backend.Key]

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a tracker without records.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Component(options.Log, "limits"), table: NewTable(), warned: logging.NewDeduplicator[backend.Key](maxRecords),
		unreadable: options.Metrics.Counter("backend_limits_unreadable"), gauge: options.Metrics.Gauge("backends_limited"),
	}
}

// Observe applies the limit that a response names in its header. The caller sets all fields of response but Limit. The
// request path calls it.
func (t *Tracker) Observe(header http.Header, response Response) {
	values := header.Values(t.options.Header)
	if t.options.Header == "" || len(values) == 0 && t.limited.Load() == 0 {
		return
	}
	limit, err := Parse(values)
	if err != nil {
		t.noteUnreadable(response.Key, err)
		return
	}
	response.Limit = limit
	t.mutex.Lock()
	now := time.Now()
	before, _ := t.table.Lookup(response.Key, response.Started)
	change := t.table.Observe(now, response)
	record, _ := t.table.Lookup(response.Key, response.Started)
	t.updateCount()
	t.mutex.Unlock()
	if change == NoChange {
		return
	}
	t.options.Apply(record.Key)
	if change == MajorChange {
		t.logChange(before, record, "back end")
		t.options.Broadcast(record)
	}
}

// noteUnreadable counts an unreadable limit, and logs the first of each back end.
func (t *Tracker) noteUnreadable(key backend.Key, err error) {
	t.unreadable.Inc(1)
	if t.warned.FirstSeen(key) {
		t.log.Warn("limit not understood; keeping the last known one", "service", key.Service, "backend", key.Backend, "error", logging.ExcerptOfError(err))
	}
}

// Merge applies records from a peer, and returns those that changed a limit.
func (t *Tracker) Merge(records []Record) []Record {
	var changed []Record
	for _, record := range records {
		t.mutex.Lock()
		before, _ := t.table.Lookup(record.Key, record.Started)
		isChange := t.table.Merge(time.Now(), record)
		t.updateCount()
		t.mutex.Unlock()
		if isChange {
			t.options.Apply(record.Key)
			t.logChange(before, record, "daemon")
			changed = append(changed, record)
		}
	}
	return changed
}

// updateCount publishes how many back ends are limited. The caller holds the mutex.
func (t *Tracker) updateCount() {
	t.limited.Store(int64(t.table.LimitedCount()))
	t.gauge.Update(float64(t.table.LimitedCount()))
}

func (t *Tracker) logChange(before, record Record, source string) {
	message := "back end takes fewer requests"
	if !record.Limited {
		message = "limit has ended"
	}
	t.log.Info(message, "service", record.Service, "backend", record.Backend, "per_second", record.PerSecond,
		"limited_before", before.Limited, "before", before.PerSecond, "started", record.Started, "source", source)
}

// Lookup returns the record of the run of a back end that started at a given time; 0 stands for any run. It finds
// nothing while no back end is limited.
func (t *Tracker) Lookup(key backend.Key, started int64) (Record, bool) {
	if t.limited.Load() == 0 {
		return Record{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Lookup(key, started)
}

// LimitedCount returns how many back ends are limited. The request path calls it.
func (t *Tracker) LimitedCount() int {
	return int(t.limited.Load())
}

// Record returns the record of a back end for the peers.
func (t *Tracker) Record(key backend.Key) (Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Lookup(key, 0)
}

// Records returns the limits that are in force, up to a maximum number.
func (t *Tracker) Records(maximum int) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table.Records(maximum)
}

// Run drops records that are not needed any more until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, forgetInterval) {
		t.mutex.Lock()
		t.table.Forget(time.Now(), t.options.Declared)
		t.updateCount()
		t.mutex.Unlock()
		t.warned.Retain(t.options.Declared)
	}
}
