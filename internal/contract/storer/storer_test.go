package storer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/standin/faulter"
	"example.com/dotterelwell/internal/standin/objectstore"
)

// newClient returns an HTTP client of a stand-in store, and the store.
func newClient(t *testing.T) (*storer.Storer, *objectstore.Store) {
	t.Helper()
	store := &objectstore.Store{Clock: &clock.Clock{}}
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return storer.New(server.URL, client, 5*clock.Second), store
}

// TestContract checks every call and precondition of the object API over HTTP.
func TestContract(t *testing.T) {
	s, _ := newClient(t)
	ctx := t.Context()
	if _, err := s.Get(ctx, "config", "a"); storer.KindOf(err) != storer.KindNotFound {
		t.Errorf("get of a missing object: %v", err)
	}
	v1, err := s.Put(ctx, "config", "a", []byte("one"), storer.Precondition{Absent: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, "config", "a", []byte("two"), storer.Precondition{Absent: true}); storer.KindOf(err) != storer.KindConflict {
		t.Errorf("create over an object: %v", err)
	}
	v2, err := s.Put(ctx, "config", "a", []byte("two"), storer.Precondition{Match: v1})
	if err != nil || v2 <= v1 {
		t.Fatalf("version %d after %d, error %v", v2, v1, err)
	}
	if _, err := s.Put(ctx, "config", "a", []byte("three"), storer.Precondition{Match: v1}); storer.KindOf(err) != storer.KindConflict {
		t.Errorf("write over a newer version: %v", err)
	}
	got, err := s.Get(ctx, "config", "a")
	if err != nil || string(got.Value) != "two" || got.Version != v2 {
		t.Errorf("got %q at %d, error %v", got.Value, got.Version, err)
	}
	if err := s.Delete(ctx, "config", "a", storer.Precondition{Match: v1}); storer.KindOf(err) != storer.KindConflict {
		t.Errorf("delete of a newer version: %v", err)
	}
	if err := s.Delete(ctx, "config", "a", storer.Precondition{Match: v2}); err != nil {
		t.Error(err)
	}
	changes, err := s.List(ctx, "config", v2, 0)
	if err != nil || len(changes.Objects) != 1 || !changes.Objects[0].Deleted {
		t.Errorf("changes %+v, error %v, want one deletion", changes, err)
	}
	big := []byte(strings.Repeat("x", storer.MaxValueBytes+1))
	if _, err := s.Put(ctx, "config", "big", big, storer.Precondition{}); storer.KindOf(err) != storer.KindRejected {
		t.Errorf("oversized value: %v", err)
	}
}

// TestFaults checks the error kind of each fault of the API, and whether the change
// took effect.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		effect faulter.Effect
		kind   storer.Kind
		kept   int
	}{
		{faulter.EffectRefuse, storer.KindUnavailable, 0},
		{faulter.EffectLoseAnswer, storer.KindUnavailable, 1},
	} {
		s, store := newClient(t)
		store.Faults.Add(faulter.Rule{Point: objectstore.PointPut, Effect: tt.effect})
		_, err := s.Put(t.Context(), "config", "a", []byte("x"), storer.Precondition{})
		if storer.KindOf(err) != tt.kind || len(store.Objects("config")) != tt.kept {
			t.Errorf("%s: error %v, %d objects kept", tt.effect, err, len(store.Objects("config")))
		}
	}
}

// TestWatch checks that a watch returns as soon as an object changes.
func TestWatch(t *testing.T) {
	s, store := newClient(t)
	answered := make(chan int, 1)
	go func() {
		changes, _ := s.List(t.Context(), "config", 0, 5*clock.Second) // an error shows as a length of 0
		answered <- len(changes.Objects)
	}()
	for store.Calls().Waiting == 0 {
		_ = (&clock.Clock{}).Sleep(t.Context(), 1) // the loop ends with the test
	}
	if _, err := s.Put(t.Context(), "config", "a", []byte("x"), storer.Precondition{}); err != nil {
		t.Fatal(err)
	}
	if n := <-answered; n != 1 {
		t.Errorf("the watch returned %d changes, want 1", n)
	}
}
