// Package lease grants one daemon at a time the right to a duty, through the
// platform's store.
//
// A lease is an object whose version changes with each renewal. A daemon that
// wants it reads the object, and takes it only after having seen the same version
// for the whole lifetime by its own clock, so that clocks need not agree. The
// holder may act while less than the lifetime, shortened by a margin, has passed
// since it began its last renewal. That is asked at the moment of use, so that a
// holder that was paused past the end does nothing. A daemon that restarts goes on with
// the lease that it held, as nobody else can listen at its address. The object's version is the
// fence: it grows with each holder.
//
// A store that comes back older may have lost the lease, or hold that of an earlier holder, while the
// present one has not heard of it. Nobody takes it for a lifetime then, but for the daemon whose own right was in force: it
// may not act until it has written the lease again, whatever its clock says.
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

// State is what one daemon knows of one lease. It is pure and not safe for
// concurrent use.
type State struct {
	version objectstore.Version // last seen
	seen    time.Time           // when this version was first seen
	until   time.Time           // end of the daemon's own right; zero: none
	// inherited: the holder of the version seen is this daemon before it restarted.
	inherited bool
	// resumeUntil is until when the daemon may write the lease again that the store has lost, and contested until
	// when another one may still act by it; zero: none.
	resumeUntil, contested time.Time
}

// Observe notes the version read from the store; 0 means that there is no object.
func (s *State) Observe(now time.Time, version objectstore.Version) {
	if s.seen.IsZero() || version != s.version {
		s.version, s.seen, s.inherited = version, now, false
	}
}

// Inherit notes that the holder of the version seen is a daemon at this daemon's own
// address, which has ended, as this one could not listen there otherwise.
func (s *State) Inherit() {
	s.inherited = true
}

// CanAcquire says whether the lease is free: it never existed, was seen unchanged for a
// whole lifetime, or is this daemon's from before it restarted.
func (s *State) CanAcquire(now time.Time) bool {
	switch {
	case now.Before(s.resumeUntil):
		return true
	case s.seen.IsZero() || now.Before(s.contested):
		return false
	}
	return s.version == 0 || s.inherited || now.Sub(s.seen) >= Lifetime
}

// StoreRolledBack notes that what the store says of the lease may be older than what daemons act by.
func (s *State) StoreRolledBack(now time.Time) {
	if s.Valid(now) {
		s.resumeUntil = s.until // nobody else has a right
	} else if !now.Before(s.resumeUntil) {
		s.contested = now.Add(Lifetime)
	}
	s.until = time.Time{}
}

// Written notes that the daemon's own write, begun at the given time, took effect.
func (s *State) Written(begun time.Time, version objectstore.Version) {
	*s = State{version: version, seen: begun, until: begun.Add(Lifetime - margin)}
}

// Lost notes that another daemon has the lease.
func (s *State) Lost() {
	s.until, s.resumeUntil = time.Time{}, time.Time{}
}

// Valid says whether the daemon may act now.
func (s *State) Valid(now time.Time) bool {
	return now.Before(s.until)
}

// ValidUntil returns the end of the daemon's right.
func (s *State) ValidUntil() time.Time {
	return s.until
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
	// era is that of the store by which the state holds, once it was asked.
	era   uint64
	asked bool
}

// New returns a lease that is not held. holder names the daemon and the address at
// which it listens, so that no other process that runs has the same. The clock must count the
// time that the machine sleeps: others take the lease over meanwhile.
func New(store objectstore.Store, name, holder string, now clock.Clock) *Lease {
	return &Lease{store: store, key: objectstore.Key{Kind: "lease", Name: name}, holder: holder, now: clock.OrSteady(now)}
}

// Valid says whether this daemon holds the lease now. It does not block on the
// store; ask at the moment of use.
func (l *Lease) Valid() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteEra()
	return l.state.Valid(l.now())
}

// noteEra looks whether the store has come back older. The caller holds the mutex.
func (l *Lease) noteEra() {
	if era := l.store.Era(); l.asked && era > l.era {
		l.era = era
		l.state.StoreRolledBack(l.now())
	}
}

// Remaining returns for how long the daemon may still act; 0 or less: not now.
func (l *Lease) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteEra()
	return l.state.ValidUntil().Sub(l.now())
}

// AcquireOrRenew renews the lease if it is held, or takes it if it is free. It makes at
// most one read and one write, and is called every RenewInterval while the duty is
// wanted.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if !l.Valid() {
		if err := l.look(ctx); err != nil {
			return err
		}
	}
	l.mutex.Lock()
	now := l.now()
	act := l.state.Valid(now) || l.state.CanAcquire(now)
	expected := l.state.version
	era := l.era
	l.mutex.Unlock()
	if !act {
		return nil
	}
	return l.write(ctx, expected, era)
}

func (l *Lease) look(ctx context.Context) error {
	object, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return errors.Annotatef(err, "lease %s", l.key.Name)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteEra()
	if !l.asked {
		l.asked, l.era = true, l.store.Era()
	}
	l.state.Observe(l.now(), object.Version)
	var present record
	// A record that cannot be read is another's.
	if json.Unmarshal(object.Value, &present) == nil && present.Holder == l.holder {
		l.state.Inherit()
	}
	return nil
}

// write writes the lease, by what is known of it in an era.
func (l *Lease) write(ctx context.Context, expected objectstore.Version, era uint64) error {
	data, err := json.Marshal(record{Holder: l.holder})
	if err != nil {
		return err
	}
	begun := l.now()
	version, err := l.store.Put(ctx, l.key, data, expected)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.noteEra()
	switch {
	case l.era != era && (err == nil || errors.Is(err, objectstore.ErrConflict)):
		return nil // what was known does not hold any more; the next look shows what does
	case err == nil:
		l.state.Written(begun, version)
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		l.state.Lost()
		return nil
	}
	// A write without an answer may have taken effect. The right is not
	// prolonged; the next look shows a new version, which is then waited out.
	return errors.Annotatef(err, "lease %s", l.key.Name)
}
