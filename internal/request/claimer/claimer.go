// Package claimer stores claims durably, so that a request that may not be repeated
// runs at most once in the whole fleet.
//
// Claims are spread over shards by key. Each shard has an append-only log in the
// store. A claim is granted only after a conditional write of the log has succeeded,
// or after a later read of the log shows the claim. The shard's duty holder writes the
// claims of all instances in group commits; any instance writes to the log directly
// when it can't reach the holder. Concurrent writers are safe: one of two conditional
// writes fails, and its writer reads the log and evaluates its entries again.
package claimer

import (
	"context"
	"hash/fnv"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/worker"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindUndecided means that the caller can't tell whether the claim was granted. The
	// caller must not run the request, and should release the claim.
	KindUndecided Kind = "undecided"
	// KindBacklog means that too many entries wait for the store.
	KindBacklog Kind = "backlog"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// Verdict is the result of submitting an entry. Won is set when the log holds the
// entry as the current state of its key; Record is the current state of the key.
type Verdict struct {
	Won    bool
	Record claim.Entry
}

const (
	// MaxBodyBytes is the size of the largest answer body that is stored with a claim.
	MaxBodyBytes = 4096
	// maxPending is the number of pending entries from which a shard refuses claims.
	maxPending = 4096
	// DefaultShards is the number of shards when Shards is not set.
	DefaultShards = 4
	// DefaultRetention is how long claims are kept when Retention is not set.
	DefaultRetention = 24 * clock.Hour
)

// Claimer submits and looks up claims. Set the exported fields, then call Open.
type Claimer struct {
	Clock *clock.Clock
	Store *storer.Storer
	Pool  *worker.Pool
	// Owner is the incarnation of this process. It is stored with the claims made here.
	Owner ident.Incarnation
	// Shards is the number of shards. It must be the same at all instances of the fleet.
	Shards int
	// Retention is how long a key is kept after its last entry.
	Retention clock.Millis
	// WriteEvery is the minimum mean interval between the writes of one shard. Zero
	// doesn't limit the rate.
	WriteEvery clock.Millis
	// HolderFunc returns the instance that holds the duty for a shard; own is set
	// when that is this instance. If nil, this instance holds every duty.
	HolderFunc func(shard int) (holder ident.Instance, own bool)
	// ForwardFunc sends entries to a shard's duty holder.
	ForwardFunc func(ctx context.Context, holder ident.Instance, shard int, entries []claim.Entry) ([]Verdict, error)
	// OutcomeFunc asks the owner of a claim for an outcome that is not in the log
	// yet. If it is nil or fails, Find returns the claim as read from the log.
	OutcomeFunc func(ctx context.Context, owner ident.Incarnation, held claim.Entry) (claim.Entry, bool, error)

	shards []*shard
}

// Open initializes the shards. It doesn't read from the store.
func (c *Claimer) Open() {
	if c.Shards <= 0 {
		c.Shards = DefaultShards
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	c.shards = make([]*shard, c.Shards)
	for i := range c.shards {
		s := &shard{claimer: c, number: i, logLock: make(chan struct{}, 1)}
		s.log = shardLog{store: c.Store, kind: claim.Kind(i), tail: noChunk}
		s.unlockLog()
		c.shards[i] = s
	}
}

// ShardOf returns the shard of a key.
func (c *Claimer) ShardOf(key ident.Key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // writing to a hash never fails
	return int(h.Sum32() % uint32(c.Shards))
}

// Claim requests the right to run a request. The caller may run the request only if
// the verdict's Won is set; after an error it must not.
func (c *Claimer) Claim(ctx context.Context, e claim.Entry) (Verdict, error) {
	e.State = claim.StateClaimed
	e.Owner = c.Owner
	e.At = c.Clock.Now()
	return c.shards[c.ShardOf(e.Key)].submit(ctx, e)
}

// Settle records the outcome of a claim. It returns without waiting for the store;
// the entry goes into a later group commit and is retried until a write succeeds.
func (c *Claimer) Settle(e claim.Entry) error {
	e.State = claim.StateRan
	e.At = c.Clock.Now()
	if len(e.Body) > MaxBodyBytes {
		e.Body = nil
		e.Partial = true
	}
	return c.shards[c.ShardOf(e.Key)].enqueue(&op{entry: e})
}

// Release gives up a claim whose request has not run and will not run.
func (c *Claimer) Release(e claim.Entry) error {
	e.State = claim.StateReleased
	e.At = c.Clock.Now()
	return c.shards[c.ShardOf(e.Key)].enqueue(&op{entry: e})
}

// Serve writes entries that another instance forwarded.
func (c *Claimer) Serve(ctx context.Context, number int, entries []claim.Entry) ([]Verdict, error) {
	if number < 0 || number >= len(c.shards) {
		return nil, fault.Newf("serve claims", KindUndecided, "there is no shard %d", number)
	}
	s := c.shards[number]
	ops := make([]*op, len(entries))
	for i, e := range entries {
		ops[i] = &op{entry: e, direct: true, answer: make(chan result, 1)}
		if err := s.enqueue(ops[i]); err != nil {
			return nil, err
		}
	}
	verdicts := make([]Verdict, len(entries))
	for i, o := range ops {
		v, err := o.await(ctx)
		if err != nil {
			return nil, err
		}
		verdicts[i] = v
	}
	return verdicts, nil
}

// Find reads the current state of a key. Outcomes may be queued for up to outcomeDelay
// before they are written, so if the log holds a claim without an outcome, Find asks
// the claim's owner for it.
func (c *Claimer) Find(ctx context.Context, key ident.Key) (e claim.Entry, found bool, err error) {
	e, found, err = c.find(ctx, key)
	if err != nil || !found || e.State != claim.StateClaimed {
		return e, found, err
	}
	if outcome, ok := c.Outcome(e); ok {
		return outcome, true, nil
	}
	if e.Owner == c.Owner || c.OutcomeFunc == nil {
		return e, true, nil
	}
	outcome, ok, outcomeErr := c.OutcomeFunc(ctx, e.Owner, e)
	if outcomeErr != nil {
		return e, true, nil // the log's state is valid, though perhaps not the latest
	}
	if ok {
		return outcome, true, nil
	}
	// The owner may have finished writing the outcome after the log was read.
	return c.find(ctx, key)
}

func (c *Claimer) find(ctx context.Context, key ident.Key) (e claim.Entry, found bool, err error) {
	err = c.shards[c.ShardOf(key)].read(ctx, func(l *ledger) { e, found = l.records[key] })
	return e, found, err
}

// Outcome returns the outcome of a claim that this instance has queued, or forwarded
// to the shard's duty holder, and that may not be in the log yet.
func (c *Claimer) Outcome(held claim.Entry) (claim.Entry, bool) {
	return c.shards[c.ShardOf(held.Key)].unwrittenOutcome(held)
}

// Unsettled reads all claims without an outcome.
func (c *Claimer) Unsettled(ctx context.Context) ([]claim.Entry, error) {
	var unsettled []claim.Entry
	for _, s := range c.shards {
		if err := s.read(ctx, func(l *ledger) { unsettled = append(unsettled, l.unsettled()...) }); err != nil {
			return nil, err
		}
	}
	return unsettled, nil
}

// Pending returns the number of entries that wait to be written, at least 1 for each
// shard that has a worker running.
func (c *Claimer) Pending() int {
	n := 0
	for _, s := range c.shards {
		n += s.pending()
	}
	return n
}

// Trim evicts keys older than the retention from memory. For shards whose duty this
// instance holds, it also deletes the expired chunks from the store.
func (c *Claimer) Trim(ctx context.Context) {
	for _, s := range c.shards {
		_ = s.trim(ctx, c.Clock.Now()-c.Retention, c.holdsDuty(s.number)) // the next call retries
	}
}

func (c *Claimer) holdsDuty(number int) bool {
	if c.HolderFunc == nil {
		return true
	}
	_, own := c.HolderFunc(number)
	return own
}

// drainPollInterval is the interval at which Drain checks for pending entries.
const drainPollInterval clock.Millis = 20

// Drain disables the outcome delay from now on, and returns when no entry is pending
// or ctx ends.
func (c *Claimer) Drain(ctx context.Context) error {
	for _, s := range c.shards {
		s.startDraining()
	}
	for c.Pending() > 0 {
		if err := c.Clock.Sleep(ctx, drainPollInterval); err != nil {
			return fault.Newf("drain claims", KindBacklog, "%d entries wait for the store", c.Pending())
		}
	}
	return nil
}
