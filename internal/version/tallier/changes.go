package tallier

import (
	"cmp"
	"slices"
)

type changedEntry struct {
	entry  Entry
	serial uint64
}

// firstChanges returns the most earliest changes and the serial up to which they
// are complete, which is newest when nothing was left out.
func firstChanges(changed []changedEntry, most int, newest uint64) ([]Entry, uint64) {
	slices.SortFunc(changed, func(a, b changedEntry) int { return cmp.Compare(a.serial, b.serial) })
	complete := newest
	if most > 0 && len(changed) > most {
		changed = changed[:most]
		complete = changed[most-1].serial
	}
	entries := make([]Entry, len(changed))
	for i, c := range changed {
		entries[i] = c.entry
	}
	return entries, complete
}
