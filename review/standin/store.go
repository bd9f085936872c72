package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store. It follows PROTOCOL.md: objects by kind and
// name, one revision counter, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	IsDeleting bool     `json:"is_deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   object
	gone     bool
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// put writes a spec, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Metadata: metadata{Name: name}, Spec: raw, Status: json.RawMessage("null")}
	if held := s.objects[kind][name]; held != nil {
		if string(held.Spec) == string(raw) {
			return
		}
		o = *held
		o.Spec = raw
	}
	s.write(kind, o)
}

// beat replaces a spec in which only the count has changed, which makes no revision.
func (s *store) beat(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.objects[kind][name]; held != nil {
		next := *held
		next.Spec = raw
		s.objects[kind][name] = &next
	}
}

// remove removes an object, as the platform does with a server's entry that has lapsed.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	if held == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(storeEvent{kind: kind, revision: s.revision, object: *held, gone: true})
}

// write stores an object under the next revision. The lock must be held.
func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = int64(s.revision)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.record(storeEvent{kind: kind, revision: s.revision, object: o})
	return o
}

// record adds an event and wakes the watches. The lock must be held.
func (s *store) record(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	parts := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/dotterelwell/objects/"), "/")
	for i := range parts {
		parts[i], _ = url.PathUnescape(parts[i])
	}
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0])
	case r.Method == http.MethodGet:
		s.mu.Lock()
		held := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if held == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, held)
	default:
		s.change(w, r, parts)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, *o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"object": e.object, "is_gone": e.gone})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// change handles POST, PUT and DELETE. A revision that the call carries must be the object's.
func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	var body object
	raw, err := io.ReadAll(r.Body)
	if err != nil || len(raw) > 0 && json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := parts[0], body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	wanted := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		wanted, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && held != nil, held != nil && wanted > 0 && wanted != held.Metadata.Revision:
		writeJSON(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && held == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.record(storeEvent{kind: kind, revision: s.revision, object: *held, gone: true})
		writeJSON(w, http.StatusOK, held)
	default:
		next := object{Metadata: metadata{Name: name}, Status: json.RawMessage("null")}
		if held != nil {
			next = *held
		}
		if len(parts) == 3 {
			next.Status = body.Status
		} else {
			next.Spec = body.Spec
		}
		writeJSON(w, http.StatusOK, s.write(kind, next))
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprint("encode: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the caller has gone
}
