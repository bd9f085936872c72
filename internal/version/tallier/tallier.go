// Package tallier counts what instances see of each version: answers, errors,
// ratings and delays.
//
// Each process counts for itself, in buckets of time. Counts of a process only grow,
// so instances exchange them in any order and as often as they like, and the larger
// state of a tally wins.
package tallier

import (
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Depth tells whether a version was tried first or after another fell short.
type Depth uint8

// Depths of a try.
const (
	DepthFirst Depth = 0
	DepthLater Depth = 1
)

// Subject is what a tally is about.
type Subject struct {
	Class   declaration.ClassName
	Version declaration.Ref
	Depth   Depth
}

// Key names a tally.
type Key struct {
	Owner   ident.Incarnation
	Subject Subject
	// Bucket is the number of the span of time.
	Bucket int64
}

// Entry is a tally on its way between instances.
type Entry struct {
	Key   Key
	Tally Tally
}

const (
	// BucketSpan is the length of a bucket.
	BucketSpan = 1 * clock.Minute
	// keepBuckets is the number of buckets that are kept.
	keepBuckets = 60
	// enoughRatings and enoughAnswers are the numbers from which older buckets are left out.
	enoughRatings = 400
	enoughAnswers = 400
)

// Tallier holds the tallies of all processes. Set the exported fields before use.
type Tallier struct {
	Clock *clock.Clock
	Owner ident.Incarnation

	mu      sync.Mutex
	tallies map[Subject]map[Key]*stamped
	serial  uint64
	// foreign is the number of other processes' tallies.
	foreign int
}

const (
	// maxForeign bounds the tallies of other processes.
	maxForeign = 8192
	// shortBuckets is the number of buckets of other processes that are kept when
	// there are more.
	shortBuckets = 5
)

type stamped struct {
	Tally
	serial uint64
}

func (t *Tallier) bucket() int64 { return int64(t.Clock.Now() / BucketSpan) }

// own returns the current tally of this process. The lock must be held.
func (t *Tallier) own(s Subject) *stamped {
	key := Key{Owner: t.Owner, Subject: s, Bucket: t.bucket()}
	if t.tallies == nil {
		t.tallies = map[Subject]map[Key]*stamped{}
	}
	row := t.tallies[s]
	if row == nil {
		row = map[Key]*stamped{}
		t.tallies[s] = row
	}
	held := row[key]
	if held == nil {
		held = &stamped{}
		row[key] = held
		t.expire(row, key.Bucket)
	}
	t.serial++
	held.serial = t.serial
	return held
}

func (t *Tallier) expire(row map[Key]*stamped, now int64) {
	for key := range row {
		if key.Bucket < now-keepBuckets {
			delete(row, key)
			if key.Owner != t.Owner {
				t.foreign--
			}
		}
	}
}

// Answer describes a whole answer.
type Answer struct {
	// FirstToken is the time to the first token, and Took to the last.
	FirstToken, Took           clock.Millis
	PromptTokens, AnswerTokens int
}

// RecordAnswer counts a whole answer.
func (t *Tallier) RecordAnswer(s Subject, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.own(s)
	held.Answers++
	held.Delays[DelayBin(a.FirstToken)]++
	held.PromptTokens += uint64(max(a.PromptTokens, 0))
	held.AnswerTokens += uint64(max(a.AnswerTokens, 0))
	held.Took += a.Took
}

// RecordSuccess counts an answer about whose times nothing is said.
func (t *Tallier) RecordSuccess(s Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own(s).Answers++
}

// RecordDelay counts a delay apart from an answer.
func (t *Tallier) RecordDelay(s Subject, delay clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own(s).Delays[DelayBin(delay)]++
}

// RecordFailure counts an answer that could not be had.
func (t *Tallier) RecordFailure(s Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own(s).Errors++
}

// RecordRating counts a rating.
func (t *Tallier) RecordRating(s Subject, q declaration.Quality) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own(s).Ratings[RatingBin(q)]++
}

// Merge takes in another process's tally and reports whether it was news.
func (t *Tallier) Merge(e Entry) bool {
	if e.Key.Owner == t.Owner {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Key.Bucket < t.bucket()-keepBuckets {
		return false
	}
	if t.tallies == nil {
		t.tallies = map[Subject]map[Key]*stamped{}
	}
	row := t.tallies[e.Key.Subject]
	if row == nil {
		row = map[Key]*stamped{}
		t.tallies[e.Key.Subject] = row
	}
	held := row[e.Key]
	if held != nil && held.events() >= e.Tally.events() {
		return false
	}
	if held == nil {
		if t.foreign >= maxForeign {
			t.dropOldForeign()
		}
		if t.foreign >= maxForeign {
			return false
		}
		t.foreign++
	}
	t.serial++
	row[e.Key] = &stamped{Tally: e.Tally, serial: t.serial}
	return true
}

// dropOldForeign forgets other processes' older tallies. The lock must be held.
func (t *Tallier) dropOldForeign() {
	oldest := t.bucket() - shortBuckets
	for _, row := range t.tallies {
		for key := range row {
			if key.Owner != t.Owner && key.Bucket < oldest {
				delete(row, key)
				t.foreign--
			}
		}
	}
}

// ChangedSince returns at most most tallies that changed after serial and that keep selects,
// the earliest changes first, and the serial up to which the result is complete.
func (t *Tallier) ChangedSince(serial uint64, most int, keep func(Key) bool) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if serial >= t.serial {
		return nil, t.serial
	}
	var changed []changedEntry
	for _, row := range t.tallies {
		for key, held := range row {
			if held.serial > serial && (keep == nil || keep(key)) {
				changed = append(changed, changedEntry{Entry{Key: key, Tally: held.Tally}, held.serial})
			}
		}
	}
	return firstChanges(changed, most, t.serial)
}

// Sum returns the tallies of a subject over all processes since the given time,
// each with full weight.
func (t *Tallier) Sum(s Subject, since clock.Millis) Sum {
	return t.sum(s, func(bucket, _ int64) float64 {
		if clock.Millis(bucket+1)*BucketSpan <= since {
			return 0
		}
		return 1
	})
}

// Recent returns the newest tallies of a subject over all processes: as many whole
// buckets as hold enough ratings and answers. A version that is used much is thereby
// judged by the last minutes, and one that is used little by the last hour.
func (t *Tallier) Recent(s Subject) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var byAge [keepBuckets + 1]Sum
	now := t.bucket()
	for key, held := range t.tallies[s] {
		if age := max(now-key.Bucket, 0); age <= keepBuckets {
			byAge[age].Add(&held.Tally, 1)
		}
	}
	var total Sum
	rated := 0.0
	for i := range byAge {
		if rated >= enoughRatings && total.Answers >= enoughAnswers {
			break
		}
		total.AddSum(&byAge[i])
		total.Buckets++
		n, _ := byAge[i].RatingMean()
		rated += n
	}
	return total
}

func (t *Tallier) sum(s Subject, weight func(bucket, now int64) float64) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.bucket()
	var total Sum
	for key, held := range t.tallies[s] {
		if w := weight(key.Bucket, now); w > 0 {
			total.Add(&held.Tally, w)
		}
	}
	return total
}

// Subjects returns everything that has been counted.
func (t *Tallier) Subjects() []Subject {
	t.mu.Lock()
	defer t.mu.Unlock()
	subjects := make([]Subject, 0, len(t.tallies))
	for s := range t.tallies {
		subjects = append(subjects, s)
	}
	return subjects
}
