package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Revision orders documents. 0 means that nothing has been declared yet.
type Revision uint64

// Bounds on the history kept in the head object. The oldest changes are discarded first.
const (
	MaxHistory      = 200
	MaxHistoryBytes = 512 << 10
)

// ObjectChange is the effect of a change on one object.
type ObjectChange struct {
	Key    ObjectKey       `json:"key"`
	Before json.RawMessage `json:"before,omitempty"` // empty: the object is new
	After  json.RawMessage `json:"after,omitempty"`  // empty: the object was deleted
}

// Change is one accepted change. The operator's command chooses the ID, so that
// it can look the change up in the history if the response was lost.
type Change struct {
	Revision Revision       `json:"revision"`
	ID       string         `json:"id"`
	Author   string         `json:"author"`
	At       time.Time      `json:"at"`
	Summary  string         `json:"summary"`
	Objects  []ObjectChange `json:"objects"`
}

// Document holds all declared objects at one revision, with the recent history
// (oldest first).
type Document struct {
	Revision Revision `json:"revision"`
	// StoreVersion is the version of the document's object in the store; 0: the document was not read from there.
	StoreVersion objectstore.Version `json:"stored,omitempty"`
	Content      Content             `json:"content"`
	History      []Change            `json:"history,omitempty"`
	// Directory, Evacuations and Rollouts are covered neither by the revision nor by the history.
	Directory   Directory   `json:"directory,omitzero"`
	Evacuations Evacuations `json:"evacuations,omitzero"`
	Rollouts    Rollouts    `json:"rollouts,omitzero"`
}

// DecodeDocument decodes a document that Encode has written.
func DecodeDocument(data []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(data, &document); err != nil {
		return Document{}, errors.Annotate(err, "decoding the configuration document")
	}
	return document, nil
}

// Encode encodes the document for the store and for other daemons.
func (d Document) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// objects holds the encoded objects of a content by key.
type objects map[ObjectKey]json.RawMessage

func (c Content) objects() (objects, error) {
	encoded := make(objects)
	put := func(kind Kind, name string, object any) error {
		data, err := json.Marshal(object)
		encoded[ObjectKey{Kind: kind, Name: name}] = data
		return err
	}
	for _, service := range c.Services {
		if err := put(KindService, service.Name, service); err != nil {
			return nil, err
		}
	}
	for _, route := range c.Routes {
		if err := put(KindRoute, route.Name, route); err != nil {
			return nil, err
		}
	}
	for _, placement := range c.Placements {
		if err := put(KindPlacement, placement.Service, placement); err != nil {
			return nil, err
		}
	}
	for _, declared := range c.Policies {
		if err := put(KindPolicy, declared.Name, declared); err != nil {
			return nil, err
		}
	}
	for _, zone := range c.Zones {
		if err := put(KindZone, zone.Name, zone); err != nil {
			return nil, err
		}
	}
	for _, tenant := range c.Tenants {
		if err := put(KindTenant, tenant.Name, tenant); err != nil {
			return nil, err
		}
	}
	for _, rollout := range c.Rollouts {
		if err := put(KindRollout, rollout.Service, rollout); err != nil {
			return nil, err
		}
	}
	if c.Limits != nil {
		if err := put(limitsKey.Kind, limitsKey.Name, c.Limits); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

func (o objects) sortedKeys() []ObjectKey {
	keys := make([]ObjectKey, 0, len(o))
	for key := range o {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}

func (o objects) content() (Content, error) {
	var content Content
	for _, key := range o.sortedKeys() {
		if err := content.add(key, o[key]); err != nil {
			return Content{}, errors.Annotate(err, key.String())
		}
	}
	return content, nil
}

func (c *Content) add(key ObjectKey, data json.RawMessage) error {
	switch key.Kind {
	case KindService:
		return decodeInto(data, &c.Services)
	case KindRoute:
		return decodeInto(data, &c.Routes)
	case KindPlacement:
		return decodeInto(data, &c.Placements)
	case KindPolicy:
		return decodeInto(data, &c.Policies)
	case KindZone:
		return decodeInto(data, &c.Zones)
	case KindTenant:
		return decodeInto(data, &c.Tenants)
	case KindRollout:
		return decodeInto(data, &c.Rollouts)
	case KindLimits:
		return json.Unmarshal(data, &c.Limits)
	default:
		return errors.NotValidf("kind %q", key.Kind)
	}
}

func decodeInto[T any](data json.RawMessage, list *[]T) error {
	var object T
	if err := json.Unmarshal(data, &object); err != nil {
		return err
	}
	*list = append(*list, object)
	return nil
}

// Merge returns the content with the objects of set added or replaced and the
// deleted ones removed.
func (c Content) Merge(set Content, deleted []ObjectKey) (Content, error) {
	merged, err := c.objects()
	if err != nil {
		return Content{}, err
	}
	added, err := set.objects()
	if err != nil {
		return Content{}, err
	}
	for key, data := range added {
		merged[key] = data
	}
	for _, key := range deleted {
		if _, ok := merged[key]; !ok {
			return Content{}, errors.NotFoundf("%s", key)
		}
		delete(merged, key)
	}
	return merged.content()
}

// Diff returns the changes that lead from before to after, ordered by key.
func Diff(before, after Content) ([]ObjectChange, error) {
	old, err := before.objects()
	if err != nil {
		return nil, err
	}
	next, err := after.objects()
	if err != nil {
		return nil, err
	}
	either := make(objects, len(old))
	for key := range old {
		either[key] = nil
	}
	for key := range next {
		either[key] = nil
	}
	var changes []ObjectChange
	for _, key := range either.sortedKeys() {
		if !bytes.Equal(old[key], next[key]) {
			changes = append(changes, ObjectChange{Key: key, Before: old[key], After: next[key]})
		}
	}
	return changes, nil
}

// Advance returns the document after a change to the given content. The change
// gets the next revision.
func (d Document) Advance(content Content, change Change) (Document, error) {
	changed, err := Diff(d.Content, content)
	if err != nil {
		return Document{}, err
	}
	change.Revision = d.Revision + 1
	change.Objects = changed
	history := append(append([]Change(nil), d.History...), change)
	return d.withContent(change.Revision, content, boundHistory(history)), nil
}

// boundHistory drops the oldest changes so that the history stays within its bounds.
func boundHistory(history []Change) []Change {
	size, first := 0, len(history)
	for first > 0 && len(history)-first < MaxHistory {
		encoded, err := json.Marshal(history[first-1])
		if err != nil || size+len(encoded) > MaxHistoryBytes {
			break
		}
		size += len(encoded)
		first--
	}
	return history[first:]
}

// ApplyChanges applies changes that directly follow the document's revision, oldest
// first. It fails if one is missing.
func (d Document) ApplyChanges(changes []Change) (Document, error) {
	current, err := d.Content.objects()
	if err != nil {
		return Document{}, err
	}
	revision := d.Revision
	history := append([]Change(nil), d.History...)
	for _, change := range changes {
		if change.Revision <= revision {
			continue
		}
		if change.Revision != revision+1 {
			return Document{}, errors.NotFoundf("change after revision %d", revision)
		}
		current.apply(change.Objects)
		revision = change.Revision
		history = append(history, change)
	}
	content, err := current.content()
	if err != nil {
		return Document{}, err
	}
	return d.withContent(revision, content, boundHistory(history)), nil
}

// withContent returns the document with other content. The parts that the platform keeps are unchanged.
func (d Document) withContent(revision Revision, content Content, history []Change) Document {
	d.Revision, d.Content, d.History = revision, content, history
	return d
}

func (o objects) apply(changes []ObjectChange) {
	for _, change := range changes {
		if change.After == nil {
			delete(o, change.Key)
			continue
		}
		o[change.Key] = change.After
	}
}

// ChangesAfter returns the changes after a revision, oldest first, and false
// if the history does not reach back that far.
func (d Document) ChangesAfter(revision Revision) ([]Change, bool) {
	if revision >= d.Revision {
		return nil, true
	}
	for index, change := range d.History {
		if change.Revision == revision+1 {
			return d.History[index:], true
		}
	}
	return nil, false
}

// ContentAt returns the content of an earlier revision, by reverting the later
// changes.
func (d Document) ContentAt(revision Revision) (Content, error) {
	later, ok := d.ChangesAfter(revision)
	if !ok || revision > d.Revision {
		return Content{}, errors.NotFoundf("revision %d in the history", revision)
	}
	current, err := d.Content.objects()
	if err != nil {
		return Content{}, err
	}
	for index := len(later) - 1; index >= 0; index-- {
		current.revert(later[index].Objects)
	}
	return current.content()
}

func (o objects) revert(changes []ObjectChange) {
	for _, change := range changes {
		if change.Before == nil {
			delete(o, change.Key)
			continue
		}
		o[change.Key] = change.Before
	}
}

// Includes reports whether the document descends from another one, that is, whether its history has the other's last
// change. If the history does not reach back that far, a higher revision is sufficient. Every document includes one without
// a history.
func (d Document) Includes(other Document) bool {
	if len(other.History) == 0 {
		return true
	}
	last := other.History[len(other.History)-1]
	if _, found := d.FindChange(last.ID); found {
		return true
	}
	reachesBack := len(d.History) > 0 && d.History[0].Revision <= last.Revision
	return !reachesBack && d.Revision > last.Revision
}

// WithChangesOf returns the document with the changes of another one appended that were made since their histories
// diverged. They get the next revisions.
func (d Document) WithChangesOf(other Document) (Document, error) {
	known := make(map[string]bool, len(d.History))
	for _, change := range d.History {
		known[change.ID] = true
	}
	first := len(other.History)
	for first > 0 && !known[other.History[first-1].ID] {
		first--
	}
	added := slices.Clone(other.History[first:])
	for index := range added {
		added[index].Revision = d.Revision + Revision(index) + 1
	}
	return d.ApplyChanges(added)
}

// FindChange returns the change with the id, and false if the history has none.
func (d Document) FindChange(id string) (Change, bool) {
	for index := len(d.History) - 1; index >= 0; index-- {
		if d.History[index].ID == id {
			return d.History[index], true
		}
	}
	return Change{}, false
}
