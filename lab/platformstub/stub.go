// Package platformstub is a stub of the platform: the object API over HTTP and
// the machine list, with the platform's rate limits, a count of all calls, and
// scripted faults.
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

// Rate limits of the platform, in calls per second of all callers together.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// CallKind is the kind of a call, by which calls are counted.
type CallKind string

// Kinds of call.
const (
	CallRead     CallKind = "read"
	CallWrite    CallKind = "write"
	CallWatch    CallKind = "watch"
	CallMachines CallKind = "machines"
	CallRefused  CallKind = "refused" // over the rate limit
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// Unresponsive accepts calls and never answers them.
	Unresponsive bool
	// Delay is the added latency of every call.
	Delay time.Duration
	// DropResponses is the number of coming writes that take effect but get no response.
	DropResponses int
	// BreakWatches disconnects waiting watches without a response.
	BreakWatches bool
}

// callKey identifies one call counter.
type callKey struct {
	caller string
	kind   CallKind
}

// Stub is the stub of the platform. It is safe for concurrent use.
type Stub struct {
	store  *objectstore.Memory
	writes *rate.Limiter
	reads  *rate.Limiter

	mutex          sync.Mutex
	faults         Faults
	counts         map[callKey]int
	waiting        int
	peakWatches    int
	frozenMachines []objectstore.Machine // served while machinesFrozen
	machinesFrozen bool
	abortWatches   chan struct{} // closed to disconnect waiting watches
}

// New returns an empty platform without faults.
func New() *Stub {
	return &Stub{
		store:        objectstore.NewMemory(),
		writes:       rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:        rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		counts:       make(map[callKey]int),
		abortWatches: make(chan struct{}),
	}
}

// Store returns the underlying store, for checks.
func (s *Stub) Store() *objectstore.Memory {
	return s.store
}

// SetFaults replaces the faults.
func (s *Stub) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.BreakWatches || faults.Down {
		close(s.abortWatches)
		s.abortWatches = make(chan struct{})
	}
}

// SetMachines replaces the machine list. While the served list is frozen, the old
// one is still served.
func (s *Stub) SetMachines(machines []objectstore.Machine) {
	s.store.SetMachines(machines)
}

// SetMachinesFrozen freezes the served machine list, or serves the current one again.
func (s *Stub) SetMachinesFrozen(lagging bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lagging && !s.machinesFrozen {
		// Memory never blocks or fails.
		s.frozenMachines, _ = s.store.Machines(context.Background())
	}
	s.machinesFrozen = lagging
}

// Counts returns the number of calls of all callers by kind.
func (s *Stub) Counts() map[CallKind]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	totals := make(map[CallKind]int)
	for key, count := range s.counts {
		totals[key.kind] += count
	}
	return totals
}

// PeakWatches returns the maximum number of concurrent watches.
func (s *Stub) PeakWatches() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peakWatches
}

// Handler returns the HTTP handler of the object API and the machine list.
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

// RollBack restores the store from a snapshot, so that later writes are lost. Waiting watches are
// disconnected.
func (s *Stub) RollBack(from objectstore.Snapshot) {
	s.store.RollBack(from)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.abortWatches)
	s.abortWatches = make(chan struct{})
}

// admit counts a call and applies the faults and rate limits to it. It reports
// whether the call is to be processed.
func (s *Stub) admit(w http.ResponseWriter, r *http.Request, kind CallKind) bool {
	s.mutex.Lock()
	faults := s.faults
	s.counts[callKey{caller: r.Header.Get(objectstore.HeaderCaller), kind: kind}]++
	s.mutex.Unlock()
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if faults.Unresponsive {
		// net/http detects that the caller disconnects only once the body has been read.
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

// dropResponse aborts the connection of a completed write if its response is to be
// dropped.
func (s *Stub) dropResponse() {
	s.mutex.Lock()
	drop := s.faults.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	s.mutex.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

func objectKey(r *http.Request) objectstore.Key {
	return objectstore.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (s *Stub) get(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(objectstore.ParamWait) {
		s.watch(w, r)
		return
	}
	if !s.admit(w, r, CallRead) {
		return
	}
	object, err := s.store.Get(r.Context(), objectKey(r))
	writeResult(w, object, err)
}

// maxWait is the maximum wait of a watch.
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
	if !s.admit(w, r, CallWatch) {
		return
	}
	object, err := s.awaitChange(r.Context(), objectKey(r), objectstore.Version(after), wait)
	if errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, object, err)
}

// awaitChange waits for a change. A watch that is disconnected ends with context.Canceled.
func (s *Stub) awaitChange(ctx context.Context, key objectstore.Key, after objectstore.Version, wait time.Duration) (objectstore.Object, error) {
	s.mutex.Lock()
	s.waiting++
	s.peakWatches = max(s.peakWatches, s.waiting)
	aborted := s.abortWatches
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.waiting--
		s.mutex.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.store.Watch(ctx, key, after, wait)
}

func (s *Stub) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok || !s.admit(w, r, CallWrite) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := s.store.Put(r.Context(), objectKey(r), value, expected)
	s.dropResponse()
	writeResult(w, objectstore.Object{Version: version}, err)
}

func (s *Stub) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedVersion(w, r)
	if !ok || !s.admit(w, r, CallWrite) {
		return
	}
	err := s.store.Delete(r.Context(), objectKey(r), expected)
	s.dropResponse()
	writeResult(w, objectstore.Object{Version: expected}, err)
}

func expectedVersion(w http.ResponseWriter, r *http.Request) (objectstore.Version, bool) {
	expected, err := strconv.ParseUint(r.Header.Get(objectstore.HeaderExpect), 10, 64)
	if err != nil {
		http.Error(w, objectstore.HeaderExpect+": not a version", http.StatusBadRequest)
		return 0, false
	}
	return objectstore.Version(expected), true
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallRead) {
		return
	}
	objects, err := s.store.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		writeResult(w, objectstore.Object{}, err)
		return
	}
	// A write error means that the caller has disconnected.
	_ = objectstore.EncodeList(w, objects)
}

func (s *Stub) machines(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, CallMachines) {
		return
	}
	s.mutex.Lock()
	lagging, stale := s.machinesFrozen, s.frozenMachines
	s.mutex.Unlock()
	machines := stale
	if !lagging {
		// Memory never blocks or fails.
		machines, _ = s.store.Machines(r.Context())
	}
	_ = json.NewEncoder(w).Encode(machines)
}

// writeResult writes an object or the status of an error.
func writeResult(w http.ResponseWriter, object objectstore.Object, err error) {
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
