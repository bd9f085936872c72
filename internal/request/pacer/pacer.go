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

// Budget bounds the bytes that all streams of an instance hold. A nil Budget has no bound.
type Budget struct {
	// Limit is the bound in bytes.
	Limit int

	mu   sync.Mutex
	held int
	peak int
}

// Held returns the bytes held now and at the peak.
func (b *Budget) Held() (now, peak int) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.peak
}

// reserve takes n bytes, or reports that they would exceed the limit.
func (b *Budget) reserve(n int, force bool) bool {
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

func (b *Budget) release(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Pacer is the bounded buffer of one stream, with one writer and one reader. Set
// the exported fields before use.
type Pacer struct {
	Clock *clock.Clock
	// Window bounds the bytes held; zero means DefaultWindow.
	Window int
	// StallLimit is how long Put waits for room; zero means for ever.
	StallLimit clock.Millis
	Budget     *Budget

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
func (p *Pacer) changed() <-chan struct{} {
	if p.change == nil {
		p.change = make(chan struct{})
	}
	return p.change
}

func (p *Pacer) notify() {
	if p.change != nil {
		close(p.change)
		p.change = nil
	}
}

// Put appends data and waits for room. It returns KindStalled when there was none
// for the stall limit; the data is then not taken in.
func (p *Pacer) Put(ctx context.Context, data []byte) error {
	start := p.Clock.Now()
	for {
		state, changed, err := p.tryPut(data)
		if state == roomTaken || err != nil {
			return err
		}
		waited := p.Clock.Now() - start
		if p.StallLimit > 0 && waited >= p.StallLimit {
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

func (p *Pacer) tryPut(data []byte) (room, <-chan struct{}, error) {
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
func (p *Pacer) patience(state room, waited clock.Millis) clock.Millis {
	left := clock.Hour
	if p.StallLimit > 0 {
		left = p.StallLimit - waited
	}
	if state == roomBudgetSpent {
		return min(left, pollEvery)
	}
	return left
}

// await returns at the next change or after wait.
func (p *Pacer) await(ctx context.Context, changed <-chan struct{}, wait clock.Millis) error {
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
func (p *Pacer) Take(ctx context.Context) ([]byte, error) {
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
func (p *Pacer) giveBack() {
	if p.reading == 0 {
		return
	}
	p.Budget.release(p.reading)
	p.reading = 0
	p.notify()
}

// Close ends the stream: with nil after the last data, or with the reason for a cut.
func (p *Pacer) Close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.err = err
	p.notify()
}

// Drop ends the stream from the reader's side and gives back what it holds.
func (p *Pacer) Drop(err error) {
	p.Close(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giveBack()
	p.Budget.release(len(p.buf))
	p.buf = nil
}

// Reset drops what no reader has taken. It reports false, and does nothing, when
// the reader has taken something.
func (p *Pacer) Reset() bool {
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
func (p *Pacer) AwaitEmpty(ctx context.Context) error {
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
