// Package queuer orders the requests that wait at this instance for a server of a service, and tells the first
// of them when to try again.
//
// The order is: priority; requests that can't be made anew (streams that have begun, requests that may run only
// once); first attempts before others; then the latest start that still meets the target. Requests of a
// workspace that has more of the same priority in the queue count as if they came that much later, so that one
// workspace can't hold back the others. Only the first request looks for room, and the one after it once that
// has left: an event that frees a server wakes one request, not all.
package queuer

import (
	"container/heap"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

// MaxWaiting bounds the requests that wait for one service at one instance.
const MaxWaiting = 10_000

// turnShare is the divisor of a request's target by which each request of the same workspace and priority before
// it in the queue puts it back.
const turnShare = 8

// Request is what the order of a waiting request depends on.
type Request struct {
	Priority  int
	Workspace declaration.WorkspaceName
	// Held is set for a stream that the caller has a part of, and for a request that may run only once.
	Held bool
	// Repeated is set for another attempt of a request that was sent to a server before.
	Repeated bool
	// LatestStart is the last moment to start with which the answer begins within Target of the request's arrival.
	LatestStart, Target clock.Millis
}

// Queue holds the waiting requests of one service. Its zero value is ready.
type Queue struct {
	mu      sync.Mutex
	waiters waiters
	behind  map[flow]int
	joined  uint64
	opensAt clock.Millis
}

// flow is the requests of a workspace with one priority.
type flow struct {
	workspace declaration.WorkspaceName
	priority  int
}

// Waiter is the place of a request in a Queue.
type Waiter struct {
	// C receives when the request is first in the queue and a server may have become usable.
	C chan struct{}

	queue   *Queue
	request Request
	due     clock.Millis // the latest start, put back for the workspace's requests before this one
	number  uint64
	at      int // in the heap; -1 once it has left
}

// Join adds a request to the queue. It returns nil if the queue is full of requests that go before it; otherwise the
// caller calls Leave once the request doesn't wait any more.
func (q *Queue) Join(request Request) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= MaxWaiting {
		return nil
	}
	if q.behind == nil {
		q.behind = map[flow]int{}
	}
	q.joined++
	w := &Waiter{C: make(chan struct{}, 1), queue: q, request: request, number: q.joined}
	w.due = request.LatestStart + clock.Millis(q.behind[w.flow()])*request.Target/turnShare
	q.behind[w.flow()]++
	heap.Push(&q.waiters, w)
	return w
}

// MustWait reports whether a request that arrives now goes after one that waits.
func (q *Queue) MustWait(request Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) > 0 && !(&Waiter{request: request, due: request.LatestStart, number: q.joined + 1}).before(q.waiters[0])
}

// Pass records that a request found room, and keeps the queue shut for a gap: what the request adds to the servers'
// work isn't known at the other instances yet, which look for room too.
func (q *Queue) Pass(now, gap clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.opensAt = now + gap
}

// IsOpen reports whether the gap after the last request that found room is over.
func (q *Queue) IsOpen(now clock.Millis) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now >= q.opensAt
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// Wake makes the first request try again.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

func (q *Queue) wakeFirst() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].C <- struct{}{}:
	default: // it is to try again already
	}
}

// IsFirst reports whether no waiting request goes before this one.
func (w *Waiter) IsFirst() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return w.at == 0
}

// Leave takes the request out of the queue, and makes the first of the others try if this one was first. Further calls do nothing.
func (w *Waiter) Leave() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.at < 0 {
		return
	}
	wasFirst := w.at == 0
	heap.Remove(&q.waiters, w.at)
	if q.behind[w.flow()]--; q.behind[w.flow()] == 0 {
		delete(q.behind, w.flow())
	}
	if wasFirst {
		q.wakeFirst()
	}
}

func (w *Waiter) flow() flow { return flow{w.request.Workspace, w.request.Priority} }

// before reports whether a request goes before another one.
func (w *Waiter) before(other *Waiter) bool {
	a, b := &w.request, &other.request
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Held != b.Held:
		return a.Held
	case a.Repeated != b.Repeated:
		return b.Repeated
	case w.due != other.due:
		return w.due < other.due
	}
	return w.number < other.number
}

// waiters is a heap; the first request stands at the front.
type waiters []*Waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*Waiter)
	w.at = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.at = -1
	return w
}
