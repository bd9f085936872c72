package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// doubleSlash sends requests to a route whose prefix is "/", with paths that begin with two slashes: a
// client that joins a base address with a slash at its end and a path sends them.
func doubleSlash(l *lab) bool {
	c := config()
	c["routes"] = append(c["routes"].([]any),
		map[string]any{"name": "r-any", "host": host, "path_prefix": "/", "route_kind": "non_idempotent", "timeout_ms": 2500, "target_ttft_ms": 150,
			"priority": 0, "service": "wuno96b", "max_attempts": 1, "public": false, "sticky": false, "resumable": false})
	c["version"] = 9
	l.store.put("config", "main", c)
	var mu sync.Mutex
	got := map[string][2]string{} // host and target of each attempt as the server read them
	l.onRun = func(_, attempt string, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got[attempt] = [2]string{r.Host, r.RequestURI}
	}
	todo := func(*http.Request) work { return work{before: 15 * time.Millisecond, bytes: 800} }
	for n, zone := range zones {
		l.addServer(fmt.Sprintf("i-llm%d", n), "huvo11a", zone, todo)
		l.addServer(fmt.Sprintf("i-app%d", n), "wuno96b", zone, todo)
	}
	for range 3 {
		l.addNode()
	}
	l.waitReady()

	slashes := "/"
	if l.trouble {
		slashes = "//"
	}
	changed := 0
	for n := range 6 {
		c, err := l.dial(l.nodes[n%3].frontAddress(), 0)
		l.must(err)
		r := request{id: fmt.Sprintf("post-%d", n), method: http.MethodPost, path: slashes + "household/advance?amount=5", body: "advance disbursement", budgetMs: 2500}
		l.record("client sends %s: %s %s, Host: %s", r.id, r.method, r.path, host)
		o := c.exchange(r, nil)
		_ = c.Close() // it has served its purpose
		l.record("client: %s: %v", r.id, o)
		mu.Lock()
		seen, ran := got[r.id]
		mu.Unlock()
		if !ran {
			continue
		}
		parsed, err := http.NewRequest(r.method, seen[1], nil)
		l.must(err)
		l.record("server read %s as: target %q, host %q; path %q for the client's %q", r.id, seen[1], seen[0], parsed.URL.Path, r.path)
		if seen[1] != r.path {
			changed++
		}
	}
	l.record("%d requests ran with another path than the client's; the rule allows none", changed)
	return changed > 0
}
