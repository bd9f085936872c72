package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slowPause is for how long a client doesn't read.
	slowPause = 3 * time.Second
	// slowBuffer is the size of the clients' receive buffers: windows are small.
	slowBuffer = 2048
)

// slowReader lets clients that live and stay connected read slowly: each sends a request on a kept
// connection and doesn't read for some seconds, while its deadline is further away. Half of the
// requests are streams, half are requests that may run only once.
func slowReader(l *lab) bool {
	todo := func(r *http.Request) work {
		switch {
		case strings.HasPrefix(r.URL.Path, "/lohu930/"):
			return work{before: 50 * time.Millisecond, events: 80, eventBytes: 340, gap: 10 * time.Millisecond}
		case strings.HasPrefix(r.URL.Path, "/puxa403/"):
			return work{before: 15 * time.Millisecond, bytes: 4800}
		}
		return work{before: 15 * time.Millisecond, bytes: 800}
	}
	for n, zone := range zones {
		l.addServer(fmt.Sprintf("i-llm%d", n), "huvo11a", zone, todo)
		l.addServer(fmt.Sprintf("i-app%d", n), "wuno96b", zone, todo)
	}
	for range 3 {
		l.addNode()
	}
	l.waitReady()

	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for n := range 12 {
		at := l.nodes[n%3]
		c, err := l.dial(at.frontAddress(), slowBuffer)
		l.must(err)
		clients.Go(func() {
			defer c.Close()
			o := c.exchange(request{id: fmt.Sprintf("get-%d", n), method: http.MethodGet, path: "/cufi504/fi50/2f", budgetMs: 2500}, nil)
			l.record("client: get-%d: %v; the connection is kept", n, o)
			if !o.whole || o.status != http.StatusOK {
				return
			}
			r := request{id: fmt.Sprintf("stream-%d", n), method: http.MethodPost, path: "/lohu930/2f", body: "prompt", budgetMs: 12000,
				header: []string{"X-Model: m0", "X-Token-Counts: 1460,480", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b%02x:250", n)}}
			if n >= 6 {
				r = request{id: fmt.Sprintf("post-%d", n), method: http.MethodPost, path: "/puxa403/2f", body: "advance disbursement", budgetMs: 4000}
			}
			var pause func()
			if l.trouble {
				pause = func() {
					l.record("client doesn't read the answer to %s for %v", r.id, slowPause)
					time.Sleep(slowPause)
				}
			}
			o = c.exchange(r, pause)
			l.record("client: %s: %v; servers that ran it: %v", r.id, o, l.runsOf(r.id))
			if !o.whole && len(l.runsOf(r.id)) > 0 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	l.record("%d requests on kept connections that were passed on to a sound server lost their connection without a complete answer; the rule allows three", lost)
	return lost > 3
}
