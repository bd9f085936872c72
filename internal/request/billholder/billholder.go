// Package billholder holds copies of other instances' bill records until their owner
// has stored them, and stores them itself when the owner is gone.
package billholder

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/biller"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindFull means that the batch would exceed MaxRecords.
	KindFull Kind = "full"
	// KindUnavailable means that a segment could not be stored.
	KindUnavailable Kind = "unavailable"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// maxSegmentRecords is the number of an owner's records at which its batches are
// encoded into a segment, and the most records that TakeOver encodes into one.
const maxSegmentRecords = 4096

// defaultMaxRecords is the default of Holder.MaxRecords.
const defaultMaxRecords = 400_000

// Holder holds records of other instances. Its zero value is ready once Store is set.
type Holder struct {
	Store *storer.Storer
	// MaxRecords bounds the records held for all owners together; zero means 400,000.
	MaxRecords int

	mu     sync.Mutex
	owners map[ident.Incarnation]*ownerRecords
	total  int
}

// ownerRecords holds the records of one owner: encoded segments, followed by batches
// in the order in which they arrived. Batches may overlap.
type ownerRecords struct {
	segments   []closedSegment
	batches    []biller.Batch
	durableSeq biller.Sequence
}

// closedSegment is an encoded segment, ready to be stored.
type closedSegment struct {
	first, last biller.Sequence
	firstRecord bill.Record // its time determines the day under which the segment is stored
	value       []byte
}

func (o *ownerRecords) recordCount() int {
	n := 0
	for _, p := range o.batches {
		n += len(p.Records)
	}
	return n
}

// closeSegment encodes the batches into one segment, to save memory while the store
// is down and records accumulate.
func (o *ownerRecords) closeSegment(owner ident.Incarnation) {
	all := mergeBatches(owner, o.batches)
	value, err := bill.Encode(bill.Segment{Owner: owner, Records: all.Records})
	if err != nil || len(all.Records) == 0 {
		return // records hold only strings and numbers, which always encode; without records there is no segment
	}
	last := all.First + biller.Sequence(len(all.Records)) - 1
	o.segments = append(o.segments, closedSegment{first: all.First, last: last, firstRecord: all.Records[0], value: value})
	o.batches = slices.DeleteFunc(o.batches, func(p biller.Batch) bool { return lastSeq(p) <= last })
}

func lastSeq(b biller.Batch) biller.Sequence {
	return b.First + biller.Sequence(len(b.Records)) - 1
}

// Hold adds a batch and drops the owner's records that the batch reports as durable.
// Adding a batch twice is harmless.
func (h *Holder) Hold(b biller.Batch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owners == nil {
		h.owners = map[ident.Incarnation]*ownerRecords{}
	}
	o := h.owners[b.Owner]
	if o == nil {
		o = &ownerRecords{}
		h.owners[b.Owner] = o
	}
	h.dropDurableLocked(o, b.Durable)
	limit := h.MaxRecords
	if limit <= 0 {
		limit = defaultMaxRecords
	}
	if h.total+len(b.Records) > limit {
		return fault.Newf("hold bills", KindFull, "%d records are held already", h.total)
	}
	if len(b.Records) > 0 {
		o.batches = append(o.batches, b)
		h.total += len(b.Records)
	}
	if o.recordCount() >= maxSegmentRecords {
		o.closeSegment(b.Owner)
	}
	return nil
}

// dropDurableLocked drops the segments and batches of an owner whose records all
// have sequence numbers up to durable.
func (h *Holder) dropDurableLocked(o *ownerRecords, durable biller.Sequence) {
	o.durableSeq = max(o.durableSeq, durable)
	o.segments = slices.DeleteFunc(o.segments, func(c closedSegment) bool { return c.last <= o.durableSeq })
	o.batches = slices.DeleteFunc(o.batches, func(p biller.Batch) bool { return lastSeq(p) <= o.durableSeq })
	h.recountLocked()
}

// recountLocked updates the number of records held.
func (h *Holder) recountLocked() {
	h.total = 0
	for _, o := range h.owners {
		h.total += o.recordCount()
		for _, c := range o.segments {
			h.total += int(c.last-c.first) + 1
		}
	}
}

// Held returns the number of records held, counting records of overlapping batches
// once per batch.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Owners returns the incarnations that Hold was called for, except those whose
// records TakeOver has stored.
func (h *Holder) Owners() []ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var owners []ident.Incarnation
	for owner := range h.owners {
		owners = append(owners, owner)
	}
	return owners
}

// TakeOver stores the records of an owner that is gone and then drops them. It
// returns the number of records that it stored. Storing a record that the owner has
// stored already is harmless, because readers count each bill once.
func (h *Holder) TakeOver(ctx context.Context, owner ident.Incarnation) (int, error) {
	h.mu.Lock()
	o := h.owners[owner]
	if o == nil {
		h.mu.Unlock()
		return 0, nil
	}
	segments := slices.Clone(o.segments)
	all := mergeBatches(owner, o.batches)
	h.mu.Unlock()
	total := 0
	for _, c := range segments {
		n := int(c.last-c.first) + 1
		if err := h.putSegment(ctx, owner, c.first, n, c.firstRecord, c.value); err != nil {
			return total, err
		}
		total += n
		h.dropOwnerRecords(owner, c.last)
	}
	for len(all.Records) > 0 {
		n := min(len(all.Records), maxSegmentRecords)
		if err := h.writeRecords(ctx, owner, all.First, all.Records[:n]); err != nil {
			return total, err
		}
		total += n
		all.First += biller.Sequence(n)
		all.Records = all.Records[n:]
		h.dropOwnerRecords(owner, all.First-1)
	}
	return total, nil
}

// mergeBatches returns one batch with the records of all batches, which may overlap,
// up to the first gap in the sequence numbers.
func mergeBatches(owner ident.Incarnation, batches []biller.Batch) biller.Batch {
	all := biller.Batch{Owner: owner}
	for _, p := range batches {
		if len(all.Records) == 0 {
			all.First = p.First
		}
		next := all.First + biller.Sequence(len(all.Records))
		if skip := int(next) - int(p.First); skip >= 0 && skip < len(p.Records) {
			all.Records = append(all.Records, p.Records[skip:]...)
		} else if skip < 0 {
			return all // records after a gap are left for the next call
		}
	}
	return all
}

func (h *Holder) writeRecords(ctx context.Context, owner ident.Incarnation, first biller.Sequence, records []bill.Record) error {
	value, err := bill.Encode(bill.Segment{Owner: owner, Records: records})
	if err != nil {
		return fault.New("write held segment", KindUnavailable, err)
	}
	return h.putSegment(ctx, owner, first, len(records), records[0], value)
}

func (h *Holder) putSegment(ctx context.Context, owner ident.Incarnation, first biller.Sequence, n int, firstRecord bill.Record, value []byte) error {
	const op = "write held segment"
	name := fmt.Sprintf("%s-held-%d-%d", owner, first, n)
	_, err := h.Store.Put(ctx, bill.Kind(firstRecord.At), name, value, storer.Precondition{Absent: true})
	if err != nil && storer.KindOf(err) != storer.KindConflict {
		return fault.New(op, KindUnavailable, err)
	}
	return nil
}

// dropOwnerRecords drops an owner's records with sequence numbers up to durable, and
// the owner itself when it has no records left.
func (h *Holder) dropOwnerRecords(owner ident.Incarnation, durable biller.Sequence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[owner]
	if o == nil {
		return
	}
	h.dropDurableLocked(o, durable)
	if len(o.batches)+len(o.segments) == 0 {
		delete(h.owners, owner)
	}
}
