// Package roster is the table of backend servers of a routing configuration: which
// may take a request now, how loaded each is, and which one a request should go to.
//
// A slot is taken in one critical section with the last check that the request may
// run: route and key in force, zone in service, server not leaving, release allowed,
// cold server not overrun. Nothing is sent without a slot.
package roster

import (
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/curator"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoServer means that no server in service can be used at all.
	KindNoServer Kind = "no-server"
	// KindFull means that servers exist and none may take one more request now.
	KindFull Kind = "full"
	// KindPaused means that every server that may take the request has asked for a pause.
	KindPaused Kind = "paused"
	// KindDenied means that the last check forbade the request.
	KindDenied Kind = "denied"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// unknownReleaseSpan is how long servers of a release that was never seen before wait
	// for the roll-out order that may come with them.
	unknownReleaseSpan clock.Millis = 1500
	// lapseSpan is how long after an outage of the store servers are kept whose entries
	// lapsed meanwhile: those of servers that live are back within about two seconds.
	lapseSpan = 2 * clock.Second
	// keepSpan is how long what is known of a server is kept after its entry has vanished.
	// It exceeds the longest pause that a server can ask for, with its spread.
	keepSpan = 90 * clock.Second
)

// Roster is the table. Set the exported fields before use. Its lock may be held while
// the view is read, and no other lock is taken under it.
type Roster struct {
	Clock *clock.Clock
	// Instance and Zone are the instance's own.
	Instance ident.Instance
	Zone     declaration.ZoneName
	ViewFunc func() *curator.View
	// OutageEndedAtFunc returns when the store was last back after an outage.
	OutageEndedAtFunc func() clock.Millis
	// DecodeFunc decodes a server's entry.
	DecodeFunc func(o storer.Object) (backend.Server, error)
	// InstancesFunc returns all instances that may send to servers, this one included.
	InstancesFunc func() []string
	// ColdRateFunc returns the requests a second that all instances may send to a cold
	// server of the service; zero when its servers are never cold.
	ColdRateFunc func(service declaration.ServiceName) float64
	// RandIntNFunc replaces the random number below n with which a choice begins.
	RandIntNFunc func(n int) int
	// OnFreed, when set, is called without the lock when a server may have become usable.
	OnFreed func()

	mu       sync.Mutex
	rows     map[ident.Server]*row
	services map[declaration.ServiceName]*group
	// vanished holds the rows whose entries are gone, because they may come back.
	vanished map[backend.Incarnation]*row
	// departures holds the runs of servers that are leaving, by their own word.
	departures map[backend.Incarnation]bool
	// placements holds where prompt parts were sent, and decision numbers the choices.
	placements placements
	decision   uint64
	// scratch avoids an allocation for each choice.
	scratch []*row
	// reopensAt is the earliest end of a pause among the servers that gather left out for
	// one, and otherwiseBusy is set when it left out others.
	reopensAt     clock.Millis
	otherwiseBusy bool
}

// group is the servers of one service, sorted by identifier.
type group struct {
	rows []*row
	// releases holds when each release was first seen.
	releases map[backend.Release]clock.Millis
}

// Apply takes in changed entries of servers.
func (r *Roster) Apply(objects []storer.Object) {
	now := r.Clock.Now()
	r.mu.Lock()
	if r.rows == nil {
		r.rows = map[ident.Server]*row{}
		r.services = map[declaration.ServiceName]*group{}
	}
	first := len(r.rows) == 0
	for _, o := range objects {
		if o.Deleted {
			r.remove(ident.Server(o.Name), now)
			continue
		}
		server, err := r.DecodeFunc(o)
		if err != nil {
			klog.InfoS("Server entry is unusable", "server", o.Name, "revision", o.Version, "err", err)
			r.remove(ident.Server(o.Name), now)
			continue
		}
		r.put(server, now, first)
	}
	r.mu.Unlock()
	if r.OnFreed != nil {
		r.OnFreed()
	}
}

// remove takes a server out, at once or after a while if its entry may come back.
func (r *Roster) remove(id ident.Server, now clock.Millis) {
	held := r.rows[id]
	if held == nil {
		return
	}
	if r.OutageEndedAtFunc != nil && !held.info.Leaving {
		if returned := r.OutageEndedAtFunc(); returned > 0 && now < returned+lapseSpan {
			held.lapsesAt = returned + lapseSpan
			klog.InfoS("Server entry lapsed while the store was away", "server", id, "kept-ms", held.lapsesAt-now)
			return
		}
	}
	r.vanish(held, now)
}

// vanish drops a server whose entry is gone, and keeps what is known of this run.
func (r *Roster) vanish(held *row, now clock.Millis) {
	r.drop(held)
	held.vanishedAt = now
	if r.vanished == nil {
		r.vanished = map[backend.Incarnation]*row{}
	}
	r.vanished[held.info.Incarnation()] = held
}

// drop takes a server out of the table.
func (r *Roster) drop(held *row) {
	klog.InfoS("Server is gone", "server", held.info.ID, "service", held.info.Service, "in-flight", held.inFlight)
	held.info.Leaving = true
	delete(r.rows, held.info.ID)
	g := r.services[held.info.Service]
	g.rows = slices.DeleteFunc(g.rows, func(other *row) bool { return other == held })
}

func (r *Roster) put(server backend.Server, now clock.Millis, first bool) {
	held := r.rows[server.ID]
	if held != nil && (held.info.Incarnation() != server.Incarnation() || held.info.Service != server.Service) {
		r.drop(held) // another run of the server, which holds nothing of before
		held = nil
	}
	if held == nil {
		held = r.rowFor(server)
		r.rows[server.ID] = held
		g := r.services[server.Service]
		if g == nil {
			g = &group{releases: map[backend.Release]clock.Millis{}}
			r.services[server.Service] = g
		}
		g.rows = append(g.rows, held)
	}
	held.releaseSeen = r.services[server.Service].noteRelease(server.Release, now, first)
	if held.info.ID == "" || held.info.Leaving != server.Leaving || held.info.ColdFor != server.ColdFor {
		klog.InfoS("Server entry", "server", server.ID, "service", server.Service, "zone", server.Zone, "release", server.Release, "leaving", server.Leaving, "cold-ms", server.ColdFor)
	}
	if server.ColdFor > 0 {
		held.coldUntil = now + server.ColdFor
	}
	held.info = server
	held.lapsesAt = 0
}

// noteRelease returns when a release was first seen. Those that the first entries name are
// known from before.
func (g *group) noteRelease(release backend.Release, now clock.Millis, first bool) clock.Millis {
	seen, known := g.releases[release]
	if !known {
		seen = now
		if first {
			seen -= unknownReleaseSpan
		}
		g.releases[release] = seen
	}
	return seen
}

// rowFor returns a row for a server that is not in the table: the one that it had if its
// entry had vanished.
func (r *Roster) rowFor(server backend.Server) *row {
	run := server.Incarnation()
	held := r.vanished[run]
	delete(r.vanished, run)
	if held == nil || held.info.Service != server.Service {
		held = &row{sum: affinityHash.Sum(string(server.ID))}
	}
	held.departing = r.departures[run]
	return held
}

// Tick removes servers whose vanished entries have not come back.
func (r *Roster) Tick() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.rows {
		if held.lapsesAt > 0 && now >= held.lapsesAt {
			r.vanish(held, now)
		}
	}
	for run, held := range r.vanished {
		if now-held.vanishedAt >= keepSpan {
			delete(r.vanished, run)
		}
	}
}

// HasServers reports whether any server is known.
func (r *Roster) HasServers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) > 0
}

// Loads returns what this instance has at each server where it has anything.
func (r *Roster) Loads() map[ident.Server]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := map[ident.Server]Load{}
	for id, w := range r.rows {
		if w.inFlight > 0 {
			loads[id] = Load{Requests: w.inFlight, Pending: clock.Millis(w.pending)}
		}
	}
	return loads
}

// SetPeerLoads takes over what other instances said to have at servers, so long ago.
func (r *Roster) SetPeerLoads(loads map[ident.Server]Load, age clock.Millis) {
	at := r.Clock.Now() - age
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.rows {
		w.peers, w.peersAt = loads[id], at
	}
}

// InFlightOnOtherReleases returns this instance's requests in flight at servers of a service
// whose release is not the given one.
func (r *Roster) InFlightOnOtherReleases(service declaration.ServiceName, release backend.Release) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	if g := r.services[service]; g != nil {
		for _, w := range g.rows {
			if w.info.Release != release {
				total += w.inFlight
			}
		}
	}
	return total
}

// Row is a copy of what the table holds of a server.
type Row struct {
	Server  ident.Server            `json:"server"`
	Service declaration.ServiceName `json:"service"`
	Zone    declaration.ZoneName    `json:"zone"`
	Release backend.Release         `json:"release"`
	Leaving bool                    `json:"leaving"`
	// PauseMs is how long the server still wants no requests from this instance.
	PauseMs  clock.Millis `json:"pause-ms"`
	Cold     bool         `json:"cold"`
	InFlight int          `json:"in-flight"`
	Peers    int          `json:"peers-in-flight"`
	Failures float64      `json:"failure-share"`
}

// Rows returns the table sorted by server.
func (r *Roster) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	rows := make([]Row, 0, len(r.rows))
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		w := r.rows[id]
		rows = append(rows, Row{
			Server: id, Service: w.info.Service, Zone: w.info.Zone, Release: w.info.Release, Leaving: w.leaving(),
			PauseMs: max(w.closedUntil-now, 0), Cold: w.cold(now), InFlight: w.inFlight, Peers: w.peers.Requests, Failures: w.failureShare(now),
		})
	}
	return rows
}
