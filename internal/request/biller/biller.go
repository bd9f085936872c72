// Package biller stores one bill for every answered request.
//
// A record is safe when a peer in another zone holds a copy of it, or when the
// segment that contains it is stored through the platform's object API (durable).
// Record returns only once the record is safe, so that the last byte of an answer
// can be held back until its bill is safe. Segments are create-only objects whose
// names contain the incarnation of the writing process, so that writing a segment
// again is harmless.
package biller

import (
	"context"
	"fmt"
	"sync"

	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindAtRisk means that, so far, only this process has the record.
	KindAtRisk Kind = "at-risk"
	// KindBacklog means that some records are not in the store yet.
	KindBacklog Kind = "backlog"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// Sequence is the sequence number of a record within one process, from 1.
type Sequence uint64

// Batch is a run of consecutive records that a peer holds for their owner.
type Batch struct {
	Owner ident.Incarnation
	// First is the sequence number of the first record.
	First   Sequence
	Records []bill.Record
	// Durable is the sequence number up to which all records are in the store; the
	// peer may discard its copies of them.
	Durable Sequence
}

const (
	// maxSegmentRecords bounds the records in one segment.
	maxSegmentRecords = 4096
	// defaultBacklogBytes is the default of Biller.BacklogLimit.
	defaultBacklogBytes = 24 << 20
	// recordBytes is the estimated memory of a record that is not in a segment yet.
	recordBytes = 320
	// holdTimeout bounds a call that sends a batch to a peer, and how long Record
	// waits until the record is safe.
	holdTimeout = 2 * clock.Second
	// minBackoff is the delay after a failed write to the store; it doubles with each
	// further failure, up to maxBackoff.
	minBackoff clock.Millis = 200
	maxBackoff              = 5 * clock.Second
	// minFlushInterval is the time between two flushes while no peer holds records,
	// when answers wait until their bills are in the store.
	minFlushInterval clock.Millis = 5
	// defaultFlushInterval is the time between two flushes when FlushIntervalFunc is
	// not set, and the least that it may return.
	defaultFlushInterval = 1 * clock.Second
)

// Biller writes bill records to the store and has a peer hold copies until then.
// Set the exported fields, then call Run.
type Biller struct {
	Clock *clock.Clock
	Store *storer.Storer
	Owner ident.Incarnation
	// FlushIntervalFunc returns the time between two flushes.
	FlushIntervalFunc func() clock.Millis
	// HolderFunc returns the peer that holds copies of the records; "" for none.
	HolderFunc func() ident.Instance
	// HoldFunc sends a batch to a peer, which holds it until its records are durable.
	HoldFunc func(ctx context.Context, peer ident.Instance, b Batch) error
	// BacklogLimit bounds the estimated bytes of records that are not in the store
	// yet; zero means 24 MiB.
	BacklogLimit int
	// OnSegmentDurable, when set, is called after each segment is stored, with the
	// number of its records.
	OnSegmentDurable func(records int)

	mu             sync.Mutex
	lastSeq        Sequence // number of the record added last
	durableSeq     Sequence // every record up to it is in the store
	openRecords    []bill.Record
	closedSegments []segment
	segmentCount   int
	changed        chan struct{}

	// flushNow is closed when records wait for the store because no peer holds them.
	flushNow chan struct{}

	holder  ident.Instance
	heldSeq Sequence // every record up to it is durable or held by holder
	sending bool
}

// segment is an encoded group of records that is not stored yet.
type segment struct {
	name  string
	kind  storer.ObjectKind
	value []byte
	first Sequence
	last  Sequence
}

// BacklogFull reports whether the backlog has reached BacklogLimit, so that the
// instance should refuse new requests.
func (b *Biller) BacklogFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.BacklogLimit
	if limit <= 0 {
		limit = defaultBacklogBytes
	}
	return b.backlogBytesLocked() >= limit
}

// Backlog returns the number and the estimated bytes of records that are not in the
// store yet.
func (b *Biller) Backlog() (records, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.lastSeq - b.durableSeq), b.backlogBytesLocked()
}

func (b *Biller) backlogBytesLocked() int {
	n := len(b.openRecords) * recordBytes
	for _, s := range b.closedSegments {
		n += len(s.value)
	}
	return n
}

// Record adds a record and waits until it is safe. On KindAtRisk the record is in
// memory and will be written, but is lost if this process dies before that.
func (b *Biller) Record(ctx context.Context, r bill.Record) error {
	seq := b.Add(r)
	expired, stop := b.Clock.After(holdTimeout)
	defer stop()
	for {
		b.sendPending()
		b.mu.Lock()
		safe := seq <= b.durableSeq || seq <= b.heldSeq
		changed := b.changedLocked()
		b.mu.Unlock()
		if safe {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return fault.Newf("record bill", KindAtRisk, "neither a peer nor the store accepted record %d within %d ms", seq, holdTimeout)
		case <-ctx.Done():
			return fault.New("record bill", KindAtRisk, ctx.Err())
		}
	}
}

// Add adds a record without waiting until it is safe.
func (b *Biller) Add(r bill.Record) Sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSeq++
	b.openRecords = append(b.openRecords, r)
	return b.lastSeq
}

func (b *Biller) changedLocked() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *Biller) notifyLocked() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// sendPending sends the records that the current holder does not have, one batch at
// a time. Without a holder it makes waitForFlush return early, because only a write
// to the store then makes the records safe.
func (b *Biller) sendPending() {
	peer := ident.Instance("")
	if b.HolderFunc != nil {
		peer = b.HolderFunc()
	}
	b.mu.Lock()
	if peer != b.holder {
		b.holder = peer
		b.heldSeq = b.durableSeq
	}
	if peer == "" && b.heldSeq < b.lastSeq && b.flushNow != nil {
		close(b.flushNow)
		b.flushNow = nil
	}
	if b.sending || peer == "" || b.heldSeq >= b.lastSeq {
		b.mu.Unlock()
		return
	}
	batch := b.nextBatchLocked()
	if len(batch.Records) == 0 {
		b.mu.Unlock()
		return
	}
	b.sending = true
	b.mu.Unlock()
	go b.sendBatch(peer, batch)
}

// nextBatchLocked returns records after heldSeq. Records in closed segments are
// decoded from them, which happens only after a change of the holder.
func (b *Biller) nextBatchLocked() Batch {
	batch := Batch{Owner: b.Owner, First: max(b.heldSeq, b.durableSeq) + 1, Durable: b.durableSeq}
	next := batch.First
	for _, s := range b.closedSegments {
		if s.last < next {
			continue
		}
		decoded, err := bill.Decode(s.value)
		if err != nil {
			continue // cannot happen: closeSegmentLocked encoded the value
		}
		batch.Records = append(batch.Records, decoded.Records[next-s.first:]...)
		return batch
	}
	firstOpen := b.lastSeq - Sequence(len(b.openRecords)) + 1
	batch.Records = append(batch.Records, b.openRecords[next-firstOpen:]...)
	return batch
}

func (b *Biller) sendBatch(peer ident.Instance, batch Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout.Duration())
	err := b.HoldFunc(ctx, peer, batch)
	cancel()
	b.mu.Lock()
	b.sending = false
	if err == nil && peer == b.holder {
		b.heldSeq = max(b.heldSeq, batch.First+Sequence(len(batch.Records))-1)
	}
	more := err == nil && b.heldSeq < b.lastSeq
	b.notifyLocked()
	b.mu.Unlock()
	if more {
		b.sendPending()
	}
}

// Run writes segments until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	backoff := clock.Millis(0)
	for {
		if err := b.waitForFlush(ctx, backoff); err != nil {
			return nil
		}
		b.sendPending() // the holder may have changed
		if err := b.Flush(ctx); err != nil {
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			continue
		}
		backoff = 0
	}
}

// waitForFlush waits until the next flush: for the flush interval, or only for
// minFlushInterval or the backoff, whichever is longer, when no peer holds the
// records and answers therefore wait for the store.
func (b *Biller) waitForFlush(ctx context.Context, backoff clock.Millis) error {
	if err := b.Clock.Sleep(ctx, max(minFlushInterval, backoff)); err != nil {
		return err
	}
	b.mu.Lock()
	flushNow := make(chan struct{})
	b.flushNow = flushNow
	b.mu.Unlock()
	b.sendPending() // closes flushNow if records without a holder were added during the sleep
	expired, stop := b.Clock.After(b.flushInterval() - minFlushInterval)
	defer stop()
	select {
	case <-flushNow:
	case <-expired:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (b *Biller) flushInterval() clock.Millis {
	if b.FlushIntervalFunc == nil {
		return defaultFlushInterval
	}
	return max(b.FlushIntervalFunc(), defaultFlushInterval)
}

// Flush writes the records that were added before the call. After a failed write
// it leaves the remaining records in memory.
func (b *Biller) Flush(ctx context.Context) error {
	b.closeOpenRecords()
	for {
		s, found := b.oldestSegment()
		if !found {
			return nil
		}
		_, err := b.Store.Put(ctx, s.kind, s.name, s.value, storer.Precondition{Absent: true})
		// A conflict means that an earlier attempt stored the segment but its response was lost.
		if err != nil && storer.KindOf(err) != storer.KindConflict {
			b.closeFullSegments()
			return fault.New("write segment", KindBacklog, err)
		}
		b.markDurable(s)
	}
}

// closeOpenRecords encodes the open records into segments.
func (b *Biller) closeOpenRecords() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.openRecords) > 0 {
		n := min(len(b.openRecords), maxSegmentRecords)
		// An unwritten segment means that the store is down; a partly filled segment
		// is then left open for more records.
		if len(b.closedSegments) > 0 && n < maxSegmentRecords {
			return
		}
		b.closeSegmentLocked(n)
	}
}

func (b *Biller) closeSegmentLocked(n int) {
	first := b.lastSeq - Sequence(len(b.openRecords)) + 1
	value, err := bill.Encode(bill.Segment{Owner: b.Owner, Records: b.openRecords[:n]})
	if err != nil {
		return // cannot happen: records hold only strings and numbers, which always encode
	}
	b.segmentCount++
	b.closedSegments = append(b.closedSegments, segment{
		name:  fmt.Sprintf("%s-%06d", b.Owner, b.segmentCount),
		kind:  bill.Kind(b.openRecords[0].At),
		value: value,
		first: first,
		last:  first + Sequence(n) - 1,
	})
	b.openRecords = append([]bill.Record(nil), b.openRecords[n:]...)
}

// closeFullSegments encodes every full group of maxSegmentRecords records. It is
// called while the store is down, because encoded records take less memory.
func (b *Biller) closeFullSegments() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.openRecords) >= maxSegmentRecords {
		b.closeSegmentLocked(maxSegmentRecords)
	}
}

func (b *Biller) oldestSegment() (segment, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.closedSegments) == 0 {
		return segment{}, false
	}
	return b.closedSegments[0], true
}

func (b *Biller) markDurable(s segment) {
	b.mu.Lock()
	if len(b.closedSegments) > 0 && b.closedSegments[0].name == s.name {
		b.closedSegments = b.closedSegments[1:]
	}
	b.durableSeq = max(b.durableSeq, s.last)
	b.heldSeq = max(b.heldSeq, b.durableSeq)
	b.notifyLocked()
	b.mu.Unlock()
	if b.OnSegmentDurable != nil {
		b.OnSegmentDurable(int(s.last - s.first + 1))
	}
}

// Drain writes all records, retrying until ctx ends.
func (b *Biller) Drain(ctx context.Context) error {
	for {
		err := b.Flush(ctx)
		if records, _ := b.Backlog(); err == nil && records == 0 {
			return nil
		}
		if sleepErr := b.Clock.Sleep(ctx, minBackoff); sleepErr != nil {
			records, _ := b.Backlog()
			return fault.Newf("drain bills", KindBacklog, "%d records are not in the store: %v", records, err)
		}
	}
}
