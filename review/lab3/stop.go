package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// engine is a stand-in of a model server: it reads the prompts of a batch in chunks, and generates the events of all its
// streams at once.
type engine struct {
	*server
	lab   *lab
	mu    sync.Mutex
	queue []*prompt
}

type prompt struct {
	tokens float64 // not read yet
	read   chan struct{}
	gone   bool
}

// Figures of the engines of SYSTEM.md, the first deployment.
const (
	tokensPerMs = 36.7
	eventPause  = 60 * time.Millisecond
	events      = 12
)

// Figures of the load, which is the same from the beginning to the end. Both engines together read 17,020 tokens, a ruling
// of the sheet, in 0.23 s.
const (
	rulingUsers  = 28 // each sends its next ruling up to a second after the answer to the one before
	rulingTokens = 17020
	clerkPause   = 167 * time.Millisecond // between two clerks' questions
	clerkTokens  = 200
	stopAt       = 10 * time.Second
	afterStop    = 9 * time.Second
	// graceTime is grace_s, and slack loss_slack_ms.
	graceTime = 8 * time.Second
	slack     = 200 * time.Millisecond
	// balancerTime is how long the balancer sends clients to a process that says that it is not ready: it asks
	// once a second, and two misses take a process out.
	balancerTime = 2 * time.Second
	budgetMs     = 15000
)

func newEngine(l *lab, id, service, zone string) *engine {
	e := &engine{lab: l}
	e.server = l.addServer(id, service, zone, e)
	go e.readPrompts()
	return e
}

// readPrompts reads all prompts at the server at once, in chunks: each gets an equal part of what the server reads.
func (e *engine) readPrompts() {
	const step = 5 * time.Millisecond
	for last := time.Now(); ; time.Sleep(step) {
		now := time.Now()
		tokens := tokensPerMs * float64(now.Sub(last).Microseconds()) / 1000
		last = now
		e.mu.Lock()
		left := e.queue[:0]
		for _, p := range e.queue {
			p.tokens -= tokens / float64(len(e.queue))
			switch {
			case p.gone:
			case p.tokens <= 0:
				close(p.read)
			default:
				left = append(left, p)
			}
		}
		e.queue = left
		e.mu.Unlock()
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Attempt-Id")
	if !e.check(w, r) {
		return
	}
	e.lab.seen(id, e.id)
	p := &prompt{read: make(chan struct{})}
	fmt.Sscanf(r.Header.Get("X-Token-Counts"), "%f,", &p.tokens)
	e.mu.Lock()
	e.queue = append(e.queue, p)
	e.mu.Unlock()
	select {
	case <-p.read:
	case <-r.Context().Done():
		e.mu.Lock()
		p.gone = true
		e.mu.Unlock()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
	for n := from + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// arrivals holds at which servers requests have arrived.
type arrivals struct {
	mu sync.Mutex
	at map[string][]arrival
}

type arrival struct {
	server string
	when   time.Time
}

var arrived = arrivals{at: map[string][]arrival{}}

func (l *lab) seen(id, server string) {
	arrived.mu.Lock()
	defer arrived.mu.Unlock()
	arrived.at[id] = append(arrived.at[id], arrival{server, time.Now()})
	l.note("%s arrives at %s", id, server)
}

func reached(id string) bool {
	arrived.mu.Lock()
	defer arrived.mu.Unlock()
	return len(arrived.at[id]) > 0
}

// outcome is how one client attempt ended.
type outcome struct {
	id, end     string
	proc        *proc
	sent, ended time.Time
	whole       bool
}

// stream sends a streaming request on a new connection, and reads the answer to its end.
func stream(p *proc, path, id string, tokens, budgetMs int) outcome {
	o := outcome{id: id, proc: p}
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		o.sent, o.ended, o.whole, o.end = time.Now(), time.Now(), true, "not connected"
		return o
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(budgetMs) * time.Millisecond))
	body := strings.Repeat("p", 1500)
	text := head("POST", path, id, budgetMs) + fmt.Sprintf("X-Model: *\r\nX-Token-Counts: %d,48\r\nX-Prefix-Hash: %s:%d\r\nContent-Length: %d\r\n\r\n%s", tokens, id, tokens, len(body), body)
	_, err = io.WriteString(conn, text)
	o.sent = time.Now()
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			var n int64
			n, err = io.Copy(io.Discard, resp.Body)
			o.end = fmt.Sprintf("%d, %d bytes", resp.StatusCode, n)
		}
	}
	o.ended = time.Now()
	o.whole = err == nil
	if err != nil {
		o.end += fmt.Sprintf(" broken off: %v", err)
	}
	return o
}

// startDeployment starts two engines and three processes, with a route of rulings and one of clerks' questions.
func startDeployment(l *lab, clerksResume bool) {
	extra := func(priority, target int, resumable bool) map[string]any {
		return map[string]any{"priority": priority, "target_ttft_ms": target, "timeout_ms": budgetMs, "sticky": true, "resumable": resumable, "sizes": []string{"m0"}, "target_itl_ms": 1500}
	}
	c := config(7, []map[string]any{
		route("/rulings/", "streaming", "llm", extra(0, 4000, true)),
		route("/clerk/", "streaming", "llm", extra(2, 8000, clerksResume)),
	}, "llm")
	c["services"].([]map[string]any)[0]["engine"] = map[string]any{"slots": 64, "kv_capacity": 430989, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": false, "backups": false, "stride": 4, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m0", "cost": 0.0086}}}
	l.store.put("config", "main", c)
	for n, zone := range []string{"north-a", "north-b"} {
		newEngine(l, fmt.Sprintf("i-%d", n), "llm", zone)
	}
	for _, zone := range []string{"north-a", "north-b", "north-c"} {
		l.start(zone, 284, 4100)
	}
	l.awaitReady()
	time.Sleep(time.Second)
}

func stopCase(folder string, trouble bool) {
	l := newLab(folder, trouble)
	startDeployment(l, true)
	var mu sync.Mutex
	var all []outcome
	begin := time.Now()
	var stopped time.Time
	number := 0
	send := func(path string, tokens int, n int) {
		p := l.procs[n%len(l.procs)]
		mu.Lock()
		if l.trouble && !stopped.IsZero() && p == l.procs[0] && time.Since(stopped) > balancerTime {
			p = l.procs[1+n%2] // the balancer has noticed
		}
		number++
		id := fmt.Sprintf("%s-%d", strings.Trim(path, "/"), number)
		mu.Unlock()
		func() {
			o := stream(p, path, id, tokens, budgetMs)
			l.note("%s sent to %s at %.3f, ended %.3f s later: %s", id, p.name, o.sent.Sub(l.began).Seconds(), o.ended.Sub(o.sent).Seconds(), o.end)
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		}()
	}
	// Each client sends its next request when the one before has ended.
	var senders sync.WaitGroup
	users := func(path string, tokens, count int) {
		for user := range count {
			senders.Go(func() {
				random := rand.New(rand.NewPCG(uint64(user), 3))
				for n := user; time.Since(begin) < stopAt+afterStop; n++ {
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
					send(path, tokens, n)
				}
			})
		}
	}
	users("/rulings/", rulingTokens, rulingUsers)
	senders.Go(func() {
		var waiting sync.WaitGroup
		for n := 0; time.Since(begin) < stopAt+afterStop; n++ {
			waiting.Go(func() { send("/clerk/", clerkTokens, n) })
			time.Sleep(clerkPause)
		}
		waiting.Wait()
	})
	time.Sleep(time.Until(begin.Add(stopAt)))
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	if l.trouble {
		l.procs[0].signal(syscall.SIGTERM)
		go func() {
			time.Sleep(graceTime)
			l.procs[0].signal(syscall.SIGKILL)
		}()
	}
	senders.Wait()
	lost := 0
	counts := map[string]int{}
	for _, o := range all {
		counts[strings.SplitN(o.end, ",", 2)[0]]++
		if o.whole || o.ended.Sub(o.sent) <= slack || reached(o.id) || o.ended.Sub(o.sent) >= budgetMs*time.Millisecond {
			continue
		}
		lost++
		l.note("LOST: %s was sent to %s %.3f s after SIGTERM, reached no server, and its connection was closed without an answer %.3f s later", o.id, o.proc.name, o.sent.Sub(stopped).Seconds(), o.ended.Sub(o.sent).Seconds())
	}
	l.note("ends: %v", counts)
	if lost > 0 {
		l.end(broken, "%d requests of %d were read, sent to no server, and ended without an answer", lost, len(all))
	}
	l.end(held, "all %d requests had an answer, or reached a server", len(all))
}
