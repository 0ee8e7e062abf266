package quarantine

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Options are a Keeper's collaborators.
type Options struct {
	Policy Policy
	Store  objectstore.Store
	// ReadsStore says whether this daemon reads from the store what is held back: a few daemons do,
	// and tell the others. It must not block.
	ReadsStore func() bool
	// Broadcast tells the other daemons of news that this one has seen. It must not block.
	Broadcast    func(Record)
	StoreTimeout time.Duration // of one call to the store
	Log          *slog.Logger
	Metrics      tally.Scope
}

// Tracker is a daemon's table of requests. It is safe for concurrent use; but for Run, no method
// blocks.
type Tracker struct {
	options Options
	log     *slog.Logger
	endings tally.Counter
	held    tally.Gauge

	mutex sync.RWMutex
	table *Table
	// unsaved are requests of which the store does not know yet what this daemon knows.
	unsaved map[Fingerprint]bool
	// witnessed are requests under which back ends ended that this daemon sent them to. It is
	// one of those that save them once they are held back.
	witnessed map[Fingerprint]bool
	save      chan struct{} // room for one: there is something unsaved
}

// NewTracker returns a keeper that has noted nothing.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Part(options.Log, "quarantine"), table: NewTable(options.Policy),
		endings: options.Metrics.Counter("backends_ended"), held: options.Metrics.Gauge("requests_quarantined"),
		unsaved: make(map[Fingerprint]bool), witnessed: make(map[Fingerprint]bool), save: make(chan struct{}, 1),
	}
}

// QuarantinedUntil returns until when a request is held back, and false when it is not. The request
// path calls it.
func (k *Tracker) QuarantinedUntil(fingerprint Fingerprint) (time.Time, bool) {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	if k.table.Len() == 0 {
		return time.Time{}, false
	}
	return k.table.QuarantinedUntil(time.Now(), fingerprint)
}

// Check returns why a request must not reach a back end; nil: it may. The caller is told to come
// back when it may again.
func (k *Tracker) Check(fingerprints Fingerprints) *resultcode.Failure {
	fingerprint := fingerprints.Exact
	until, held := k.QuarantinedUntil(fingerprint)
	if !held {
		fingerprint = fingerprints.Broad
		until, held = k.QuarantinedUntil(fingerprint)
	}
	if !held {
		return nil
	}
	return &resultcode.Failure{
		Code: resultcode.CrashingRequest, Detail: "fingerprint " + fingerprint.String() + ", until " + until.UTC().Format(time.RFC3339),
		RetryAfter: time.Until(until),
	}
}

// CrashCount returns under how many endings of back ends a request was. The request path calls it.
func (k *Tracker) CrashCount(fingerprints Fingerprints) int {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	if k.table.Len() == 0 {
		return 0
	}
	now := time.Now()
	return max(k.table.CrashCount(now, fingerprints.Exact), k.table.CrashCount(now, fingerprints.Broad))
}

// RecordCrash notes that a back end ended while it ran a request of a service.
func (k *Tracker) RecordCrash(identity Identity, service string, backend BackendRun) {
	k.endings.Inc(1)
	at := NewTimestamp(time.Now())
	fingerprints := identity.Fingerprints()
	broad := identity
	broad.Caller = "any"
	k.note(Record{Fingerprint: fingerprints.Exact, Service: service, Description: identity.Describe(), Crashes: []Crash{{Backend: backend, At: at}}})
	k.note(Record{Fingerprint: fingerprints.Broad, Broad: true, Service: service, Description: broad.Describe(), Crashes: []Crash{{Backend: backend, At: at}}})
}

// note takes in what this daemon has seen.
func (k *Tracker) note(request Record) {
	k.mutex.Lock()
	k.witnessed[request.Fingerprint] = true
	k.mutex.Unlock()
	k.change(request.Fingerprint, func(now time.Time) (Record, bool) { return k.table.Merge(now, request) })
}

// RecordSuccess notes that a back end answered a request.
func (k *Tracker) RecordSuccess(fingerprints Fingerprints) {
	if k.CrashCount(fingerprints) == 0 {
		return
	}
	for _, fingerprint := range []Fingerprint{fingerprints.Exact, fingerprints.Broad} {
		k.change(fingerprint, func(now time.Time) (Record, bool) { return k.table.RecordSuccess(now, fingerprint) })
	}
}

// Quarantine holds a request back by an operator's order, whatever was noted of it.
func (k *Tracker) Quarantine(request Record) {
	request.ManualAt = NewTimestamp(time.Now())
	k.mutex.Lock()
	k.witnessed[request.Fingerprint] = true
	k.mutex.Unlock()
	k.change(request.Fingerprint, func(now time.Time) (Record, bool) { return k.table.Merge(now, request) })
}

// Release lets a request through again by an operator's order. It returns false where nothing
// was noted of it.
func (k *Tracker) Release(fingerprint Fingerprint) bool {
	return k.change(fingerprint, func(now time.Time) (Record, bool) { return k.table.Release(now, fingerprint) })
}

// change makes a change that this daemon has seen or was ordered, and tells others.
func (k *Tracker) change(fingerprint Fingerprint, apply func(now time.Time) (Record, bool)) bool {
	record, news := k.apply(fingerprint, apply)
	if news {
		k.options.Broadcast(record)
	}
	return news
}

// apply makes a change, logs what is new, and lets it be saved where this daemon has to.
func (k *Tracker) apply(fingerprint Fingerprint, apply func(now time.Time) (Record, bool)) (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	_, before := k.table.QuarantinedUntil(now, fingerprint)
	record, news := apply(now)
	until, held := k.table.QuarantinedUntil(now, fingerprint)
	if held == before {
		return record, news
	}
	if held {
		k.log.Info("request held back", append(record.attributes(), "until", until)...)
	} else {
		k.log.Info("request let through again", record.attributes()...)
	}
	k.held.Update(float64(len(k.table.Quarantined(now))))
	if k.witnessed[fingerprint] || !held {
		k.saveSoon(fingerprint)
	}
	return record, news
}

// attributes are what lines on the request have.
func (r Record) attributes() []any {
	return []any{"fingerprint", r.Fingerprint.String(), "service", r.Service, "what", r.Description, "endings", len(r.Crashes), "by_order", r.ManualAt > 0}
}

// Merge takes in what other daemons have noted, and returns what of it is news.
func (k *Tracker) Merge(told []Record) []Record {
	var news []Record
	for _, one := range told {
		if record, isNews := k.apply(one.Fingerprint, func(now time.Time) (Record, bool) { return k.table.Merge(now, one) }); isNews {
			news = append(news, record)
		}
	}
	return news
}

// Record returns what is noted of a request.
func (k *Tracker) Record(fingerprint Fingerprint) (Record, bool) {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	return k.table.Record(fingerprint)
}

// Records returns what is noted, what matters most first, at most so many.
func (k *Tracker) Records(most int) []Record {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	records := k.table.Records(time.Now())
	return records[:min(most, len(records))]
}

// Entry is a request under which back ends ended, or that an operator holds back.
type Entry struct {
	Record
	Quarantined bool
	Until       time.Time // where it is held back
}

// Entries returns what is noted, what matters most first. What was only refuted is left out.
func (k *Tracker) Entries() []Entry {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	var noted []Entry
	for _, record := range k.table.Records(now) {
		if len(record.Crashes) == 0 && record.ManualAt == 0 {
			continue
		}
		until, held := k.table.heldUntil(now, record)
		noted = append(noted, Entry{Record: record, Quarantined: held, Until: until})
	}
	return noted
}

// QuarantinedCount returns how many requests are held back.
func (k *Tracker) QuarantinedCount() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.table.Quarantined(time.Now()))
}

// Digest tells daemons apart that hold back other requests.
func (k *Tracker) Digest() uint64 {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	if k.table.Len() == 0 {
		return 0
	}
	return k.table.Digest(time.Now())
}

// maxDescription bounds what is told of a request, in bytes.
const maxDescription = 160

// Describe says to operators what a request is.
func (i Identity) Describe() string {
	text := strings.Join([]string{i.Method, i.Host + i.Target, "from", i.Caller}, " ")
	return text[:min(len(text), maxDescription)]
}
