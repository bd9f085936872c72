package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// eventBytes is the size of an event, and eventGap the time between two: an engine's step of 4.34 ms makes one
	// token, and an event holds 4.
	eventBytes = 360
	eventGap   = 17 * time.Millisecond
	eventsOut  = 400
	// routeTimeMs is the time-out of the drafts, and their clients' deadline.
	routeTimeMs = 15000
	// slowClients send a draft each, and read nothing of the answer for readPause after its first event.
	slowClients = 24
	readPause   = 8 * time.Second
)

// serveStream sends events until the last one, from the one after Last-Event-Id on.
func serveStream(b *backend, w http.ResponseWriter, r *http.Request) {
	id, first := r.Header.Get("X-Attempt-Id"), 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Confidence", map[string]string{"m0": "30"}[r.Header.Get("X-Model")])
	flush := http.NewResponseController(w)
	for n := first; n <= eventsOut; n++ {
		if _, err := io.WriteString(w, eventOf(id, n, eventBytes)); err != nil {
			b.record.add("server %s: %s has gone after event %d: %v", b.id, id, n-1, err)
			return
		}
		if err := flush.Flush(); err != nil {
			b.record.add("server %s: %s has gone after event %d: %v", b.id, id, n-1, err)
			return
		}
		time.Sleep(eventGap)
	}
	b.record.add("server %s: %s is complete, model %s, from event %d on", b.id, id, r.Header.Get("X-Model"), first)
}

// slowDialer opens connections of a client behind an ordinary path with a small window.
func slowDialer() *net.Dialer {
	return &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2304)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536)
		})
	}}
}

func slowReader(l *lab) error {
	l.store.put("config", "main", configOf(7, []map[string]any{streamRoute(routeTimeMs), plainRoute("lookup", "idempotent", 2, 2500)}))
	for n := range 18 {
		if err := l.addBackend(&backend{id: fmt.Sprintf("i-%04d", n), service: "engines", zone: zones[n%3], slots: 64, work: serveStream}); err != nil {
			return err
		}
	}
	if err := l.startInstances(4, deployment{memoryMB: 284, maxFDs: 4100, graceS: 8, zones: zones}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	target := l.instances[0]
	if err := target.reload(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	results := make(chan string, slowClients)
	for n := range slowClients {
		go func() { results <- l.readDraft(target, n, slowDialer(), eventsOut, readPause) }()
	}
	for range slowClients {
		if result := <-results; result != "" {
			l.record.say("LOST: %s", result)
			l.broken++
		}
	}
	return nil
}

// readDraft sends one request and reads its answer of so many events, with a pause after the first one if there is
// trouble. It returns what is wrong with the answer, or "".
func (l *lab) readDraft(target *instance, n int, dialer *net.Dialer, events int, pause time.Duration) string {
	q := draft(fmt.Sprintf("attempt-%04d", n), n)
	k, err := dial(target.front(), dialer)
	if err != nil {
		return err.Error()
	}
	defer k.close()
	sent := time.Now()
	l.record.add("client: sends %s to %s", q.id, target.name)
	resp, err := k.send(q, 30*time.Second)
	if err != nil {
		return fmt.Sprintf("%s: no answer: %v", q.id, err)
	}
	l.record.add("client: %s is answered %s, seal %s", q.id, resp.Status, resp.Header.Get("X-Response-Seal"))
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s: %s", q.id, resp.Status)
	}
	last := 0
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), 1<<20)
	for lines.Scan() {
		number, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		at, _ := strconv.Atoi(number)
		if at != last+1 {
			return fmt.Sprintf("%s: event %d after %d", q.id, at, last)
		}
		last = at
		if l.trouble && pause > 0 && last == 1 {
			l.record.add("client: %s stops reading after event %d", q.id, last)
			time.Sleep(pause)
			l.record.add("client: %s reads on", q.id)
		}
	}
	took := time.Since(sent)
	if err := lines.Err(); err != nil || last < events {
		if errors.Is(err, net.ErrClosed) || took > routeTimeMs*time.Millisecond {
			l.record.add("client: %s ends at its deadline, after event %d", q.id, last)
			return ""
		}
		return fmt.Sprintf("%s: broken off after event %d of %d, %.1f s after it was sent: %v", q.id, last, events, took.Seconds(), err)
	}
	l.record.add("client: %s is complete after %.1f s", q.id, took.Seconds())
	return ""
}

// draft returns a request for a draft.
func draft(id string, client int) *request {
	return &request{method: http.MethodPost, path: "/drafts/2f", id: id, body: "draft it", header: map[string]string{
		"X-Model": "*", "X-Token-Counts": "400,1600", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:300,91bd%04x:100", client),
		"X-Time-Budget-Ms": strconv.Itoa(routeTimeMs), "X-Credential": key,
	}}
}
