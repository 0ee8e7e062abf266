// Package objectstub stands in for the users' platform store: objects by kind and
// name over HTTP, with one revision counter, conditional updates, lists in pages,
// watches whose history can be dropped, and faults by script.
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

// Metadata is what the store keeps of an object.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Faults say how the store misbehaves. The zero value is a store that is well.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// StallWatches watches hear of no change, nor of the end of their wait.
	StallWatches bool
	// DropResponses is how many coming writes take effect without an answer.
	DropResponses int
}

// headerEra tells in each answer how often the store has come back older.
const headerEra = "Store-Era"

// pageLength is how many objects one answer to a list holds.
const pageLength = 20

type event struct {
	kind   string
	at     uint64
	Object Object `json:"object"`
	Gone   bool   `json:"gone"`
}

// Stub is the stand-in. It is safe for concurrent use.
type Stub struct {
	mutex    sync.Mutex
	era      uint64
	revision uint64
	kinds    map[string]map[string]Object
	history  []event
	floor    uint64 // changes up to here are forgotten
	changed  chan struct{}
	faults   Faults
	calls    int
	lists    map[string]int // by kind
	watches  map[string]int // by kind
}

// New returns a store that is well and empty.
func New() *Stub {
	return &Stub{kinds: make(map[string]map[string]Object), lists: make(map[string]int), watches: make(map[string]int), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Stub) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Calls returns how many calls were made.
func (s *Stub) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ListCalls returns how many calls listed a kind.
func (s *Stub) ListCalls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lists[kind]
}

// WatchCalls returns how many calls watched a kind.
func (s *Stub) WatchCalls(kind string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches[kind]
}

// Revision returns the revision of the last change.
func (s *Stub) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Compact forgets the history. Watches that wait are not told.
func (s *Stub) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.floor = nil, s.revision
}

// Snapshot is what the store held at a moment.
type Snapshot struct {
	revision, floor uint64
	kinds           map[string]map[string]Object
	history         []event
}

// Snapshot returns what the store holds now.
func (s *Stub) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{revision: s.revision, floor: s.floor, kinds: cloneKinds(s.kinds), history: slices.Clone(s.history)}
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	cloned := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		cloned[kind] = maps.Clone(objects)
	}
	return cloned
}

// RollBack loses what was written since the copy was taken, and begins the next era: revisions go back, and
// are given out again. Watches that wait are cut. It returns what was lost.
func (s *Stub) RollBack(from Snapshot) RollbackLoss {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := RollbackLoss{before: s.kinds, copied: cloneKinds(from.kinds)}
	s.era++
	s.revision, s.floor, s.kinds, s.history = from.revision, from.floor, cloneKinds(from.kinds), slices.Clone(from.history)
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// RollbackLoss is what a store had before it came back older, and what it came back with.
type RollbackLoss struct {
	before, copied map[string]map[string]Object
}

// RewriteLost writes objects of a kind as they were before the store came back older, as those do who wrote them, unless they were
// written since.
func (s *Stub) RewriteLost(lost RollbackLoss, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := maps.Clone(lost.before[kind])
	maps.Copy(names, lost.copied[kind])
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := lost.before[kind][name]
		copied, has := lost.copied[kind][name]
		present, there := s.kinds[kind][name]
		switch {
		case has != there || present.Metadata.Revision != copied.Metadata.Revision || has && had && before.Metadata.Revision == copied.Metadata.Revision:
			// It was written since, or was not lost.
		case had:
			s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: before.Spec, Status: present.Status})
		default:
			s.remove(kind, name)
		}
	}
}

// Era returns how often the store has come back older.
func (s *Stub) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Set writes the spec of an object whatever its revision, as the operator and the workers do,
// and returns the new revision.
func (s *Stub) Set(kind, name string, spec any) uint64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the caller's own types
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

// put stores the object at the next revision. The caller holds the mutex.
func (s *Stub) put(kind string, object Object) Object {
	s.revision++
	object.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.kinds[kind][object.Metadata.Name] = object
	s.note(event{kind: kind, at: s.revision, Object: object})
	return object
}

func (s *Stub) remove(kind, name string) {
	object := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	s.note(event{kind: kind, at: s.revision, Object: object, Gone: true})
}

func (s *Stub) note(one event) {
	s.history = append(s.history, one)
	if !s.faults.StallWatches {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Handler returns the store's interface.
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
		s.calls++
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

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone cannot be told.
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
	answer(w, http.StatusOK, object)
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	after := query.Get("after")
	s.mutex.Lock()
	s.lists[r.PathValue("kind")]++
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
	answer(w, http.StatusOK, struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		At    uint64   `json:"at"`
	}{items[:min(len(items), pageLength)], more, at})
}

// watch answers once there are changes, or when the wait is over.
func (s *Stub) watch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.ParseUint(r.URL.Query().Get("waitMs"), 10, 32)
	if errAfter != nil || errWait != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.watches[r.PathValue("kind")]++
	era := s.era
	s.mutex.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		changed, at, forgotten := s.changed, s.revision, after < s.floor || after > s.revision
		events := s.since(r.PathValue("kind"), after)
		cut := s.era != era
		s.mutex.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		if forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				if s.deaf() {
					<-r.Context().Done() // cut without a word
					return
				}
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if over {
			at = after
		}
		answer(w, http.StatusOK, struct {
			Events []event `json:"events"`
			At     uint64  `json:"at"`
		}{events, at})
		return
	}
}

func (s *Stub) deaf() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.StallWatches
}

// since returns a kind's changes after a revision. The caller holds the mutex.
func (s *Stub) since(kind string, after uint64) []event {
	if s.faults.StallWatches {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.history), func(one event) bool { return one.kind != kind || one.at <= after })
}

// write makes or replaces an object, if its revision is the one that is given.
func (s *Stub) write(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present, known := s.kinds[kind][object.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && known, object.Metadata.Revision != 0 && object.Metadata.Revision != present.Metadata.Revision:
		answer(w, http.StatusConflict, present)
		return
	case r.Method == http.MethodPut && !known:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	written := s.put(kind, object)
	s.acknowledge(w, written)
}

// readObject reads the object that a call writes, and answers the call where it has none.
func readObject(w http.ResponseWriter, r *http.Request) (object Object, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return Object{}, false
	}
	return object, true
}

// acknowledge answers a write that was done, unless its answer is to be lost. The caller holds the mutex.
func (s *Stub) acknowledge(w http.ResponseWriter, written Object) {
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, written)
}

// writeStatus replaces an object's status, if its revision is the one that is given.
func (s *Stub) writeStatus(w http.ResponseWriter, r *http.Request) {
	object, ok := readObject(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present, known := s.kinds[kind][r.PathValue("name")]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
		return
	case object.Metadata.Revision != 0 && object.Metadata.Revision != present.Metadata.Revision:
		answer(w, http.StatusConflict, present)
		return
	}
	present.Status = object.Status
	written := s.put(kind, present)
	s.acknowledge(w, written)
}

// Status returns an object's status; nil where there is none.
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
	present, known := s.kinds[kind][name]
	switch {
	case !known:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(present.Metadata.Revision, 10):
		answer(w, http.StatusConflict, present)
	default:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	}
}
