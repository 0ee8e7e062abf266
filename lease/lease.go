// Package lease grants one daemon at a time an exclusive duty, through the
// platform's store.
//
// A lease is an object whose version changes with each renewal. A daemon that
// wants the lease reads the object, and acquires it only after having seen the
// same version for the whole lifetime by its own clock, so that clocks need not
// be synchronized. The lease is valid for its holder for the lifetime less a
// margin, counted from the start of the last renewal. The holder checks this at
// the moment of use, so that a holder that was paused past the end does nothing.
// A daemon that restarts resumes the lease that it held, as no other process can
// listen at its address. The object's version serves as a fencing token: it
// increases with each holder.
//
// After a store rollback, the lease object may be missing, or be that of an
// earlier holder, while the current holder does not know it yet. Daemons then
// acquire the lease only after a further lifetime. The exception is the daemon
// whose lease was valid: it may write the lease again at once, but may not act
// before that, even if its lease would not have expired yet.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/objectstore"
)

// Timing of a lease.
const (
	// Lifetime is how long a lease lasts without renewal.
	Lifetime = 10 * time.Second
	// margin is the part of the lifetime that the holder does not use.
	margin = 2 * time.Second
	// RenewInterval is how often the holder renews.
	RenewInterval = 3 * time.Second
)

// State is one daemon's view of one lease. It does no I/O and is not safe for
// concurrent use.
type State struct {
	version    objectstore.Version // last seen in the store
	firstSeen  time.Time           // when this version was first seen
	validUntil time.Time           // until when this daemon may act; zero: it may not
	// heldBeforeRestart is true if this daemon wrote the version before it restarted.
	heldBeforeRestart bool
	// After a store rollback, reacquireUntil is until when this daemon may write its lost lease again,
	// and contestedUntil is until when another daemon may still act on one; zero: neither.
	reacquireUntil, contestedUntil time.Time
}

// Observe records the version read from the store; 0 means that the object does not exist.
func (s *State) Observe(now time.Time, version objectstore.Version) {
	if s.firstSeen.IsZero() || version != s.version {
		s.version, s.firstSeen, s.heldBeforeRestart = version, now, false
	}
}

// Inherit records that the version was written by an earlier process of this daemon. That process
// has ended, because otherwise this one could not listen at the same address.
func (s *State) Inherit() {
	s.heldBeforeRestart = true
}

// CanAcquire reports whether the daemon may write the lease: the object never existed, has not
// changed for a whole lifetime, or was written by this daemon before it restarted.
func (s *State) CanAcquire(now time.Time) bool {
	switch {
	case now.Before(s.reacquireUntil):
		return true
	case s.firstSeen.IsZero() || now.Before(s.contestedUntil):
		return false
	}
	return s.version == 0 || s.heldBeforeRestart || now.Sub(s.firstSeen) >= Lifetime
}

// StoreRolledBack records that the store may hold an older lease object than daemons act on.
func (s *State) StoreRolledBack(now time.Time) {
	if s.Valid(now) {
		s.reacquireUntil = s.validUntil // no other daemon may act until then
	} else if !now.Before(s.reacquireUntil) {
		s.contestedUntil = now.Add(Lifetime)
	}
	s.validUntil = time.Time{}
}

// Written records that the daemon's own write, started at the given time, took effect.
func (s *State) Written(startedAt time.Time, version objectstore.Version) {
	*s = State{version: version, firstSeen: startedAt, validUntil: startedAt.Add(Lifetime - margin)}
}

// Lost records that another daemon has written the lease.
func (s *State) Lost() {
	s.validUntil, s.reacquireUntil = time.Time{}, time.Time{}
}

// Valid reports whether the daemon may act now.
func (s *State) Valid(now time.Time) bool {
	return now.Before(s.validUntil)
}

// ValidUntil returns until when the daemon may act.
func (s *State) ValidUntil() time.Time {
	return s.validUntil
}

// record is the value of a lease object.
type record struct {
	Holder string `json:"holder"`
}

// Lease is a lease that this daemon may hold. It is safe for concurrent use.
type Lease struct {
	store  objectstore.Store
	key    objectstore.Key
	holder string
	now    clock.Clock

	mutex sync.Mutex
	state State
	// era is the store's era to which state belongs; it is known after the first read.
	era      uint64
	eraKnown bool
}

// New returns a lease that is not held. holder identifies the daemon and the address at which it
// listens, so that no two running processes share it. The clock must count the time that the machine
// is suspended, as other daemons may acquire the lease meanwhile.
func New(store objectstore.Store, name, holder string, now clock.Clock) *Lease {
	return &Lease{store: store, key: objectstore.Key{Kind: "lease", Name: name}, holder: holder, now: clock.OrMonotonic(now)}
}

// Valid reports whether this daemon holds the lease now. It does not call the store; call it at the
// moment of use.
func (l *Lease) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEra()
	return l.state.Valid(l.now())
}

// checkEra detects store rollbacks. The caller holds the mutex.
func (l *Lease) checkEra() {
	if era := l.store.Era(); l.eraKnown && era > l.era {
		l.era = era
		l.state.StoreRolledBack(l.now())
	}
}

// Remaining returns for how much longer the daemon may act; if not positive, it may not act now.
func (l *Lease) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEra()
	return l.state.ValidUntil().Sub(l.now())
}

// AcquireOrRenew renews the lease if it is held, or acquires it if it is free. It makes at most one
// read and one write. It is called every RenewInterval while the daemon wants the lease.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if !l.Valid() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	l.mutex.Lock()
	now := l.now()
	mayWrite := l.state.Valid(now) || l.state.CanAcquire(now)
	expected := l.state.version
	era := l.era
	l.mutex.Unlock()
	if !mayWrite {
		return nil
	}
	return l.write(ctx, expected, era)
}

func (l *Lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return errors.Annotatef(err, "lease %s", l.key.Name)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEra()
	if !l.eraKnown {
		l.eraKnown, l.era = true, l.store.Era()
	}
	l.state.Observe(l.now(), object.Version)
	var current record
	// A record that cannot be decoded counts as another daemon's.
	if json.Unmarshal(object.Value, &current) == nil && current.Holder == l.holder {
		l.state.Inherit()
	}
	return nil
}

// write writes the lease; expected and era are those on which the decision to write was based.
func (l *Lease) write(ctx context.Context, expected objectstore.Version, era uint64) error {
	data, err := json.Marshal(record{Holder: l.holder})
	if err != nil {
		return err
	}
	startedAt := l.now()
	version, err := l.store.Put(ctx, l.key, data, expected)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEra()
	switch {
	case l.era != era && (err == nil || errors.Is(err, objectstore.ErrConflict)):
		return nil // the decision is outdated; the next read shows the current lease
	case err == nil:
		l.state.Written(startedAt, version)
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		l.state.Lost()
		return nil
	}
	// The write may have taken effect although its response is missing. The lease is not
	// extended; a later read shows the version that is stored.
	return errors.Annotatef(err, "lease %s", l.key.Name)
}
