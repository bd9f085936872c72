// Package rationer divides the rate limit that a backend server names among the instances.
//
// The limit is split into permits, each of which allows an equal part of the limit to the one
// instance that holds it. All instances compute the holder of a permit by rendezvous hashing
// over the list of instances and the permit's turn. A holder that has no work passes its
// permit on, and a permit of which nothing is heard goes to another holder, by a higher turn.
// Sending therefore needs no agreement and no call: an instance that hears from no other one
// keeps to the permits that it holds, and an instance that holds none sends nothing.
//
// The number of permits bounds the burst of the fleet: in any span the server gets at most the
// limit times the span plus one request for each permit. While instances disagree on the
// list or on a turn, each permit in dispute may be used twice.
package rationer

import (
	"strconv"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// leastPermits and maxPermits bound the number of permits of a limit. One permit alone would
	// leave the server without requests while its holder is gone.
	leastPermits = 2
	maxPermits   = 32
	// leastRate is the least limit in requests per second: the answer to a request tells when
	// the limit ends, also if the server names 0.
	leastRate = 0.02
	// silenceBase and silenceIntervals are how long nothing may be heard of a permit before it
	// goes to another holder: the time that news takes through a large fleet, and the time
	// in which the permit allows some requests.
	silenceBase      = 8 * clock.Second
	silenceIntervals = 2
	// idleSpan is how long a holder has had no work when it passes its permits on.
	idleSpan = 3 * clock.Second
	// liftedRetention is how long peers are told that a limit has ended.
	liftedRetention = 60 * clock.Second
)

var permitHash = hasher.Hasher{Salt: "permit"}

// Fleet is what an instance knows of the instances that share a limit.
type Fleet struct {
	// Self is the name of this instance; empty if it may hold no permit.
	Self string
	// Names lists all instances, this one included. All callers that have the same list pass
	// the same slice.
	Names []string
	// Reachable is the share of the instances that this instance exchanges messages with,
	// itself included.
	Reachable float64
}

// part is the part of a permit's rate that the instance may use. Of a fleet in parts that
// cannot reach each other, a majority uses the permits in full and a minority in proportion.
func (f Fleet) part() float64 {
	if f.Reachable > 0.5 {
		return 1
	}
	return f.Reachable
}

// Permit is the state of a permit as instances tell one another.
type Permit struct {
	// Turn selects the holder, and Uses is the number of requests sent in this turn.
	Turn, Uses uint64
}

// newerThan reports whether the state is newer than another one of the same permit.
func (p Permit) newerThan(other Permit) bool {
	return p.Turn > other.Turn || p.Turn == other.Turn && p.Uses > other.Uses
}

// Report is what instances tell one another about the limit of a server.
type Report struct {
	Limit backend.RateLimit
	// Version increases with each change of the limit that an instance learns of.
	Version uint64
	Permits []Permit
}

// Rationer is the limit of one incarnation of a server, and this instance's permits. Set
// Server before use. It is not safe for concurrent use.
type Rationer struct {
	Server string

	limit   backend.RateLimit
	version uint64
	// learnedAt is when this instance learned of the limit as it is now.
	learnedAt clock.Millis
	permits   []permit
}

// permit is a permit with what only this instance knows of it.
type permit struct {
	Permit
	// heardAt is when the state last changed.
	heardAt clock.Millis
	// credit is the number of requests, at most 1, that the permit allows as of creditAt, while
	// this instance holds it.
	credit   float64
	creditAt clock.Millis
	held     bool
	// self, firstName, size and turn are the fleet and the turn for which held was computed.
	self      string
	firstName *string
	size      int
	turn      uint64
}

// Limit returns the limit that the server names.
func (r *Rationer) Limit() backend.RateLimit { return r.limit }

// Observe records the limit that the server named in an answer to a request sent at sentAt.
// Only an answer to a request that was sent after the limit was learned shows that the
// limit has ended: answers may overtake each other. It reports whether the limit changed.
func (r *Rationer) Observe(limit backend.RateLimit, sentAt, now clock.Millis) bool {
	if limit == r.limit || !limit.Named && sentAt <= r.learnedAt {
		return false
	}
	r.version++
	r.set(limit, now)
	return true
}

// Merge takes over what another instance reports, as far as it is newer. It reports whether
// the limit changed.
func (r *Rationer) Merge(report Report, now clock.Millis) bool {
	changed := report.Limit != r.limit && (report.Version > r.version || report.Version == r.version && stricter(report.Limit, r.limit))
	if changed {
		r.set(report.Limit, now)
	}
	r.version = max(r.version, report.Version)
	for i, reported := range report.Permits[:min(len(report.Permits), len(r.permits))] {
		if own := &r.permits[i]; reported.newerThan(own.Permit) {
			own.Permit, own.heardAt = reported, now
		}
	}
	return changed
}

// stricter reports whether a limit allows less than another one.
func stricter(limit, other backend.RateLimit) bool {
	return limit.Named && (!other.Named || limit.PerSecond < other.PerSecond)
}

// set replaces the limit. Of a limit that begins, nothing counts as silence so far.
func (r *Rationer) set(limit backend.RateLimit, now clock.Millis) {
	begins := limit.Named && !r.limit.Named
	r.limit, r.learnedAt = limit, now
	if !limit.Named {
		return
	}
	if begins {
		for i := range r.permits {
			r.permits[i].heardAt = now
		}
	}
	for len(r.permits) < r.permitCount() {
		r.permits = append(r.permits, permit{heardAt: now})
	}
}

// Report returns what this instance tells its peers. It returns false if there is nothing to
// tell.
func (r *Rationer) Report(now clock.Millis) (Report, bool) {
	if r.version == 0 || !r.limit.Named && now-r.learnedAt >= liftedRetention {
		return Report{}, false
	}
	report := Report{Limit: r.limit, Version: r.version}
	if r.limit.Named {
		for _, p := range r.active() {
			report.Permits = append(report.Permits, p.Permit)
		}
	}
	return report, true
}

// rate returns the limit in requests per second.
func (r *Rationer) rate() float64 { return max(r.limit.PerSecond, leastRate) }

// permitCount returns the number of permits of the limit.
func (r *Rationer) permitCount() int { return int(min(leastPermits+r.rate(), maxPermits)) }

// permitRate returns the requests per second that a permit allows in a whole fleet.
func (r *Rationer) permitRate() float64 { return r.rate() / float64(r.permitCount()) }

// active returns the permits that the limit has now. Further ones are left of a higher limit.
func (r *Rationer) active() []permit { return r.permits[:r.permitCount()] }

// silence returns how long nothing may be heard of a permit.
func (r *Rationer) silence() clock.Millis {
	return silenceBase + clock.Millis(silenceIntervals*float64(clock.Second)/r.permitRate())
}

// refresh updates whether this instance holds the i-th permit, and the permit's credit. A
// permit comes to a new holder unused: its holder before had no work or was not heard of for
// longer than the credit takes to accrue.
func (r *Rationer) refresh(i int, fleet Fleet, now clock.Millis) *permit {
	p := &r.permits[i]
	turn := p.Turn + uint64(max(now-p.heardAt, 0)/r.silence())
	if p.self != fleet.Self || p.firstName != &fleet.Names[0] || p.size != len(fleet.Names) || p.turn != turn {
		held := permitHash.Best(r.item(i, turn), fleet.Names) == fleet.Self
		if held && (!p.held || p.turn != turn) {
			p.credit, p.creditAt = 1, now
		}
		p.held, p.self, p.firstName, p.size, p.turn = held, fleet.Self, &fleet.Names[0], len(fleet.Names), turn
	}
	p.credit = min(p.credit+r.permitRate()*fleet.part()*float64(now-p.creditAt)/float64(clock.Second), 1)
	p.creditAt = now
	return p
}

// item returns the name of a permit in a turn, for rendezvous hashing.
func (r *Rationer) item(i int, turn uint64) string {
	return r.Server + "/" + strconv.Itoa(i) + "/" + strconv.FormatUint(turn, 10)
}

// Allowance is what this instance may send to a server.
type Allowance struct {
	// NextAt is when the next request may be sent. It is zero if this instance holds no permit.
	NextAt clock.Millis
	// PerSecond is the rate of the permits that this instance holds, which are Held.
	PerSecond float64
	Held      int
}

// Allowance returns what this instance may send to the server, which must have a limit.
func (r *Rationer) Allowance(fleet Fleet, now clock.Millis) Allowance {
	var a Allowance
	rate := r.permitRate() * fleet.part()
	for i := range r.active() {
		p := r.refresh(i, fleet, now)
		if !p.held {
			continue
		}
		next := now
		if p.credit < 1 {
			next += max(clock.Millis((1-p.credit)/rate*float64(clock.Second)), 1)
		}
		if a.Held == 0 || next < a.NextAt {
			a.NextAt = next
		}
		a.Held++
		a.PerSecond += rate
	}
	return a
}

// Take uses a permit for one request. Allowance must have returned that a request may be sent now.
func (r *Rationer) Take(fleet Fleet, now clock.Millis) {
	for i := range r.active() {
		p := r.refresh(i, fleet, now)
		if !p.held || p.credit < 1 {
			continue
		}
		p.credit--
		p.Permit, p.heardAt = Permit{Turn: p.turn, Uses: p.usesIn(p.turn) + 1}, now
		return
	}
}

// usesIn returns the uses of the permit in a turn.
func (p *permit) usesIn(turn uint64) uint64 {
	if p.Turn != turn {
		return 0
	}
	return p.Uses
}

// PassOn passes the unused permits of this instance on if it has had no work for the server
// since lastWork for a while.
func (r *Rationer) PassOn(fleet Fleet, lastWork, now clock.Millis) {
	if now-lastWork < idleSpan || len(fleet.Names) < 2 {
		return
	}
	for i := range r.active() {
		if p := r.refresh(i, fleet, now); p.held && p.credit >= 1 {
			p.Permit, p.heardAt = Permit{Turn: p.turn + 1}, now
		}
	}
}
