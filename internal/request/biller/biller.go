// Package biller makes the bill of every answered request durable, once.
//
// A record is safe when a peer in another zone holds a copy of it or its segment is
// in the platform's object API. Record returns only then, so that an answer's last
// byte can wait for its bill. Segments are create-only objects with names that no
// other process uses; writing one again is harmless.
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
	// KindAtRisk means that a record is kept by this process only, for now.
	KindAtRisk Kind = "at-risk"
	// KindBacklog means that records still wait for the store.
	KindBacklog Kind = "backlog"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// Sequence numbers the records of one process, from 1.
type Sequence uint64

// Batch is what a peer is asked to hold.
type Batch struct {
	Owner ident.Incarnation
	// First is the sequence number of the first record.
	First   Sequence
	Records []bill.Record
	// Durable is the number up to which the peer may forget records.
	Durable Sequence
}

const (
	// segmentRecords is the number of records at which a segment is closed early.
	segmentRecords = 4096
	// defaultBacklog bounds the bytes that wait for the store.
	defaultBacklog = 24 << 20
	// recordBytes estimates the memory of a record that is not in a segment yet.
	recordBytes = 320
	// safeTimeout bounds how long an answer waits for its bill to be safe.
	safeTimeout = 2 * clock.Second
	// retryPause is the pause after the store failed, doubled up to maxRetryPause.
	retryPause    clock.Millis = 200
	maxRetryPause              = 5 * clock.Second
	// urgentInterval is the time between segments while no peer holds records.
	urgentInterval clock.Millis = 5
	// defaultInterval is the time between segments when none is set.
	defaultInterval = 1 * clock.Second
)

// Biller writes bills. Set the exported fields, then run Run.
type Biller struct {
	Clock *clock.Clock
	Store *storer.Storer
	Owner ident.Incarnation
	// IntervalFunc returns the least time between two segments.
	IntervalFunc func() clock.Millis
	// HolderFunc returns the peer that should hold records; "" for none.
	HolderFunc func() ident.Instance
	// HoldFunc asks a peer to hold records.
	HoldFunc func(ctx context.Context, peer ident.Instance, b Batch) error
	// BacklogLimit bounds the bytes that wait for the store.
	BacklogLimit int
	// OnWritten, when set, is told of each segment that became durable.
	OnWritten func(records int)

	mu       sync.Mutex
	last     Sequence // the last record taken in
	durable  Sequence // every record up to it is in the store
	open     []bill.Record
	frozen   []segment
	segments int
	changed  chan struct{}

	// urgent is closed when records wait for the store because no peer holds them.
	urgent chan struct{}

	holder  ident.Instance
	held    Sequence // every record up to it is durable or held by holder
	holding bool
}

// segment is a closed group of records on its way to the store.
type segment struct {
	name  string
	kind  storer.ObjectKind
	value []byte
	first Sequence
	last  Sequence
}

// Full reports whether the backlog has reached its bound, so that no new work
// should be taken on.
func (b *Biller) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.BacklogLimit
	if limit <= 0 {
		limit = defaultBacklog
	}
	return b.backlogBytes() >= limit
}

// Backlog returns the records and estimated bytes that wait for the store.
func (b *Biller) Backlog() (records, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(b.last - b.durable), b.backlogBytes()
}

func (b *Biller) backlogBytes() int {
	n := len(b.open) * recordBytes
	for _, s := range b.frozen {
		n += len(s.value)
	}
	return n
}

// Record takes in a record and waits until it is safe. On KindAtRisk the record is
// kept and will be written, but would be lost with this process.
func (b *Biller) Record(ctx context.Context, r bill.Record) error {
	seq := b.Add(r)
	expired, stop := b.Clock.After(safeTimeout)
	defer stop()
	for {
		b.startHolding()
		b.mu.Lock()
		safe := seq <= b.durable || seq <= b.held
		changed := b.changedLocked()
		b.mu.Unlock()
		if safe {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return fault.Newf("record bill", KindAtRisk, "neither a peer nor the store took record %d within %d ms", seq, safeTimeout)
		case <-ctx.Done():
			return fault.New("record bill", KindAtRisk, ctx.Err())
		}
	}
}

// Add takes in a record without waiting until it is safe.
func (b *Biller) Add(r bill.Record) Sequence {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.open = append(b.open, r)
	return b.last
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

// startHolding sends records that no peer holds, one batch at a time.
func (b *Biller) startHolding() {
	peer := ident.Instance("")
	if b.HolderFunc != nil {
		peer = b.HolderFunc()
	}
	b.mu.Lock()
	if peer != b.holder {
		b.holder = peer
		b.held = b.durable
	}
	if peer == "" && b.held < b.last && b.urgent != nil {
		close(b.urgent)
		b.urgent = nil
	}
	if b.holding || peer == "" || b.held >= b.last {
		b.mu.Unlock()
		return
	}
	batch := b.nextBatch()
	if len(batch.Records) == 0 {
		b.mu.Unlock()
		return
	}
	b.holding = true
	b.mu.Unlock()
	go b.hold(peer, batch)
}

// nextBatch returns the records after held. Records in closed segments are read
// back from them, which happens only after a change of the holder. The lock must be held.
func (b *Biller) nextBatch() Batch {
	batch := Batch{Owner: b.Owner, First: max(b.held, b.durable) + 1, Durable: b.durable}
	next := batch.First
	for _, s := range b.frozen {
		if s.last < next {
			continue
		}
		decoded, err := bill.Decode(s.value)
		if err != nil {
			continue // the value was encoded here and decodes
		}
		batch.Records = append(batch.Records, decoded.Records[next-s.first:]...)
		return batch
	}
	firstOpen := b.last - Sequence(len(b.open)) + 1
	batch.Records = append(batch.Records, b.open[next-firstOpen:]...)
	return batch
}

func (b *Biller) hold(peer ident.Instance, batch Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), safeTimeout.Duration())
	err := b.HoldFunc(ctx, peer, batch)
	cancel()
	b.mu.Lock()
	b.holding = false
	if err == nil && peer == b.holder {
		b.held = max(b.held, batch.First+Sequence(len(batch.Records))-1)
	}
	more := err == nil && b.held < b.last
	b.notifyLocked()
	b.mu.Unlock()
	if more {
		b.startHolding()
	}
}

// Run writes segments until ctx ends.
func (b *Biller) Run(ctx context.Context) error {
	pause := clock.Millis(0)
	for {
		if err := b.pauseBetween(ctx, pause); err != nil {
			return nil
		}
		b.startHolding() // the peer that held records may be gone
		if err := b.Flush(ctx); err != nil {
			pause = min(max(2*pause, retryPause), maxRetryPause)
			continue
		}
		pause = 0
	}
}

// pauseBetween waits for the next segment: for the interval, or only a short while
// when answers wait for the store because no peer holds their bills.
func (b *Biller) pauseBetween(ctx context.Context, pause clock.Millis) error {
	if err := b.Clock.Sleep(ctx, max(urgentInterval, pause)); err != nil {
		return err
	}
	b.mu.Lock()
	urgent := make(chan struct{})
	b.urgent = urgent
	b.mu.Unlock()
	b.startHolding() // notices records that came in meanwhile
	expired, stop := b.Clock.After(b.interval() - urgentInterval)
	defer stop()
	select {
	case <-urgent:
	case <-expired:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (b *Biller) interval() clock.Millis {
	if b.IntervalFunc == nil {
		return defaultInterval
	}
	return max(b.IntervalFunc(), defaultInterval)
}

// Flush writes everything that was recorded before the call.
func (b *Biller) Flush(ctx context.Context) error {
	b.freeze()
	for {
		s, found := b.oldest()
		if !found {
			return nil
		}
		_, err := b.Store.Put(ctx, s.kind, s.name, s.value, storer.Precondition{Absent: true})
		// A conflict means that an earlier try took effect and its answer was lost.
		if err != nil && storer.KindOf(err) != storer.KindConflict {
			b.coalesce()
			return fault.New("write segment", KindBacklog, err)
		}
		b.written(s)
	}
}

// freeze closes the open records into segments.
func (b *Biller) freeze() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.open) > 0 {
		n := min(len(b.open), segmentRecords)
		// While the store is down, a part-filled segment waits for more records.
		if len(b.frozen) > 0 && n < segmentRecords {
			return
		}
		b.freezeFirst(n)
	}
}

func (b *Biller) freezeFirst(n int) {
	first := b.last - Sequence(len(b.open)) + 1
	value, err := bill.Encode(bill.Segment{Owner: b.Owner, Records: b.open[:n]})
	if err != nil {
		return // records hold only strings and numbers, which always encode
	}
	b.segments++
	b.frozen = append(b.frozen, segment{
		name:  fmt.Sprintf("%s-%06d", b.Owner, b.segments),
		kind:  bill.Kind(b.open[0].At),
		value: value,
		first: first,
		last:  first + Sequence(n) - 1,
	})
	b.open = append([]bill.Record(nil), b.open[n:]...)
}

// coalesce closes full groups of records while the store is down, to save memory.
func (b *Biller) coalesce() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.open) >= segmentRecords {
		b.freezeFirst(segmentRecords)
	}
}

func (b *Biller) oldest() (segment, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.frozen) == 0 {
		return segment{}, false
	}
	return b.frozen[0], true
}

func (b *Biller) written(s segment) {
	b.mu.Lock()
	if len(b.frozen) > 0 && b.frozen[0].name == s.name {
		b.frozen = b.frozen[1:]
	}
	b.durable = max(b.durable, s.last)
	b.held = max(b.held, b.durable)
	b.notifyLocked()
	b.mu.Unlock()
	if b.OnWritten != nil {
		b.OnWritten(int(s.last - s.first + 1))
	}
}

// Drain writes everything, trying until ctx ends.
func (b *Biller) Drain(ctx context.Context) error {
	for {
		err := b.Flush(ctx)
		if records, _ := b.Backlog(); err == nil && records == 0 {
			return nil
		}
		if sleepErr := b.Clock.Sleep(ctx, retryPause); sleepErr != nil {
			records, _ := b.Backlog()
			return fault.Newf("drain bills", KindBacklog, "%d records wait for the store: %v", records, err)
		}
	}
}
