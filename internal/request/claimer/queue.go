package claimer

import (
	"context"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// minRetryDelay is the delay after a failed write. Each further failure doubles
	// it, up to maxRetryDelay.
	minRetryDelay clock.Millis = 50
	maxRetryDelay              = 2 * clock.Second
	// writeBurst is the burst size, in writes, of the write rate limit.
	writeBurst = 5
	// outcomeDelay is how long outcomes wait for a claim that they can share a group
	// commit with. It saves writes to the store.
	outcomeDelay = 1 * clock.Second
	// outcomeBatch is the number of queued outcomes from which they are written
	// without that delay.
	outcomeBatch = 128
)

// writeQueue holds the entries that this instance writes to the log itself. The
// shard's mu guards it, except for retryDelay, which only the writing worker uses.
type writeQueue struct {
	ops     []*op
	running bool
	// claimCount is the number of queued claims.
	claimCount int
	// oldest is when the oldest queued outcome was added. Each write resets it to the
	// time when the write ended.
	oldest clock.Millis
	// wake, when not nil, is closed when a claim is added or draining starts.
	wake chan struct{}
	// outcomes holds the outcomes and releases that are not written yet, by key.
	outcomes map[ident.Key]*op

	retryDelay clock.Millis
	tokens     float64
	tokensAt   clock.Millis
}

// isOutcomeOf reports whether the operation, which may be nil, is the outcome of the
// held entry, which must be a claim without an outcome.
func (o *op) isOutcomeOf(held claim.Entry) bool {
	return o != nil && held.State == claim.StateClaimed && o.entry.State == claim.StateRan && o.entry.Nonce == held.Nonce
}

// queueWrite adds an entry to the write queue, and starts the worker that empties the
// queue if none is running. The lock mu must be held.
func (s *shard) queueWrite(o *op) error {
	q := &s.writer
	if !q.running {
		if !s.claimer.Pool.Submit(s.writeQueued) {
			return errNoWorker()
		}
		q.running = true
	}
	q.add(o, s.claimer.Clock.Now())
	return nil
}

func (q *writeQueue) add(o *op, now clock.Millis) {
	q.ops = append(q.ops, o)
	if o.isClaim() {
		q.claimCount++
		if q.wake != nil {
			close(q.wake)
			q.wake = nil
		}
		return
	}
	if q.outcomes == nil {
		q.outcomes = map[ident.Key]*op{}
	}
	if len(q.outcomes) == 0 {
		q.oldest = now
	}
	q.outcomes[o.entry.Key] = o
}

// writeQueued writes queued entries until the queue is empty.
func (s *shard) writeQueued(ctx context.Context) {
	for {
		s.waitToWrite(ctx)
		batch := s.takeBatch()
		if batch == nil {
			return
		}
		if ctx.Err() != nil {
			deliver(batch, nil, ctx.Err())
			continue
		}
		verdicts, err := s.write(ctx, entriesOf(batch))
		deliver(batch, verdicts, err)
		s.completeOutcomes(batch, err)
		s.backOff(ctx, err)
	}
}

// takeBatch removes and returns the next entries. If the queue is empty, it marks the
// queue as not running and returns nil.
func (s *shard) takeBatch() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.writer
	n := min(len(q.ops), maxBatch)
	if n == 0 {
		q.running = false
		return nil
	}
	batch := q.ops[:n:n]
	q.ops = q.ops[n:]
	for _, o := range batch {
		if o.isClaim() {
			q.claimCount--
		}
	}
	return batch
}

// completeOutcomes removes written outcomes, and puts outcomes whose write failed back
// at the head of the queue. Outcomes with an answer channel are not retried: their
// sender gets the error.
func (s *shard) completeOutcomes(batch []*op, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.writer
	var failed []*op
	for _, o := range batch {
		if o.isClaim() {
			continue
		}
		if err != nil && o.answer == nil {
			failed = append(failed, o)
			continue
		}
		if q.outcomes[o.entry.Key] == o {
			delete(q.outcomes, o.entry.Key)
		}
	}
	q.oldest = s.claimer.Clock.Now()
	q.ops = append(failed, q.ops...)
}

// waitToWrite waits until the shard's write rate allows a write. If only outcomes are
// queued, it also waits until a claim is added or the oldest outcome has waited for
// outcomeDelay.
func (s *shard) waitToWrite(ctx context.Context) {
	if wait := s.reserveWrite(); wait > 0 {
		_ = s.claimer.Clock.Sleep(ctx, wait) // writeQueued checks ctx afterwards
	}
	wake, wait := s.outcomeWait()
	if wait <= 0 {
		return
	}
	expired, stop := s.claimer.Clock.After(wait)
	defer stop()
	select {
	case <-wake:
	case <-expired:
	case <-ctx.Done():
	}
}

// outcomeWait returns how long the queued outcomes may still wait for a claim, and a
// channel that is closed when a claim is added or draining starts. The wait is 0 when
// a claim is queued, the queue is empty or holds at least outcomeBatch entries, or the
// shard is draining.
func (s *shard) outcomeWait() (<-chan struct{}, clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.writer
	if q.claimCount > 0 || len(q.ops) == 0 || len(q.ops) >= outcomeBatch || s.draining {
		return nil, 0
	}
	if q.wake == nil {
		q.wake = make(chan struct{})
	}
	return q.wake, q.oldest + outcomeDelay - s.claimer.Clock.Now()
}

// startDraining makes the shard write outcomes without outcomeDelay from now on.
func (s *shard) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.writer.wake != nil {
		close(s.writer.wake)
		s.writer.wake = nil
	}
}

// reserveWrite takes one token from the token bucket that limits the shard's writes,
// and returns how long to wait until the write may start. The token count may go
// negative.
func (s *shard) reserveWrite() clock.Millis {
	every := float64(s.claimer.WriteEvery)
	if every <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.writer
	if len(q.ops) == 0 {
		return 0
	}
	now := s.claimer.Clock.Now()
	if q.tokensAt == 0 {
		q.tokens = writeBurst
	}
	q.tokens = min(q.tokens+float64(now-q.tokensAt)/every, writeBurst)
	q.tokensAt = now
	q.tokens--
	if q.tokens >= 0 {
		return 0
	}
	return clock.Millis(-q.tokens * every)
}

// backOff waits after a failed write, with exponential delays, and resets the delay
// after a successful one.
func (s *shard) backOff(ctx context.Context, err error) {
	q := &s.writer
	if err == nil {
		q.retryDelay = 0
		return
	}
	q.retryDelay = min(max(2*q.retryDelay, minRetryDelay), maxRetryDelay)
	_ = s.claimer.Clock.Sleep(ctx, q.retryDelay) // writeQueued checks ctx afterwards
}
