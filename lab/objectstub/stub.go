// Package objectstub is a stub of the users' platform store: objects by kind and
// name over HTTP, with one revision counter, conditional updates, paged lists,
// watches over a history that can be compacted, and scripted faults.
package objectstub

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Metadata identifies an object and its revision.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// StallWatches keeps watches from reporting changes and from returning when their wait ends.
	StallWatches bool
	// DropResponses is the number of coming writes that take effect but get no response.
	DropResponses int
}

// headerEra is the response header with the number of store rollbacks.
const headerEra = "Store-Era"

// pageLength is the number of objects on one page of a list.
const pageLength = 20

type event struct {
	kind     string
	revision uint64
	Object   Object `json:"object"`
	Gone     bool   `json:"gone"`
}

// Stub is the stub of the store. It is safe for concurrent use.
type Stub struct {
	mutex       sync.Mutex
	era         uint64
	revision    uint64
	kinds       map[string]map[string]Object
	history     []event
	compactedTo uint64 // the history up to this revision is dropped
	notify      chan struct{}
	faults      Faults
	callCount   int
	listCalls   map[string]int // by kind
	watchCalls  map[string]int // by kind
}

// New returns an empty store without faults.
func New() *Stub {
	return &Stub{kinds: make(map[string]map[string]Object), listCalls: make(map[string]int), watchCalls: make(map[string]int), notify: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Stub) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Calls returns the number of calls.
func (s *Stub) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.callCount
}

// ListCalls returns the number of list calls for a kind.
func (s *Stub) ListCalls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.listCalls[kind]
}

// WatchCalls returns the number of watch calls for a kind.
func (s *Stub) WatchCalls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watchCalls[kind]
}

// Revision returns the revision of the last change.
func (s *Stub) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Compact drops the history. Waiting watches are not notified.
func (s *Stub) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedTo = nil, s.revision
}

// Snapshot is the state of the store at one time.
type Snapshot struct {
	revision, compactedTo uint64
	kinds                 map[string]map[string]Object
	history               []event
}

// Snapshot returns the current state of the store.
func (s *Stub) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{revision: s.revision, compactedTo: s.compactedTo, kinds: cloneKinds(s.kinds), history: slices.Clone(s.history)}
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	cloned := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		cloned[kind] = maps.Clone(objects)
	}
	return cloned
}

// RollBack restores the snapshot and begins the next era: writes since the snapshot are lost, and their revisions
// are assigned again. Waiting watches are disconnected. It returns the states before and after.
func (s *Stub) RollBack(from Snapshot) RollbackLoss {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := RollbackLoss{before: s.kinds, restored: cloneKinds(from.kinds)}
	s.era++
	s.revision, s.compactedTo, s.kinds, s.history = from.revision, from.compactedTo, cloneKinds(from.kinds), slices.Clone(from.history)
	close(s.notify)
	s.notify = make(chan struct{})
	return lost
}

// RollbackLoss is the state of a store before a rollback, and the state restored by it.
type RollbackLoss struct {
	before, restored map[string]map[string]Object
}

// RewriteLost writes objects of a kind as they were before the rollback, as their writers do, except those
// written since.
func (s *Stub) RewriteLost(lost RollbackLoss, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := maps.Clone(lost.before[kind])
	maps.Copy(names, lost.restored[kind])
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, wasPresent := lost.before[kind][name]
		restored, inSnapshot := lost.restored[kind][name]
		current, exists := s.kinds[kind][name]
		switch {
		case inSnapshot != exists || current.Metadata.Revision != restored.Metadata.Revision || inSnapshot && wasPresent && before.Metadata.Revision == restored.Metadata.Revision:
			// The object was written since the rollback, or was not lost.
		case wasPresent:
			s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: before.Spec, Status: current.Status})
		default:
			s.remove(kind, name)
		}
	}
}

// Era returns the number of rollbacks.
func (s *Stub) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Set writes the spec of an object unconditionally, as the operator and the workers do, and
// returns the new revision.
func (s *Stub) Set(kind, name string, spec any) uint64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // callers pass types that can be encoded
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: encoded, Status: s.kinds[kind][name].Status}).Metadata.Revision
}

// Remove removes an object.
func (s *Stub) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(kind, name)
}

// put stores an object at the next revision. The caller holds the mutex.
func (s *Stub) put(kind string, object Object) Object {
	s.revision++
	object.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.kinds[kind][object.Metadata.Name] = object
	s.appendEvent(event{kind: kind, revision: s.revision, Object: object})
	return object
}

func (s *Stub) remove(kind, name string) {
	object := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	s.appendEvent(event{kind: kind, revision: s.revision, Object: object, Gone: true})
}

func (s *Stub) appendEvent(change event) {
	s.history = append(s.history, change)
	if !s.faults.StallWatches {
		close(s.notify)
		s.notify = make(chan struct{})
	}
}

// Handler returns the HTTP handler of the store.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.list)
	mux.HandleFunc("POST /-/objects/{kind}", s.write)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.write)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.writeStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.delete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.callCount++
		down := s.faults.Down
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
		s.mutex.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Stub) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	object, known := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	s.mutex.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	after := query.Get("after")
	s.mutex.Lock()
	s.listCalls[r.PathValue("kind")]++
	var items []Object
	for name, object := range s.kinds[r.PathValue("kind")] {
		if name > after {
			items = append(items, object)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageLength
	writeJSON(w, http.StatusOK, struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		At    uint64   `json:"at"`
	}{items[:min(len(items), pageLength)], more, at})
}

// watch answers as soon as there are changes, or when the wait ends.
func (s *Stub) watch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.ParseUint(r.URL.Query().Get("waitMs"), 10, 32)
	if errAfter != nil || errWait != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.watchCalls[r.PathValue("kind")]++
	era := s.era
	s.mutex.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		notify, at, compacted := s.notify, s.revision, after < s.compactedTo || after > s.revision
		events := s.eventsAfter(r.PathValue("kind"), after)
		rolledBack := s.era != era
		s.mutex.Unlock()
		if rolledBack {
			panic(http.ErrAbortHandler)
		}
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		timedOut := false
		if len(events) == 0 {
			select {
			case <-notify:
				continue
			case <-timer.C:
				if s.watchesStalled() {
					<-r.Context().Done() // closes the connection without a response
					return
				}
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if timedOut {
			at = after
		}
		writeJSON(w, http.StatusOK, struct {
			Events []event `json:"events"`
			At     uint64  `json:"at"`
		}{events, at})
		return
	}
}

func (s *Stub) watchesStalled() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.StallWatches
}

// eventsAfter returns the changes of a kind after a revision. The caller holds the mutex.
func (s *Stub) eventsAfter(kind string, after uint64) []event {
	if s.faults.StallWatches {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.history), func(change event) bool { return change.kind != kind || change.revision <= after })
}

// write creates or replaces an object if its revision matches the given one.
func (s *Stub) write(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, known := s.kinds[kind][object.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && known, object.Metadata.Revision != 0 && object.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
		return
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	written := s.put(kind, object)
	s.respondToWrite(w, written)
}

// readObject decodes the object in the body of a write, and answers 400 if there is none.
func readObject(w http.ResponseWriter, r *http.Request) (object Object, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return Object{}, false
	}
	return object, true
}

// respondToWrite answers a completed write, unless its response is to be dropped. The caller holds the mutex.
func (s *Stub) respondToWrite(w http.ResponseWriter, written Object) {
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, written)
}

// writeStatus replaces an object's status if its revision matches the given one.
func (s *Stub) writeStatus(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, known := s.kinds[kind][r.PathValue("name")]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
		return
	case object.Metadata.Revision != 0 && object.Metadata.Revision != current.Metadata.Revision:
		writeJSON(w, http.StatusConflict, current)
		return
	}
	current.Status = object.Status
	written := s.put(kind, current)
	s.respondToWrite(w, written)
}

// Status returns an object's status, or nil if there is none.
func (s *Stub) Status(kind, name string) json.RawMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.kinds[kind][name].Status
}

func (s *Stub) delete(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	revision := r.URL.Query().Get("revision")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, known := s.kinds[kind][name]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(current.Metadata.Revision, 10):
		writeJSON(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	}
}
