// Package demander adds up the demand that all instances see for the servers of each service.
//
// Each instance samples what it sends. In a small fleet every instance receives the demand of every
// other. In a large fleet the store watchers of each zone receive the demand of the zone's instances
// and add it up, and the zones' sums reach every instance, as those of package accountant do.
package demander

import (
	"maps"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

const (
	// Window is the time over which an instance counts its demand.
	Window = 2 * clock.Second
	// sampleEvery is the least time between two samples.
	sampleEvery = Window / 8
	// maxReportAge is the age at which a report expires. It spans several gossip rounds.
	maxReportAge = 3 * clock.Second
)

// Demand is what instances sent to the servers of a service within Window.
type Demand struct {
	Requests int
	// Work is the estimated server time of the prompts.
	Work clock.Millis
}

// Report is the demand that a number of instances see, for each service whose servers the fleet
// orders.
type Report struct {
	Instances int
	Services  map[declaration.ServiceName]Demand
	// Age is the time since the report was made.
	Age clock.Millis
}

func (r *Report) add(other Report) {
	r.Instances += other.Instances
	for service, d := range other.Services {
		if r.Services == nil {
			r.Services = map[declaration.ServiceName]Demand{}
		}
		sum := r.Services[service]
		r.Services[service] = Demand{Requests: sum.Requests + d.Requests, Work: sum.Work + d.Work}
	}
}

// Demander holds the demand of this instance and the reports of others. Set the exported fields before
// use.
type Demander struct {
	Clock *clock.Clock
	Zone  declaration.ZoneName
	// SentFunc returns what this instance has sent since it started.
	SentFunc func() map[declaration.ServiceName]roster.Sent
	// ServicesFunc returns the services whose servers the fleet orders. While there are none, nothing
	// is counted or sent.
	ServicesFunc func() []declaration.ServiceName

	mu      sync.Mutex
	samples []sample
	reports map[ident.Instance]report
	zones   map[declaration.ZoneName]report
}

type sample struct {
	at   clock.Millis
	sent map[declaration.ServiceName]roster.Sent
}

type report struct {
	Report
	at clock.Millis
}

// Sample counts what this instance sends. It is called a few times a second.
func (d *Demander) Sample() {
	if len(d.ServicesFunc()) == 0 {
		return
	}
	now, sent := d.Clock.Now(), d.SentFunc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.samples); n > 0 && now-d.samples[n-1].at < sampleEvery {
		return
	}
	d.samples = append(d.samples, sample{now, sent})
	for len(d.samples) > 2 && now-d.samples[1].at >= Window {
		d.samples = d.samples[1:]
	}
}

// Own returns the demand that this instance sees, nil while the fleet orders no servers.
func (d *Demander) Own() *Report {
	services := d.ServicesFunc()
	if len(services) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	own := &Report{Instances: 1, Services: map[declaration.ServiceName]Demand{}}
	if len(d.samples) < 2 {
		return own
	}
	first, last := d.samples[0], d.samples[len(d.samples)-1]
	scale := float64(Window) / float64(max(last.at-first.at, Window))
	for _, service := range services {
		before, after := first.sent[service], last.sent[service]
		if demand := (Demand{
			Requests: int(float64(max(after.Requests-before.Requests, 0))*scale + 0.5),
			Work:     clock.Millis(max(after.Work-before.Work, 0)*scale + 0.5),
		}); demand != (Demand{}) {
			own.Services[service] = demand
		}
	}
	return own
}

// Record records the demand that another instance sees.
func (d *Demander) Record(instance ident.Instance, own *Report) {
	if own == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports == nil {
		d.reports = map[ident.Instance]report{}
	}
	d.reports[instance] = report{*own, d.Clock.Now() - own.Age}
}

// RecordZones records the sums of zones. For each zone the newer of the held and the given sum is kept.
func (d *Demander) RecordZones(sums map[declaration.ZoneName]Report) {
	if len(sums) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zones == nil {
		d.zones = map[declaration.ZoneName]report{}
	}
	for zone, sum := range sums {
		if at := d.Clock.Now() - sum.Age; at > d.zones[zone].at {
			d.zones[zone] = report{sum, at}
		}
	}
}

// OwnZone returns the sum of this instance's zone, from the reports of the instances for which inZone
// returns true; nil while the fleet orders no servers.
func (d *Demander) OwnZone(inZone func(ident.Instance) bool) map[declaration.ZoneName]Report {
	own := d.Own()
	if own == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addReports(own, d.Clock.Now(), inZone)
	return map[declaration.ZoneName]Report{d.Zone: *own}
}

// Zones returns the sum of this instance's zone, as OwnZone does, and the unexpired sums of all others.
func (d *Demander) Zones(inZone func(ident.Instance) bool) map[declaration.ZoneName]Report {
	sums := d.OwnZone(inZone)
	if sums == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for zone, sum := range d.freshZones(d.Clock.Now()) {
		if zone != d.Zone {
			sums[zone] = sum
		}
	}
	return sums
}

func (d *Demander) freshZones(now clock.Millis) map[declaration.ZoneName]Report {
	maps.DeleteFunc(d.zones, func(_ declaration.ZoneName, r report) bool { return now-r.at >= maxReportAge })
	sums := map[declaration.ZoneName]Report{}
	for zone, r := range d.zones {
		sum := r.Report
		sum.Age = now - r.at
		sums[zone] = sum
	}
	return sums
}

func (d *Demander) addReports(total *Report, now clock.Millis, included func(ident.Instance) bool) {
	maps.DeleteFunc(d.reports, func(_ ident.Instance, r report) bool { return now-r.at >= maxReportAge })
	for instance, r := range d.reports {
		if included(instance) {
			total.add(r.Report)
		}
	}
}

// Total returns the demand that all instances see. large is set in a large fleet, whose sums are used.
// There, the sum of this instance's zone comes from the zone's watcher, or from the reports that this
// instance received as such, whichever holds more. Instances tells how many reports the total includes.
func (d *Demander) Total(large bool, inZone func(ident.Instance) bool) Report {
	if !large {
		inZone = func(ident.Instance) bool { return true }
	}
	zone := d.OwnZone(inZone)
	if zone == nil {
		return Report{}
	}
	total := zone[d.Zone]
	if !large {
		return total
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sums := d.freshZones(d.Clock.Now())
	if sums[d.Zone].Instances > total.Instances {
		total = Report{}
		total.add(sums[d.Zone])
	}
	for name, sum := range sums {
		if name != d.Zone {
			total.add(sum)
		}
	}
	return total
}
