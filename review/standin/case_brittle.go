package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	brittleServerCount = 6
	brittleSlots       = 6
	brittleWork        = 200 * time.Millisecond
	// brittleRejects is the number that the servers name: more rejections in a second let one fall over.
	brittleRejects = 3
	brittleLoad    = 0.85 // of what the servers can run
	brittleTime    = 20 * time.Second
	brittleDown    = 3 * time.Second
)

// brittle is a service whose servers say that they are brittle, from since on.
type brittle struct {
	lab     *lab
	mu      sync.Mutex
	since   time.Time
	servers map[string]*brittleServer
	started int
	falls   int
	// lostOnce holds the requests that may run once and were running at a server when it fell over.
	lostOnce []string
}

// brittleServer runs brittleSlots requests at once and lets some wait.
type brittleServer struct {
	*server
	slots      chan struct{}
	held       map[string]bool // attempts running or waiting
	running    map[string]bool
	rejections []time.Time
	fallen     bool
}

// brittleServers lets the servers of a service say that they are brittle, at a load that they could all
// run, and counts how many fall over.
func brittleServers(l *lab) bool {
	b := &brittle{lab: l, servers: map[string]*brittleServer{}}
	l.serve = b.serve
	for n := range brittleServerCount {
		b.start(zones[n%3])
	}
	l.addServer("i-llm0", "huvo11a", zones[0], func(*http.Request) work { return work{bytes: 800} })
	for range 7 {
		l.addNode()
	}
	l.waitReady()
	if l.trouble {
		b.mu.Lock()
		b.since = time.Now()
		b.mu.Unlock()
		l.record("the servers say that they are brittle")
	}
	g := l.newLoad(1)
	perSecond := brittleLoad * brittleServerCount * brittleSlots / brittleWork.Seconds()
	g.run(perSecond, brittleTime, func(n int) request {
		if n%2 == 0 {
			return request{id: fmt.Sprintf("get-%d", n), method: http.MethodGet, path: fmt.Sprintf("/cufi504/fi50/%d", n), budgetMs: 2500}
		}
		return request{id: fmt.Sprintf("post-%d", n), method: http.MethodPost, path: "/puxa403/2f", body: fmt.Sprintf("advance disbursement %d", n), budgetMs: 2500}
	})
	served, unanswered := 0, 0
	for _, t := range g.outcomes {
		if t.served() {
			served++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.lostOnce {
		if !g.outcomes[id].served() {
			unanswered++
		}
	}
	most := 2 + float64(brittleServerCount)/10
	l.record("%d of %d requests served", served, len(g.outcomes))
	l.record("%d requests that may run once were running at a server as it fell over, and %d of them got no server's answer", len(b.lostOnce), unanswered)
	l.record("%d falls of %d servers in %v; the rule allows %.1f", b.falls, brittleServerCount, brittleTime, most)
	return float64(b.falls) > most
}

// start starts a server under a new identifier and address.
func (b *brittle) start(zone string) {
	b.mu.Lock()
	b.started++
	id := fmt.Sprintf("i-app%d", b.started)
	s := &brittleServer{slots: make(chan struct{}, brittleSlots), held: map[string]bool{}, running: map[string]bool{}}
	b.servers[id] = s
	b.mu.Unlock()
	started := b.lab.addServer(id, "wuno96b", zone, nil)
	b.mu.Lock()
	s.server = started
	b.mu.Unlock()
}

// room is how many requests a server holds. The lock must be held.
func (b *brittle) room() int {
	if !b.since.IsZero() && time.Since(b.since) > contactTime {
		return brittleSlots + 1
	}
	return 3 * brittleSlots
}

func (b *brittle) serve(id string, w http.ResponseWriter, r *http.Request) bool {
	b.mu.Lock()
	s := b.servers[id]
	if s == nil {
		b.mu.Unlock()
		return false
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if !b.since.IsZero() {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleRejects))
	}
	if len(s.held) >= b.room() {
		b.reject(s)
		b.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	s.held[attempt] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(s.held, attempt)
		delete(s.running, attempt)
		b.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return true
	}
	defer func() { <-s.slots }()
	b.mu.Lock()
	s.running[attempt] = true
	b.mu.Unlock()
	b.lab.noteRun(id, attempt, r, 0)
	w.Header().Set("X-Response-Seal", "seal."+id+"."+attempt)
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(brittleWork))):
	case <-r.Context().Done():
		return true
	}
	_, _ = w.Write([]byte(wholeBody(attempt, 800))) // fails only if the caller has gone
	return true
}

// reject counts a rejection, and lets the server fall over if there were too many in a second. It is back
// after some seconds, as a new incarnation. The lock must be held.
func (b *brittle) reject(s *brittleServer) {
	now := time.Now()
	recent := []time.Time{now}
	for _, at := range s.rejections {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	s.rejections = recent
	if b.since.IsZero() || len(recent) <= brittleRejects || s.fallen {
		return
	}
	s.fallen = true
	b.falls++
	for attempt := range s.running {
		if attempt[0] == 'p' {
			b.lostOnce = append(b.lostOnce, attempt)
		}
	}
	b.lab.record("server %s falls over: %d rejections in a second, it named %d; %d requests run there", s.id, len(recent), brittleRejects, len(s.running))
	go b.lab.crash(s.server)
	time.AfterFunc(brittleDown, func() { b.start(s.zone) })
}
