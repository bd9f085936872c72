// Package billholder keeps copies of other instances' bill records until they are
// durable, and writes them when their owner is gone.
package billholder

import (
	"context"
	"fmt"
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

type held struct {
	// parts are batches in the order of their numbers.
	parts   []biller.Batch
	durable biller.Sequence
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
	return nil
}

// forget drops batches whose records are all durable.
func (h *Holder) forget(o *held, durable biller.Sequence) {
	o.durable = max(o.durable, durable)
	kept := o.parts[:0]
	for _, p := range o.parts {
		if p.First+biller.Sequence(len(p.Records))-1 <= o.durable {
			h.total -= len(p.Records)
			continue
		}
		kept = append(kept, p)
	}
	clear(o.parts[len(kept):])
	o.parts = kept
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
	if o == nil || len(o.parts) == 0 {
		delete(h.owners, owner)
		h.mu.Unlock()
		return 0, nil
	}
	all := joined(owner, o.parts)
	h.mu.Unlock()
	total := 0
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
	const op = "write held segment"
	value, err := bill.Encode(bill.Segment{Owner: owner, Records: records})
	if err != nil {
		return fault.New(op, KindUnavailable, err)
	}
	name := fmt.Sprintf("%s-held-%d-%d", owner, first, len(records))
	_, err = h.Store.Put(ctx, bill.Kind(records[0].At), name, value, storer.Precondition{Absent: true})
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
	if len(o.parts) == 0 {
		delete(h.owners, owner)
	}
}
