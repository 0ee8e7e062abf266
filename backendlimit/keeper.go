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
	// Tell tells the other daemons of news that this one has heard.
	Tell    func(Record)
	Log     *slog.Logger
	Metrics tally.Scope
}

// Keeper is a daemon's table of limits. It is safe for concurrent use; but for Run, no method blocks.
type Keeper struct {
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

// NewKeeper returns a keeper that has heard nothing.
func NewKeeper(options Options) *Keeper {
	return &Keeper{
		options: options, log: logging.Part(options.Log, "limits"), table: NewTable(), warned: logging.NewOnce[backend.Key](maxRecords),
		unreadable: options.Metrics.Counter("backend_limits_unreadable"), gauge: options.Metrics.Gauge("backends_limited"),
	}
}

// Hear takes in the header of an answer, of which all but its Limit is set. The request path calls it.
func (k *Keeper) Hear(header http.Header, answer Answer) {
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
	before, _ := k.table.OfRun(answer.Key, answer.Started)
	change := k.table.Hear(now, answer)
	record, _ := k.table.OfRun(answer.Key, answer.Started)
	k.count()
	k.mutex.Unlock()
	if change == Nothing {
		return
	}
	k.options.Apply(record.Key)
	if change == News {
		k.logChange(before, record, "back end")
		k.options.Tell(record)
	}
}

// noteUnreadable counts a word that cannot be read, and logs the first of each back end.
func (k *Keeper) noteUnreadable(key backend.Key, err error) {
	k.unreadable.Inc(1)
	if k.warned.First(key) {
		k.log.Warn("limit not understood, what is known stays", "service", key.Service, "backend", key.Backend, "error", err)
	}
}

// Take takes in what another daemon tells, and returns what of it is news.
func (k *Keeper) Take(told []Record) []Record {
	var news []Record
	for _, record := range told {
		k.mutex.Lock()
		before, _ := k.table.OfRun(record.Key, record.Started)
		isNews := k.table.Take(time.Now(), record)
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
func (k *Keeper) count() {
	k.limited.Store(int64(k.table.Limited()))
	k.gauge.Update(float64(k.table.Limited()))
}

func (k *Keeper) logChange(before, record Record, source string) {
	message := "back end takes fewer requests"
	if !record.Limited {
		message = "limit has ended"
	}
	k.log.Info(message, "service", record.Service, "backend", record.Backend, "per_second", record.PerSecond,
		"limited_before", before.Limited, "before", before.PerSecond, "started", record.Started, "source", source)
}

// OfRun returns what is known on the run of a back end that started at a time; 0: whichever run.
func (k *Keeper) OfRun(key backend.Key, started int64) (Record, bool) {
	if k.limited.Load() == 0 {
		return Record{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.OfRun(key, started)
}

// Limited returns how many back ends are limited. The request path calls it.
func (k *Keeper) Limited() int {
	return int(k.limited.Load())
}

// Record returns what others are to be told of a back end.
func (k *Keeper) Record(key backend.Key) (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.OfRun(key, 0)
}

// Records returns the limits that are in force, at most so many.
func (k *Keeper) Records(most int) []Record {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Records(most)
}

// Run drops what is not needed any more until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for wait.Sleep(ctx, forgetInterval) {
		k.mutex.Lock()
		k.table.Forget(time.Now(), k.options.Declared)
		k.count()
		k.mutex.Unlock()
		k.warned.Keep(k.options.Declared)
	}
}
