// Package accountant sums what all instances have at backend servers.
//
// In a small fleet every instance hears of every other. In a large one, the watchers
// of each zone hear of its instances, sum that up, and exchange the sums of zones; the
// others take the sums from a watcher of theirs and leave out their own part.
package accountant

import (
	"maps"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// freshSpan is how long a statement counts. It is several rounds between instances.
const freshSpan = 3 * clock.Second

// Loads holds what is at each server; servers without anything are left out.
type Loads map[ident.Server]roster.Load

func (l Loads) add(other Loads) {
	for server, load := range other {
		sum := l[server]
		sum.Requests += load.Requests
		sum.Pending += load.Pending
		l[server] = sum
	}
}

func (l Loads) subtract(other Loads) {
	for server, load := range other {
		rest := l[server]
		rest.Requests = max(rest.Requests-load.Requests, 0)
		rest.Pending = max(rest.Pending-load.Pending, 0)
		if rest == (roster.Load{}) {
			delete(l, server)
			continue
		}
		l[server] = rest
	}
}

// Sum is the loads of one zone's instances.
type Sum struct {
	Loads Loads
	// Age is how old the sum is.
	Age clock.Millis
}

// Accountant holds the statements. Set the exported fields before use.
type Accountant struct {
	Clock    *clock.Clock
	Instance ident.Instance
	Zone     declaration.ZoneName

	mu    sync.Mutex
	parts map[ident.Instance]statement
	sums  map[declaration.ZoneName]statement
	// stated is what this instance last told a watcher of its zone.
	stated Loads
}

type statement struct {
	loads Loads
	at    clock.Millis
}

// RecordLoads takes in what one instance has.
func (a *Accountant) RecordLoads(instance ident.Instance, loads Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.parts == nil {
		a.parts = map[ident.Instance]statement{}
	}
	a.parts[instance] = statement{loads: loads, at: a.Clock.Now()}
}

// RecordSums takes in the sums of zones, the newer ones of each.
func (a *Accountant) RecordSums(sums map[declaration.ZoneName]Sum) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sums == nil {
		a.sums = map[declaration.ZoneName]statement{}
	}
	for zone, s := range sums {
		if at := a.Clock.Now() - s.Age; at > a.sums[zone].at {
			a.sums[zone] = statement{loads: s.Loads, at: at}
		}
	}
}

// SetReported remembers what this instance tells a watcher of its zone.
func (a *Accountant) SetReported(own Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stated = own
}

// InstanceLoads returns the sum of what other instances were heard to have, one by one.
func (a *Accountant) InstanceLoads() Loads {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fresh()
}

// fresh sums the fresh statements of single instances. The lock must be held.
func (a *Accountant) fresh() Loads {
	now := a.Clock.Now()
	total := Loads{}
	for instance, s := range a.parts {
		if now-s.at >= freshSpan {
			delete(a.parts, instance)
			continue
		}
		total.add(s.loads)
	}
	return total
}

// Sums returns the sums of all zones, that of the own one from its instances' own
// statements. members are the instances of the zone.
func (a *Accountant) Sums(own Loads, members func(ident.Instance) bool) map[declaration.ZoneName]Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	sums := map[declaration.ZoneName]Sum{}
	for zone, s := range a.sums {
		if zone != a.Zone && now-s.at < freshSpan {
			sums[zone] = Sum{Loads: s.loads, Age: now - s.at}
		}
	}
	total := maps.Clone(own)
	if total == nil {
		total = Loads{}
	}
	for instance, s := range a.parts {
		if members(instance) && now-s.at < freshSpan {
			total.add(s.loads)
		}
	}
	sums[a.Zone] = Sum{Loads: total}
	return sums
}

// PeerLoads returns what all other instances have by the sums of zones, and their mean age.
func (a *Accountant) PeerLoads() (Loads, clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	total := Loads{}
	age, zones := clock.Millis(0), clock.Millis(0)
	for zone, s := range a.sums {
		if now-s.at >= freshSpan {
			continue
		}
		if zone != a.Zone {
			total.add(s.loads)
		} else {
			rest := maps.Clone(s.loads)
			rest.subtract(a.stated)
			total.add(rest)
		}
		age += now - s.at
		zones++
	}
	return total, age / max(zones, 1)
}
