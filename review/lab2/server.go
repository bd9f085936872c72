package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1200 * time.Millisecond

// backend is a server of a service. work answers a request that it has begun to run.
type backend struct {
	id, service, zone string
	slots             int
	record            *record
	store             *store
	work              func(b *backend, w http.ResponseWriter, r *http.Request)

	address string
	born    int64
	server  *http.Server
	stop    chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

func (b *backend) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address, b.born, b.stop, b.runs = listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), map[string]int{}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	b.store.put("servers", b.id, b.entry(1))
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-b.stop:
				return
			case <-tick.C:
				b.store.touch("servers", b.id, b.entry(sequence))
			}
		}
	}()
	return nil
}

func (b *backend) entry(sequence int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": b.born,
	}
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
}

// ran returns how often a request has run here.
func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// ServeHTTP answers a request: health checks, requests for another server, and requests to run.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	b.record.add("server %s: runs %s %s after=%q", b.id, id, r.URL.Path, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", "seal."+b.id+"."+id)
	b.work(b, w, r)
}

// eventOf returns the n-th event of a stream.
func eventOf(id string, n, size int) string {
	data := fmt.Sprintf("{\"id\":%q,\"n\":%d,\"text\":\"", id, n)
	if pad := size - len(data) - 20; pad > 0 {
		data += strings.Repeat("x", pad)
	}
	return fmt.Sprintf("id: %d\ndata: %s\"}\n\n", n, data)
}
