// Package apportioner divides what may be outstanding at a brittle backend server among the instances.
//
// The bound on outstanding requests is split into permits, each for one request at a time. The instances are
// ordered by rendezvous hashing, and each permit belongs to the instance at its place in that order, moved on
// by the permit's turn. A holder without work passes its permits on; a permit of which nothing is heard goes to
// the next holder. A new holder waits before it uses a permit, because the one before may not know yet. So
// sending needs no call, and an instance that hears from no other one keeps to the permits it holds.
//
// A rejection halves the bound, and nobody sends to the server for a while; then the bound rises with time alone.
// All instances take over the lowest bound they hear of.
package apportioner

import (
	"cmp"
	"slices"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/rationer"
)

const (
	// riseInterval is the time in which a lowered bound rises by one request.
	riseInterval = 5 * clock.Second
	// rejectionPause is how long no instance sends to a server that has rejected a request. Servers count
	// their rejections by the second.
	rejectionPause clock.Millis = 1100
	// handoverDelay is how long a new holder of a permit doesn't use it.
	handoverDelay = 2 * clock.Second
	// keepInterval is the time between two signs of life for a permit, and silence is how long none may come
	// before the permit goes to another holder.
	keepInterval = 2 * clock.Second
	silence      = 10 * clock.Second
	// idleSpan is how long a holder has had no work when it passes its permits on.
	idleSpan = 3 * clock.Second
	// endedRetention is how long peers are told that a server isn't brittle any more.
	endedRetention = 60 * clock.Second
	// maxPermits bounds the outstanding requests at a brittle server.
	maxPermits = 256
)

var permitHash = hasher.Hasher{Salt: "brittle"}

// Permit is the state of a permit as instances tell one another.
type Permit struct {
	// Turn selects the holder, and Signs is the number of its signs of life in this turn.
	Turn, Signs uint64
}

func (p Permit) newerThan(other Permit) bool {
	return p.Turn > other.Turn || p.Turn == other.Turn && p.Signs > other.Signs
}

// Report is what instances tell one another about a brittle server.
type Report struct {
	Brittleness backend.Brittleness
	// Version increases with each change of Brittleness that an instance learns of.
	Version uint64
	// Lowered is the bound after the last rejection, Age ago; zero if there was none or it has no effect any more.
	Lowered int
	Age     clock.Millis
	Permits []Permit
}

// Load is the number of outstanding requests at a server.
type Load struct{ Own, Peers int }

// Apportioner is this instance's part of what may be outstanding at one incarnation of a server. Set Server and
// Slots before use. It is not safe for concurrent use.
type Apportioner struct {
	Server string
	// Slots is the number of requests that the server runs at the same time.
	Slots int

	brittleness backend.Brittleness
	version     uint64
	learnedAt   clock.Millis
	lowered     int
	loweredAt   clock.Millis
	pausedUntil clock.Millis
	permits     []permit
	// order holds the names of the fleet, by their hashes with the server, as of the list that starts at
	// firstName.
	order     []string
	firstName *string
}

type permit struct {
	Permit
	heardAt    clock.Millis
	held, seen bool
	heldSince  clock.Millis
	usableAt   clock.Millis
}

// Brittleness returns what the server says.
func (a *Apportioner) Brittleness() backend.Brittleness { return a.brittleness }

// Observe records what the server said in an answer to a request sent at sentAt. An answer to a request sent
// before the server was known to be brittle doesn't end it. It reports whether anything changed.
func (a *Apportioner) Observe(b backend.Brittleness, sentAt, now clock.Millis) bool {
	if b == a.brittleness || !b.Named && sentAt <= a.learnedAt {
		return false
	}
	a.version++
	a.brittleness, a.learnedAt = b, now
	return true
}

// Bound returns how many requests may be outstanding at the server, of all instances together.
func (a *Apportioner) Bound(now clock.Millis) int {
	bound := min(max(a.Slots, 1), maxPermits)
	if a.lowered > 0 {
		bound = min(bound, a.lowered+int(max(now-a.loweredAt, 0)/riseInterval))
	}
	return bound
}

// Reject records that the server rejected a request sent at sentAt, and reports whether the bound was lowered.
// Requests sent before the last rejection was known don't lower it again.
func (a *Apportioner) Reject(sentAt, now clock.Millis) bool {
	a.pausedUntil = now + rejectionPause
	if a.lowered > 0 && sentAt <= a.loweredAt {
		return false
	}
	a.lowered, a.loweredAt = max(a.Bound(now)/2, 1), now
	return true
}

// Merge takes over what another instance reports, as far as it is newer or stricter. It reports whether
// Brittleness changed.
func (a *Apportioner) Merge(report Report, now clock.Millis) bool {
	changed := report.Brittleness != a.brittleness && (report.Version > a.version || report.Version == a.version && report.Brittleness.StricterThan(a.brittleness))
	if changed {
		a.brittleness, a.learnedAt = report.Brittleness, now
	}
	a.version = max(a.version, report.Version)
	if report.Lowered > 0 && report.Age >= 0 && (a.lowered == 0 || level(report.Lowered, report.Age) < level(a.lowered, now-a.loweredAt)) {
		a.lowered, a.loweredAt = report.Lowered, now-report.Age
		a.pausedUntil = max(a.pausedUntil, a.loweredAt+rejectionPause)
	}
	a.grow(min(len(report.Permits), maxPermits), now)
	for i, reported := range report.Permits[:min(len(report.Permits), len(a.permits))] {
		if own := &a.permits[i]; reported.newerThan(own.Permit) {
			own.Permit, own.heardAt = reported, now
		}
	}
	return changed
}

// level orders lowered bounds by how strict they are.
func level(lowered int, age clock.Millis) clock.Millis {
	return clock.Millis(lowered)*riseInterval + age
}

// Report returns what this instance tells its peers. It returns false if there is nothing to tell.
func (a *Apportioner) Report(now clock.Millis) (Report, bool) {
	if a.version == 0 && a.lowered == 0 && len(a.permits) == 0 || a.version > 0 && !a.brittleness.Named && now-a.learnedAt >= endedRetention {
		return Report{}, false
	}
	report := Report{Brittleness: a.brittleness, Version: a.version}
	if a.lowered > 0 && a.Bound(now) < a.Slots {
		report.Lowered, report.Age = a.lowered, now-a.loweredAt
	}
	for _, p := range a.permits {
		report.Permits = append(report.Permits, p.Permit)
	}
	return report, true
}

func (a *Apportioner) grow(n int, now clock.Millis) {
	for len(a.permits) < n {
		a.permits = append(a.permits, permit{heardAt: now})
	}
}

// Held returns how many requests of this instance may be outstanding at the server, when factor times the bound may
// be. What instances may use that are parted from each other adds up to the bound.
func (a *Apportioner) Held(fleet rationer.Fleet, factor int, now clock.Millis) int {
	held := 0
	for i := range a.active(fleet, factor, now) {
		if p := a.refresh(i, fleet, now); p.held && now >= p.usableAt {
			held++
		}
	}
	return held
}

// active returns the number of permits that the instances within reach share.
func (a *Apportioner) active(fleet rationer.Fleet, factor int, now clock.Millis) int {
	bound := min(a.Bound(now)*factor, maxPermits)
	part := float64(bound) * min(fleet.Reachable, 1)
	n := int(part)
	if fleet.Reachable > 0.5 && float64(n) < part {
		n++ // at most one side of a partition is a majority
	}
	a.grow(n, now)
	return n
}

// MaySend reports whether this instance may send the server another request.
func (a *Apportioner) MaySend(fleet rationer.Fleet, load Load, factor int, now clock.Millis) bool {
	return now >= a.pausedUntil && load.Own+load.Peers < min(a.Bound(now)*factor, maxPermits) && load.Own < a.Held(fleet, factor, now)
}

// refresh updates whether this instance holds the i-th permit.
func (a *Apportioner) refresh(i int, fleet rationer.Fleet, now clock.Millis) *permit {
	a.sort(fleet)
	p := &a.permits[i]
	if silent := uint64(max(now-p.heardAt, 0) / silence); silent > 0 {
		p.Permit, p.heardAt = Permit{Turn: p.Turn + silent}, now
	}
	place := (uint64(i) + p.Turn) % uint64(len(a.order))
	held := fleet.Self != "" && a.order[place] == fleet.Self
	if held && !p.held {
		p.heldSince, p.usableAt = now, now
		if p.seen || p.Turn > 0 {
			p.usableAt = now + handoverDelay
		}
	}
	p.held, p.seen = held, true
	return p
}

func (a *Apportioner) sort(fleet rationer.Fleet) {
	if a.firstName == &fleet.Names[0] && len(a.order) == len(fleet.Names) {
		return
	}
	scores := make(map[string]uint64, len(fleet.Names))
	for _, name := range fleet.Names {
		scores[name] = permitHash.Score(a.Server, name)
	}
	a.firstName, a.order = &fleet.Names[0], slices.Clone(fleet.Names)
	slices.SortFunc(a.order, func(x, y string) int {
		return cmp.Or(cmp.Compare(scores[x], scores[y]), cmp.Compare(x, y))
	})
}

// Keep gives a sign of life for the permits that this instance holds, or passes them on if it has none outstanding
// and no work for the server since lastWork.
func (a *Apportioner) Keep(fleet rationer.Fleet, load Load, lastWork, now clock.Millis) {
	idle := load.Own == 0 && now-lastWork >= idleSpan && len(fleet.Names) > 1
	for i := range a.active(fleet, 1, now) {
		p := a.refresh(i, fleet, now)
		switch {
		case !p.held:
		case idle && now-p.heldSince >= handoverDelay+idleSpan:
			p.Permit, p.heardAt = Permit{Turn: p.Turn + 1}, now
			a.refresh(i, fleet, now)
		case now-p.heardAt >= keepInterval:
			p.Signs++
			p.heardAt = now
		}
	}
}
