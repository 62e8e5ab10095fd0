package bbrrows

import "cmp"

// Era numbers the histories of a store. It rises each time the store is restored from a
// copy and thereby loses its last writes. A store that does not report it has era 0.
type Era int64

// Version is the position of a write in the history of a store. The store counts Number
// up with each write. After a restore it gives out again the numbers that it lost.
type Version struct {
	Era    Era
	Number int64
}

// Compare returns -1, 0 or +1 if v is older than, the same as, or newer than w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Era, w.Era), cmp.Compare(v.Number, w.Number))
}

// IsNewerThan reports whether v is newer than w.
func (v Version) IsNewerThan(w Version) bool { return v.Compare(w) > 0 }
