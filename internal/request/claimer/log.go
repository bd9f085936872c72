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
	// noChunk is the number of the tail of an empty log.
	noChunk = -1
	// sealBytes is the size at which a chunk is sealed.
	sealBytes = 32 << 10
)

// shardLog is one shard's log as this instance has read it. It is not safe for
// concurrent use.
type shardLog struct {
	store  *storer.Storer
	kind   storer.ObjectKind
	ledger ledger
	// since is the store version up to which the log has been read; synced is set
	// after the first read.
	since  ident.StoreVersion
	synced bool
	// readAt is when the log was last read.
	readAt clock.Millis
	// tail is the last chunk's number; the rest describes that chunk.
	tail        int
	tailVersion ident.StoreVersion
	tailChunk   claim.Chunk
	tailBytes   int
	// ages holds the time of the last entry of each sealed chunk.
	ages map[int]clock.Millis
}

// refresh reads what has been written since the last read.
func (l *shardLog) refresh(ctx context.Context, c *clock.Clock) error {
	changes, err := l.store.List(ctx, l.kind, l.since, 0)
	if err != nil {
		return err
	}
	slices.SortFunc(changes.Objects, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	for _, o := range changes.Objects {
		if err := l.take(o); err != nil {
			return err
		}
	}
	l.since = max(l.since, changes.Version)
	l.synced = true
	l.readAt = c.Now()
	return nil
}

// take folds in one chunk: all of it, or what was appended since it was read last.
func (l *shardLog) take(o storer.Object) error {
	n, err := claim.ParseChunkName(o.Name)
	if err != nil {
		return err
	}
	if o.Deleted {
		delete(l.ages, n)
		return nil
	}
	var chunk claim.Chunk
	if err := json.Unmarshal(o.Value, &chunk); err != nil {
		return err
	}
	known := 0
	if n == l.tail {
		known = min(len(l.tailChunk.Entries), len(chunk.Entries))
	}
	for _, e := range chunk.Entries[known:] {
		l.ledger.apply(e)
	}
	l.remember(n, o.Version, chunk, len(o.Value))
	return nil
}

// remember makes n the tail when it is at least as new as the tail.
func (l *shardLog) remember(n int, version ident.StoreVersion, chunk claim.Chunk, size int) {
	if chunk.Sealed && len(chunk.Entries) > 0 {
		if l.ages == nil {
			l.ages = map[int]clock.Millis{}
		}
		l.ages[n] = chunk.Entries[len(chunk.Entries)-1].At
	}
	if n < l.tail {
		return
	}
	l.tail, l.tailVersion, l.tailChunk, l.tailBytes = n, version, chunk, size
	if chunk.Sealed {
		l.tailChunk.Entries = nil
	}
}

// append writes entries after the tail, on condition that the log is as it was read.
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
	l.remember(n, version, chunk, len(value))
	return nil
}

// expired returns the sealed chunks whose last entry is older than before.
func (l *shardLog) expired(before clock.Millis) []int {
	var old []int
	for n, at := range l.ages {
		if n < l.tail && at < before {
			old = append(old, n)
		}
	}
	slices.Sort(old)
	return old
}
