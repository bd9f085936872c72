package claimer

import (
	"context"
	"encoding/json"
	"slices"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// noChunk is the tail number of an empty log.
	noChunk = -1
	// sealBytes is the encoded size from which a chunk is sealed.
	sealBytes = 32 << 10
)

// shardLog is this instance's copy of one shard's log. The log is stored as numbered
// chunks; a sealed chunk takes no more entries. A shardLog is not safe for concurrent
// use.
type shardLog struct {
	store  *storer.Storer
	kind   storer.ObjectKind
	ledger ledger
	// readVersion is the store version up to which the log has been read; synced is set
	// after the first read.
	readVersion ident.StoreVersion
	synced      bool
	// readAt is when the log was last read.
	readAt clock.Millis
	// tail is the number of the last chunk; the other tail fields hold its store
	// version, content and encoded size.
	tail        int
	tailVersion ident.StoreVersion
	tailChunk   claim.Chunk
	tailBytes   int
	// lastEntryAt holds the time of the last entry of each sealed chunk.
	lastEntryAt map[int]clock.Millis
}

// refresh reads the chunks that changed since the last read.
func (l *shardLog) refresh(ctx context.Context, c *clock.Clock) error {
	changes, err := l.store.List(ctx, l.kind, l.readVersion, 0)
	if err != nil {
		return err
	}
	slices.SortFunc(changes.Objects, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	for _, o := range changes.Objects {
		if err := l.applyChunk(o); err != nil {
			return err
		}
	}
	l.readVersion = max(l.readVersion, changes.Version)
	l.synced = true
	l.readAt = c.Now()
	return nil
}

// applyChunk applies the entries of one chunk that this instance has not applied yet.
// For the tail these are the entries appended since the last read.
func (l *shardLog) applyChunk(o storer.Object) error {
	n, err := claim.ParseChunkName(o.Name)
	if err != nil {
		return err
	}
	if o.Deleted {
		delete(l.lastEntryAt, n)
		return nil
	}
	var chunk claim.Chunk
	if err := json.Unmarshal(o.Value, &chunk); err != nil {
		return err
	}
	applied := 0
	if n == l.tail {
		applied = min(len(l.tailChunk.Entries), len(chunk.Entries))
	}
	for _, e := range chunk.Entries[applied:] {
		l.ledger.apply(e)
	}
	l.recordChunk(n, o.Version, chunk, len(o.Value))
	return nil
}

// recordChunk records the age of a sealed chunk, and makes chunk n the tail unless it
// precedes the current tail.
func (l *shardLog) recordChunk(n int, version ident.StoreVersion, chunk claim.Chunk, size int) {
	if chunk.Sealed && len(chunk.Entries) > 0 {
		if l.lastEntryAt == nil {
			l.lastEntryAt = map[int]clock.Millis{}
		}
		l.lastEntryAt[n] = chunk.Entries[len(chunk.Entries)-1].At
	}
	if n < l.tail {
		return
	}
	l.tail, l.tailVersion, l.tailChunk, l.tailBytes = n, version, chunk, size
	if chunk.Sealed {
		l.tailChunk.Entries = nil
	}
}

// append writes entries after the tail. The write fails if another instance has
// written to the log since it was last read.
func (l *shardLog) append(ctx context.Context, entries []claim.Entry) error {
	n, chunk := l.tail, l.tailChunk
	pre := storer.Precondition{Match: l.tailVersion}
	if n == noChunk || chunk.Sealed {
		n, chunk = n+1, claim.Chunk{}
		pre = storer.Precondition{Absent: true}
	}
	chunk.Entries = append(slices.Clone(chunk.Entries), entries...)
	value, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if len(value) >= sealBytes {
		chunk.Sealed = true
		if value, err = json.Marshal(chunk); err != nil {
			return err
		}
	}
	version, err := l.store.Put(ctx, l.kind, claim.ChunkName(n), value, pre)
	if err != nil {
		return err
	}
	for _, e := range entries {
		l.ledger.apply(e)
	}
	l.recordChunk(n, version, chunk, len(value))
	return nil
}

// expiredChunks returns the numbers of the sealed chunks whose last entry is older
// than the given time.
func (l *shardLog) expiredChunks(before clock.Millis) []int {
	var expired []int
	for n, at := range l.lastEntryAt {
		if n < l.tail && at < before {
			expired = append(expired, n)
		}
	}
	slices.Sort(expired)
	return expired
}
