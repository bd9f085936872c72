// Package pacer applies flow control to a streamed answer: it buffers the data between a
// fast backend server and a slow caller and bounds the memory for it.
package pacer

import (
	"context"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindStalled means that the reader has freed no space within the stall timeout.
	KindStalled Kind = "stalled"
	// KindClosed means that the reader or writer has closed the stream, or that a call's
	// context is done.
	KindClosed Kind = "closed"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// DefaultWindow is the default bound of one stream's buffered data, in bytes.
const DefaultWindow = 64 << 10

// MemoryBudget bounds the bytes that all streams of an instance hold. A nil MemoryBudget has
// no bound.
type MemoryBudget struct {
	// Limit is the bound in bytes; zero means no bound.
	Limit int

	mu   sync.Mutex
	held int
	peak int
}

// Held returns the bytes held now and the most that were ever held.
func (b *MemoryBudget) Held() (now, peak int) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.peak
}

// reserve takes n bytes from the budget and reports whether they fit. force takes them even
// beyond the limit.
func (b *MemoryBudget) reserve(n int, force bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !force && b.Limit > 0 && b.held+n > b.Limit {
		return false
	}
	b.held += n
	b.peak = max(b.peak, b.held)
	return true
}

func (b *MemoryBudget) release(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// StreamBuffer is the bounded buffer of one stream, with one writer and one reader. Set
// the exported fields before use.
type StreamBuffer struct {
	Clock *clock.Clock
	// Window bounds the bytes that the stream holds; zero means DefaultWindow.
	Window int
	// StallTimeout bounds how long Put waits for space; zero means no bound.
	StallTimeout clock.Millis
	Budget       *MemoryBudget

	mu  sync.Mutex
	buf []byte
	// takenHeld is the size of the data that the last Take returned, which counts as held
	// until the next call.
	takenHeld  int
	takenTotal int64
	closed     bool
	err        error
	change     chan struct{}
}

// budgetPollInterval is the interval at which a writer that waits for the memory budget tries
// again; a release by another stream does not wake it.
const budgetPollInterval clock.Millis = 20

// changed returns a channel that is closed at the next change. The lock must be held.
func (p *StreamBuffer) changed() <-chan struct{} {
	if p.change == nil {
		p.change = make(chan struct{})
	}
	return p.change
}

func (p *StreamBuffer) notify() {
	if p.change != nil {
		close(p.change)
		p.change = nil
	}
}

// Put waits for space and appends data. If there is none within the stall timeout, it returns
// an error of KindStalled and has not appended the data.
func (p *StreamBuffer) Put(ctx context.Context, data []byte) error {
	start := p.Clock.Now()
	for {
		state, changed, err := p.tryPut(data)
		if state == putAccepted || err != nil {
			return err
		}
		waited := p.Clock.Now() - start
		if p.StallTimeout > 0 && waited >= p.StallTimeout {
			return fault.Newf("put data", KindStalled, "no room for %d ms", waited)
		}
		if err := p.awaitChange(ctx, changed, p.retryDelay(state, waited)); err != nil {
			return err
		}
	}
}

// putResult is the result of one attempt to append data.
type putResult int

const (
	putAccepted putResult = iota
	putWindowFull
	putBudgetExhausted
)

func (p *StreamBuffer) tryPut(data []byte) (putResult, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return putAccepted, nil, fault.New("put data", KindClosed, p.err)
	}
	window := p.Window
	if window <= 0 {
		window = DefaultWindow
	}
	held := len(p.buf) + p.takenHeld
	if held > 0 && held+len(data) > window {
		return putWindowFull, p.changed(), nil
	}
	// An empty stream always accepts one frame, even beyond the budget, so that every stream
	// makes progress.
	if !p.Budget.reserve(len(data), held == 0) {
		return putBudgetExhausted, p.changed(), nil
	}
	p.buf = append(p.buf, data...)
	p.notify()
	return putAccepted, nil, nil
}

// retryDelay returns how long to wait before the next attempt: the rest of the stall
// timeout, or at most budgetPollInterval if other streams may release budget.
func (p *StreamBuffer) retryDelay(state putResult, waited clock.Millis) clock.Millis {
	left := clock.Hour
	if p.StallTimeout > 0 {
		left = p.StallTimeout - waited
	}
	if state == putBudgetExhausted {
		return min(left, budgetPollInterval)
	}
	return left
}

// awaitChange returns when changed is closed or after wait. It fails if the context is done.
func (p *StreamBuffer) awaitChange(ctx context.Context, changed <-chan struct{}, wait clock.Millis) error {
	expired, stop := p.Clock.After(wait)
	defer stop()
	select {
	case <-changed:
	case <-expired:
	case <-ctx.Done():
		return fault.New("wait for room", KindClosed, ctx.Err())
	}
	return nil
}

// Take waits for data and returns all that is buffered. The data counts toward the window and
// the budget until the next call. At the end of a complete stream Take returns nil data and a
// nil error.
func (p *StreamBuffer) Take(ctx context.Context) ([]byte, error) {
	for {
		p.mu.Lock()
		p.releaseTaken()
		if len(p.buf) > 0 {
			data := p.buf
			p.buf = nil
			p.takenTotal += int64(len(data))
			p.takenHeld = len(data)
			p.mu.Unlock()
			return data, nil
		}
		if p.closed {
			err := p.err
			p.mu.Unlock()
			return nil, err
		}
		changed := p.changed()
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fault.New("take data", KindClosed, ctx.Err())
		}
	}
}

// releaseTaken releases the space of the data that the last Take returned. The lock must be
// held.
func (p *StreamBuffer) releaseTaken() {
	if p.takenHeld == 0 {
		return
	}
	p.Budget.release(p.takenHeld)
	p.takenHeld = 0
	p.notify()
}

// Close ends the stream, with a nil error after the last data or with the reason for an early
// end. Only the first call counts.
func (p *StreamBuffer) Close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	p.err = err
	p.notify()
}

// CancelRead ends the stream from the reader's side, discards the buffered data and releases
// its budget.
func (p *StreamBuffer) CancelRead(err error) {
	p.Close(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseTaken()
	p.Budget.release(len(p.buf))
	p.buf = nil
}

// DiscardUnread discards the buffered data if the reader has taken nothing from the stream
// yet. Otherwise it does nothing and reports false.
func (p *StreamBuffer) DiscardUnread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.takenTotal > 0 {
		return false
	}
	p.Budget.release(len(p.buf))
	p.buf = nil
	return true
}

// AwaitEmpty waits until the reader has taken all data and is done with it, that is, has
// called Take again.
func (p *StreamBuffer) AwaitEmpty(ctx context.Context) error {
	for {
		p.mu.Lock()
		empty, done := len(p.buf)+p.takenHeld == 0, p.closed
		changed := p.changed()
		p.mu.Unlock()
		if done {
			return fault.New("wait for reader", KindClosed, p.err)
		}
		if empty {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New("wait for reader", KindClosed, ctx.Err())
		}
	}
}
