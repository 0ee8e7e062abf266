// Package platformstub stands in for the platform: the object API over HTTP and
// the machine list, with the platform's rates, a count of every call, and faults
// by script.
package platformstub

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/objectstore"
)

// The platform's rates, in calls a second, for all callers together.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// CallKind tells calls apart in the counts.
type CallKind string

// The kinds of call.
const (
	CallRead     CallKind = "read"
	CallWrite    CallKind = "write"
	CallWatch    CallKind = "watch"
	CallMachines CallKind = "machines"
	CallRefused  CallKind = "refused" // over the platform's rate
)

// Faults say how the platform misbehaves. The zero value is a platform that is
// well.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Unresponsive takes calls and never answers them.
	Unresponsive bool
	// Delay is added to every call.
	Delay time.Duration
	// DropResponses is how many coming writes take effect without an answer.
	DropResponses int
	// BreakWatches ends waiting watches without an answer.
	BreakWatches bool
}

// callKey names one count.
type callKey struct {
	caller string
	kind   CallKind
}

// Stub is the stand-in. It is safe for concurrent use.
type Stub struct {
	store  *objectstore.Memory
	writes *rate.Limiter
	reads  *rate.Limiter

	mutex    sync.Mutex
	faults   Faults
	counts   map[callKey]int
	watching int
	mostWait int
	stale    []objectstore.Machine // served instead of the list while lagging
	lagging  bool
	broken   chan struct{} // closed to end waiting watches
}

// New returns a platform that is well and empty.
func New() *Stub {
	return &Stub{
		store:  objectstore.NewMemory(),
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		counts: make(map[callKey]int),
		broken: make(chan struct{}),
	}
}

// Store returns the store behind the stand-in, for checks.
func (s *Stub) Store() *objectstore.Memory {
	return s.store
}

// SetFaults replaces the faults.
func (s *Stub) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.BreakWatches || faults.Down {
		close(s.broken)
		s.broken = make(chan struct{})
	}
}

// SetMachines replaces the machine list. While the list lags, the old one is
// still served.
func (s *Stub) SetMachines(machines []objectstore.Machine) {
	s.store.SetMachines(machines)
}

// SetMachinesFrozen freezes the machine list as served, or lets it catch up.
func (s *Stub) SetMachinesFrozen(lagging bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lagging && !s.lagging {
		// Memory answers at once and never fails.
		s.stale, _ = s.store.Machines(context.Background())
	}
	s.lagging = lagging
}

// Counts returns the calls by kind, of all callers together.
func (s *Stub) Counts() map[CallKind]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	totals := make(map[CallKind]int)
	for key, count := range s.counts {
		totals[key.kind] += count
	}
	return totals
}

// PeakWatches returns the largest number of watches that waited at once.
func (s *Stub) PeakWatches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mostWait
}

// Handler serves the object API and the machine list.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectstore.ObjectsPath+"{kind}/{name}", s.get)
	mux.HandleFunc("PUT "+objectstore.ObjectsPath+"{kind}/{name}", s.put)
	mux.HandleFunc("DELETE "+objectstore.ObjectsPath+"{kind}/{name}", s.delete)
	mux.HandleFunc("GET "+objectstore.ObjectsPath+"{kind}", s.list)
	mux.HandleFunc("GET "+objectstore.MachinesPath, s.machines)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(objectstore.HeaderEra, strconv.FormatUint(s.store.Era(), 10))
		mux.ServeHTTP(w, r)
	})
}

// RollBack lets the platform lose what was written since a copy of its store was taken. Watches that wait
// are cut.
func (s *Stub) RollBack(from objectstore.Snapshot) {
	s.store.RollBack(from)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// begin counts a call and applies the faults to it. It says whether the call
// goes on.
func (s *Stub) begin(w http.ResponseWriter, r *http.Request, kind CallKind) bool {
	s.mutex.Lock()
	faults := s.faults
	s.counts[callKey{caller: r.Header.Get(objectstore.HeaderCaller), kind: kind}]++
	s.mutex.Unlock()
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if faults.Unresponsive {
		// The caller's leaving is noticed only once its body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	limiter := s.reads
	if kind == CallWrite {
		limiter = s.writes
	}
	if !limiter.Allow() {
		s.mutex.Lock()
		s.counts[callKey{caller: r.Header.Get(objectstore.HeaderCaller), kind: CallRefused}]++
		s.mutex.Unlock()
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

// loseAnswer breaks off the connection of a write that took effect, if the
// script says so.
func (s *Stub) loseAnswer() {
	s.mutex.Lock()
	lose := s.faults.DropResponses > 0
	if lose {
		s.faults.DropResponses--
	}
	s.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func keyOf(r *http.Request) objectstore.Key {
	return objectstore.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (s *Stub) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(objectstore.ParamWait) {
		s.watch(w, r)
		return
	}
	if !s.begin(w, r, CallRead) {
		return
	}
	object, err := s.store.Get(r.Context(), keyOf(r))
	answer(w, object, err)
}

// maxWait bounds a waiting watch.
const maxWait = time.Minute

func (s *Stub) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(objectstore.ParamAfter), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get(objectstore.ParamWait))
	if err != nil || wait < 0 || wait > maxWait {
		http.Error(w, "wait: not a duration up to 1m", http.StatusBadRequest)
		return
	}
	if !s.begin(w, r, CallWatch) {
		return
	}
	object, err := s.wait(r.Context(), keyOf(r), objectstore.Version(after), wait)
	if errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	answer(w, object, err)
}

// wait waits for a change; a broken watch ends as canceled.
func (s *Stub) wait(ctx context.Context, key objectstore.Key, after objectstore.Version, wait time.Duration) (objectstore.Object, error) {
	s.mutex.Lock()
	s.watching++
	s.mostWait = max(s.mostWait, s.watching)
	broken := s.broken
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.watching--
		s.mutex.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-broken:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.store.Watch(ctx, key, after, wait)
}

func (s *Stub) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedOf(w, r)
	if !ok || !s.begin(w, r, CallWrite) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.store.Put(r.Context(), keyOf(r), value, expected)
	s.loseAnswer()
	answer(w, objectstore.Object{Version: version}, err)
}

func (s *Stub) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedOf(w, r)
	if !ok || !s.begin(w, r, CallWrite) {
		return
	}
	err := s.store.Delete(r.Context(), keyOf(r), expected)
	s.loseAnswer()
	answer(w, objectstore.Object{Version: expected}, err)
}

func expectedOf(w http.ResponseWriter, r *http.Request) (objectstore.Version, bool) {
	expected, err := strconv.ParseUint(r.Header.Get(objectstore.HeaderExpect), 10, 64)
	if err != nil {
		http.Error(w, objectstore.HeaderExpect+": not a version", http.StatusBadRequest)
		return 0, false
	}
	return objectstore.Version(expected), true
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r, CallRead) {
		return
	}
	objects, err := s.store.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		answer(w, objectstore.Object{}, err)
		return
	}
	// A caller that has gone cannot be told.
	_ = objectstore.EncodeList(w, objects)
}

func (s *Stub) machines(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r, CallMachines) {
		return
	}
	s.mutex.Lock()
	lagging, stale := s.lagging, s.stale
	s.mutex.Unlock()
	machines := stale
	if !lagging {
		// Memory answers at once and never fails.
		machines, _ = s.store.Machines(r.Context())
	}
	_ = json.NewEncoder(w).Encode(machines)
}

// answer writes an object or the status of an error.
func answer(w http.ResponseWriter, object objectstore.Object, err error) {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, objectstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, objectstore.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set(objectstore.HeaderVersion, strconv.FormatUint(uint64(object.Version), 10))
		_, _ = w.Write(object.Value)
	}
}
