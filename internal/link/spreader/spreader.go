// Package spreader holds a table of small facts that instances pass on to one another.
//
// Facts merge by a rule that makes order and repetition harmless. Each change gets a
// local serial number, so that a peer can ask for what changed since it last asked.
package spreader

import (
	"cmp"
	"slices"
	"sync"
)

// Serial numbers the changes of one table at one instance.
type Serial uint64

// Spreader is a table of facts. Set NewerFunc before use.
type Spreader[K comparable, V any] struct {
	// NewerFunc reports whether next supersedes held.
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

// Merge takes in a fact and reports whether it was news.
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

// Get returns the fact for key.
func (s *Spreader[K, V]) Get(key K) (V, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.entries[key]
	return held.value, found
}

// Delete forgets a fact.
func (s *Spreader[K, V]) Delete(key K) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// ForEach calls f with every fact, in no order, under the table's lock.
func (s *Spreader[K, V]) ForEach(f func(key K, value V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, held := range s.entries {
		f(key, held.value)
	}
}

// Len returns the number of facts.
func (s *Spreader[K, V]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// ChangesSince returns at most most facts that changed after serial, the earliest first,
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
