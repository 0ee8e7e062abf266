package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectMetadata is the metadata of an object in the platform's store.
type objectMetadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleting bool   `json:"deleting,omitempty"`
}

// storedObject is an object of the store.
type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is one entry of the history.
type change struct {
	kind   string
	Object storedObject `json:"object"`
	Gone   bool         `json:"gone"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	server *http.Server

	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	history  []change
	changed  chan struct{} // closed and replaced at each change
}

// startStore serves an empty store on the address.
func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}

// put writes an object as the operator or a worker does.
func (s *store) put(kind, name string, spec, status any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, storedObject{Metadata: objectMetadata{Name: name}, Spec: encode(spec), Status: encode(status)})
}

func encode(value any) json.RawMessage {
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of the cases can be encoded
	}
	return data
}

// write stores an object under a new revision. The mutex must be held.
func (s *store) write(kind string, object storedObject) storedObject {
	s.revision++
	object.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.objects[kind][object.Metadata.Name] = object
	s.record(change{kind: kind, Object: object})
	return object
}

// record adds to the history and wakes the watches. The mutex must be held.
func (s *store) record(entry change) {
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts[0], parts[1])
	case r.Method == http.MethodPost && len(parts) == 1:
		s.create(w, r, parts[0])
	case r.Method == http.MethodPut:
		s.replace(w, r, parts)
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.remove(w, r, parts[0], parts[1])
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(value))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	after := r.URL.Query().Get("after")
	items := make([]storedObject, 0, len(s.objects[kind]))
	for name, object := range s.objects[kind] {
		if name > after {
			items = append(items, object)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, object)
}

// watch answers with the changes after a revision as soon as there is one, or when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mutex.Lock()
		events := make([]change, 0)
		for _, entry := range s.history {
			if entry.kind == kind && entry.Object.Metadata.Revision > after {
				events = append(events, entry)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var object storedObject
	if json.NewDecoder(r.Body).Decode(&object) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current, found := s.objects[kind][object.Metadata.Name]; found {
		reply(w, http.StatusConflict, current)
		return
	}
	reply(w, http.StatusOK, s.write(kind, object))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request, parts []string) {
	var object storedObject
	if len(parts) < 2 || json.NewDecoder(r.Body).Decode(&object) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.objects[parts[0]][parts[1]]
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
		return
	case object.Metadata.Revision != 0 && object.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
		return
	case len(parts) == 3 && parts[2] == "status":
		current.Status = object.Status
	default:
		current.Spec = object.Spec
	}
	reply(w, http.StatusOK, s.write(parts[0], current))
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	expected := r.URL.Query().Get("revision")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.objects[kind][name]
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
		return
	case expected != "" && expected != strconv.FormatUint(current.Metadata.Revision, 10):
		reply(w, http.StatusConflict, current)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	current.Metadata.Revision = s.revision
	s.record(change{kind: kind, Object: current, Gone: true})
	reply(w, http.StatusOK, current)
}
