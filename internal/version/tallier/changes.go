package tallier

import (
	"cmp"
	"slices"
)

// changedEntry is an entry with the serial of its last change.
type changedEntry struct {
	entry  Entry
	serial uint64
}

// firstChanges returns the earliest changes, at most limit if limit is positive, and the
// serial up to which the result is complete. That serial is newest if nothing was cut off.
func firstChanges(changed []changedEntry, limit int, newest uint64) ([]Entry, uint64) {
	slices.SortFunc(changed, func(a, b changedEntry) int { return cmp.Compare(a.serial, b.serial) })
	completeTo := newest
	if limit > 0 && len(changed) > limit {
		changed = changed[:limit]
		completeTo = changed[limit-1].serial
	}
	entries := make([]Entry, len(changed))
	for i, c := range changed {
		entries[i] = c.entry
	}
	return entries, completeTo
}
