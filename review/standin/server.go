package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// work is what a server does for a request. The case chooses it by the request.
type work struct {
	before     time.Duration // until the answer, or the first event, begins
	bytes      int           // of a whole answer
	events     int           // of a stream; zero for a whole answer
	eventBytes int
	gap        time.Duration // between events
}

// server stands in for a sound server of a service.
type server struct {
	lab                  *lab
	id, service, address string
	zone                 string
	born                 int64
	http                 *http.Server
	workFor              func(r *http.Request) work

	mu       sync.Mutex
	sequence int
	crashed  bool
}

// crash ends a server at once. Its entry lapses after three heartbeats.
func (l *lab) crash(s *server) {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	_ = s.http.Close() // it may be closed already
	time.Sleep(3 * heartbeat)
	l.store.remove("servers", s.id)
}

func (l *lab) addServer(id, service, zone string, workFor func(r *http.Request) work) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	s := &server{lab: l, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), workFor: workFor}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }() // returns when the lab ends
	l.store.put("servers", id, s.entry())
	l.servers = append(l.servers, s)
	go s.beat()
	return s
}

func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 128, "state": "ready",
		"cold_left_ms": 0, "stage": "unified", "sequence": s.sequence, "born": s.born,
		"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
	}
}

func (s *server) beat() {
	for {
		time.Sleep(heartbeat)
		s.mu.Lock()
		crashed := s.crashed
		s.mu.Unlock()
		if crashed {
			return
		}
		s.lab.store.beat("servers", s.id, s.entry())
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.lab.record("server %s: request %s was not read whole: %v", s.id, attempt, err)
		return
	}
	if s.lab.serve != nil && s.lab.serve(s.id, w, r) {
		return
	}
	s.lab.noteRun(s.id, attempt, r, len(body))
	todo := s.workFor(r)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Response-Seal", "seal."+s.id+"."+attempt)
	select {
	case <-time.After(todo.before):
	case <-r.Context().Done():
		s.lab.record("server %s: connection of %s ended before its answer", s.id, attempt)
		return
	}
	if todo.events == 0 {
		_, err = io.WriteString(w, wholeBody(attempt, todo.bytes))
	} else {
		err = s.stream(w, r, todo)
	}
	if err != nil {
		s.lab.record("server %s: answer to %s ended early: %v", s.id, attempt, err)
		return
	}
	s.lab.record("server %s: %s has ended well", s.id, attempt)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, todo work) error {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first) // no header: from the start
	control := http.NewResponseController(w)
	for n := first + 1; n <= todo.events; n++ {
		if _, err := io.WriteString(w, event(n, todo.eventBytes)); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		if n < todo.events {
			select {
			case <-time.After(todo.gap):
			case <-r.Context().Done():
				return r.Context().Err()
			}
		}
	}
	return nil
}

func event(n, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
}

// wholeBody returns the body of a whole answer to an attempt.
func wholeBody(attempt string, size int) string {
	b := "answer to " + attempt + " "
	return b + strings.Repeat("y", max(size-len(b), 0))
}
