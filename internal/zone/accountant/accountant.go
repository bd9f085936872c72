// Package accountant sums the load that all instances put on backend servers.
//
// In a small fleet every instance receives the load reports of every other. In a large
// fleet the watchers of each zone receive the reports of the zone's instances, add them
// up, and exchange the zone sums. The other instances get the sums from a watcher of their
// zone and subtract their own load.
package accountant

import (
	"maps"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// maxReportAge is the age at which a report expires. It spans several gossip rounds between
// instances.
const maxReportAge = 3 * clock.Second

// Loads holds the load of each server; servers without load are omitted.
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

// Sum is the total load of the instances of one zone.
type Sum struct {
	Loads Loads
	// Age is the time since the zone's watcher computed the sum.
	Age clock.Millis
}

// Accountant holds the reports of instances and the sums of zones. Set the exported fields
// before use.
type Accountant struct {
	Clock    *clock.Clock
	Instance ident.Instance
	Zone     declaration.ZoneName

	mu      sync.Mutex
	reports map[ident.Instance]report
	sums    map[declaration.ZoneName]report
	// reported is the load that this instance last sent to a watcher of its zone.
	reported Loads
}

type report struct {
	loads Loads
	at    clock.Millis
}

// RecordLoads records the loads that one instance reports.
func (a *Accountant) RecordLoads(instance ident.Instance, loads Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reports == nil {
		a.reports = map[ident.Instance]report{}
	}
	a.reports[instance] = report{loads: loads, at: a.Clock.Now()}
}

// RecordSums records the sums of zones. For each zone the newer of the held and the given
// sum is kept.
func (a *Accountant) RecordSums(sums map[declaration.ZoneName]Sum) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sums == nil {
		a.sums = map[declaration.ZoneName]report{}
	}
	for zone, s := range sums {
		if at := a.Clock.Now() - s.Age; at > a.sums[zone].at {
			a.sums[zone] = report{loads: s.Loads, at: at}
		}
	}
}

// SetReported records the loads that this instance reports to a watcher of its zone.
func (a *Accountant) SetReported(own Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = own
}

// InstanceLoads returns the sum of the loads that other instances reported to this one.
func (a *Accountant) InstanceLoads() Loads {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sumFresh()
}

// sumFresh adds up the reports of single instances and deletes expired ones. The caller
// must hold the lock.
func (a *Accountant) sumFresh() Loads {
	now := a.Clock.Now()
	total := Loads{}
	for instance, r := range a.reports {
		if now-r.at >= maxReportAge {
			delete(a.reports, instance)
			continue
		}
		total.add(r.loads)
	}
	return total
}

// Sums returns the unexpired sums of all zones. It computes the sum of this instance's zone
// from own, the loads of this instance, and the reports of the other instances for which
// inZone returns true.
func (a *Accountant) Sums(own Loads, inZone func(ident.Instance) bool) map[declaration.ZoneName]Sum {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	sums := map[declaration.ZoneName]Sum{}
	for zone, s := range a.sums {
		if zone != a.Zone && now-s.at < maxReportAge {
			sums[zone] = Sum{Loads: s.loads, Age: now - s.at}
		}
	}
	total := maps.Clone(own)
	if total == nil {
		total = Loads{}
	}
	for instance, r := range a.reports {
		if inZone(instance) && now-r.at < maxReportAge {
			total.add(r.loads)
		}
	}
	sums[a.Zone] = Sum{Loads: total}
	return sums
}

// PeerLoads returns the loads of all other instances according to the zone sums, and the mean
// age of the sums.
func (a *Accountant) PeerLoads() (Loads, clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	total := Loads{}
	age, zones := clock.Millis(0), clock.Millis(0)
	for zone, s := range a.sums {
		if now-s.at >= maxReportAge {
			continue
		}
		if zone != a.Zone {
			total.add(s.loads)
		} else {
			rest := maps.Clone(s.loads)
			rest.subtract(a.reported)
			total.add(rest)
		}
		age += now - s.at
		zones++
	}
	return total, age / max(zones, 1)
}
