package objectstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Handler serves the store's HTTP contract.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}", s.serveList)
	mux.HandleFunc("GET /objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.servePut)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.serveDelete)
	return mux
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64) // absent means from the start
	wait, _ := strconv.ParseInt(r.FormValue("wait"), 10, 64)    // absent means no wait
	kind := storer.ObjectKind(r.PathValue("kind"))
	changes, err := s.List(r.Context(), kind, ident.StoreVersion(since), clock.Millis(wait))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(changes) // the client has left when this fails
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), storer.ObjectKind(r.PathValue("kind")), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", storer.FormatTag(o.Version))
	_, _ = w.Write(o.Value) // the client has left when this fails
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kind := storer.ObjectKind(r.PathValue("kind"))
	version, err := s.Put(r.Context(), kind, r.PathValue("name"), value, precondition(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", storer.FormatTag(version))
	w.WriteHeader(http.StatusOK)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	kind := storer.ObjectKind(r.PathValue("kind"))
	if err := s.Delete(r.Context(), kind, r.PathValue("name"), precondition(r)); err != nil {
		writeError(w, err)
	}
}

func precondition(r *http.Request) storer.Precondition {
	pre := storer.Precondition{Absent: r.Header.Get("If-None-Match") == "*"}
	if tag := r.Header.Get("If-Match"); tag != "" {
		n, _ := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64) // a malformed tag matches no object
		pre.Match = max(ident.StoreVersion(n), 1)
	}
	return pre
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch storer.KindOf(err) {
	case storer.KindConflict:
		status = http.StatusPreconditionFailed
	case storer.KindNotFound:
		status = http.StatusNotFound
	}
	http.Error(w, err.Error(), status)
}
