package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["full"] = fullCase }

const (
	fullSize = 1100 // clients with a stream of 8.4 s each
	// ordinaryClients are the clients that try a new connection each ordinaryPause.
	ordinaryClients = 8
	ordinaryPause   = 250 * time.Millisecond
	fullTime        = 9 * time.Second
	contactTime     = 3 * time.Second // contact_ms
)

// try is one attempt of an ordinary client, or one question of the balancer.
type try struct {
	at     time.Time
	client int // -1 for the balancer
	ok     bool
}

func fullCase(folder string, trouble bool) {
	l := newLab(folder, trouble)
	l.store.put("config", "main", config(7, []map[string]any{
		route("/summary/", "streaming", "writers", map[string]any{"resumable": true}),
		route("/balance/", "idempotent", "desk", map[string]any{"timeout_ms": 600, "target_ttft_ms": 100}),
	}, "writers", "desk"))
	for n := range 9 {
		s := new(*server)
		*s = l.addServer(fmt.Sprintf("i-%d", n), map[bool]string{true: "writers", false: "desk"}[n < 6], "north-a", slowStream(s))
	}
	p := l.start("north-a", machineMB, machineFDs)
	l.awaitReady()
	time.Sleep(4 * time.Second) // longer than contact_ms
	body := strings.Repeat("p", 1500)
	size := calmSize
	if l.trouble {
		size = fullSize
	}
	var mu sync.Mutex
	ends := map[string]int{}
	var clients sync.WaitGroup
	for n := range size {
		clients.Go(func() {
			text := head("POST", "/summary/x", fmt.Sprintf("s-%d", n), 12000) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			end := "closed without an answer"
			if resp, conn, err := ask(p.front(), text, 12*time.Second); err == nil {
				end = resp.Status
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = conn.Close()
			}
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
		if n%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.note("%d clients have connected", size)
	var tries []try
	add := func(client int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		tries = append(tries, try{time.Now(), client, ok})
	}
	until := time.Now().Add(fullTime)
	for n := range ordinaryClients {
		clients.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				resp, conn, err := ask(p.front(), head("GET", "/balance/x", fmt.Sprintf("o-%d-%d", n, k), 600)+"\r\n", 600*time.Millisecond)
				add(n, err == nil && resp.StatusCode == http.StatusOK)
				if err == nil {
					_ = conn.Close()
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	clients.Go(func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for time.Now().Before(until) {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/dotterelwell/readyz", p.ip, readyPort))
			add(-1, err == nil && resp.StatusCode == http.StatusOK)
			if err == nil {
				_ = resp.Body.Close()
			}
			time.Sleep(ordinaryPause)
		}
	})
	clients.Wait()
	l.note("ends of the crowd: %v; peak memory %d of %d KiB", ends, p.memoryKiB("VmHWM"), machineMB<<10)
	from, span := longestShut(tries)
	answered, asked := 0, 0
	for _, t := range tries {
		if t.client >= 0 {
			asked++
			answered += map[bool]int{true: 1}[t.ok]
		}
	}
	l.note("ordinary clients got %d answers for %d requests on new connections; the longest time without one while the machine said that it is ready began at %.3f and took %.3f s", answered, asked, from.Sub(l.began).Seconds(), span.Seconds())
	if span >= contactTime {
		l.end(broken, "the machine said that it is ready and answered none of %d clients for %.1f s", ordinaryClients, span.Seconds())
	}
	l.end(held, "ordinary clients got %d answers for %d requests", answered, asked)
}

// longestShut returns the longest time in which the balancer was always told that the machine is ready, at least
// seven clients tried, and none was answered.
func longestShut(tries []try) (from time.Time, longest time.Duration) {
	seen := map[int]bool{}
	var began time.Time
	for _, t := range tries {
		if t.client < 0 == t.ok { // an answer to the balancer that is 200, or to a client that is none
			if began.IsZero() {
				began = t.at
			}
			if t.client >= 0 {
				seen[t.client] = true
			}
			if span := t.at.Sub(began); len(seen) >= 7 && span > longest {
				from, longest = began, span
			}
			continue
		}
		began, seen = time.Time{}, map[int]bool{}
	}
	return from, longest
}
