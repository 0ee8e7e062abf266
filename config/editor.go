package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/wait"
)

// HeadKey names the object that holds the document.
var HeadKey = objectstore.Key{Kind: "configuration", Name: "head"}

// Bounds on how often a change is tried again after a lost answer or a lost race.
const (
	maxEditTries = 8
	editBackoff  = 20 * time.Millisecond
)

// ConflictError says that another operator's change came first and what it
// touched. Nothing was written.
type ConflictError struct {
	Base    Revision // the revision the operator had seen
	Current Revision
	Changed []ObjectKey // objects of this change that others changed since Base
}

// Error names the revisions and the objects.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Changed))
	for _, key := range e.Changed {
		names = append(names, key.String())
	}
	return fmt.Sprintf("conflict: revision %d is in force, the change was made from %d; changed since: %s", e.Current, e.Base, strings.Join(names, ", "))
}

// Edit is a change an operator asks for.
type Edit struct {
	ID      string // unique; the same id is never applied twice
	Author  string
	Summary string
	// Base is the revision the operator has seen. Objects of the edit that
	// others have changed since are a conflict. 0: no check is made.
	Base    Revision
	Set     Content
	Deleted []ObjectKey
	// RollbackTo takes the content of this revision instead of Set and
	// Deleted; 0: it does not.
	RollbackTo Revision
}

// Editor writes changes to the head object.
type Editor struct {
	store   objectstore.Store
	now     func() time.Time
	inForce func() Document
}

// NewEditor returns an editor on the store. now gives the time noted in the
// history, and inForce the document that this daemon has in force, whose changes are written again if the store
// has lost them; nil: none are.
func NewEditor(store objectstore.Store, now func() time.Time, inForce func() Document) *Editor {
	if inForce == nil {
		inForce = func() Document { return Document{} }
	}
	return &Editor{store: store, now: now, inForce: inForce}
}

// Load reads the document and the version of the head object. A head that was
// never written is an empty document.
func Load(ctx context.Context, store objectstore.Store) (Document, objectstore.Version, error) {
	object, err := store.Get(ctx, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Document{}, 0, nil
	}
	if err != nil {
		return Document{}, 0, errors.Annotate(err, "reading the configuration")
	}
	document, err := DecodeDocument(object.Value)
	document.StoreVersion = object.Version
	return document, object.Version, err
}

// Apply makes the change and returns the document it led to. A change whose id
// is already in the history is returned as done. Racing edits of different
// objects both succeed; of the same object, one gets a *ConflictError. When the
// store's answer is lost, the history is read to settle what happened.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Document, error) {
	var last error
	for try := range maxEditTries {
		if try > 0 {
			if !wait.Sleep(ctx, editBackoff<<try) {
				return Document{}, errors.Annotatef(ctx.Err(), "change %s: last error: %v", edit.ID, last)
			}
		}
		document, err := e.try(ctx, edit)
		if err == nil {
			return document, nil
		}
		last = err
		if !retriable(err) {
			return Document{}, err
		}
	}
	return Document{}, errors.Annotatef(last, "change %s after %d tries", edit.ID, maxEditTries)
}

func retriable(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrOutcomeUnknown) || errors.Is(err, objectstore.ErrUnavailable)
}

func (e *Editor) try(ctx context.Context, edit Edit) (Document, error) {
	next, version, lost, err := e.load(ctx)
	if err != nil {
		return Document{}, err
	}
	if _, done := next.FindChange(edit.ID); !done {
		next, err = e.Plan(next, edit)
	} else if !lost {
		return next, nil
	}
	if err != nil {
		return Document{}, err
	}
	return e.write(ctx, next, version)
}

// load reads the document with the changes that are in force and that the store has lost, if any, and the version of
// the head object.
func (e *Editor) load(ctx context.Context) (document Document, version objectstore.Version, lost bool, err error) {
	stored, version, err := Load(ctx, e.store)
	if err != nil {
		return Document{}, 0, false, err
	}
	inForce := e.inForce()
	if stored.Includes(inForce) {
		return stored, version, false, nil
	}
	document, err = inForce.WithChangesOf(stored)
	return document, version, true, err
}

// write writes the document, unless the head object has another version.
func (e *Editor) write(ctx context.Context, document Document, version objectstore.Version) (Document, error) {
	document.StoreVersion = 0
	data, err := document.Encode()
	if err != nil {
		return Document{}, err
	}
	document.StoreVersion, err = e.store.Put(ctx, HeadKey, data, version)
	return document, errors.Annotate(err, "writing the configuration")
}

// Restore writes again what the store has lost of the changes that are in force, and returns the document that is in the store
// then. If another daemon is faster, the error is objectstore.ErrConflict.
func (e *Editor) Restore(ctx context.Context) (Document, error) {
	document, version, lost, err := e.load(ctx)
	if err != nil || !lost {
		return document, err
	}
	return e.write(ctx, document, version)
}

// Plan checks the edit against the document and returns what it would lead to,
// without writing.
func (e *Editor) Plan(current Document, edit Edit) (Document, error) {
	content, err := edit.content(current)
	if err != nil {
		return Document{}, err
	}
	if err := content.Validate(); err != nil {
		return Document{}, err
	}
	next, err := current.Advance(content, Change{ID: edit.ID, Author: edit.Author, Summary: edit.Summary, At: e.now().UTC()})
	if err != nil {
		return Document{}, err
	}
	if err := checkRace(current, next, edit.Base); err != nil {
		return Document{}, err
	}
	return next, nil
}

func (edit Edit) content(current Document) (Content, error) {
	if edit.RollbackTo > 0 {
		return current.ContentAt(edit.RollbackTo)
	}
	return current.Content.Merge(edit.Set, edit.Deleted)
}

// checkRace reports objects of the newest change that were also changed after base.
func checkRace(current, next Document, base Revision) error {
	if base == 0 || base == current.Revision {
		return nil
	}
	since, ok := current.ChangesAfter(base)
	if !ok {
		return &ConflictError{Base: base, Current: current.Revision}
	}
	touched := make(map[ObjectKey]bool)
	for _, change := range since {
		for _, object := range change.Objects {
			touched[object.Key] = true
		}
	}
	var both []ObjectKey
	for _, object := range next.History[len(next.History)-1].Objects {
		if touched[object.Key] {
			both = append(both, object.Key)
		}
	}
	if len(both) > 0 {
		return &ConflictError{Base: base, Current: current.Revision, Changed: both}
	}
	return nil
}
