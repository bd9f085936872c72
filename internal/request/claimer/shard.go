package claimer

import (
	"context"
	"sync"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// maxBatch is the maximum number of entries in one group commit.
	maxBatch = 256
	// maxConcurrentForwards is the maximum number of concurrent calls by which one
	// instance forwards claims of a shard to its duty holder.
	maxConcurrentForwards = 4
	// maxWriteAttempts is the maximum number of write attempts per group commit.
	maxWriteAttempts = 4
	// maxReadAge is the age of the last read from which the log is read again before a
	// claim is denied because of an unsettled claim of the same key.
	maxReadAge clock.Millis = 300
	// forwardTimeout is the timeout of a call to a shard's duty holder.
	forwardTimeout clock.Millis = 1500
)

// op is an entry that is queued for the log.
type op struct {
	entry claim.Entry
	// direct is set when this instance must write the entry itself instead of
	// forwarding it.
	direct bool
	// answer receives the result. Outcomes and releases made at this instance have no
	// answer channel and are retried until they are written.
	answer chan result
}

// isClaim reports whether the entry is a claim, rather than an outcome or a release.
func (o *op) isClaim() bool { return o.entry.State == claim.StateClaimed }

type result struct {
	verdict Verdict
	err     error
}

func (o *op) await(ctx context.Context) (Verdict, error) {
	select {
	case r := <-o.answer:
		return r.verdict, r.err
	case <-ctx.Done():
		return Verdict{}, fault.New("await claim", KindUndecided, ctx.Err())
	}
}

// shard queues entries and gets them written to the shard's log, either by forwarding
// them to the duty holder or by writing them itself. Claims and outcomes have separate
// forward queues, so that outcomes never delay claims. Lock order: logLock before mu.
// logLock guards only the log, and is the only lock held during calls to the store.
type shard struct {
	claimer *Claimer
	number  int

	mu           sync.Mutex
	claimQueue   forwardQueue
	outcomeQueue forwardQueue
	// forwarded holds the outcomes, by key, that the duty holder has not confirmed yet.
	forwarded map[ident.Key]*op
	writer    writeQueue
	draining  bool

	// logLock is a lock in the form of a channel, so that waiting for it can be
	// canceled. It holds one token while the log is not in use.
	logLock chan struct{}
	log     shardLog
}

// lockLog acquires logLock, or fails when ctx ends first. unlockLog releases it.
func (s *shard) lockLog(ctx context.Context) error {
	select {
	case <-s.logLock:
		return nil
	case <-ctx.Done():
		return fault.New("use log", KindUndecided, ctx.Err())
	}
}

func (s *shard) unlockLog() { s.logLock <- struct{}{} }

// forwardQueue holds entries to be forwarded to the duty holder. workers is the number
// of workers that are forwarding them.
type forwardQueue struct {
	ops     []*op
	workers int
}

func (s *shard) submit(ctx context.Context, e claim.Entry) (Verdict, error) {
	o := &op{entry: e, answer: make(chan result, 1)}
	if err := s.enqueue(o); err != nil {
		return Verdict{}, err
	}
	return o.await(ctx)
}

func (s *shard) enqueue(o *op) error {
	_, own := s.holder()
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.isClaim() && s.pendingLocked() >= maxPending {
		return fault.Newf("queue claim", KindBacklog, "%d entries wait for shard %d", s.pendingLocked(), s.number)
	}
	if o.direct || own {
		return s.queueWrite(o)
	}
	l, maxWorkers := &s.outcomeQueue, 1
	if o.isClaim() {
		l, maxWorkers = &s.claimQueue, maxConcurrentForwards
	}
	l.ops = append(l.ops, o)
	if !o.isClaim() {
		s.addForwarded(o)
	}
	if l.workers >= maxWorkers {
		return nil
	}
	if !s.claimer.Pool.Submit(func(ctx context.Context) { s.forwardQueued(ctx, l) }) {
		if l.workers > 0 {
			return nil
		}
		l.ops = l.ops[:len(l.ops)-1]
		s.removeForwarded([]*op{o})
		return errNoWorker()
	}
	l.workers++
	return nil
}

func errNoWorker() error { return fault.Newf("queue claim", KindBacklog, "no worker is free") }

// holder returns the instance that holds the shard's duty. own is set when this
// instance has to write: it holds the duty, no holder is known, or there is no way to
// forward.
func (s *shard) holder() (ident.Instance, bool) {
	c := s.claimer
	if c.HolderFunc == nil || c.ForwardFunc == nil {
		return "", true
	}
	holder, own := c.HolderFunc(s.number)
	return holder, own || holder == ""
}

// forwardQueued forwards the entries of a queue to the duty holder until the queue is
// empty. If a call fails, its entries go into this instance's write queue.
func (s *shard) forwardQueued(ctx context.Context, l *forwardQueue) {
	for {
		s.mu.Lock()
		n := min(len(l.ops), maxBatch)
		if n == 0 || ctx.Err() != nil {
			l.workers--
			s.mu.Unlock()
			return
		}
		batch := l.ops[:n:n]
		l.ops = l.ops[n:]
		s.mu.Unlock()
		verdicts, ok := s.forward(ctx, batch)
		if ok {
			s.mu.Lock()
			s.removeForwarded(batch)
			s.mu.Unlock()
			deliver(batch, verdicts, nil)
			continue
		}
		s.writeLocally(batch)
	}
}

func (s *shard) forward(ctx context.Context, batch []*op) ([]Verdict, bool) {
	holder, own := s.holder()
	if own {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout.Duration())
	defer cancel()
	verdicts, err := s.claimer.ForwardFunc(ctx, holder, s.number, entriesOf(batch))
	return verdicts, err == nil && len(verdicts) == len(batch)
}

func (s *shard) writeLocally(batch []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		o.direct = true
		if err := s.queueWrite(o); err != nil && o.answer != nil {
			o.answer <- result{err: err}
		}
	}
	s.removeForwarded(batch)
}

// addForwarded records an outcome as forwarded and not yet confirmed by the duty
// holder. The lock mu must be held.
func (s *shard) addForwarded(o *op) {
	if s.forwarded == nil {
		s.forwarded = map[ident.Key]*op{}
	}
	s.forwarded[o.entry.Key] = o
}

// removeForwarded removes outcomes that the duty holder has written, that are now in
// this instance's write queue, or that could not be queued. The lock mu must be held.
func (s *shard) removeForwarded(batch []*op) {
	for _, o := range batch {
		if s.forwarded[o.entry.Key] == o {
			delete(s.forwarded, o.entry.Key)
		}
	}
}

// unwrittenOutcome returns the outcome of a claim if this instance has queued or
// forwarded it. The log may not hold that outcome yet.
func (s *shard) unwrittenOutcome(held claim.Entry) (claim.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unwrittenOutcomeLocked(held)
}

func (s *shard) unwrittenOutcomeLocked(held claim.Entry) (claim.Entry, bool) {
	for _, o := range []*op{s.writer.outcomes[held.Key], s.forwarded[held.Key]} {
		if o.isOutcomeOf(held) {
			return merge(held, o.entry), true
		}
	}
	return claim.Entry{}, false
}

func entriesOf(batch []*op) []claim.Entry {
	entries := make([]claim.Entry, len(batch))
	for i, o := range batch {
		entries[i] = o.entry
	}
	return entries
}

// deliver sends the results of a batch to the answer channels of its entries.
func deliver(batch []*op, verdicts []Verdict, err error) {
	for i, o := range batch {
		switch {
		case o.answer == nil:
		case err != nil:
			o.answer <- result{err: fault.New("write claim", KindUndecided, err)}
		default:
			o.answer <- result{verdict: verdicts[i]}
		}
	}
}

// write appends those entries that change the ledger, and returns a verdict for each
// entry. After a conflict or a lost answer of the store it reads the log and evaluates
// the entries again, so that the verdict on an entry is certain once a read has
// succeeded.
func (s *shard) write(ctx context.Context, entries []claim.Entry) ([]Verdict, error) {
	if err := s.lockLog(ctx); err != nil {
		return nil, err
	}
	defer s.unlockLog()
	var err error
	for range maxWriteAttempts {
		if err != nil || !s.log.synced || s.mayBeOutdated(entries) {
			if readErr := s.log.refresh(ctx, s.claimer.Clock); readErr != nil {
				return nil, readErr
			}
		}
		effective := s.effectiveEntries(entries)
		if len(effective) == 0 {
			return s.verdicts(entries), nil
		}
		if err = s.log.append(ctx, effective); err == nil {
			return s.verdicts(entries), nil
		}
	}
	return nil, err
}

// mayBeOutdated reports whether the log was last read at least maxReadAge ago and holds
// an unsettled claim with the key of one of the entries but another nonce. Another
// instance may have settled or released that claim since.
func (s *shard) mayBeOutdated(entries []claim.Entry) bool {
	if s.claimer.Clock.Now()-s.log.readAt < maxReadAge {
		return false
	}
	for _, e := range entries {
		held, found := s.log.ledger.records[e.Key]
		if found && held.State == claim.StateClaimed && held.Nonce != e.Nonce {
			return true
		}
	}
	return false
}

// effectiveEntries returns the entries that would change the ledger if appended in order.
func (s *shard) effectiveEntries(entries []claim.Entry) []claim.Entry {
	var effective []claim.Entry
	simulated := ledger{}
	for _, e := range entries {
		if held, found := s.log.ledger.records[e.Key]; found {
			if _, seen := simulated.records[e.Key]; !seen {
				simulated.put(held)
			}
		}
		if simulated.apply(e) {
			effective = append(effective, e)
		}
	}
	return effective
}

// verdicts returns the verdicts on entries according to the log. For entries that have
// not won it also considers outcomes that are not written yet, because a request has
// run before its outcome is durable.
func (s *shard) verdicts(entries []claim.Entry) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make([]Verdict, len(entries))
	for i, e := range entries {
		v := s.log.ledger.verdict(e)
		if outcome, found := s.unwrittenOutcomeLocked(v.Record); !v.Won && found {
			v.Record = outcome
		}
		verdicts[i] = v
	}
	return verdicts
}

// read refreshes the log and calls use with the ledger while holding logLock.
func (s *shard) read(ctx context.Context, use func(*ledger)) error {
	if err := s.lockLog(ctx); err != nil {
		return err
	}
	defer s.unlockLog()
	if err := s.log.refresh(ctx, s.claimer.Clock); err != nil {
		return fault.New("read claims", KindUndecided, err)
	}
	use(&s.log.ledger)
	return nil
}

func (s *shard) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimQueue.workers+s.outcomeQueue.workers > 0 || s.writer.running {
		return max(s.pendingLocked(), 1)
	}
	return s.pendingLocked()
}

func (s *shard) pendingLocked() int {
	return len(s.claimQueue.ops) + len(s.outcomeQueue.ops) + len(s.writer.ops)
}

// trim removes keys whose last entry is older than the given time from the ledger. If
// remove is set, it also deletes the chunks whose entries are all older.
func (s *shard) trim(ctx context.Context, before clock.Millis, remove bool) error {
	if err := s.lockLog(ctx); err != nil {
		return err
	}
	defer s.unlockLog()
	s.log.ledger.trim(before)
	if !remove {
		return nil
	}
	for _, n := range s.log.expiredChunks(before) {
		err := s.claimer.Store.Delete(ctx, claim.Kind(s.number), claim.ChunkName(n), storer.Precondition{})
		if err != nil && storer.KindOf(err) != storer.KindNotFound {
			return err
		}
		delete(s.log.lastEntryAt, n)
	}
	return nil
}
