package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of a stored object, as PROTOCOL.md gives it.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	IsDeleting bool     `json:"is_deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind   string
	at     time.Time
	Object object `json:"object"`
	IsGone bool   `json:"is_gone"`
}

// store is a stand-in of the platform's metadata store. All changes are kept as history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// disturb, if set, is called before each call of the system. It returns true if it has ended the call.
	disturb func(w http.ResponseWriter, r *http.Request) bool
}

const (
	objectsPath = "/dotterelwell/objects/"
	pageItems   = 500
)

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		o = object{Metadata: meta{Name: name, Created: s.revision + 1}}
	}
	o.Spec = raw
	s.write(kind, o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, found := s.objects[kind][name]; found {
		s.write(kind, o, true)
	}
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	return o, found
}

// write records a change. The lock must be held.
func (s *store) write(kind string, o object, gone bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if gone {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, event{kind: kind, at: time.Now(), Object: o, IsGone: gone})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may have left
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.disturb != nil && s.disturb(w, r) {
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		if o, found := s.get(parts[0], parts[1]); found {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]any{})
	default:
		s.change(w, r, parts)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after_rev") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, more := []object{}, false
	for _, name := range names {
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o object
	if len(raw) > 0 && json.Unmarshal(raw, &o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	name := o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.objects[parts[0]][name]
	switch {
	case r.Method == http.MethodPost && found, found && condition > 0 && condition != held.Metadata.Revision:
		reply(w, http.StatusConflict, held)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(parts[0], object{Metadata: meta{Name: name, Created: s.revision + 1}, Spec: o.Spec}, false))
	case !found:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		reply(w, http.StatusOK, s.write(parts[0], held, true))
	case len(parts) == 3 && parts[2] == "status":
		held.Status = o.Status
		reply(w, http.StatusOK, s.write(parts[0], held, false))
	default:
		held.Spec = o.Spec
		reply(w, http.StatusOK, s.write(parts[0], held, false))
	}
}
