// Package objectstore is the client side of the platform's two services: the
// object API, which keeps everything that must last or must be agreed, and
// the machine list.
//
// The object API gives each object a version that grows with every write.
// Writes are conditional on the version the writer has read, which is the only
// form of agreement the load balancer relies on. Every call counts against the
// platform's rates, a waiting watch as one call.
package objectstore

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store. Test them with errors.Is.
const (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict: the object's version is not the expected one. Nothing was written.
	ErrConflict = errors.ConstError("version conflict")
	// ErrUnavailable: the store did not take the call. Nothing was written.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrOutcomeUnknown: the call got no answer; a write may have taken effect.
	ErrOutcomeUnknown = errors.ConstError("store gave no answer")
	// ErrTooLarge: the value is larger than MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
)

// MaxValueBytes is the largest value the store takes.
const MaxValueBytes = 1 << 20

// Key names an object.
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
	// Get reads one object.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes the value if the object's version is expected (0: must not
	// exist) and returns the new version.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// Delete removes the object if its version is expected.
	Delete(ctx context.Context, key Key, expected Version) error
	// List returns the objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch returns the object once its version is above after, or
	// ErrNotFound when wait has passed without a change.
	Watch(ctx context.Context, key Key, after Version, wait time.Duration) (Object, error)
	// Era returns the highest era that the store is known to have been in; it does not block. Where it rises,
	// what the store acknowledged last may be lost.
	Era() uint64
	// ObserveEra notes an era that another daemon knows of. It does not block.
	ObserveEra(era uint64)
}

// MachineState is what the machine list says of a machine.
type MachineState string

// The machine states.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineRole says what a machine is for.
type MachineRole string

// The machine roles.
const (
	RoleEntry   MachineRole = "entry"
	RoleBackend MachineRole = "backend"
)

// Machine is one row of the machine list. The list lags behind the truth.
type Machine struct {
	ID      string       `json:"id"`
	Role    MachineRole  `json:"role"`
	Address string       `json:"address"` // peer address of an entry machine, service address of a back end
	Region  string       `json:"region"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

// Machines is the machine list.
type Machines interface {
	// Machines returns the whole list.
	Machines(ctx context.Context) ([]Machine, error)
}
