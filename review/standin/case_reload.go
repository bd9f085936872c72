package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reloadWhileStopping stops one of three instances while it answers requests, as the platform does
// (SIGTERM), and tells it half a second later that its settings file has changed (SIGHUP). Both are
// planned work. All requests end long before the grace period of 8 s does.
func reloadWhileStopping(l *lab) bool {
	todo := func(r *http.Request) work {
		if strings.HasPrefix(r.URL.Path, "/lohu930/") {
			return work{before: 50 * time.Millisecond, events: 30, eventBytes: 60, gap: 100 * time.Millisecond}
		}
		return work{before: 1500 * time.Millisecond, bytes: 800}
	}
	for n, zone := range zones {
		l.addServer(fmt.Sprintf("i-llm%d", n), "huvo11a", zone, todo)
		l.addServer(fmt.Sprintf("i-app%d", n), "wuno96b", zone, todo)
	}
	for range 3 {
		l.addNode()
	}
	l.waitReady()

	stopped := l.nodes[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	send := func(r request) {
		c, err := l.dial(stopped.frontAddress(), 0)
		l.must(err)
		clients.Go(func() {
			defer c.Close()
			l.record("client sends %s (%s %s) to %s", r.id, r.method, r.path, stopped.name)
			o := c.exchange(r, nil)
			l.record("client: %s: %v; servers that ran it: %v", r.id, o, l.runsOf(r.id))
			if !o.whole && len(l.runsOf(r.id)) > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	for n := range 6 {
		send(request{id: fmt.Sprintf("stream-%d", n), method: http.MethodPost, path: "/lohu930/2f", body: "prompt", budgetMs: 12000,
			header: []string{"X-Model: m0", "X-Token-Counts: 1460,180", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b%02x:250", n)}})
		send(request{id: fmt.Sprintf("post-%d", n), method: http.MethodPost, path: "/puxa403/2f", body: "advance disbursement", budgetMs: 2500})
	}
	time.Sleep(500 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		stopped.writeSettings(0.8)
		stopped.signal(syscall.SIGHUP)
	}
	clients.Wait()
	l.record("%d whole requests that had been passed on to a server ended without a complete answer; the rule allows none", lost)
	return lost > 0
}
