// Package spreader implements a replicated table of small values that instances exchange.
//
// Values are merged by a rule that makes their order and repetition harmless. Each change gets a
// local serial number, so that a peer can ask for the changes since its last request.
package spreader

import (
	"cmp"
	"slices"
	"sync"
)

// Serial is the sequence number of a change to one table at one instance.
type Serial uint64

// Spreader is one instance's replica of a table. Set NewerFunc before use.
type Spreader[K comparable, V any] struct {
	// NewerFunc reports whether the value next replaces the stored value held.
	NewerFunc func(held, next V) bool

	mu      sync.Mutex
	serial  Serial
	entries map[K]versioned[V]
}

type versioned[V any] struct {
	value  V
	serial Serial
}

// Entry is a key with its value.
type Entry[K comparable, V any] struct {
	Key   K
	Value V
}

// Merge stores a value if the key has none or NewerFunc prefers the new value to the stored one,
// and reports whether it did.
func (s *Spreader[K, V]) Merge(key K, value V) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.entries[key]
	if found && !s.NewerFunc(held.value, value) {
		return false
	}
	if s.entries == nil {
		s.entries = map[K]versioned[V]{}
	}
	s.serial++
	s.entries[key] = versioned[V]{value: value, serial: s.serial}
	return true
}

// Get returns the value for key.
func (s *Spreader[K, V]) Get(key K) (V, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.entries[key]
	return held.value, found
}

// Delete removes a key from this replica. A peer that still has the key can restore it.
func (s *Spreader[K, V]) Delete(key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// ForEach calls f with every entry, in no particular order, while it holds the table's lock.
func (s *Spreader[K, V]) ForEach(f func(key K, value V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, held := range s.entries {
		f(key, held.value)
	}
}

// Len returns the number of entries.
func (s *Spreader[K, V]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// ChangesSince returns up to limit entries that changed after serial, the earliest change first,
// and the serial up to which the result is complete.
func (s *Spreader[K, V]) ChangesSince(serial Serial, limit int) ([]Entry[K, V], Serial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if serial >= s.serial {
		return nil, s.serial
	}
	type change struct {
		entry  Entry[K, V]
		serial Serial
	}
	var changes []change
	for key, held := range s.entries {
		if held.serial > serial {
			changes = append(changes, change{Entry[K, V]{Key: key, Value: held.value}, held.serial})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.serial, b.serial) })
	complete := s.serial
	if len(changes) > limit {
		changes = changes[:limit]
		complete = changes[limit-1].serial
	}
	entries := make([]Entry[K, V], len(changes))
	for i, c := range changes {
		entries[i] = c.entry
	}
	return entries, complete
}
