package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const cutTime = 12 * time.Second

// cutOff cuts the instances of one zone off from all servers: their connections to servers are reset.
// Clients, the store and the other instances reach them all the time.
func cutOff(l *lab) bool {
	todo := func(r *http.Request) work {
		if strings.HasPrefix(r.URL.Path, "/lohu930/") {
			return work{before: 50 * time.Millisecond, events: 20, eventBytes: 60, gap: 20 * time.Millisecond}
		}
		return work{before: 15 * time.Millisecond, bytes: 800}
	}
	for n := range 6 {
		l.addServer(fmt.Sprintf("i-llm%d", n), "huvo11a", zones[n%3], todo)
		l.addServer(fmt.Sprintf("i-app%d", n), "wuno96b", zones[n%3], todo)
	}
	for range 6 {
		l.addNode()
	}
	zone := l.nodes[0].zone
	var cut atomic.Bool
	l.link = func(r *http.Request) bool {
		at := r.Header.Get("X-Attempt-Id")
		return !cut.Load() || !strings.HasSuffix(at, "-"+zone)
	}
	l.waitReady()
	began := time.Now()
	cut.Store(l.trouble)
	l.record("the instances of %s are cut off from all servers: %v", zone, l.trouble)
	g := l.newLoad(1)
	g.idOf = func(id string, n *node) string { return id + "-" + n.zone } // the link knows whose connection it is
	g.run(48, cutTime, func(n int) request {
		switch n % 3 {
		case 0:
			return request{id: fmt.Sprintf("get-%d", n), method: http.MethodGet, path: fmt.Sprintf("/cufi504/fi50/%d", n), budgetMs: 2500}
		case 1:
			return request{id: fmt.Sprintf("post-%d", n), method: http.MethodPost, path: "/puxa403/2f", body: fmt.Sprintf("advance disbursement %d", n), budgetMs: 2500}
		}
		return request{id: fmt.Sprintf("stream-%d", n), method: http.MethodPost, path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), budgetMs: 12000,
			header: []string{"X-Model: m0", "X-Token-Counts: 1460,120", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e44%05x:250", n)}}
	})
	cut.Store(false)
	for _, n := range l.nodes[:2] {
		l.record("node %s says that it is ready: %v", n.name, n.isReady())
	}
	var there, elsewhere, failed, all int
	var servedThere, servedElsewhere int
	for _, t := range g.outcomes {
		all++
		if t.sentAt.Sub(began) < contactTime {
			continue
		}
		if t.node.zone != zone {
			elsewhere++
			if t.served() {
				servedElsewhere++
			}
			continue
		}
		there++
		if t.served() {
			servedThere++
		} else {
			failed++
		}
	}
	l.record("first tries from %v after the cut began: %d of %d served at the instances cut off, %d of %d at the others", contactTime, servedThere, there, servedElsewhere, elsewhere)
	l.record("%d failed at the instances cut off; 10 + 1 in 50 of all %d first tries are %d", failed, all, 10+all/50)
	return float64(servedThere)*float64(elsewhere)*3 < float64(servedElsewhere)*float64(there)*2 && failed > 10+all/50
}

// resetLink resets a connection instead of passing a request on to a server.
func resetLink(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a reset instead of an end
	}
	_ = c.Close() // it has served its purpose
}
