package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event are the store's encoding, as PROTOCOL.md gives it.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
}

type loggedEvent struct {
	kind     string
	revision uint64
	event    event
}

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision
// counter, conditional writes and watches.
type store struct {
	mutex    sync.Mutex
	changed  chan struct{} // closed and replaced with each change
	revision uint64
	objects  map[string]map[string]object
	log      []loggedEvent
	// silent: calls get no answer.
	silent   bool
	listener net.Listener
	server   *http.Server
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), objects: make(map[string]map[string]object), listener: listener}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { s.server.Close() }

// setSilent makes the store answer no call, or answer again.
func (s *store) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

// write sets an object. The caller holds the mutex.
func (s *store) write(kind string, changed object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	current, found := s.objects[kind][changed.Metadata.Name]
	changed.Metadata.Revision = s.revision
	changed.Metadata.Made = s.revision
	if found {
		changed.Metadata.Made = current.Metadata.Made
	}
	s.objects[kind][changed.Metadata.Name] = changed
	s.record(kind, event{Object: changed})
	return changed
}

// record appends an event. The caller holds the mutex.
func (s *store) record(kind string, happened event) {
	s.log = append(s.log, loggedEvent{kind: kind, revision: s.revision, event: happened})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put sets an object's spec, as the operator and the workers do. It returns false while the store is
// silent.
func (s *store) put(kind, name string, spec any) bool {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.silent {
		return false
	}
	s.write(kind, object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: encoded})
	return true
}

// remove removes an object.
func (s *store) remove(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.silent {
		return false
	}
	s.delete(kind, name)
	return true
}

// delete removes an object. The caller holds the mutex.
func (s *store) delete(kind, name string) {
	current, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	current.Metadata.Revision = s.revision
	s.record(kind, event{Object: current, Gone: true})
}

// ServeHTTP answers a call of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	body, _ := io.ReadAll(r.Body)
	path, found := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	w.Header().Set("Store-Era", "0")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		current, known := s.objects[kind][name]
		s.mutex.Unlock()
		if !known {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, current)
	default:
		s.serveWrite(w, r, kind, name, isStatus, body)
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	items := []object{}
	for _, current := range s.objects[kind] {
		if current.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, current)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		silent, changed, at := s.silent, s.changed, s.revision
		events := []event{}
		for _, logged := range s.log {
			if logged.kind == kind && logged.revision > after {
				events = append(events, logged.event)
			}
		}
		s.mutex.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, body []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sent object
	if r.Method != http.MethodDelete && json.Unmarshal(body, &sent) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	current, known := s.objects[kind][name]
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && known:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.write(kind, object{Metadata: metadata{Name: name, Finalizers: sent.Metadata.Finalizers}, Spec: sent.Spec}))
	case !known:
		reply(w, http.StatusNotFound, struct{}{})
	case expected != 0 && expected != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(w, http.StatusOK, struct{}{})
	case r.Method == http.MethodPut && isStatus:
		current.Status = sent.Status
		reply(w, http.StatusOK, s.write(kind, current))
	case r.Method == http.MethodPut:
		current.Spec, current.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		reply(w, http.StatusOK, s.write(kind, current))
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
