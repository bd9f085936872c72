package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["preempted"] = preempted }

const (
	// preemptedAfter is the event after which an engine without memory preempts a stream, and preemptedFor how long it then
	// takes until it has room for the stream, has read it in again and goes on.
	preemptedAfter = 40
	preemptedFor   = 4 * time.Second
)

// servePreempted sends events until the last one. With trouble it is silent for a while within the stream, and then goes on.
func (l *lab) servePreempted(b *backend, w http.ResponseWriter, r *http.Request) {
	id, first := r.Header.Get("X-Attempt-Id"), 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Confidence", map[string]string{"m0": "30"}[r.Header.Get("X-Model")])
	flush := http.NewResponseController(w)
	for n := first; n <= 2*preemptedAfter; n++ {
		if _, err := io.WriteString(w, eventOf(id, n, eventBytes)); err != nil || flush.Flush() != nil {
			b.record.add("server %s: %s has gone after event %d", b.id, id, n-1)
			return
		}
		time.Sleep(eventGap)
		if l.trouble && n == preemptedAfter {
			b.record.add("server %s: %s is preempted after event %d", b.id, id, n)
			select {
			case <-time.After(preemptedFor):
				b.record.add("server %s: %s goes on", b.id, id)
			case <-r.Context().Done():
				b.record.add("server %s: the connection of %s was closed while it was preempted", b.id, id)
				return
			}
		}
	}
	b.record.add("server %s: %s is complete, model %s, from event %d on", b.id, id, r.Header.Get("X-Model"), first)
}

func preempted(l *lab) error {
	l.store.put("config", "main", configOf(7, smallRoutes()))
	for n := range 18 {
		if err := l.addBackend(&backend{id: fmt.Sprintf("i-%04d", n), service: "engines", zone: zones[n%3], slots: 64, work: l.servePreempted}); err != nil {
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
		go func() { results <- l.readDraft(target, n, &net.Dialer{Timeout: time.Second}, 2*preemptedAfter, 0) }()
	}
	for range slowClients {
		if result := <-results; result != "" {
			l.record.say("LOST: %s", result)
			l.broken++
		}
	}
	return nil
}
