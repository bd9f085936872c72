// Package admitter queues requests for backend servers by priority, within bounds.
//
// Requests for the same version or service wait in one lane. A lane serves prompt
// requests first and gives patient ones a guaranteed share. A request whose
// deadline cannot be met is refused as soon as that is known.
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
	// KindQueueFull means that the lane's queue holds as many as it may.
	KindQueueFull Kind = "queue-full"
	// KindTooLate means that the deadline will pass before the request's turn.
	KindTooLate Kind = "too-late"
	// KindEnded means that the request's context ended while it waited.
	KindEnded Kind = "ended"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// patientEvery gives every patientEvery-th grant of a busy lane to a patient request.
	patientEvery = 4
	// defaultQueue bounds each class of a lane when no bound is set.
	defaultQueue = 1024
	// intervalWeight is the weight of a new sample in the mean time between grants.
	intervalWeight = 0.2
	// promptPatience is how long a prompt request waits for a server to come into service.
	promptPatience = 2 * clock.Second
)

// QueueName names the requests that compete for the same servers.
type QueueName string

// Request is a request for a slot.
type Request struct {
	Queue    QueueName
	Priority declaration.Priority
	// Deadline is when the request must have started at the latest.
	Deadline clock.Millis
	// TryFunc takes a slot when there is one. KindFull and KindNoServer of the
	// registrar keep the request waiting; any other error ends it.
	TryFunc func() (*registrar.Slot, error)
}

// Admitter holds the lanes. Its zero value is ready. Its lock is taken before the registrar's.
type Admitter struct {
	Clock *clock.Clock
	// QueueLimit bounds the waiting requests of each class of a lane.
	QueueLimit int

	mu    sync.Mutex
	lanes map[QueueName]*lane
}

type lane struct {
	prompt, patient list.List // of *waiter
	grants          int
	lastGrant       clock.Millis
	interval        float64
}

type waiter struct {
	ticket Request
	since  clock.Millis
	answer chan grant
}

type grant struct {
	slot *registrar.Slot
	err  error
}

// Admit returns a slot, at once or when the request's turn comes.
func (a *Admitter) Admit(ctx context.Context, t Request) (*registrar.Slot, error) {
	a.mu.Lock()
	l := a.lane(t.Queue)
	queue := l.queue(t.Priority)
	if l.prompt.Len()+l.patient.Len() == 0 {
		slot, err := t.TryFunc()
		if err == nil || !waitable(err) {
			a.mu.Unlock()
			return slot, err
		}
	}
	if err := a.refuse(l, queue, t); err != nil {
		a.mu.Unlock()
		return nil, err
	}
	w := &waiter{ticket: t, since: a.Clock.Now(), answer: make(chan grant, 1)}
	place := queue.PushBack(w)
	a.mu.Unlock()
	return a.wait(ctx, queue, place, w)
}

func (a *Admitter) wait(ctx context.Context, queue *list.List, place *list.Element, w *waiter) (*registrar.Slot, error) {
	left := max(w.ticket.Deadline-a.Clock.Now(), 0)
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
	queue.Remove(place)
	if ctx.Err() != nil {
		return nil, fault.New("wait for slot", KindEnded, ctx.Err())
	}
	return nil, fault.Newf("wait for slot", KindTooLate, "no turn within %d ms", left)
}

// waitable reports whether an error of TryFunc may pass with time.
func waitable(err error) bool {
	kind := registrar.KindOf(err)
	return kind == registrar.KindFull || kind == registrar.KindNoServer
}

func (a *Admitter) lane(name QueueName) *lane {
	if a.lanes == nil {
		a.lanes = map[QueueName]*lane{}
	}
	l := a.lanes[name]
	if l == nil {
		l = &lane{}
		a.lanes[name] = l
	}
	return l
}

func (l *lane) queue(p declaration.Priority) *list.List {
	if p == declaration.PriorityPatient {
		return &l.patient
	}
	return &l.prompt
}

// refuse returns an error when waiting is pointless.
func (a *Admitter) refuse(l *lane, queue *list.List, t Request) error {
	const op = "join queue"
	limit := a.QueueLimit
	if limit <= 0 {
		limit = defaultQueue
	}
	if queue.Len() >= limit {
		return fault.Newf(op, KindQueueFull, "%d requests wait for %s", queue.Len(), t.Queue)
	}
	now := a.Clock.Now()
	expected := clock.Millis(float64(queue.Len()) * l.interval)
	if now >= t.Deadline || now+expected > t.Deadline {
		return fault.Newf(op, KindTooLate, "the turn comes in %d ms and the deadline in %d ms", expected, t.Deadline-now)
	}
	return nil
}

// ExpectedWait returns the estimated wait of a new request in a lane.
func (a *Admitter) ExpectedWait(name QueueName, p declaration.Priority) clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lanes[name]
	if l == nil {
		return 0
	}
	return clock.Millis(float64(l.queue(p).Len()) * l.interval)
}

// Waiting returns the number of waiting requests by class.
func (a *Admitter) Waiting() (prompt, patient int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.lanes {
		prompt += l.prompt.Len()
		patient += l.patient.Len()
	}
	return prompt, patient
}

// Wake serves waiting requests after room may have appeared.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.lanes {
		for a.serve(l) {
		}
	}
}

// serve lets one request of a lane try and reports whether another should.
func (a *Admitter) serve(l *lane) bool {
	queue := l.next()
	if queue == nil {
		return false
	}
	place := queue.Front()
	w := place.Value.(*waiter)
	slot, err := w.ticket.TryFunc()
	if err != nil && waitable(err) && !a.givesUp(w, err) {
		return false
	}
	queue.Remove(place)
	w.answer <- grant{slot: slot, err: err}
	if err == nil {
		a.countGrant(l)
	}
	return true
}

// givesUp reports whether a request stops waiting for a server to come into service.
func (a *Admitter) givesUp(w *waiter, err error) bool {
	return registrar.KindOf(err) == registrar.KindNoServer &&
		w.ticket.Priority != declaration.PriorityPatient &&
		a.Clock.Now()-w.since >= promptPatience
}

// next returns the queue whose turn it is, or nil when none waits.
func (l *lane) next() *list.List {
	switch {
	case l.prompt.Len() == 0 && l.patient.Len() == 0:
		return nil
	case l.prompt.Len() == 0:
		return &l.patient
	case l.patient.Len() == 0:
		return &l.prompt
	case l.grants%patientEvery == patientEvery-1:
		return &l.patient
	}
	return &l.prompt
}

func (a *Admitter) countGrant(l *lane) {
	now := a.Clock.Now()
	l.grants++
	if l.lastGrant > 0 {
		sample := float64(min(now-l.lastGrant, clock.Minute))
		l.interval += intervalWeight * (sample - l.interval)
	}
	l.lastGrant = now
}
