package objectstore

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"
)

// Memory is a Store and a Machines that lives in this process. Standalone mode
// and the lab's stand-in for the platform are built on it; it keeps nothing.
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
	m.wake()
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
	m.wake()
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

// ObserveEra implements Store: nobody knows of more eras than the store itself.
func (m *Memory) ObserveEra(uint64) {}

// Snapshot is what a Memory held at a moment.
type Snapshot struct {
	objects map[Key]Object
	latest  Version
}

// Snapshot returns what the store holds now.
func (m *Memory) Snapshot() Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Snapshot{objects: maps.Clone(m.objects), latest: m.latest}
}

// RollBack loses what was written since the copy was taken, and begins the next era.
func (m *Memory) RollBack(from Snapshot) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.era++
	m.objects = maps.Clone(from.objects)
	m.latest = NewVersion(m.era, from.latest.Revision())
	m.wake()
}

// wake releases every waiting watch. The caller holds the mutex.
func (m *Memory) wake() {
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
