package objectstore

import "fmt"

// revisionBits is the number of low bits of a Version that hold the revision within an era.
const revisionBits = 44

// MaxEra is the highest era that a Version can represent.
const MaxEra = 1<<(64-revisionBits) - 1

// Version orders writes. 0 means that an object does not exist.
//
// A store may be restored from an older backup: it then loses the writes that it acknowledged last and assigns the same
// revisions again. Each such store rollback begins a new era. A version consists of the era and the revision within it, so
// that every write after a rollback has a higher version than all writes before it.
type Version uint64

// NewVersion returns the version of a revision within an era.
func NewVersion(era, revision uint64) Version {
	return Version(era<<revisionBits | revision)
}

// Era returns the era.
func (v Version) Era() uint64 {
	return uint64(v) >> revisionBits
}

// Revision returns the revision within the era.
func (v Version) Revision() uint64 {
	return uint64(v) & (1<<revisionBits - 1)
}

// String returns "era/revision", or only the revision in era 0.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}
