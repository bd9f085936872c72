// Package pacer passes a streamed answer from a fast backend server to a slow caller
// within a bound of memory.
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
	// KindStalled means that the reader has made no room for too long.
	KindStalled Kind = "stalled"
	// KindClosed means that the reader or writer has ended the stream.
	KindClosed Kind = "closed"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// DefaultWindow is the window of a stream, in bytes.
const DefaultWindow = 64 << 10

// MemoryBudget bounds the bytes that all streams of an instance hold. A nil MemoryBudget has no bound.
type MemoryBudget struct {
	// Limit is the bound in bytes.
	Limit int

	mu   sync.Mutex
	held int
	peak int
}

// Held returns the bytes held now and at the peak.
func (b *MemoryBudget) Held() (now, peak int) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.peak
}

// reserve takes n bytes, or reports that they would exceed the limit.
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
	// Window bounds the bytes held; zero means DefaultWindow.
	Window int
	// StallTimeout is how long Put waits for room; zero means for ever.
	StallTimeout clock.Millis
	Budget       *MemoryBudget

	mu  sync.Mutex
	buf []byte
	// reading is the size of the data that the reader took last and still holds.
	reading int
	taken   int64
	done    bool
	err     error
	change  chan struct{}
}

// pollEvery is how often a writer that waits for the instance's budget looks again.
const pollEvery clock.Millis = 20

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

// Put appends data and waits for room. It returns KindStalled when there was none
// for the stall limit; the data is then not taken in.
func (p *StreamBuffer) Put(ctx context.Context, data []byte) error {
	start := p.Clock.Now()
	for {
		state, changed, err := p.tryPut(data)
		if state == roomTaken || err != nil {
			return err
		}
		waited := p.Clock.Now() - start
		if p.StallTimeout > 0 && waited >= p.StallTimeout {
			return fault.Newf("put data", KindStalled, "no room for %d ms", waited)
		}
		if err := p.await(ctx, changed, p.patience(state, waited)); err != nil {
			return err
		}
	}
}

// room says why a Put succeeded or not.
type room int

const (
	roomTaken room = iota
	roomWindowFull
	roomBudgetSpent
)

func (p *StreamBuffer) tryPut(data []byte) (room, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return roomTaken, nil, fault.New("put data", KindClosed, p.err)
	}
	window := p.Window
	if window <= 0 {
		window = DefaultWindow
	}
	held := len(p.buf) + p.reading
	if held > 0 && held+len(data) > window {
		return roomWindowFull, p.changed(), nil
	}
	// An empty stream always takes one frame, so that every stream moves.
	if !p.Budget.reserve(len(data), held == 0) {
		return roomBudgetSpent, p.changed(), nil
	}
	p.buf = append(p.buf, data...)
	p.notify()
	return roomTaken, nil, nil
}

// patience returns how long to wait before the next try: the rest of the stall
// limit, or a short while when other streams may give back budget.
func (p *StreamBuffer) patience(state room, waited clock.Millis) clock.Millis {
	left := clock.Hour
	if p.StallTimeout > 0 {
		left = p.StallTimeout - waited
	}
	if state == roomBudgetSpent {
		return min(left, pollEvery)
	}
	return left
}

// await returns at the next change or after wait.
func (p *StreamBuffer) await(ctx context.Context, changed <-chan struct{}, wait clock.Millis) error {
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

// Take waits for data and moves all of it to the reader, who holds it until the next
// call. It returns nil data and a
// nil error at the end of a whole stream.
func (p *StreamBuffer) Take(ctx context.Context) ([]byte, error) {
	for {
		p.mu.Lock()
		p.giveBack()
		if len(p.buf) > 0 {
			data := p.buf
			p.buf = nil
			p.taken += int64(len(data))
			p.reading = len(data)
			p.mu.Unlock()
			return data, nil
		}
		if p.done {
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

// giveBack releases the data that the reader has finished with. The lock must be held.
func (p *StreamBuffer) giveBack() {
	if p.reading == 0 {
		return
	}
	p.Budget.release(p.reading)
	p.reading = 0
	p.notify()
}

// Close ends the stream: with nil after the last data, or with the reason for a cut.
func (p *StreamBuffer) Close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.err = err
	p.notify()
}

// CancelRead ends the stream from the reader's side and gives back what it holds.
func (p *StreamBuffer) CancelRead(err error) {
	p.Close(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack()
	p.Budget.release(len(p.buf))
	p.buf = nil
}

// DiscardUnread drops what no reader has taken. It reports false, and does nothing, when
// the reader has taken something.
func (p *StreamBuffer) DiscardUnread() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken > 0 {
		return false
	}
	p.Budget.release(len(p.buf))
	p.buf = nil
	return true
}

// AwaitEmpty waits until the reader has taken everything.
func (p *StreamBuffer) AwaitEmpty(ctx context.Context) error {
	for {
		p.mu.Lock()
		empty, done := len(p.buf)+p.reading == 0, p.done
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
