package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageObjects and pageBytes bound one page of a list.
	pageObjects = 500
	pageBytes   = 1 << 20
	// historySpan is how long the store keeps its history (history_s).
	historySpan = 20 * time.Second
	// valueBytes bounds an object's value (value_bytes).
	valueBytes = 1 << 20
)

// metadata is an object's metadata in the store's protocol.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	IsDeleting bool     `json:"is_deleting"`
}

// stored is an object of the store.
type stored struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is an entry of the store's history.
type change struct {
	kind     string
	revision uint64
	at       time.Time
	object   stored
	isGone   bool
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	record *record

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]stored
	history  []change
	// oldest is the oldest revision that a watch may start from.
	oldest  uint64
	changed chan struct{}
	address string
	server  *http.Server
}

func newStore(r *record) (*store, error) {
	s := &store{record: r, revision: 100, oldest: 100, objects: map[string]map[string]stored{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes the spec of an object as the operator and servers do, and returns its revision. A write that changes
// nothing makes no revision.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o.Metadata.Name != "" && string(o.Spec) == string(raw) {
		return o.Metadata.Revision
	}
	o.Spec = raw
	return s.write(kind, name, o)
}

// touch replaces the spec of an object without a revision, as a server's beat does.
func (s *store) touch(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[kind][name]; found {
		o.Spec = raw
		s.objects[kind][name] = o
	}
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.note(change{kind: kind, revision: s.revision, object: o, isGone: true})
}

// write stores an object under a new revision. The lock must be held.
func (s *store) write(kind, name string, o stored) uint64 {
	s.revision++
	if o.Metadata.Name == "" {
		o.Metadata = metadata{Name: name, Created: s.revision}
	}
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]stored{}
	}
	s.objects[kind][name] = o
	s.note(change{kind: kind, revision: s.revision, object: o})
	return s.revision
}

// note adds to the history and wakes the watches. The lock must be held.
func (s *store) note(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historySpan {
		s.oldest = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of instances.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/dotterelwell/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name, len(parts) > 2)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after_rev")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size, more := []stored{}, 0, false
	for _, name := range names {
		o := s.objects[kind][name]
		if len(items) == pageObjects || len(items) > 0 && size+len(o.Spec) > pageBytes {
			more = true
			break
		}
		size += len(o.Spec)
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		if since < s.oldest {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": c.object, "is_gone": c.isGone})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// change handles POST, PUT and DELETE of instances.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*valueBytes))
	if err != nil {
		return
	}
	var sent stored
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	want := sent.Metadata.Revision
	if given := r.URL.Query().Get("revision"); given != "" {
		want, _ = strconv.ParseUint(given, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	held, found := s.objects[kind][name]
	s.record.add("store: %s %s/%s status=%v revision=%d found=%v held=%d %s", r.Method, kind, name, isStatus, want, found, held.Metadata.Revision, sent.Status)
	switch {
	case r.Method == http.MethodPost && found, found && want > 0 && want != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && !found && (isStatus || want > 0 || r.Method == http.MethodDelete):
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.note(change{kind: kind, revision: s.revision, object: held, isGone: true})
		answer(w, http.StatusOK, held)
	default:
		next := held
		if isStatus {
			next.Status = sent.Status
		} else {
			next.Spec, next.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		}
		if found && string(next.Spec) == string(held.Spec) && string(next.Status) == string(held.Status) {
			answer(w, http.StatusOK, held)
			return
		}
		s.write(kind, name, next)
		answer(w, http.StatusOK, s.objects[kind][name])
	}
}
