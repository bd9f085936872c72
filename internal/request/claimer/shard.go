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
	// maxBatch bounds the entries of one group commit.
	maxBatch = 256
	// maxTries bounds the writes of one group commit.
	maxTries = 4
	// retryPause is the pause after the store failed, doubled up to maxRetryPause.
	retryPause    clock.Millis = 50
	maxRetryPause              = 2 * clock.Second
	// writeBurst is the number of writes that may go out without pacing.
	writeBurst = 5
	// outcomeDelay is how long outcomes wait for claims to share a write with.
	outcomeDelay clock.Millis = 100
	// staleAfter is the age of the last read from which a lost claim is looked at again.
	staleAfter clock.Millis = 300
	// forwardTimeout bounds a shard holder's answer.
	forwardTimeout clock.Millis = 1500
)

// op is an entry on its way into the log.
type op struct {
	entry claim.Entry
	// direct forbids forwarding.
	direct bool
	// answer receives the result of a claim; nil for outcomes, which are retried.
	answer chan result
}

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

// shard collects entries and writes them in groups. Lock order: io before mu. The
// lock io is the only one held over calls of the store, and guards only the log.
type shard struct {
	claimer *Claimer
	number  int

	mu      sync.Mutex
	pending []*op
	running bool
	pause   clock.Millis
	credit  float64
	credAt  clock.Millis

	io  sync.Mutex
	log shardLog
}

func (s *shard) submit(ctx context.Context, e claim.Entry, direct bool) (Verdict, error) {
	o := &op{entry: e, direct: direct, answer: make(chan result, 1)}
	if err := s.enqueue(o); err != nil {
		return Verdict{}, err
	}
	return o.await(ctx)
}

func (s *shard) enqueue(o *op) error {
	const op = "queue claim"
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.answer != nil && len(s.pending) >= maxPending {
		return fault.Newf(op, KindBacklog, "%d entries wait for shard %d", len(s.pending), s.number)
	}
	s.pending = append(s.pending, o)
	if s.running {
		return nil
	}
	if !s.claimer.Pool.Submit(s.run) {
		s.pending = s.pending[:len(s.pending)-1]
		return fault.Newf(op, KindBacklog, "no worker is free")
	}
	s.running = true
	return nil
}

// run writes pending entries until there is none.
func (s *shard) run(ctx context.Context) {
	for {
		s.awaitTurn(ctx)
		batch := s.takeBatch()
		if batch == nil || ctx.Err() != nil {
			s.deliver(batch, nil, ctx.Err())
			return
		}
		verdicts, err := s.commit(ctx, batch)
		s.deliver(batch, verdicts, err)
		s.backOff(ctx, err)
	}
}

// takeBatch returns the next entries, or nil after marking the shard as idle.
func (s *shard) takeBatch() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxBatch)
	if n == 0 {
		s.running = false
		return nil
	}
	batch := s.pending[:n:n]
	s.pending = s.pending[n:]
	return batch
}

// awaitTurn delays a batch of outcomes, and any batch beyond the shard's write rate.
func (s *shard) awaitTurn(ctx context.Context) {
	if wait := s.pace(); wait > 0 {
		_ = s.claimer.Clock.Sleep(ctx, wait) // an ended context shows in run
	}
	for waited := clock.Millis(0); waited < outcomeDelay && s.onlyOutcomes(); waited += drainPoll {
		_ = s.claimer.Clock.Sleep(ctx, drainPoll) // an ended context shows in run
	}
}

func (s *shard) onlyOutcomes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.pending {
		if o.answer != nil {
			return false
		}
	}
	return len(s.pending) > 0
}

// pace takes one write from the shard's rate and returns how long to wait for it.
func (s *shard) pace() clock.Millis {
	every := float64(s.claimer.WriteEvery)
	if every <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return 0
	}
	now := s.claimer.Clock.Now()
	if s.credAt == 0 {
		s.credit = writeBurst
	}
	s.credit = min(s.credit+float64(now-s.credAt)/every, writeBurst)
	s.credAt = now
	s.credit--
	if s.credit >= 0 {
		return 0
	}
	return clock.Millis(-s.credit * every)
}

// commit decides a batch: through the duty holder when that is another instance
// that answers, and by writing otherwise.
func (s *shard) commit(ctx context.Context, batch []*op) ([]Verdict, error) {
	entries := make([]claim.Entry, len(batch))
	direct := false
	for i, o := range batch {
		entries[i] = o.entry
		direct = direct || o.direct
	}
	if verdicts, ok := s.forward(ctx, entries, direct); ok {
		return verdicts, nil
	}
	return s.write(ctx, entries)
}

func (s *shard) forward(ctx context.Context, entries []claim.Entry, direct bool) ([]Verdict, bool) {
	c := s.claimer
	if direct || c.HolderFunc == nil || c.ForwardFunc == nil {
		return nil, false
	}
	holder, own := c.HolderFunc(s.number)
	if own || holder == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout.Duration())
	defer cancel()
	verdicts, err := c.ForwardFunc(ctx, holder, s.number, entries)
	if err != nil || len(verdicts) != len(entries) {
		return nil, false
	}
	return verdicts, true
}

// write appends what the log does not decide already. After a conflict or a lost
// answer it reads the log and decides anew, so that an entry is never in doubt
// once a read has succeeded.
func (s *shard) write(ctx context.Context, entries []claim.Entry) ([]Verdict, error) {
	s.io.Lock()
	defer s.io.Unlock()
	var err error
	for range maxTries {
		if err != nil || !s.log.synced || s.doubtful(entries) {
			if readErr := s.log.refresh(ctx, s.claimer.Clock); readErr != nil {
				return nil, readErr
			}
		}
		fresh := s.undecided(entries)
		if len(fresh) == 0 {
			return s.verdicts(entries), nil
		}
		if err = s.log.append(ctx, fresh); err == nil {
			return s.verdicts(entries), nil
		}
	}
	return nil, err
}

// doubtful reports whether an entry meets a claim without an outcome in a log that
// was read a while ago, so that another instance may have settled it since.
func (s *shard) doubtful(entries []claim.Entry) bool {
	if s.claimer.Clock.Now()-s.log.readAt < staleAfter {
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

// undecided returns the entries that would change the ledger if appended in order.
func (s *shard) undecided(entries []claim.Entry) []claim.Entry {
	var fresh []claim.Entry
	trial := ledger{}
	for _, e := range entries {
		if held, found := s.log.ledger.records[e.Key]; found {
			if _, seen := trial.records[e.Key]; !seen {
				trial.put(held)
			}
		}
		if trial.apply(e) {
			fresh = append(fresh, e)
		}
	}
	return fresh
}

func (s *shard) verdicts(entries []claim.Entry) []Verdict {
	verdicts := make([]Verdict, len(entries))
	for i, e := range entries {
		verdicts[i] = s.log.ledger.verdict(e)
	}
	return verdicts
}

// deliver answers claims and queues outcomes again that were not written.
func (s *shard) deliver(batch []*op, verdicts []Verdict, err error) {
	var again []*op
	for i, o := range batch {
		switch {
		case o.answer != nil && err != nil:
			o.answer <- result{err: fault.New("write claim", KindUndecided, err)}
		case o.answer != nil:
			o.answer <- result{verdict: verdicts[i]}
		case err != nil:
			again = append(again, o)
		}
	}
	if len(again) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(again, s.pending...)
}

// backOff pauses after the store failed.
func (s *shard) backOff(ctx context.Context, err error) {
	if err == nil {
		s.pause = 0
		return
	}
	s.pause = min(max(2*s.pause, retryPause), maxRetryPause)
	_ = s.claimer.Clock.Sleep(ctx, s.pause) // an ended context shows in run
}

func (s *shard) refresh(ctx context.Context) error {
	s.io.Lock()
	defer s.io.Unlock()
	if err := s.log.refresh(ctx, s.claimer.Clock); err != nil {
		return fault.New("read claims", KindUndecided, err)
	}
	return nil
}

func (s *shard) lookup(key ident.Key) (claim.Entry, bool) {
	s.io.Lock()
	defer s.io.Unlock()
	e, found := s.log.ledger.records[key]
	return e, found
}

func (s *shard) unsettled() []claim.Entry {
	s.io.Lock()
	defer s.io.Unlock()
	var open []claim.Entry
	for _, e := range s.log.ledger.records {
		if e.State == claim.StateClaimed {
			open = append(open, e)
		}
	}
	return open
}

func (s *shard) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return max(len(s.pending), 1)
	}
	return len(s.pending)
}

func (s *shard) trim(ctx context.Context, before clock.Millis, remove bool) {
	s.io.Lock()
	s.log.ledger.trim(before)
	old := s.log.expired(before)
	s.io.Unlock()
	if !remove {
		return
	}
	for _, n := range old {
		err := s.claimer.Store.Delete(ctx, claim.Kind(s.number), claim.ChunkName(n), storer.Precondition{})
		if err != nil && storer.KindOf(err) != storer.KindNotFound {
			return
		}
		s.io.Lock()
		delete(s.log.ages, n)
		s.io.Unlock()
	}
}
