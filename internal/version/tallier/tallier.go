// Package tallier counts each version's answers, errors, ratings and delays, over all
// instances.
//
// Each process counts its own observations in time buckets and owns these tallies. The counts
// of a tally only grow, so instances can exchange copies in any order and any number of times:
// of two copies of a tally the one with the larger counts is the newer one (a grow-only counter).
package tallier

import (
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Depth tells whether a version was tried first, or because the answer of another version did not
// suffice.
type Depth uint8

// Depths of an attempt.
const (
	DepthFirst Depth = 0
	DepthLater Depth = 1
)

// Subject identifies what a tally counts: a version in a class of requests, at a depth.
type Subject struct {
	Class   declaration.ClassName
	Version declaration.Ref
	Depth   Depth
}

// Key identifies a tally.
type Key struct {
	// Owner is the incarnation of the process that counts.
	Owner   ident.Incarnation
	Subject Subject
	// Bucket is the index of the time bucket: the time since the epoch divided by BucketSpan.
	Bucket int64
}

// Entry is a tally as instances exchange it.
type Entry struct {
	Key   Key
	Tally Tally
}

const (
	// BucketSpan is the length of a time bucket.
	BucketSpan = 1 * clock.Minute
	// retainedBuckets is the age in buckets after which a tally is evicted.
	retainedBuckets = 60
	// Recent adds up buckets, newest first, until it has at least recentRatings ratings and
	// recentAnswers answers.
	recentRatings = 400
	recentAnswers = 400
)

// Tallier holds the tallies of this process and copies of those of other processes. Set the
// exported fields before use.
type Tallier struct {
	Clock *clock.Clock
	// Owner is the incarnation of this process.
	Owner ident.Incarnation

	mu      sync.Mutex
	tallies map[Subject]map[Key]*numberedTally
	serial  uint64 // sequence number of the last change
	// remoteCount is the number of tallies of other processes.
	remoteCount int
}

const (
	// maxRemoteTallies is the maximum number of tallies of other processes.
	maxRemoteTallies = 8192
	// remoteBucketsWhenFull is the age in buckets beyond which tallies of other processes are
	// evicted when maxRemoteTallies is reached.
	remoteBucketsWhenFull = 5
)

// numberedTally is a tally with the serial of its last change.
type numberedTally struct {
	Tally
	serial uint64
}

// bucket returns the index of the current time bucket.
func (t *Tallier) bucket() int64 { return int64(t.Clock.Now() / BucketSpan) }

// ownTally returns this process's tally of a subject in the current bucket, for a change, and
// gives it a new serial. The lock must be held.
func (t *Tallier) ownTally(s Subject) *numberedTally {
	key := Key{Owner: t.Owner, Subject: s, Bucket: t.bucket()}
	if t.tallies == nil {
		t.tallies = map[Subject]map[Key]*numberedTally{}
	}
	byKey := t.tallies[s]
	if byKey == nil {
		byKey = map[Key]*numberedTally{}
		t.tallies[s] = byKey
	}
	tally := byKey[key]
	if tally == nil {
		tally = &numberedTally{}
		byKey[key] = tally
		t.evictExpired(byKey, key.Bucket)
	}
	t.serial++
	tally.serial = t.serial
	return tally
}

// evictExpired removes the tallies that are older than retainedBuckets. The lock must be held.
func (t *Tallier) evictExpired(byKey map[Key]*numberedTally, now int64) {
	for key := range byKey {
		if key.Bucket < now-retainedBuckets {
			delete(byKey, key)
			if key.Owner != t.Owner {
				t.remoteCount--
			}
		}
	}
}

// Answer describes a complete answer.
type Answer struct {
	// FirstToken is the time from the request to the first token, Took the time to the last.
	FirstToken, Took           clock.Millis
	PromptTokens, AnswerTokens int
}

// RecordAnswer counts a complete answer with its times and tokens.
func (t *Tallier) RecordAnswer(s Subject, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tally := t.ownTally(s)
	tally.Answers++
	tally.Delays[DelayBin(a.FirstToken)]++
	tally.PromptTokens += uint64(max(a.PromptTokens, 0))
	tally.AnswerTokens += uint64(max(a.AnswerTokens, 0))
	tally.Took += a.Took
}

// RecordSuccess counts an answer whose times and tokens are not recorded with it.
func (t *Tallier) RecordSuccess(s Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownTally(s).Answers++
}

// RecordDelay counts a delay without counting an answer.
func (t *Tallier) RecordDelay(s Subject, delay clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownTally(s).Delays[DelayBin(delay)]++
}

// RecordFailure counts a failed request.
func (t *Tallier) RecordFailure(s Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownTally(s).Errors++
}

// RecordRating counts the rating of an answer.
func (t *Tallier) RecordRating(s Subject, q declaration.Quality) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownTally(s).Ratings[RatingBin(q)]++
}

// Merge stores a tally of another process and reports whether that changed anything. It drops a
// tally that is this process's own, older than retainedBuckets, or not newer than the stored copy,
// and a new one while maxRemoteTallies recent tallies of other processes are stored.
func (t *Tallier) Merge(e Entry) bool {
	if e.Key.Owner == t.Owner {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Key.Bucket < t.bucket()-retainedBuckets {
		return false
	}
	if t.tallies == nil {
		t.tallies = map[Subject]map[Key]*numberedTally{}
	}
	byKey := t.tallies[e.Key.Subject]
	if byKey == nil {
		byKey = map[Key]*numberedTally{}
		t.tallies[e.Key.Subject] = byKey
	}
	known := byKey[e.Key]
	if known != nil && known.eventCount() >= e.Tally.eventCount() {
		return false
	}
	if known == nil {
		if t.remoteCount >= maxRemoteTallies {
			t.evictRemote()
		}
		if t.remoteCount >= maxRemoteTallies {
			return false
		}
		t.remoteCount++
	}
	t.serial++
	byKey[e.Key] = &numberedTally{Tally: e.Tally, serial: t.serial}
	return true
}

// evictRemote removes the tallies of other processes that are older than remoteBucketsWhenFull.
// The lock must be held.
func (t *Tallier) evictRemote() {
	oldest := t.bucket() - remoteBucketsWhenFull
	for _, byKey := range t.tallies {
		for key := range byKey {
			if key.Owner != t.Owner && key.Bucket < oldest {
				delete(byKey, key)
				t.remoteCount--
			}
		}
	}
}

// ChangesSince returns the tallies that changed after serial and whose keys selects accepts (nil
// accepts all), the earliest changes first, and the serial up to which the result is complete.
// It returns at most limit tallies if limit is positive.
func (t *Tallier) ChangesSince(serial uint64, limit int, selects func(Key) bool) ([]Entry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if serial >= t.serial {
		return nil, t.serial
	}
	var changed []changedEntry
	for _, byKey := range t.tallies {
		for key, tally := range byKey {
			if tally.serial > serial && (selects == nil || selects(key)) {
				changed = append(changed, changedEntry{Entry{Key: key, Tally: tally.Tally}, tally.serial})
			}
		}
	}
	return firstChanges(changed, limit, t.serial)
}

// Sum returns the sum of a subject's tallies over all processes, from the bucket that
// contains since onwards. Each tally has weight 1.
func (t *Tallier) Sum(s Subject, since clock.Millis) Sum {
	return t.sum(s, func(bucket, _ int64) float64 {
		if clock.Millis(bucket+1)*BucketSpan <= since {
			return 0
		}
		return 1
	})
}

// Recent returns the sum of a subject's newest tallies over all processes: as many whole
// buckets as are needed for recentRatings and recentAnswers. A version with much traffic is
// therefore judged by the last minutes, and one with little traffic by the last hour.
func (t *Tallier) Recent(s Subject) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var byAge [retainedBuckets + 1]Sum
	now := t.bucket()
	for key, tally := range t.tallies[s] {
		if age := max(now-key.Bucket, 0); age <= retainedBuckets {
			byAge[age].Add(&tally.Tally, 1)
		}
	}
	var total Sum
	ratings := 0.0
	for i := range byAge {
		if ratings >= recentRatings && total.Answers >= recentAnswers {
			break
		}
		total.AddSum(&byAge[i])
		total.Buckets++
		n, _ := byAge[i].RatingMean()
		ratings += n
	}
	return total
}

// sum returns the sum of a subject's tallies over all processes, weighted by bucket.
func (t *Tallier) sum(s Subject, weight func(bucket, now int64) float64) Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.bucket()
	var total Sum
	for key, tally := range t.tallies[s] {
		if w := weight(key.Bucket, now); w > 0 {
			total.Add(&tally.Tally, w)
		}
	}
	return total
}

// Subjects returns all subjects that have tallies.
func (t *Tallier) Subjects() []Subject {
	t.mu.Lock()
	defer t.mu.Unlock()
	subjects := make([]Subject, 0, len(t.tallies))
	for s := range t.tallies {
		subjects = append(subjects, s)
	}
	return subjects
}
