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
	if o == nil {
		h.mu.Unlock()
		return 0, nil
	}
	parts := append([]biller.Batch(nil), o.parts...)
	h.mu.Unlock()
	total := 0
	for _, p := range parts {
		n, err := h.write(ctx, p)
		if err != nil {
			return total, err
		}
		total += n
		h.drop(owner, p.First)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(o.parts) == 0 {
		delete(h.owners, owner)
	}
	return total, nil
}

func (h *Holder) write(ctx context.Context, p biller.Batch) (int, error) {
	const op = "write held segment"
	value, err := bill.Encode(bill.Segment{Owner: p.Owner, Records: p.Records})
	if err != nil {
		return 0, fault.New(op, KindUnavailable, err)
	}
	name := fmt.Sprintf("%s-held-%d-%d", p.Owner, p.First, len(p.Records))
	_, err = h.Store.Put(ctx, bill.Kind(p.Records[0].At), name, value, storer.Precondition{Absent: true})
	if err != nil && storer.KindOf(err) != storer.KindConflict {
		return 0, fault.New(op, KindUnavailable, err)
	}
	return len(p.Records), nil
}

func (h *Holder) drop(owner ident.Incarnation, first biller.Sequence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owners[owner]
	for i, p := range o.parts {
		if p.First == first {
			h.total -= len(p.Records)
			o.parts = append(o.parts[:i], o.parts[i+1:]...)
			return
		}
	}
}
