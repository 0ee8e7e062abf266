package config

// Directory holds the back ends that a platform itself keeps a list of, beside
// the placements that operators declare. It has a revision of its own, since it
// changes with the back ends and not by an operator's hand.
type Directory struct {
	Revision   Revision    `json:"revision"`
	Placements []Placement `json:"placements,omitempty"`
}

// Newest returns the newer of each part of two documents, and says whether
// either part came from the other one.
func (d Document) Newest(other Document) (Document, bool) {
	newer := d.Position().Behind(other.Position())
	directory := d.Directory
	if other.Directory.Revision > directory.Revision {
		directory = other.Directory
	}
	if other.Revision > d.Revision {
		d = other
	}
	d.Directory = directory
	return d, newer
}

// Position is the revision of each part of a document.
type Position struct {
	Revision  Revision
	Directory Revision
}

// Position returns the revisions of the document's parts.
func (d Document) Position() Position {
	return Position{Revision: d.Revision, Directory: d.Directory.Revision}
}

// Behind says whether another position is higher in any part.
func (p Position) Behind(other Position) bool {
	return other.Revision > p.Revision || other.Directory > p.Directory
}
