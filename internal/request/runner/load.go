package runner

import (
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/load/assessor"
	"example.com/dotterelwell/internal/load/queuer"
	"example.com/dotterelwell/internal/load/ranker"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
)

// ranking is what the order of the requests to one service follows from.
type ranking struct {
	ranker   ranker.Ranker
	assessor assessor.Assessor
}

// rankings holds the rankings of one configuration, by service with engines.
type rankings struct {
	config    *routing.Config
	byService map[declaration.ServiceName]*ranking
}

// rankingsOf returns the rankings of a configuration.
func rankingsOf(config *routing.Config) *rankings {
	made := &rankings{config: config, byService: map[declaration.ServiceName]*ranking{}}
	var workspaces []int
	for i := range config.Workspaces {
		if config.Workspaces[i].HasPriority {
			workspaces = append(workspaces, config.Workspaces[i].Priority)
		}
	}
	priorities := map[declaration.ServiceName][]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		for _, share := range route.Shares {
			service := config.Services[share.Service]
			if service == nil || service.Engine == nil || route.FirstByteTarget <= 0 {
				continue
			}
			held := made.byService[share.Service]
			if held == nil {
				held = &ranking{}
				made.byService[share.Service] = held
			}
			held.assessor.Add(assessor.Rank{Priority: route.Priority, Target: route.FirstByteTarget})
			priorities[share.Service] = append(priorities[share.Service], route.Priority)
		}
	}
	for service, held := range made.byService {
		held.ranker = ranker.New(append(priorities[service], workspaces...))
	}
	return made
}

// ranking returns the ranking of the request's service, or nil if its requests are not ranked.
func (x *execution) ranking() *ranking {
	config := x.view.Config
	held := x.rankings.Load()
	if held == nil || held.config != config {
		held = rankingsOf(config)
		x.rankings.Store(held)
	}
	if x.route.FirstByteTarget <= 0 {
		return nil
	}
	return held.byService[x.service]
}

// priority returns the rank of the request; 0 is the most urgent. The priority of the workspace, if it has one,
// overrides that of the route.
func (x *execution) priority() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// urgency returns the request's rank at the slot's server, from 0 to 9.
func (t *activeAttempt) urgency() int {
	standing := ranker.Standing{Priority: t.priority(), Resumed: t.streamStarted, Repeated: t.sends > 0, Target: t.route.FirstByteTarget}
	standing.Slack = t.req.ArrivedAt + t.route.FirstByteTarget - t.Clock.Now() - clock.Millis(t.slot.Work())
	if held := t.ranking(); held != nil {
		return held.ranker.Urgency(standing)
	}
	return ranker.Ranker{}.Urgency(standing)
}

// admission is the wait of a request for room at a server. Its zero value lets the request be sent at once.
type admission struct {
	*execution
	queue  *queuer.Queue // nil if the request doesn't wait for room
	order  queuer.Request
	room   clock.Millis
	work   float64 // for the prompt with all models that may answer, in milliseconds
	waiter *queuer.Waiter
	joined clock.Millis
}

// newAdmission returns the admission of the request's next attempt. A stream that has begun and a request that may
// run only once don't wait for room, nor does one than which nothing is more urgent.
func (x *execution) newAdmission() admission {
	held := x.ranking()
	if held == nil || x.streamStarted || x.route.Delivery == routing.DeliveryOnce {
		return admission{}
	}
	room := held.assessor.Room(x.priority())
	if room == 0 {
		return admission{}
	}
	a := admission{execution: x, queue: x.queues.of(x.service), room: room}
	want := x.wantFor(x.requestedModel())
	a.work = want.SharedWork + want.OwnWork
	if larger := x.Cascader.EscalationModel(x.route, x.model); larger != "" {
		want = x.wantFor(larger)
		a.work += want.SharedWork + want.OwnWork
	}
	target := x.route.FirstByteTarget
	a.order = queuer.Request{Priority: x.priority(), Repeated: x.sends > 0, LatestStart: x.req.ArrivedAt + target - clock.Millis(a.work), Target: target}
	if x.workspace != nil {
		a.order.Workspace = x.workspace.Name
	}
	return a
}

// waited returns the median wait of the latest requests at the service's servers, in milliseconds.
func (a *admission) waited(now clock.Millis) float64 { return a.waits.Wait(a.service, now) }

// left returns how long the request may still wait for room.
func (a *admission) left(now clock.Millis) clock.Millis {
	if a.queue == nil {
		return 0
	}
	models := 1
	if a.Cascader.EscalationModel(a.route, a.model) != "" {
		models = 2
	}
	return assessor.LatestStart(a.req.ArrivedAt, a.route.FirstByteTarget, a.waited(now), a.work, models) - now
}

// mustWait reports whether the request waits for room without asking for a slot: another one goes before it, or the
// servers let requests wait for too long.
func (a *admission) mustWait(now clock.Millis) bool {
	switch {
	case a.left(now) <= 0:
		return false
	case a.waited(now) > float64(a.room), !a.queue.IsOpen(now):
		return true
	case a.waiter != nil:
		return !a.waiter.IsFirst()
	}
	return a.queue.MustWait(a.order)
}

// apply sets the room that the request needs at a server.
func (a *admission) apply(want *roster.Want, now clock.Millis) {
	if a.left(now) > 0 {
		want.Room = a.room
	}
}

// wait returns a channel that tells when to try again, and the time after which to try in any case. A request that
// finds the queue full is sent without waiting for room.
func (a *admission) wait(now clock.Millis) (woken <-chan struct{}, timeout clock.Millis) {
	if a.waiter == nil {
		if a.waiter = a.queue.Join(a.order); a.waiter == nil {
			a.queue = nil
			return nil, 0
		}
		a.joined = now
		a.queues.logWait(a, now)
	}
	timeout = min(a.left(now), patientPollInterval)
	if a.waiter.IsFirst() {
		timeout = min(timeout, roomPollInterval)
	}
	return a.waiter.C, timeout
}

// pass records that the request found room.
func (a *admission) pass(now clock.Millis) {
	if a.left(now) > 0 {
		a.queue.Pass(now, assessor.Gap(a.waited(now), a.room))
	}
}

// end takes the request out of the queue.
func (a *admission) end() {
	if a.waiter == nil {
		return
	}
	a.waiter.Leave()
	if a.OnRoomWait != nil {
		a.OnRoomWait(a.route.Name, a.Clock.Now()-a.joined)
	}
}

// patientPollInterval is the interval at which the other requests look whether their latest start has come: it gets
// nearer as the waits at the servers grow.
const patientPollInterval clock.Millis = 250

// roomPollInterval is the interval at which the first request of a queue looks for room: servers get on with
// their work, and peers tell of theirs, without an event at this instance.
const roomPollInterval clock.Millis = 25

// waitLogInterval is the least time between two log lines on requests that wait for room.
const waitLogInterval = 5 * clock.Second

// queues holds the queues of all services. Its zero value is ready.
type queues struct {
	mu        sync.Mutex
	byService map[declaration.ServiceName]*queuer.Queue
	loggedAt  clock.Millis
}

// logWait logs that a request has begun to wait for room, unless that was logged lately.
func (q *queues) logWait(a *admission, now clock.Millis) {
	q.mu.Lock()
	due := q.loggedAt == 0 || now-q.loggedAt >= waitLogInterval
	if due {
		q.loggedAt = now
	}
	q.mu.Unlock()
	if due {
		klog.InfoS("Requests wait for room at servers", "service", a.service, "route", a.route.Name, "waiting", a.queue.Len(), "server-wait-ms", clock.Millis(a.waited(now)), "room-ms", a.room)
	}
}

// waiting returns the number of requests in all queues.
func (q *queues) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := 0
	for _, held := range q.byService {
		total += held.Len()
	}
	return total
}

func (q *queues) of(service declaration.ServiceName) *queuer.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	held := q.byService[service]
	if held == nil {
		if q.byService == nil {
			q.byService = map[declaration.ServiceName]*queuer.Queue{}
		}
		held = &queuer.Queue{}
		q.byService[service] = held
	}
	return held
}

// wake makes the first request of each queue try again.
func (q *queues) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, held := range q.byService {
		held.Wake()
	}
}
