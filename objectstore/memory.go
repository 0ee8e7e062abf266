package objectstore

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"
)

// Memory is an in-memory implementation of Store and Machines, without persistence. Standalone
// mode and the lab's platform stub use it.
type Memory struct {
	mutex    sync.Mutex
	era      uint64
	objects  map[Key]Object
	latest   Version
	changed  chan struct{}
	machines []Machine
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[Key]Object), changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key Key) (Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, key Key, value []byte, expected Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.objects[key].Version != expected {
		return 0, ErrConflict
	}
	m.latest++
	m.objects[key] = Object{Key: key, Version: m.latest, Value: append([]byte(nil), value...)}
	m.notify()
	return m.latest, nil
}

// Delete implements Store.
func (m *Memory) Delete(_ context.Context, key Key, expected Version) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return ErrNotFound
	}
	if object.Version != expected {
		return ErrConflict
	}
	m.latest++
	delete(m.objects, key)
	m.notify()
	return nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, kind string) ([]Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []Object
	for key, object := range m.objects {
		if key.Kind == kind {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key.Name < found[j].Key.Name })
	return found, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key Key, after Version, wait time.Duration) (Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mutex.Lock()
		object, changed := m.objects[key], m.changed
		m.mutex.Unlock()
		if object.Version > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Object{}, ErrNotFound
		case <-ctx.Done():
			return Object{}, ctx.Err()
		}
	}
}

// Era implements Store.
func (m *Memory) Era() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.era
}

// ObserveEra implements Store. It does nothing, because only the store itself begins eras.
func (m *Memory) ObserveEra(uint64) {}

// Snapshot is the state of a Memory at one time.
type Snapshot struct {
	objects map[Key]Object
	latest  Version
}

// Snapshot returns the current state of the store.
func (m *Memory) Snapshot() Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Snapshot{objects: maps.Clone(m.objects), latest: m.latest}
}

// RollBack restores a snapshot, so that all later writes are lost, and begins the next era.
func (m *Memory) RollBack(snapshot Snapshot) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.era++
	m.objects = maps.Clone(snapshot.objects)
	m.latest = NewVersion(m.era, snapshot.latest.Revision())
	m.notify()
}

// notify wakes up all waiting watches. The caller holds the mutex.
func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetMachines replaces the machine list.
func (m *Memory) SetMachines(machines []Machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.machines = append([]Machine(nil), machines...)
}

// Machines implements Machines.
func (m *Memory) Machines(context.Context) ([]Machine, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]Machine(nil), m.machines...), nil
}
