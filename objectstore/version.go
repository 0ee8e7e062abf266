package objectstore

import "fmt"

// revisionBits is how many of a Version's bits count the writes of one era.
const revisionBits = 44

// MaxEra is the highest era that a Version can hold.
const MaxEra = 1<<(64-revisionBits) - 1

// Version orders writes. 0 means that an object does not exist.
//
// A store may come back from an older copy of its data: it then loses what it acknowledged last, and gives out
// the same revisions again. Each such return begins an era. A version holds the era and the revision in it, so that
// whatever is written after a return has a higher version than all that was written before.
type Version uint64

// NewVersion returns the version of a revision in an era.
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

// String writes the era before the revision, unless it is the first.
func (v Version) String() string {
	if v.Era() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}
