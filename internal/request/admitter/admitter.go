// Package admitter implements admission control: it queues requests for backend servers by
// priority, in queues of bounded length.
//
// Requests for the same version or service share a queue, with one part for each priority
// class. Prompt requests are admitted first; patient ones get a guaranteed share of the
// slots. A request is refused as soon as its deadline can't be met.
package admitter

import (
	"container/list"
	"context"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/registrar"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindQueueFull means that the queue has reached its limit for the request's class.
	KindQueueFull Kind = "queue-full"
	// KindTooLate means that the deadline has passed, or is expected to pass, before the
	// request gets a slot.
	KindTooLate Kind = "too-late"
	// KindEnded means that the request's context ended while it waited.
	KindEnded Kind = "ended"
	// KindStopping means that the instance may stop before the request gets a slot.
	KindStopping Kind = "stopping"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// Every patientInterval-th grant of a queue in which both classes wait goes to a patient
	// request.
	patientInterval = 4
	// defaultQueueLimit is the limit of waiting requests for each class of a queue when
	// QueueLimit is not set.
	defaultQueueLimit = 1024
	// intervalWeight is the weight of a new sample in the moving average of the time between
	// grants.
	intervalWeight = 0.2
	// noServerTimeout is how long a prompt request waits while there is no server for it.
	noServerTimeout = 2 * clock.Second
)

// QueueName identifies a queue: the requests that compete for the same servers.
type QueueName string

// Request is a request for a slot.
type Request struct {
	Queue    QueueName
	Priority declaration.Priority
	// Deadline is the latest time at which the request may get its slot.
	Deadline clock.Millis
	// Begun is set when the answer may have begun. Such a request waits on at a stop.
	Begun bool
	// TryFunc takes a slot if one is free. After an error of the registrar's kinds KindFull and
	// KindNoServer the request keeps waiting; any other error ends the wait.
	TryFunc func() (*registrar.Slot, error)
}

// Admitter holds the queues. Its zero value is ready. Lock order: the Admitter's lock is
// taken before the registrar's.
type Admitter struct {
	Clock *clock.Clock
	// QueueLimit bounds the waiting requests of each class of a queue; zero means 1024.
	QueueLimit int

	mu     sync.Mutex
	queues map[QueueName]*classQueues
	stopAt clock.Millis // zero until Stop is called
}

// classQueues is a queue with a list of waiting requests for each priority class.
type classQueues struct {
	prompt, patient list.List // of *waiter
	grants          int
	lastGrant       clock.Millis
	grantInterval   float64 // moving average of the time between grants, in milliseconds
}

type waiter struct {
	request    Request
	enqueuedAt clock.Millis
	answer     chan grant
}

type grant struct {
	slot *registrar.Slot
	err  error
}

// Admit returns a slot, immediately if one is free and no other request waits, else after
// waiting in the queue.
func (a *Admitter) Admit(ctx context.Context, t Request) (*registrar.Slot, error) {
	a.mu.Lock()
	l := a.queuesOf(t.Queue)
	queue := l.queue(t.Priority)
	if l.prompt.Len()+l.patient.Len() == 0 {
		slot, err := t.TryFunc()
		if err == nil || !retryable(err) {
			a.mu.Unlock()
			return slot, err
		}
	}
	if err := a.refuse(l, queue, t); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	w := &waiter{request: t, enqueuedAt: a.Clock.Now(), answer: make(chan grant, 1)}
	element := queue.PushBack(w)
	a.mu.Unlock()
	return a.wait(ctx, queue, element, w)
}

func (a *Admitter) wait(ctx context.Context, queue *list.List, element *list.Element, w *waiter) (*registrar.Slot, error) {
	left := max(w.request.Deadline-a.Clock.Now(), 0)
	expired, stop := a.Clock.After(left)
	defer stop()
	select {
	case g := <-w.answer:
		return g.slot, g.err
	case <-expired:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case g := <-w.answer:
		return g.slot, g.err
	default:
	}
	queue.Remove(element)
	if ctx.Err() != nil {
		return nil, fault.New("wait for slot", KindEnded, ctx.Err())
	}
	return nil, fault.Newf("wait for slot", KindTooLate, "no turn within %d ms", left)
}

// retryable reports whether a later call of TryFunc may succeed after this error.
func retryable(err error) bool {
	kind := registrar.KindOf(err)
	return kind == registrar.KindFull || kind == registrar.KindNoServer
}

func (a *Admitter) queuesOf(name QueueName) *classQueues {
	if a.queues == nil {
		a.queues = map[QueueName]*classQueues{}
	}
	l := a.queues[name]
	if l == nil {
		l = &classQueues{}
		a.queues[name] = l
	}
	return l
}

func (l *classQueues) queue(p declaration.Priority) *list.List {
	if p == declaration.PriorityPatient {
		return &l.patient
	}
	return &l.prompt
}

// refuse returns an error if the queue is full, or the request is not expected to get a slot
// before its deadline or may outlast the instance.
func (a *Admitter) refuse(l *classQueues, queue *list.List, t Request) error {
	const op = "join queue"
	limit := a.QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	if queue.Len() >= limit {
		return fault.Newf(op, KindQueueFull, "%d requests wait for %s", queue.Len(), t.Queue)
	}
	if !t.Begun && a.outlasts(t.Deadline) {
		return a.stopping()
	}
	now := a.Clock.Now()
	expected := clock.Millis(float64(queue.Len()) * l.grantInterval)
	if now >= t.Deadline || now+expected > t.Deadline {
		return fault.Newf(op, KindTooLate, "the turn comes in %d ms and the deadline in %d ms", expected, t.Deadline-now)
	}
	return nil
}

// Stop ends the waits of the requests that may outlast the instance, which stops at the given time, and refuses such requests
// from now on. Their callers still have the time to be served by another instance.
func (a *Admitter) Stop(at clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopAt = at
	for _, l := range a.queues {
		for _, queue := range []*list.List{&l.prompt, &l.patient} {
			for element := queue.Front(); element != nil; {
				next := element.Next()
				if w := element.Value.(*waiter); !w.request.Begun && a.outlasts(w.request.Deadline) {
					queue.Remove(element)
					w.answer <- grant{err: a.stopping()}
				}
				element = next
			}
		}
	}
}

// Outlasts reports whether a wait until the deadline may outlast the instance.
func (a *Admitter) Outlasts(deadline clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outlasts(deadline)
}

func (a *Admitter) outlasts(deadline clock.Millis) bool { return a.stopAt > 0 && deadline >= a.stopAt }

func (a *Admitter) stopping() error {
	return fault.Newf("wait for slot", KindStopping, "the instance stops in %d ms", a.stopAt-a.Clock.Now())
}

// ExpectedWait returns the estimated wait of a new request in a queue.
func (a *Admitter) ExpectedWait(name QueueName, p declaration.Priority) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.queues[name]
	if l == nil {
		return 0
	}
	return clock.Millis(float64(l.queue(p).Len()) * l.grantInterval)
}

// Waiting returns the number of waiting requests by class.
func (a *Admitter) Waiting() (prompt, patient int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.queues {
		prompt += l.prompt.Len()
		patient += l.patient.Len()
	}
	return prompt, patient
}

// Wake grants slots to waiting requests. Call it whenever a slot may have become free.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.queues {
		for a.grantNext(l) {
		}
	}
}

// grantNext calls TryFunc of the next request in line. It reports whether that request left
// the queue, so that the next one may be tried.
func (a *Admitter) grantNext(l *classQueues) bool {
	queue := l.nextQueue()
	if queue == nil {
		return false
	}
	element := queue.Front()
	w := element.Value.(*waiter)
	slot, err := w.request.TryFunc()
	if err != nil && retryable(err) && !a.stopsWaiting(w, err) {
		return false
	}
	queue.Remove(element)
	w.answer <- grant{slot: slot, err: err}
	if err == nil {
		a.countGrant(l)
	}
	return true
}

// stopsWaiting reports whether a request has waited long enough for a server to come into
// service. Patient requests wait until their deadline.
func (a *Admitter) stopsWaiting(w *waiter, err error) bool {
	return registrar.KindOf(err) == registrar.KindNoServer &&
		w.request.Priority != declaration.PriorityPatient &&
		a.Clock.Now()-w.enqueuedAt >= noServerTimeout
}

// nextQueue returns the class queue that gets the next grant, or nil if no request waits.
func (l *classQueues) nextQueue() *list.List {
	switch {
	case l.prompt.Len() == 0 && l.patient.Len() == 0:
		return nil
	case l.prompt.Len() == 0:
		return &l.patient
	case l.patient.Len() == 0:
		return &l.prompt
	case l.grants%patientInterval == patientInterval-1:
		return &l.patient
	}
	return &l.prompt
}

func (a *Admitter) countGrant(l *classQueues) {
	now := a.Clock.Now()
	l.grants++
	if l.lastGrant > 0 {
		sample := float64(min(now-l.lastGrant, clock.Minute))
		l.grantInterval += intervalWeight * (sample - l.grantInterval)
	}
	l.lastGrant = now
}
