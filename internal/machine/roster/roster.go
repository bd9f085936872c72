// Package roster is the table of the backend servers of a routing configuration: which
// servers may take a request now, how loaded each server is, and which server a request
// should go to.
//
// Acquire takes a slot in the same critical section as the last check that the request may
// run: route and key still valid, zone not evacuated, server not leaving, release allowed,
// rate limit of a cold server kept. Nothing is sent to a server without a slot.
package roster

import (
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/load/locator"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/curator"
	"example.com/dotterelwell/internal/zone/rationer"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoServer means that no server in service can be used at all.
	KindNoServer Kind = "no-server"
	// KindFull means that servers exist but none may take another request now.
	KindFull Kind = "full"
	// KindPaused means that every server that may take the request asked for a pause
	// (Retry-After) that has not ended.
	KindPaused Kind = "paused"
	// KindNoRoom means that the expected wait exceeds Want.Room at the server that is expected to answer soonest.
	KindNoRoom Kind = "no-room"
	// KindDenied means that Want.MayRunFunc rejected the request.
	KindDenied Kind = "denied"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// unknownReleaseDelay is how long servers of a release that this instance has not seen
	// before get no requests, because the roll-out order for the release may arrive after
	// the servers' entries.
	unknownReleaseDelay clock.Millis = 1500
	// outageGrace is how long after an outage of the store servers are kept whose entries
	// expired during the outage: live servers register again within about two seconds.
	outageGrace = 2 * clock.Second
	// vanishedRetention is how long the state of a server is kept after its entry was
	// deleted. It exceeds the longest pause that a server can ask for, jitter included.
	vanishedRetention = 90 * clock.Second
)

// Roster is the table of servers. Set the exported fields before use. ViewFunc may be
// called with the table's lock held; no other lock is taken under it.
type Roster struct {
	Clock *clock.Clock
	// Instance and Zone identify this instance and its availability zone.
	Instance ident.Instance
	Zone     declaration.ZoneName
	ViewFunc func() *curator.View
	// OutageEndedAtFunc returns when the last outage of the store ended, or zero if there was none. What passed for an outage may
	// turn out to have been the loss of this instance's own links.
	OutageEndedAtFunc func() clock.Millis
	// DecodeFunc decodes a server's entry.
	DecodeFunc func(o storer.Object) (backend.Server, error)
	// InstancesFunc returns all instances that may send requests to servers, including this one.
	InstancesFunc func() []string
	// CountedFunc reports whether the other instances count this one among those that share the
	// limits of servers. Nil means that they do.
	CountedFunc func() bool
	// ColdRateFunc returns how many requests per second all instances together may send to
	// a cold server of the service; zero if the service's servers are never cold.
	ColdRateFunc func(service declaration.ServiceName) float64
	// LostFunc reports whether the link to a server is lost, so that its connections go through a peer. It
	// is called with the table's lock held. Nil means that no link ever is.
	LostFunc func(address ident.Address) bool
	// RandIntNFunc, when set, replaces the random number generator: it returns a number in [0, n).
	RandIntNFunc func(n int) int
	// OnLimitedSend, when set, is called with the table's lock held when a request is to be sent
	// to a server that names a rate limit.
	OnLimitedSend func(service declaration.ServiceName)
	// OnPart, when set, is called with the table's lock held when a request with a shared part is to be sent to a
	// server, with what the server is expected to do about the part.
	OnPart func(service declaration.ServiceName, use PartUse)
	// OnBrittle, when set, is called with the table's lock held when the first server of a service has said that it is
	// brittle.
	OnBrittle func()
	// OnBrittleRejection, when set, is called with the table's lock held when a brittle server has rejected a request;
	// lowered is set if less may be outstanding there from now on.
	OnBrittleRejection func(service declaration.ServiceName, lowered bool)
	// OnFreed, when set, is called without the lock when a server may have become usable.
	OnFreed func()

	mu       sync.Mutex
	rows     map[ident.Server]*row
	services map[declaration.ServiceName]*group
	// vanished holds the rows whose entries were deleted, because an entry may come back.
	vanished map[backend.Incarnation]*row
	// departures holds the incarnations of servers that said in an answer, to this instance
	// or to a peer, that they are leaving.
	departures map[backend.Incarnation]bool
	// locator records which servers were sent which shared prompt parts, holders finds their rows, and homes
	// holds the homes of the current choice's part; decision numbers the choices.
	locator  locator.Locator
	holders  map[locator.Holder]*row
	homes    locator.Homes[*row]
	located  []locator.Placement
	decision uint64
	// meanWait is the mean estimated wait, in milliseconds, at the servers in service of the current choice.
	meanWait float64
	// scratch holds the candidates of the current choice; it is reused to avoid allocations.
	scratch []*row
	// leftOut tells why gather left out servers.
	leftOut leftOut
	// reachable is what SetReachable set.
	reachable rationer.Fleet
	// startedAt is when the first server entries came, and heardPeer is set from the first message of a peer on.
	startedAt clock.Millis
	heardPeer bool
}

// group holds the servers of one service.
type group struct {
	rows []*row
	// releases holds when this instance first saw each release.
	releases map[backend.Release]clock.Millis
	// lastWantedAt is when a request for the service last asked for a slot.
	lastWantedAt clock.Millis
	// waiting is the number of requests that wait for a server's pause or rate limit.
	waiting int
	// brittleAt is when a server of the service was last known to be brittle; zero for never.
	brittleAt clock.Millis
	// unreachable is the number of servers that this instance had failed to connect to, as last logged.
	unreachable int
	// sent counts what was sent to the servers.
	sent Sent
}

// Apply updates the table from changed server entries of the store.
func (r *Roster) Apply(objects []storer.Object) {
	now := r.Clock.Now()
	r.mu.Lock()
	if r.rows == nil {
		r.rows = map[ident.Server]*row{}
		r.startedAt = now
		r.services = map[declaration.ServiceName]*group{}
		r.holders = map[locator.Holder]*row{}
	}
	first := len(r.rows) == 0
	for _, o := range objects {
		if o.Deleted {
			r.remove(ident.Server(o.Name), now)
			continue
		}
		server, err := r.DecodeFunc(o)
		if err != nil {
			klog.InfoS("Server entry cannot be decoded; removing the server", "server", o.Name, "revision", o.Version, "err", err)
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

// remove removes a server whose entry was deleted. Shortly after an outage of the store it
// only marks the server for removal, because the entry may come back.
func (r *Roster) remove(id ident.Server, now clock.Millis) {
	held := r.rows[id]
	if held == nil {
		return
	}
	if r.OutageEndedAtFunc != nil && !held.info.Leaving {
		if outageEndedAt := r.OutageEndedAtFunc(); outageEndedAt > 0 && now < outageEndedAt+outageGrace {
			held.expiresAt = outageEndedAt + outageGrace
			klog.InfoS("Server entry lapsed while the store was away", "server", id, "kept-ms", held.expiresAt-now)
			return
		}
	}
	r.vanish(held, now)
}

// vanish removes a server from the table and keeps the row for vanishedRetention, in case
// the entry of the same incarnation comes back.
func (r *Roster) vanish(held *row, now clock.Millis) {
	r.drop(held)
	held.vanishedAt = now
	if r.vanished == nil {
		r.vanished = map[backend.Incarnation]*row{}
	}
	r.vanished[held.info.Incarnation()] = held
}

// drop removes a server from the table.
func (r *Roster) drop(held *row) {
	klog.InfoS("Server is gone", "server", held.info.ID, "service", held.info.Service, "in-flight", held.inFlight)
	held.info.Leaving = true
	delete(r.rows, held.info.ID)
	delete(r.holders, held.holder)
	g := r.services[held.info.Service]
	g.rows = slices.DeleteFunc(g.rows, func(other *row) bool { return other == held })
}

func (r *Roster) put(server backend.Server, now clock.Millis, first bool) {
	held := r.rows[server.ID]
	if held != nil && (held.info.Incarnation() != server.Incarnation() || held.info.Service != server.Service) {
		r.drop(held) // a new incarnation, or another service: the old row's state does not apply
		held = nil
	}
	if held == nil {
		held = r.restoreOrNewRow(server)
		r.rows[server.ID] = held
		r.holders[held.holder] = held
		g := r.services[server.Service]
		if g == nil {
			g = &group{releases: map[backend.Release]clock.Millis{}}
			r.services[server.Service] = g
		}
		g.rows = append(g.rows, held)
	}
	held.releaseSeen = r.services[server.Service].recordRelease(server.Release, now, first)
	if held.info.ID == "" || held.info.Leaving != server.Leaving || held.info.ColdFor != server.ColdFor {
		klog.InfoS("Server entry", "server", server.ID, "service", server.Service, "zone", server.Zone, "release", server.Release, "leaving", server.Leaving, "cold-ms", server.ColdFor)
	}
	if server.ColdFor > 0 {
		held.coldUntil = now + server.ColdFor
	}
	held.info = server
	held.expiresAt = 0
}

// recordRelease returns when a release was first seen, and records it if it is new. Releases
// in the first entries that the instance reads count as seen before, so that their servers
// are used without delay.
func (g *group) recordRelease(release backend.Release, now clock.Millis, first bool) clock.Millis {
	seen, known := g.releases[release]
	if !known {
		seen = now
		if first {
			seen -= unknownReleaseDelay
		}
		g.releases[release] = seen
	}
	return seen
}

// restoreOrNewRow returns a row for a server that is not in the table: its previous row if
// the entry of this incarnation was deleted lately, a new one otherwise.
func (r *Roster) restoreOrNewRow(server backend.Server) *row {
	incarnation := server.Incarnation()
	held := r.vanished[incarnation]
	delete(r.vanished, incarnation)
	if held == nil || held.info.Service != server.Service {
		held = &row{idHash: affinityHash.HashName(string(server.ID)), holder: holderOf(incarnation)}
	}
	held.departing = r.departures[incarnation]
	return held
}

// Tick removes servers whose expired entries have not come back, and forgets the state of
// servers removed more than vanishedRetention ago.
func (r *Roster) Tick() {
	now := r.Clock.Now()
	outageEndedAt := clock.Millis(0)
	if r.OutageEndedAtFunc != nil {
		outageEndedAt = r.OutageEndedAtFunc()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.rows {
		if held.expiresAt > 0 && now >= min(held.expiresAt, outageEndedAt+outageGrace) {
			r.vanish(held, now)
		}
	}
	r.passOnPermits(now)
	r.keepBrittlePermits(now)
	for service, g := range r.services {
		g.logReach(service)
	}
	for incarnation, held := range r.vanished {
		if now-held.vanishedAt >= vanishedRetention {
			delete(r.vanished, incarnation)
		}
	}
}

// logReach logs a change of the number of servers that this instance can't connect to.
func (g *group) logReach(service declaration.ServiceName) {
	if n := g.countUnreachable(); n != g.unreachable {
		klog.InfoS("Servers out of reach", "service", service, "unreachable", n, "before", g.unreachable, "servers", len(g.rows))
		g.unreachable = n
	}
}

// countUnreachable returns the number of servers whose last connection attempt has failed.
func (g *group) countUnreachable() int {
	n := 0
	for _, w := range g.rows {
		if w.unreachable {
			n++
		}
	}
	return n
}

// Unreachable returns the number of servers that this instance has failed to connect to and has not
// reached since.
func (r *Roster) Unreachable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, g := range r.services {
		n += g.countUnreachable()
	}
	return n
}

// rowOf returns the row of one incarnation of a server, or nil. The lock must be held.
func (r *Roster) rowOf(incarnation backend.Incarnation) *row {
	if held := r.rows[incarnation.ID]; held != nil && held.info.Incarnation() == incarnation {
		return held
	}
	return nil
}

// HasServers reports whether the table holds any server.
func (r *Roster) HasServers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.rows) > 0
}

// OtherAddresses returns the addresses of up to n servers in service, chosen at random, without the given one.
func (r *Roster) OtherAddresses(not ident.Address, n int) []ident.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []ident.Address
	for _, w := range r.rows { // in random order
		if len(others) == n {
			break
		}
		if w.info.Address != not && !w.leaving() {
			others = append(others, w.info.Address)
		}
	}
	return others
}

// Loads returns the load that this instance puts on each server where it has requests in
// flight.
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

// SetPeerLoads sets the load that all other instances reported for each server; age is how
// old the report is.
func (r *Roster) SetPeerLoads(loads map[ident.Server]Load, age clock.Millis) {
	at := r.Clock.Now() - age
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.rows {
		w.peers, w.peersAt = loads[id], at
	}
}

// InFlightOnOtherReleases returns how many requests this instance has in flight at servers
// of a service that run another release than the given one.
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

// Row is a snapshot of the table's data on one server.
type Row struct {
	Server  ident.Server            `json:"server"`
	Service declaration.ServiceName `json:"service"`
	Zone    declaration.ZoneName    `json:"zone"`
	Release backend.Release         `json:"release"`
	Leaving bool                    `json:"leaving"`
	// PauseMs is the remaining time for which the server asked to get no requests from this
	// instance.
	PauseMs clock.Millis `json:"pause-ms"`
	// Limited is set while the server names a rate limit, LimitPerSecond, for all instances
	// together. SentWhileLimited is how many requests this instance has sent it since.
	Limited          bool    `json:"limited"`
	LimitPerSecond   float64 `json:"limit-per-second"`
	SentWhileLimited int     `json:"sent-while-limited"`
	Cold             bool    `json:"cold"`
	// Unreachable is set after a failed connection, until a request succeeds.
	Unreachable bool    `json:"unreachable"`
	InFlight    int     `json:"in-flight"`
	Peers       int     `json:"peers-in-flight"`
	Failures    float64 `json:"failure-share"`
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
			PauseMs: max(w.pausedUntil-now, 0), Limited: w.limited(), LimitPerSecond: w.limit().PerSecond, SentWhileLimited: w.sentWhileLimited, Cold: w.cold(now), Unreachable: w.unreachable, InFlight: w.inFlight, Peers: w.peers.Requests, Failures: w.failureShare(now),
		})
	}
	return rows
}
