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

// HeadKey is the key of the object that holds the document.
var HeadKey = objectstore.Key{Kind: "configuration", Name: "head"}

// Bounds on the retries of a change after a lost response or a version conflict.
const (
	maxEditAttempts = 8
	editBackoff     = 20 * time.Millisecond
)

// ConflictError reports that objects of a change have been changed by another
// operator since the base revision. Nothing was written.
type ConflictError struct {
	Base    Revision // the revision the operator had seen
	Current Revision
	Changed []ObjectKey // objects of this change that others changed since Base
}

// Error returns the revisions and the conflicting objects.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Changed))
	for _, key := range e.Changed {
		names = append(names, key.String())
	}
	return fmt.Sprintf("conflict: revision %d is in force, the change was made from %d; changed since: %s", e.Current, e.Base, strings.Join(names, ", "))
}

// Edit is a change that an operator requests.
type Edit struct {
	ID      string // unique; an id is never applied twice
	Author  string
	Summary string
	// Base is the revision the operator has seen. Objects of the edit that
	// others have changed since then are a conflict. 0: no check.
	Base    Revision
	Set     Content
	Deleted []ObjectKey
	// RollbackTo, if not 0, restores the content of this revision; Set and
	// Deleted are then ignored.
	RollbackTo Revision
}

// Editor writes changes to the head object.
type Editor struct {
	store   objectstore.Store
	now     func() time.Time
	inForce func() Document
}

// NewEditor returns an editor on the store. now returns the time recorded in the
// history. inForce returns the document that this daemon has in force, whose changes are written again if a store
// rollback has lost them; nil: none are.
func NewEditor(store objectstore.Store, now func() time.Time, inForce func() Document) *Editor {
	if inForce == nil {
		inForce = func() Document { return Document{} }
	}
	return &Editor{store: store, now: now, inForce: inForce}
}

// Load reads the document and the version of the head object. If the head object
// does not exist, the document is empty.
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

// Apply makes the change and returns the resulting document. A change whose id
// is already in the history counts as done. Concurrent edits of different
// objects all succeed; of edits of the same object, all but one get a
// *ConflictError. If the store's response is lost, Apply reads the history to
// find out whether the change was made.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Document, error) {
	var lastErr error
	for attempt := range maxEditAttempts {
		if attempt > 0 {
			if !wait.Sleep(ctx, editBackoff<<attempt) {
				return Document{}, errors.Annotatef(ctx.Err(), "change %s: last error: %v", edit.ID, lastErr)
			}
		}
		document, err := e.attempt(ctx, edit)
		if err == nil {
			return document, nil
		}
		lastErr = err
		if !retriable(err) {
			return Document{}, err
		}
	}
	return Document{}, errors.Annotatef(lastErr, "change %s after %d attempts", edit.ID, maxEditAttempts)
}

func retriable(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrOutcomeUnknown) || errors.Is(err, objectstore.ErrUnavailable)
}

func (e *Editor) attempt(ctx context.Context, edit Edit) (Document, error) {
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

// load reads the document and the version of the head object. If a store rollback has lost changes that are in force,
// lost is true and the document includes them.
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

// write writes the document if the head object still has the version.
func (e *Editor) write(ctx context.Context, document Document, version objectstore.Version) (Document, error) {
	document.StoreVersion = 0
	data, err := document.Encode()
	if err != nil {
		return Document{}, err
	}
	document.StoreVersion, err = e.store.Put(ctx, HeadKey, data, version)
	return document, errors.Annotate(err, "writing the configuration")
}

// Restore writes again the changes in force that a store rollback has lost, and returns the document that the store then
// holds. If another daemon writes first, the error is objectstore.ErrConflict.
func (e *Editor) Restore(ctx context.Context) (Document, error) {
	document, version, lost, err := e.load(ctx)
	if err != nil || !lost {
		return document, err
	}
	return e.write(ctx, document, version)
}

// Plan checks the edit against the document and returns the resulting document
// without writing it.
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
	if err := checkConflict(current, next, edit.Base); err != nil {
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

// checkConflict returns a *ConflictError if objects of the newest change were also changed after base.
func checkConflict(current, next Document, base Revision) error {
	if base == 0 || base == current.Revision {
		return nil
	}
	since, ok := current.ChangesAfter(base)
	if !ok {
		return &ConflictError{Base: base, Current: current.Revision}
	}
	changed := make(map[ObjectKey]bool)
	for _, change := range since {
		for _, object := range change.Objects {
			changed[object.Key] = true
		}
	}
	var conflicting []ObjectKey
	for _, object := range next.History[len(next.History)-1].Objects {
		if changed[object.Key] {
			conflicting = append(conflicting, object.Key)
		}
	}
	if len(conflicting) > 0 {
		return &ConflictError{Base: base, Current: current.Revision, Changed: conflicting}
	}
	return nil
}
