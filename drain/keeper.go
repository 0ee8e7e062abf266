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

// forgetInterval is how often what is not needed any more is dropped.
const forgetInterval = 5 * time.Second

// Options are a Keeper's collaborators. No function may block.
type Options struct {
	// Declared says whether a back end is declared.
	Declared func(backend.Key) bool
	// Apply puts what is known of a back end in force where places are given out.
	Apply func(backend.Key)
	// Broadcast tells the other daemons of news that this one has heard.
	Broadcast func(Record)
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Tracker is a daemon's table of leaving back ends. It is safe for concurrent use; but for Run, no method blocks.
type Tracker struct {
	options Options
	log     *slog.Logger
	gauge   tally.Gauge
	// draining is how many signals say that a back end is leaving. Requests need not look further while it is 0.
	draining atomic.Int64

	mutex sync.Mutex
	table *Table
}

// NewTracker returns a keeper that has heard nothing.
func NewTracker(options Options) *Tracker {
	return &Tracker{options: options, log: logging.Part(options.Log, "drains"), table: NewTable(), gauge: options.Metrics.Gauge("backends_leaving")}
}

// Observe takes in what this daemon hears. The request path calls it.
func (k *Tracker) Observe(signal Signal) {
	if !signal.Draining && k.draining.Load() == 0 {
		return
	}
	k.mutex.Lock()
	news := k.table.Observe(time.Now(), signal)
	record, _ := k.table.Record(signal.SignalKey)
	k.count()
	k.mutex.Unlock()
	if !news {
		return
	}
	k.options.Apply(signal.Key)
	k.logChange(record, signal.Source.String(), signal.RequestID)
	k.options.Broadcast(record)
}

// Merge implements peer.Records.
func (k *Tracker) Merge(told []Record) []Record {
	var news []Record
	for _, record := range told {
		k.mutex.Lock()
		isNews := k.table.Merge(time.Now(), record)
		k.count()
		k.mutex.Unlock()
		if isNews {
			k.options.Apply(record.Key)
			k.logChange(record, "daemon", "")
			news = append(news, record)
		}
	}
	return news
}

// count publishes how many signals say that a back end is leaving. The caller holds the mutex.
func (k *Tracker) count() {
	k.draining.Store(int64(k.table.DrainingCount()))
	k.gauge.Update(float64(k.table.DrainingCount()))
}

// logChange logs what is known from now on. request is the id of the request whose answer said it; empty: none did.
func (k *Tracker) logChange(record Record, heardFrom, request string) {
	message := "back end is leaving"
	if !record.Draining {
		message = "back end is back"
	}
	k.log.Info(message, "service", record.Service, "backend", record.Backend, "started", record.Started, "source", record.Source.String(),
		"heard_from", heardFrom, "by_request", request)
}

// Leaving returns from which source the run of a back end that started at a time is leaving, and false where nobody
// says so. 0: whichever run. The request path calls it.
func (k *Tracker) Leaving(key backend.Key, started int64) (Notice, bool) {
	if k.draining.Load() == 0 {
		return Notice{}, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Leaving(key, started)
}

// DrainingCount returns how many signals say that a back end is leaving.
func (k *Tracker) DrainingCount() int {
	return int(k.draining.Load())
}

// Record implements peer.Records.
func (k *Tracker) Record(key SignalKey) (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Record(key)
}

// Records implements peer.Records.
func (k *Tracker) Records(most int) []Record {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.table.Records(most)
}

// Run drops what is not needed any more until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, forgetInterval) {
		k.mutex.Lock()
		k.table.Prune(time.Now(), k.options.Declared)
		k.count()
		k.mutex.Unlock()
	}
}
