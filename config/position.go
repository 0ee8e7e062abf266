package config

import "github.com/tuliphall/tuliphall/objectstore"

// Position says how new each part of a document is.
type Position struct {
	// Revision is the configuration's own, which its writer gives it and which holds whatever the store does.
	// Stored is when the store took it: of two configurations with the same revision the one that was written later counts.
	Revision     Revision
	StoreVersion objectstore.Version
	// The other parts have no revision but the store's.
	Directory   objectstore.Version
	Evacuations objectstore.Version
	Rollouts    objectstore.Version
}

// Position returns how new the document's parts are.
func (d Document) Position() Position {
	return Position{
		Revision: d.Revision, StoreVersion: d.StoreVersion,
		Directory: d.Directory.Revision, Evacuations: d.Evacuations.Revision, Rollouts: d.Rollouts.Revision,
	}
}

// Behind says whether another position is higher in any part.
func (p Position) Behind(other Position) bool {
	return p.BehindInConfiguration(other) || other.Directory > p.Directory || other.Evacuations > p.Evacuations || other.Rollouts > p.Rollouts
}

// BehindInConfiguration says whether another position is higher in what operators declare.
func (p Position) BehindInConfiguration(other Position) bool {
	return other.Revision > p.Revision || other.Revision == p.Revision && other.StoreVersion > p.StoreVersion
}

// Era returns the latest era of the store that any part is of.
func (p Position) Era() uint64 {
	return max(p.StoreVersion, p.Directory, p.Evacuations, p.Rollouts).Era()
}
