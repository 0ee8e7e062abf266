package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/objectstore"
)

// How long entries that a store rollback has lost are retained, so that their writers have time to write them again.
const (
	// retainMissing applies to back ends whose entries are missing: those that are alive have written
	// theirs again two seconds after the rollback.
	retainMissing = 3 * time.Second
	// retainChanged applies to all other lost changes: the entries of back ends that have exited expire after
	// three of their heartbeats.
	retainChanged = 10 * time.Second
)

// Retention keeps in force what a store rollback may have lost. For each back end, zone and rollout, the last known state
// takes precedence over the state that the store was restored to, until the entry is written again or its retention time has
// passed. The zero value retains nothing. It is not safe for concurrent use.
type Retention struct {
	backends rollbackDiff[DirectoryEntry]
	zones    rollbackDiff[string]
	orders   rollbackDiff[Rollout]
}

// rollbackDiff holds, by name, the differences between what was in force and the first state of the store after its
// rollback.
type rollbackDiff[T comparable] struct {
	differences  map[string]difference[T]
	missingUntil time.Time
	changedUntil time.Time
}

// difference holds the last known and the restored state of one item; nil: it did not exist.
type difference[T comparable] struct {
	known, restored *T
}

// isRestored reports whether the item in the store is still as the rollback restored it.
func (d difference[T]) isRestored(stored *T) bool {
	return stored == d.restored || stored != nil && d.restored != nil && *stored == *d.restored
}

// newRollbackDiff returns the differences between two lists of items of a kind. Retention times begin now.
func newRollbackDiff[T comparable](now time.Time, known, restored []T, kind itemKind[T], missing time.Duration) rollbackDiff[T] {
	diff := rollbackDiff[T]{differences: make(map[string]difference[T]), missingUntil: now.Add(missing), changedUntil: now.Add(retainChanged)}
	for index := range known {
		diff.differences[kind.name(known[index])] = difference[T]{known: &known[index]}
	}
	for index := range restored {
		item := diff.differences[kind.name(restored[index])]
		item.restored = &restored[index]
		diff.differences[kind.name(restored[index])] = item
	}
	for key, item := range diff.differences {
		if item.known != nil && item.restored != nil && kind.equal(*item.known, *item.restored) {
			delete(diff.differences, key)
		}
	}
	return diff
}

// overrides returns the deviations from the stored items that are to be in force: items to set, and names to omit.
func (r rollbackDiff[T]) overrides(now time.Time, stored []T, kind itemKind[T]) (set []T, omit map[string]bool) {
	if !now.Before(r.changedUntil) {
		return nil, nil
	}
	byName := make(map[string]*T, len(r.differences))
	for index := range stored {
		if _, differs := r.differences[kind.name(stored[index])]; differs {
			byName[kind.name(stored[index])] = &stored[index]
		}
	}
	omit = make(map[string]bool)
	for key, item := range r.differences {
		present := byName[key]
		if !item.isRestored(present) || present == nil && !now.Before(r.missingUntil) {
			continue // written again, or still missing after its retention time
		}
		switch chosen := kind.choose(item); {
		case chosen != nil:
			set = append(set, *chosen)
		case present != nil:
			omit[key] = true
		}
	}
	return set, omit
}

// nextExpiry returns when the next retention time ends; zero: nothing is retained.
func (r rollbackDiff[T]) nextExpiry(now time.Time) time.Time {
	switch {
	case len(r.differences) == 0 || !now.Before(r.changedUntil):
		return time.Time{}
	case now.Before(r.missingUntil):
		return r.missingUntil
	}
	return r.changedUntil
}

// itemKind describes a kind of item that the store keeps.
type itemKind[T comparable] struct {
	name func(T) string
	// equal reports whether two items have the same content, whenever they were written.
	equal func(a, b T) bool
	// choose returns the item that is in force; nil: none is.
	choose func(difference[T]) *T
}

var (
	backendKind = itemKind[DirectoryEntry]{
		name:   func(entry DirectoryEntry) string { return entry.ID },
		equal:  func(a, b DirectoryEntry) bool { return a.Backend == b.Backend && a.Service == b.Service },
		choose: chooseBackend,
	}
	zoneKind = itemKind[string]{
		name:   func(zone string) string { return zone },
		equal:  func(a, b string) bool { return a == b },
		choose: func(zone difference[string]) *string { return zone.known },
	}
	orderKind = itemKind[Rollout]{
		name: func(order Rollout) string { return order.Service },
		equal: func(a, b Rollout) bool {
			a.Recorded, b.Recorded = 0, 0
			return a == b
		},
		choose: chooseOrder,
	}
)

// Observe compares a document from the store with the one in force, and reports whether the store was rolled back in
// between.
func (r *Retention) Observe(now time.Time, inForce, stored Document) bool {
	rolledBack := false
	if eraRose(inForce.Directory.Revision, stored.Directory.Revision) {
		r.backends = newRollbackDiff(now, inForce.Directory.Entries, stored.Directory.Entries, backendKind, retainMissing)
		r.backends.deleteFunc(func(entry difference[DirectoryEntry]) bool {
			return entry.known == nil && !inForce.Directory.hasTombstone(*entry.restored)
		})
		rolledBack = true
	}
	if eraRose(inForce.Evacuations.Revision, stored.Evacuations.Revision) {
		r.zones = newRollbackDiff(now, inForce.Evacuations.Zones, stored.Evacuations.Zones, zoneKind, retainChanged)
		rolledBack = true
	}
	if eraRose(inForce.Rollouts.Revision, stored.Rollouts.Revision) {
		r.orders = newRollbackDiff(now, inForce.Rollouts.Orders, stored.Rollouts.Orders, orderKind, retainChanged)
		rolledBack = true
	}
	return rolledBack
}

// eraRose reports whether a part that was known before is stored with a version of a later era.
func eraRose(known, stored objectstore.Version) bool {
	return known > 0 && stored.Era() > known.Era()
}

// deleteFunc deletes the differences for which del returns true.
func (r rollbackDiff[T]) deleteFunc(del func(difference[T]) bool) {
	for key, item := range r.differences {
		if del(item) {
			delete(r.differences, key)
		}
	}
}

// hasTombstone reports whether the entry belongs to a run of a back end that has left the directory.
func (d Directory) hasTombstone(entry DirectoryEntry) bool {
	return slices.ContainsFunc(d.Tombstones, func(tombstone Tombstone) bool {
		return tombstone.ID == entry.ID && entry.Started <= tombstone.Started
	})
}

// Apply returns the document that is to be in force, given the one in the store.
func (r *Retention) Apply(now time.Time, stored Document) Document {
	if set, omit := r.backends.overrides(now, stored.Directory.Entries, backendKind); len(set)+len(omit) > 0 {
		stored.Directory.Entries, _ = mergeEntries(stored.Directory.Entries, sortedByID(set), omit)
	}
	if set, omit := r.zones.overrides(now, stored.Evacuations.Zones, zoneKind); len(set)+len(omit) > 0 {
		stored.Evacuations.Zones = mergeByName(stored.Evacuations.Zones, set, omit, zoneKind.name)
	}
	if set, omit := r.orders.overrides(now, stored.Rollouts.Orders, orderKind); len(set)+len(omit) > 0 {
		stored.Rollouts.Orders = mergeByName(stored.Rollouts.Orders, set, omit, orderKind.name)
	}
	return stored
}

// NextExpiry returns when the next retention time ends; zero: nothing is retained.
func (r *Retention) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for _, expiry := range []time.Time{r.backends.nextExpiry(now), r.zones.nextExpiry(now), r.orders.nextExpiry(now)} {
		if next.IsZero() || !expiry.IsZero() && expiry.Before(next) {
			next = expiry
		}
	}
	return next
}

// Counts returns the numbers of differences found after the last rollback.
func (r *Retention) Counts() (backends, zones, orders int) {
	return len(r.backends.differences), len(r.zones.differences), len(r.orders.differences)
}

// chooseBackend returns the last known entry of a back end, unless the restored one belongs to a later run or was written
// later: revisions still order the entries written before the histories diverged.
func chooseBackend(entry difference[DirectoryEntry]) *DirectoryEntry {
	if entry.known == nil || entry.restored == nil {
		return entry.known
	}
	if entry.restored.Started > entry.known.Started || entry.restored.Revision.Revision() >= entry.known.Revision.Revision() {
		return entry.restored
	}
	return entry.known
}

// chooseOrder returns the last known order. If the store has a record of the same order, that record is used: the
// dispatcher of the service knows its progress and writes it again.
func chooseOrder(order difference[Rollout]) *Rollout {
	if order.known != nil && order.restored != nil && order.known.SameOrder(*order.restored) {
		return order.restored
	}
	return order.known
}

// mergeByName returns the list, sorted by name, with some values set and others omitted.
func mergeByName[T any](list, set []T, omit map[string]bool, name func(T) string) []T {
	replaced := make(map[string]bool, len(set))
	for _, value := range set {
		replaced[name(value)] = true
	}
	next := slices.DeleteFunc(slices.Clone(list), func(value T) bool { return omit[name(value)] || replaced[name(value)] })
	next = append(next, set...)
	slices.SortFunc(next, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return next
}
