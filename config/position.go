package config

import "github.com/tuliphall/tuliphall/objectstore"

// Position holds the version of each part of a document.
type Position struct {
	// Revision is assigned by the writer of the configuration and does not depend on the store. StoreVersion is the
	// version at which the store accepted it: of two configurations with the same revision, the one written later is newer.
	Revision     Revision
	StoreVersion objectstore.Version
	// The other parts have only the versions of the store.
	Directory   objectstore.Version
	Evacuations objectstore.Version
	Rollouts    objectstore.Version
}

// Position returns the versions of the document's parts.
func (d Document) Position() Position {
	return Position{
		Revision: d.Revision, StoreVersion: d.StoreVersion,
		Directory: d.Directory.Revision, Evacuations: d.Evacuations.Revision, Rollouts: d.Rollouts.Revision,
	}
}

// Behind reports whether another position is newer in any part.
func (p Position) Behind(other Position) bool {
	return p.BehindInConfiguration(other) || other.Directory > p.Directory || other.Evacuations > p.Evacuations || other.Rollouts > p.Rollouts
}

// BehindInConfiguration reports whether another position is newer in the objects that operators declare.
func (p Position) BehindInConfiguration(other Position) bool {
	return other.Revision > p.Revision || other.Revision == p.Revision && other.StoreVersion > p.StoreVersion
}

// Era returns the latest era of the store among the parts.
func (p Position) Era() uint64 {
	return max(p.StoreVersion, p.Directory, p.Evacuations, p.Rollouts).Era()
}
