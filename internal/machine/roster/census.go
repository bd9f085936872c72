package roster

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
)

// Sent counts what this instance has sent to the servers of a service since it started, without what
// they did not run.
type Sent struct {
	Requests int64
	// Work is the estimated server time of their prompts, in milliseconds.
	Work float64
}

func (s *Sent) add(work float64) {
	s.Requests++
	s.Work += work
}

func (s *Sent) remove(work float64) {
	s.Requests--
	s.Work -= work
}

// Sent returns the counts of all services.
func (r *Roster) Sent() map[declaration.ServiceName]Sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := make(map[declaration.ServiceName]Sent, len(r.services))
	for service, g := range r.services {
		sent[service] = g.sent
	}
	return sent
}

// Census describes the servers of a service in one zone.
type Census struct {
	// Present is the number of servers with an entry. During a roll-out it counts the larger side, and
	// OtherSide the smaller one.
	Present, OtherSide int
	// Mixed is set while servers of more than one release are present.
	Mixed bool
	// Ready is the number of those that take work at full speed, and Cold the number of those that do
	// after their cold start. During a roll-out both count the servers of the larger side. The rest is
	// leaving, failing or cannot be reached from here.
	Ready, Cold int
	// Busy is the number of requests that all instances have in flight at the servers, and Backlog
	// the estimated server time of their prompts that servers have not processed yet.
	Busy    int
	Backlog clock.Millis
}

// Census returns the servers of a service by zone.
func (r *Roster) Census(service declaration.ServiceName) map[declaration.ZoneName]Census {
	view := r.ViewFunc()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	zones := map[declaration.ZoneName]Census{}
	g := r.services[service]
	if g == nil {
		return zones
	}
	order, ordered := view.Rollouts[service]
	releases := map[declaration.ZoneName]backend.Release{}
	other := map[declaration.ZoneName]Census{} // the servers that run another release than the target
	for _, w := range g.rows {
		z := zones[w.info.Zone]
		if release, seen := releases[w.info.Zone]; !seen {
			releases[w.info.Zone] = w.info.Release
		} else if release != w.info.Release {
			z.Mixed = true
		}
		z.Busy += w.inFlight + w.peers.Requests
		z.Backlog += clock.Millis(w.estimatedWait(now))
		side, usable := &z, !w.leaving() && w.expiresAt == 0 && w.failureShare(now) < failingShare
		otherSide := other[w.info.Zone]
		if ordered && w.info.Release != order.Target {
			side = &otherSide
		}
		side.Present++
		switch {
		case !usable || w.unreachable:
		case w.cold(now):
			side.Cold++
		default:
			side.Ready++
		}
		zones[w.info.Zone], other[w.info.Zone] = z, otherSide
	}
	for name, o := range other {
		z := zones[name]
		z.OtherSide = o.Present
		if o.Ready+o.Cold > z.Ready+z.Cold {
			z.Present, z.OtherSide, z.Ready, z.Cold = o.Present, z.Present, o.Ready, o.Cold
		}
		zones[name] = z
	}
	return zones
}
