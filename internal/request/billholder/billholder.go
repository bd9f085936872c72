// Package billholder keeps copies of other instances' bill records until they are
// durable, and writes them when their owner is gone.
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
	// KindFull means that the holder has no room for more records.
	KindFull Kind = "full"
	// KindUnavailable means that the store did not take a segment.
	KindUnavailable Kind = "unavailable"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// segmentRecords is the number of records in one segment that is written for another.
const segmentRecords = 4096

// defaultLimit bounds the records held for others.
const defaultLimit = 400_000

// Holder keeps records. Its zero value is ready once Store is set.
type Holder struct {
	Store *storer.Storer
	// Limit bounds the records held; zero takes a default.
	Limit int

	mu     sync.Mutex
	owners map[ident.Incarnation]*held
	total  int
}

// held is what is kept of one owner: closed segments, compressed, and then batches
// in the order of their numbers.
type held struct {
	closed  []closed
	parts   []biller.Batch
	durable biller.Sequence
}

// closed is an encoded segment that may be written as it is.
type closed struct {
	first, last biller.Sequence
	at          bill.Record // the first record, whose time names the segment's day
	value       []byte
}

func (o *held) records() int {
	n := 0
	for _, p := range o.parts {
		n += len(p.Records)
	}
	return n
}

// compress closes the batches into one segment, to save memory while the store is down.
func (o *held) compress(owner ident.Incarnation) {
	all := joined(owner, o.parts)
	value, err := bill.Encode(bill.Segment{Owner: owner, Records: all.Records})
	if err != nil || len(all.Records) == 0 {
		return // records hold only strings and numbers, which always encode
	}
	last := all.First + biller.Sequence(len(all.Records)) - 1
	o.closed = append(o.closed, closed{first: all.First, last: last, at: all.Records[0], value: value})
	o.parts = slices.DeleteFunc(o.parts, func(p biller.Batch) bool { return lastOf(p) <= last })
}

func lastOf(b biller.Batch) biller.Sequence {
	return b.First + biller.Sequence(len(b.Records)) - 1
}

// Hold keeps a batch. Keeping a batch again is harmless.
func (h *Holder) Hold(b biller.Batch) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owners == nil {
		h.owners = map[ident.Incarnation]*held{}
	}
	o := h.owners[b.Owner]
	if o == nil {
		o = &held{}
		h.owners[b.Owner] = o
	}
	h.forget(o, b.Durable)
	limit := h.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	if h.total+len(b.Records) > limit {
		return fault.Newf("hold bills", KindFull, "%d records are held", h.total)
	}
	if len(b.Records) > 0 {
		o.parts = append(o.parts, b)
		h.total += len(b.Records)
	}
	if o.records() >= segmentRecords {
		o.compress(b.Owner)
	}
	return nil
}

// forget drops batches whose records are all durable.
func (h *Holder) forget(o *held, durable biller.Sequence) {
	o.durable = max(o.durable, durable)
	o.closed = slices.DeleteFunc(o.closed, func(c closed) bool { return c.last <= o.durable })
	o.parts = slices.DeleteFunc(o.parts, func(p biller.Batch) bool { return lastOf(p) <= o.durable })
	h.count()
}

// count adds up what is held. The lock must be held.
func (h *Holder) count() {
	h.total = 0
	for _, o := range h.owners {
		h.total += o.records()
		for _, c := range o.closed {
			h.total += int(c.last-c.first) + 1
		}
	}
}

// Held returns the number of records held.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Owners returns the processes whose records are held.
func (h *Holder) Owners() []ident.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var owners []ident.Incarnation
	for owner := range h.owners {
		owners = append(owners, owner)
	}
	return owners
}

// TakeOver writes the records of an owner that is gone and then forgets them. It
// returns how many records it wrote. Records that the owner wrote too do no harm,
// because readers count each bill once.
func (h *Holder) TakeOver(ctx context.Context, owner ident.Incarnation) (int, error) {
	h.mu.Lock()
	o := h.owners[owner]
	if o == nil {
		h.mu.Unlock()
		return 0, nil
	}
	segments := slices.Clone(o.closed)
	all := joined(owner, o.parts)
	h.mu.Unlock()
	total := 0
	for _, c := range segments {
		n := int(c.last-c.first) + 1
		if err := h.put(ctx, owner, c.first, n, c.at, c.value); err != nil {
			return total, err
		}
		total += n
		h.settle(owner, c.last)
	}
	for len(all.Records) > 0 {
		n := min(len(all.Records), segmentRecords)
		if err := h.write(ctx, owner, all.First, all.Records[:n]); err != nil {
			return total, err
		}
		total += n
		all.First += biller.Sequence(n)
		all.Records = all.Records[n:]
		h.settle(owner, all.First-1)
	}
	return total, nil
}

// joined puts the records of batches, which may overlap, in one batch.
func joined(owner ident.Incarnation, parts []biller.Batch) biller.Batch {
	all := biller.Batch{Owner: owner}
	for _, p := range parts {
		if len(all.Records) == 0 {
			all.First = p.First
		}
		next := all.First + biller.Sequence(len(all.Records))
		if skip := int(next) - int(p.First); skip >= 0 && skip < len(p.Records) {
			all.Records = append(all.Records, p.Records[skip:]...)
		} else if skip < 0 {
			return all // the rest goes with the next call
		}
	}
	return all
}

func (h *Holder) write(ctx context.Context, owner ident.Incarnation, first biller.Sequence, records []bill.Record) error {
	value, err := bill.Encode(bill.Segment{Owner: owner, Records: records})
	if err != nil {
		return fault.New("write held segment", KindUnavailable, err)
	}
	return h.put(ctx, owner, first, len(records), records[0], value)
}

func (h *Holder) put(ctx context.Context, owner ident.Incarnation, first biller.Sequence, n int, at bill.Record, value []byte) error {
	const op = "write held segment"
	name := fmt.Sprintf("%s-held-%d-%d", owner, first, n)
	_, err := h.Store.Put(ctx, bill.Kind(at.At), name, value, storer.Precondition{Absent: true})
	if err != nil && storer.KindOf(err) != storer.KindConflict {
		return fault.New(op, KindUnavailable, err)
	}
	return nil
}

// settle forgets an owner's records up to a number, and the owner when none is left.
func (h *Holder) settle(owner ident.Incarnation, durable biller.Sequence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[owner]
	if o == nil {
		return
	}
	h.forget(o, durable)
	if len(o.parts)+len(o.closed) == 0 {
		delete(h.owners, owner)
	}
}
