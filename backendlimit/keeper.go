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

// forgetInterval is how often what is not needed any more is dropped.
const forgetInterval = 5 * time.Second

// Options are a Keeper's collaborators. No function may block.
type Options struct {
	// Header is that by which back ends name their limit; empty: none does.
	Header string
	// Declared says whether a back end is declared.
	Declared func(backend.Key) bool
	// Apply puts what is known of a back end in force where places are given out.
	Apply func(backend.Key)
	// Broadcast tells the other daemons of news that this one has heard.
	Broadcast func(Record)
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Tracker is a daemon's table of limits. It is safe for concurrent use; but for Run, no method blocks.
type Tracker struct {
	options    Options
	log        *slog.Logger
	unreadable tally.Counter
	gauge      tally.Gauge
	// limited is how many back ends are limited. Most answers say nothing, and need not look
	// further while it is 0.
	limited atomic.Int64
	// warned are the back ends of which it was logged that their word cannot be read.
	warned *logging.Once[backend.Key]

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a keeper that has heard nothing.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Part(options.Log, "limits"), table: NewTable(), warned: logging.NewOnce[backend.Key](maxRecords),
		unreadable: options.Metrics.Counter("backend_limits_unreadable"), gauge: options.Metrics.Gauge("backends_limited"),
	}
}

// Observe takes in the header of an answer, of which all but its Limit is set. The request path calls it.
func (k *Tracker) Observe(header http.Header, answer Response) {
	values := header.Values(k.options.Header)
	if k.options.Header == "" || len(values) == 0 && k.limited.Load() == 0 {
		return
	}
	limit, err := Parse(values)
	if err != nil {
		k.noteUnreadable(answer.Key, err)
		return
	}
	answer.Limit = limit
	k.mutex.Lock()
	now := time.Now()
	before, _ := k.table.Lookup(answer.Key, answer.Started)
	change := k.table.Observe(now, answer)
	record, _ := k.table.Lookup(answer.Key, answer.Started)
	k.count()
	k.mutex.Unlock()
	if change == NoChange {
		return
	}
	k.options.Apply(record.Key)
	if change == MajorChange {
		k.logChange(before, record, "back end")
		k.options.Broadcast(record)
	}
}

// noteUnreadable counts a word that cannot be read, and logs the first of each back end.
func (k *Tracker) noteUnreadable(key backend.Key, err error) {
	k.unreadable.Inc(1)
	if k.warned.First(key) {
		k.log.Warn("limit not understood, what is known stays", "service", key.Service, "backend", key.Backend, "error", err)
	}
}

// Merge takes in what another daemon tells, and returns what of it is news.
func (k *Tracker) Merge(told []Record) []Record {
	var news []Record
	for _, record := range told {
		k.mutex.Lock()
		before, _ := k.table.Lookup(record.Key, record.Started)
		isNews := k.table.Merge(time.Now(), record)
		k.count()
		k.mutex.Unlock()
		if isNews {
			k.options.Apply(record.Key)
			k.logChange(before, record, "daemon")
			news = append(news, record)
		}
	}
	return news
}

// count publishes how many back ends are limited. The caller holds the mutex.
func (k *Tracker) count() {
	k.limited.Store(int64(k.table.LimitedCount()))
	k.gauge.Update(float64(k.table.LimitedCount()))
}

func (k *Tracker) logChange(before, record Record, source string) {
	message := "back end takes fewer requests"
	if !record.Limited {
		message = "limit has ended"
	}
	k.log.Info(message, "service", record.Service, "backend", record.Backend, "per_second", record.PerSecond,
		"limited_before", before.Limited, "before", before.PerSecond, "started", record.Started, "source", source)
}

// Lookup returns what is known on the run of a back end that started at a time; 0: whichever run.
func (k *Tracker) Lookup(key backend.Key, started int64) (Record, bool) {
	if k.limited.Load() == 0 {
		return Record{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Lookup(key, started)
}

// LimitedCount returns how many back ends are limited. The request path calls it.
func (k *Tracker) LimitedCount() int {
	return int(k.limited.Load())
}

// Record returns what others are to be told of a back end.
func (k *Tracker) Record(key backend.Key) (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Lookup(key, 0)
}

// Records returns the limits that are in force, at most so many.
func (k *Tracker) Records(most int) []Record {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Records(most)
}

// Run drops what is not needed any more until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, forgetInterval) {
		k.mutex.Lock()
		k.table.Forget(time.Now(), k.options.Declared)
		k.count()
		k.mutex.Unlock()
		k.warned.Keep(k.options.Declared)
	}
}
