package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart   = "dead0001" // crashes each server that begins to write an answer on it
	sharedPart   = "5ba4ed02" // a new document, which sound requests and requests with the deadly part share
	poisonBack   = 3 * time.Second
	poisonServer = 12
)

// poisoned counts the crashes of servers under deadlyPart.
type poisoned struct {
	lab     *lab
	mu      sync.Mutex
	servers map[string]*server
	started int
	crashes []time.Time
}

// soundBlamed lets requests with a deadly part come, one a second, in whose prompts a shared part follows
// it, a new document. Ten seconds later sound requests of the same caller with that document come as well.
func soundBlamed(l *lab) bool {
	p := &poisoned{lab: l, servers: map[string]*server{}}
	l.serve = p.serve
	for n := range poisonServer {
		p.start(zones[n%3])
	}
	l.addServer("i-app0", "wuno96b", zones[0], func(*http.Request) work { return work{bytes: 800} })
	for range 7 {
		l.addNode()
	}
	l.waitReady()

	stream := func(id string, parts ...string) request {
		prompt := ""
		for _, part := range parts {
			prompt += part + ":400,"
		}
		return request{id: id, method: http.MethodPost, path: "/lohu930/2f", body: "prompt " + id, budgetMs: 12000,
			header: []string{"X-Model: m0", "X-Token-Counts: 1460,120", "X-Prefix-Hash: " + prompt + fmt.Sprintf("%08x:250", hash(id))}}
	}
	g := l.newLoad(2)
	// Before: the caller works with other documents.
	g.run(5, 8*time.Second, func(n int) request { return stream(fmt.Sprintf("before-%d", n), "91bd3f06", "e4402b7d") })

	began := time.Now()
	var deadly sync.WaitGroup
	d := l.newLoad(3)
	if l.trouble {
		deadly.Go(func() {
			next := func(n int) request {
				return stream(fmt.Sprintf("deadly-%d-%d", n, time.Now().UnixMilli()%100000), deadlyPart, sharedPart)
			}
			d.run(1, 33*time.Second, next)
		})
	}
	time.Sleep(10 * time.Second)
	g.run(2, 22*time.Second, func(n int) request { return stream(fmt.Sprintf("sound-%d", n), "91bd3f06", sharedPart) })
	deadly.Wait()

	p.mu.Lock()
	defer p.mu.Unlock()
	from := began.Add(2 * contactTime)
	if len(p.crashes) > 0 {
		from = p.crashes[min(len(p.crashes), 5)-1].Add(2 * contactTime)
	}
	l.record("%d crashes; judged are sound requests from %.1f s on", len(p.crashes), from.Sub(l.began).Seconds())
	var before, beganBefore, after, beganAfter int
	for id, t := range g.outcomes {
		ran := len(l.runsOf(id)) > 0
		switch {
		case strings.HasPrefix(id, "before"):
			before++
			if ran {
				beganBefore++
			}
		case t.sentAt.After(from):
			after++
			if ran {
				beganAfter++
			}
		}
	}
	l.record("sound requests of the caller that began at the first attempt: %d of %d before, %d of %d later", beganBefore, before, beganAfter, after)
	if before < 20 || after < 20 {
		l.must(fmt.Errorf("too few requests: %d and %d", before, after))
	}
	return 2*beganAfter*before < beganBefore*after
}

func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

func (p *poisoned) start(zone string) {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("i-llm%d", p.started)
	p.mu.Unlock()
	s := p.lab.addServer(id, "huvo11a", zone, func(*http.Request) work {
		return work{before: 60 * time.Millisecond, events: 20, eventBytes: 60, gap: 20 * time.Millisecond}
	})
	p.mu.Lock()
	p.servers[id] = s
	p.mu.Unlock()
}

// serve lets a server crash as it begins to write an answer on the deadly part.
func (p *poisoned) serve(id string, w http.ResponseWriter, r *http.Request) bool {
	if !strings.Contains(r.Header.Get("X-Prefix-Hash"), deadlyPart+":") {
		return false
	}
	attempt := r.Header.Get("X-Attempt-Id")
	p.lab.noteRun(id, attempt, r, 0)
	time.Sleep(60 * time.Millisecond)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Response-Seal", "seal."+id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush() // the crash follows
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	s := p.servers[id]
	crashed := s != nil
	if crashed {
		delete(p.servers, id)
		p.crashes = append(p.crashes, time.Now())
	}
	p.mu.Unlock()
	if crashed {
		p.lab.record("server %s crashes under %s", id, attempt)
		go p.lab.crash(s)
		time.AfterFunc(poisonBack, func() { p.start(s.zone) })
	}
	<-r.Context().Done()
	return true
}
