// Package objectstore is the client side of the platform's two services: the
// object API, which stores everything that must be durable or agreed on, and
// the machine list.
//
// The object API gives each object a version that increases with every write.
// Writes are conditional on the version that the writer has read (compare and
// swap), which is the only form of agreement the load balancer relies on. Every
// call counts against the platform's rate limits; a waiting watch is one call.
package objectstore

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store, to be tested with errors.Is.
const (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict: the object's version is not the expected one. Nothing was written.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable: the store did not accept the call. Nothing was written.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrOutcomeUnknown: the call got no usable response; a write may have taken effect.
	ErrOutcomeUnknown = errors.ConstError("store gave no answer")
	// ErrTooLarge: the value is larger than MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// Object is a value with the version of its last write.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Store is the object API. Every method may block until ctx ends.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes the value if the object has the expected version (0: does not
	// exist) and returns the new version.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// Delete deletes the object if it has the expected version.
	Delete(ctx context.Context, key Key, expected Version) error
	// List returns the objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch returns the object once its version is above after, or
	// ErrNotFound if there is no change before the wait time ends.
	Watch(ctx context.Context, key Key, after Version, wait time.Duration) (Object, error)
	// Era returns the highest era of the store that is known; it does not block. When it increases, the writes
	// that the store acknowledged last may be lost.
	Era() uint64
	// ObserveEra records an era that another daemon has observed. It does not block.
	ObserveEra(era uint64)
}

// MachineState is the state of a machine on the machine list.
type MachineState string

// Machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineRole is the purpose of a machine.
type MachineRole string

// Machine roles.
const (
	RoleEntry   MachineRole = "entry"
	RoleBackend MachineRole = "backend"
)

// Machine is one entry of the machine list. The list may be out of date.
type Machine struct {
	ID      string       `json:"id"`
	Role    MachineRole  `json:"role"`
	Address string       `json:"address"` // peer address of an entry machine, service address of a back end
	Region  string       `json:"region"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

// Machines provides the machine list.
type Machines interface {
	// Machines returns the whole list.
	Machines(ctx context.Context) ([]Machine, error)
}
