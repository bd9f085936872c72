// Package instancelist stands in for the platform's list of instances.
package instancelist

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// List is the stand-in. Its zero value is an empty list without lag.
type List struct {
	// Clock times waits.
	Clock *clock.Clock
	// Lag delays the visibility of each change.
	Lag clock.Millis

	mu      sync.Mutex
	down    bool
	version ident.StoreVersion
	entries map[string]entry
}

type entry struct {
	lister.Instance
	version   ident.StoreVersion
	visibleAt clock.Millis
}

// pollEvery is the interval at which waiting calls look for changes.
const pollEvery clock.Millis = 20

// Set adds or replaces an entry. An entry in state gone is a removal.
func (l *List) Set(i lister.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = map[string]entry{}
	}
	l.version++
	l.entries[i.ID] = entry{Instance: i, version: l.version, visibleAt: l.Clock.Now() + l.Lag}
}

// SetState changes the state of the entry with id.
func (l *List) SetState(id string, state lister.State) {
	l.mu.Lock()
	i := l.entries[id].Instance
	l.mu.Unlock()
	i.ID = id
	i.State = state
	l.Set(i)
}

// SetDown starts or ends an outage of the list.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Lister returns a client that calls the list without a network.
func (l *List) Lister() *lister.Lister { return &lister.Lister{ListFunc: l.changes} }

func (l *List) changes(ctx context.Context, since ident.StoreVersion, wait clock.Millis) (lister.Changes, error) {
	deadline := l.Clock.Now() + wait
	for {
		changes, err := l.visible(since)
		if err != nil || len(changes.Instances) > 0 || l.Clock.Now() >= deadline {
			return changes, err
		}
		if err := l.Clock.Sleep(ctx, pollEvery); err != nil {
			return lister.Changes{}, fault.New("list instances", lister.KindUnavailable, err)
		}
	}
}

// visible returns the changes after since up to the first that still lags.
func (l *List) visible(since ident.StoreVersion) (lister.Changes, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return lister.Changes{}, fault.Newf("list instances", lister.KindUnavailable, "injected fault")
	}
	changes := lister.Changes{Version: since}
	now := l.Clock.Now()
	sorted := slices.SortedFunc(maps.Values(l.entries), func(a, b entry) int { return int(a.version) - int(b.version) })
	for _, e := range sorted {
		if e.version <= since {
			continue
		}
		if e.visibleAt > now {
			break
		}
		changes.Instances = append(changes.Instances, e.Instance)
		changes.Version = e.version
	}
	return changes, nil
}

// Handler serves the list's HTTP contract.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64) // absent means from the start
		wait, _ := strconv.ParseInt(r.FormValue("wait"), 10, 64)    // absent means no wait
		changes, err := l.changes(r.Context(), ident.StoreVersion(since), clock.Millis(wait))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(changes) // the client has left when this fails
	})
	return mux
}
