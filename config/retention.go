package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/objectstore"
)

// For how long what the store lost is kept after it came back older. Those who wrote it write it again.
const (
	// retainMissing is how long back ends whose entries are missing are kept: those that live have
	// theirs back two seconds after the return.
	retainMissing = 3 * time.Second
	// retainChanged is how long all other lost changes are kept: entries of back ends that have ended lapse after
	// three of their heartbeats.
	retainChanged = 10 * time.Second
)

// Retention keeps in force what a store that came back older may have lost: of each back end, zone and rollout, what was known last
// goes before what the older copy says, until it is written again or enough time has passed. The zero value keeps nothing. It
// is not safe for concurrent use.
type Retention struct {
	backends retained[DirectoryEntry]
	zones    retained[string]
	orders   retained[Rollout]
}

// retained are the differences between what was in force and what the store said first after it came back older,
// by name.
type retained[T comparable] struct {
	differences  map[string]difference[T]
	missingUntil time.Time
	changedUntil time.Time
}

// difference is what was known of one thing, and what the older copy says; nil: that there is none.
type difference[T comparable] struct {
	known, copied *T
}

// isCopied says whether the store still says what it said first.
func (d difference[T]) isCopied(told *T) bool {
	return told == d.copied || told != nil && d.copied != nil && *told == *d.copied
}

// newRetained returns what differs between two lists, from now on. Names and what makes two values the same are those of the kind.
func newRetained[T comparable](now time.Time, known, copied []T, of kind[T], missing time.Duration) retained[T] {
	made := retained[T]{differences: make(map[string]difference[T]), missingUntil: now.Add(missing), changedUntil: now.Add(retainChanged)}
	for index := range known {
		made.differences[of.name(known[index])] = difference[T]{known: &known[index]}
	}
	for index := range copied {
		one := made.differences[of.name(copied[index])]
		one.copied = &copied[index]
		made.differences[of.name(copied[index])] = one
	}
	for key, one := range made.differences {
		if one.known != nil && one.copied != nil && of.same(*one.known, *one.copied) {
			delete(made.differences, key)
		}
	}
	return made
}

// overrule returns what is to be in force other than as the store tells it: values to set, and names to leave out.
func (r retained[T]) overrule(now time.Time, told []T, of kind[T]) (set []T, without map[string]bool) {
	if !now.Before(r.changedUntil) {
		return nil, nil
	}
	byName := make(map[string]*T, len(r.differences))
	for index := range told {
		if _, differs := r.differences[of.name(told[index])]; differs {
			byName[of.name(told[index])] = &told[index]
		}
	}
	without = make(map[string]bool)
	for key, one := range r.differences {
		present := byName[key]
		if !one.isCopied(present) || present == nil && !now.Before(r.missingUntil) {
			continue // it was written again, or was not in time
		}
		switch chosen := of.choose(one); {
		case chosen != nil:
			set = append(set, *chosen)
		case present != nil:
			without[key] = true
		}
	}
	return set, without
}

// lapses returns when something is next no longer kept; zero: nothing is kept.
func (r retained[T]) lapses(now time.Time) time.Time {
	switch {
	case len(r.differences) == 0 || !now.Before(r.changedUntil):
		return time.Time{}
	case now.Before(r.missingUntil):
		return r.missingUntil
	}
	return r.changedUntil
}

// kind is what there is to know of a kind of thing that the store keeps.
type kind[T comparable] struct {
	name func(T) string
	// same says whether two say the same, whenever they were written.
	same func(a, b T) bool
	// choose returns what is in force of a difference; nil: nothing is.
	choose func(difference[T]) *T
}

// The kinds.
var (
	backendKind = kind[DirectoryEntry]{
		name:   func(one DirectoryEntry) string { return one.ID },
		same:   func(a, b DirectoryEntry) bool { return a.Backend == b.Backend && a.Service == b.Service },
		choose: chooseBackend,
	}
	zoneKind = kind[string]{
		name:   func(zone string) string { return zone },
		same:   func(a, b string) bool { return a == b },
		choose: func(one difference[string]) *string { return one.known },
	}
	orderKind = kind[Rollout]{
		name: func(one Rollout) string { return one.Service },
		same: func(a, b Rollout) bool {
			a.Recorded, b.Recorded = 0, 0
			return a == b
		},
		choose: chooseOrder,
	}
)

// Observe takes in that the store tells a document while another one is in force. It says whether the
// store came back older in between.
func (r *Retention) Observe(now time.Time, inForce, told Document) bool {
	noted := false
	if eraRose(inForce.Directory.Revision, told.Directory.Revision) {
		r.backends = newRetained(now, inForce.Directory.Entries, told.Directory.Entries, backendKind, retainMissing)
		r.backends.drop(func(one difference[DirectoryEntry]) bool {
			return one.known == nil && !inForce.Directory.knowsGone(*one.copied)
		})
		noted = true
	}
	if eraRose(inForce.Evacuations.Revision, told.Evacuations.Revision) {
		r.zones = newRetained(now, inForce.Evacuations.Zones, told.Evacuations.Zones, zoneKind, retainChanged)
		noted = true
	}
	if eraRose(inForce.Rollouts.Revision, told.Rollouts.Revision) {
		r.orders = newRetained(now, inForce.Rollouts.Orders, told.Rollouts.Orders, orderKind, retainChanged)
		noted = true
	}
	return noted
}

// eraRose says whether a part that was known before is told of a later era.
func eraRose(known, told objectstore.Version) bool {
	return known > 0 && told.Era() > known.Era()
}

// drop forgets differences.
func (r retained[T]) drop(forget func(difference[T]) bool) {
	for key, one := range r.differences {
		if forget(one) {
			delete(r.differences, key)
		}
	}
}

// knowsGone says whether an entry is of a run of a back end that has left the directory.
func (d Directory) knowsGone(entry DirectoryEntry) bool {
	return slices.ContainsFunc(d.Tombstones, func(one Tombstone) bool { return one.ID == entry.ID && entry.Started <= one.Started })
}

// Apply returns what is to be in force of what the store tells.
func (r *Retention) Apply(now time.Time, told Document) Document {
	if set, without := r.backends.overrule(now, told.Directory.Entries, backendKind); len(set)+len(without) > 0 {
		told.Directory.Entries, _ = merged(told.Directory.Entries, sortedByID(set), without)
	}
	if set, without := r.zones.overrule(now, told.Evacuations.Zones, zoneKind); len(set)+len(without) > 0 {
		told.Evacuations.Zones = joined(told.Evacuations.Zones, set, without, zoneKind.name)
	}
	if set, without := r.orders.overrule(now, told.Rollouts.Orders, orderKind); len(set)+len(without) > 0 {
		told.Rollouts.Orders = joined(told.Rollouts.Orders, set, without, orderKind.name)
	}
	return told
}

// NextExpiry returns when something is next no longer kept; zero: nothing is kept.
func (r *Retention) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for _, one := range []time.Time{r.backends.lapses(now), r.zones.lapses(now), r.orders.lapses(now)} {
		if next.IsZero() || !one.IsZero() && one.Before(next) {
			next = one
		}
	}
	return next
}

// Counts returns how many differences there are to what the store said first.
func (r *Retention) Counts() (backends, zones, orders int) {
	return len(r.backends.differences), len(r.zones.differences), len(r.orders.differences)
}

// chooseBackend keeps what was known last of a back end, unless the entry is of a later run, or was written later: in what both
// histories share, revisions still order entries.
func chooseBackend(one difference[DirectoryEntry]) *DirectoryEntry {
	if one.known == nil || one.copied == nil {
		return one.known
	}
	if one.copied.Started > one.known.Started || one.copied.Revision.Revision() >= one.known.Revision.Revision() {
		return one.copied
	}
	return one.known
}

// chooseOrder keeps an order that was known last. Of the same order the record that is in the store counts: how far it is, its dispatcher
// knows, which writes it again.
func chooseOrder(one difference[Rollout]) *Rollout {
	if one.known != nil && one.copied != nil && one.known.SameOrder(*one.copied) {
		return one.copied
	}
	return one.known
}

// joined returns a list in the order of names with some values set and others left out.
func joined[T any](list, set []T, without map[string]bool, name func(T) string) []T {
	replaced := make(map[string]bool, len(set))
	for _, one := range set {
		replaced[name(one)] = true
	}
	next := slices.DeleteFunc(slices.Clone(list), func(one T) bool { return without[name(one)] || replaced[name(one)] })
	next = append(next, set...)
	slices.SortFunc(next, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return next
}
