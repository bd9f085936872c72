package roster

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/apportioner"
	"example.com/dotterelwell/internal/zone/rationer"
)

const (
	// brittleRampStep is the time in which the bounds of a service's servers double after the last of them has
	// ceased to be brittle, and brittleRampSteps the number of doublings after which there is no bound.
	brittleRampStep  = clock.Second
	brittleRampSteps = 6
	// joinDelay is how long an instance that has just started sends nothing to brittle servers.
	joinDelay = 3 * clock.Second
	// maxBrittleReports bounds the reports on brittle servers in one message to a peer.
	maxBrittleReports = 256
)

func (w *row) brittle() bool { return w.apportioner != nil && w.apportioner.Brittleness().Named }

// apportioned returns the row's apportioner, and makes it if the row has none.
func (w *row) apportioned() *apportioner.Apportioner {
	if w.apportioner == nil {
		w.apportioner = &apportioner.Apportioner{Server: string(w.info.ID)}
	}
	w.apportioner.Slots = w.info.Slots
	return w.apportioner
}

func (w *row) load() apportioner.Load {
	return apportioner.Load{Own: w.inFlight, Peers: w.peers.Requests}
}

// updateBrittle records whether servers of the service say that they are brittle, and returns by what their bounds
// are multiplied now; zero stands for no bound.
func (g *group) updateBrittle(now clock.Millis) int {
	for _, w := range g.rows {
		if w.brittle() {
			g.brittleAt = now
			return 1
		}
	}
	if steps := (now - g.brittleAt) / brittleRampStep; g.brittleAt > 0 && steps < brittleRampSteps {
		return 1 << steps
	}
	return 0
}

// withinBrittleBound reports whether the server may get another request of this instance while servers of its service
// are brittle. factor is what updateBrittle returned.
func (r *Roster) withinBrittleBound(w *row, factor int, fleet rationer.Fleet, now clock.Millis) bool {
	if factor == 0 {
		return true
	}
	if len(fleet.Names) == 0 || len(fleet.Names) > 1 && !r.joined(now) {
		return false
	}
	return w.apportioned().MaySend(fleet, w.load(), factor, now)
}

// joined reports whether this instance has run for a while and heard from a peer, so that it knows which permits the
// others use.
func (r *Roster) joined(now clock.Millis) bool {
	return r.heardPeer && now-r.startedAt >= joinDelay
}

// observeBrittleness records what a server said in its answer, and whether it rejected the request. The lock must be
// held.
func (r *Roster) observeBrittleness(s *Slot, status ServerStatus, now clock.Millis) {
	w := s.row
	before := w.brittle()
	g := r.services[w.info.Service]
	if (status.Brittleness.Named || status.Served && before) && w.apportioned().Observe(status.Brittleness, s.acquiredAt, now) {
		w.logBrittleness(before, "its own answer", now)
		r.beginBrittle(g, now)
	}
	if status.Rejected && !w.leaving() && g.updateBrittle(now) != 0 {
		r.recordRejection(w, s.acquiredAt, now)
	}
}

// beginBrittle tells the peers if the first server of a service has said that it is brittle. The lock must be held.
func (r *Roster) beginBrittle(g *group, now clock.Millis) {
	first := g.brittleAt == 0 || now-g.brittleAt >= brittleRampSteps*brittleRampStep
	if first && g.updateBrittle(now) != 0 && r.OnBrittle != nil {
		r.OnBrittle()
	}
}

// recordRejection records that a brittle server rejected a request sent at sentAt. The lock must be held.
func (r *Roster) recordRejection(w *row, sentAt, now clock.Millis) {
	lowered := w.apportioned().Reject(sentAt, now)
	if lowered {
		klog.InfoS("Brittle server rejects a request", "server", w.info.ID, "service", w.info.Service, "bound", w.apportioner.Bound(now),
			"own", w.inFlight, "peers", w.peers.Requests, "rejections-per-second", w.apportioner.Brittleness().RejectionsPerSecond)
	}
	if r.OnBrittleRejection != nil {
		r.OnBrittleRejection(w.info.Service, lowered)
	}
}

func (w *row) logBrittleness(before bool, source string, now clock.Millis) {
	b := w.apportioner.Brittleness()
	klog.InfoS("Server changes whether it is brittle", "server", w.info.ID, "service", w.info.Service, "brittle", b.Named, "before", before,
		"rejections-per-second", b.RejectionsPerSecond, "bound", w.apportioner.Bound(now), "source", source)
}

// keepBrittlePermits gives signs of life for this instance's permits of brittle servers. The lock must be held.
func (r *Roster) keepBrittlePermits(now clock.Millis) {
	for _, g := range r.services {
		if g.updateBrittle(now) == 0 {
			continue
		}
		fleet := r.fleet()
		if len(fleet.Names) == 0 || fleet.Self == "" || len(fleet.Names) > 1 && !r.joined(now) {
			continue
		}
		for _, w := range g.rows {
			w.apportioned().Keep(fleet, w.load(), g.lastWantedAt, now)
		}
	}
}

// BrittleReport is what instances tell one another about a brittle server.
type BrittleReport struct {
	Server backend.Incarnation
	Report apportioner.Report
}

// BrittleReports returns what this instance tells its peers about brittle servers.
func (r *Roster) BrittleReports() []BrittleReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var reports []BrittleReport
	for _, w := range r.rows {
		if w.apportioner == nil || len(reports) == maxBrittleReports {
			continue
		}
		if report, found := w.apportioner.Report(now); found {
			reports = append(reports, BrittleReport{Server: w.info.Incarnation(), Report: report})
		}
	}
	return reports
}

// MergeBrittle takes over what a peer reports about brittle servers. It is also called if the peer reports nothing.
func (r *Roster) MergeBrittle(reports []BrittleReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardPeer = true
	now := r.Clock.Now()
	for _, reported := range reports {
		w := r.rowOf(reported.Server)
		if w == nil {
			continue // the peer repeats the report while the server is brittle
		}
		before := w.brittle()
		if w.apportioned().Merge(reported.Report, now) {
			w.logBrittleness(before, "a peer", now)
			r.services[w.info.Service].updateBrittle(now) // it need not be told on at once
		}
	}
}
