package roster

import (
	"slices"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/rationer"
)

// maxLimitReports bounds the reports on limits in one message to a peer.
const maxLimitReports = 256

// limit returns the rate limit that the server names.
func (w *row) limit() backend.RateLimit {
	if w.rationer == nil {
		return backend.RateLimit{}
	}
	return w.rationer.Limit()
}

func (w *row) limited() bool { return w.limit().Named }

// allowance returns what this instance may send to the server.
func (w *row) allowance(fleet rationer.Fleet, now clock.Millis) rationer.Allowance {
	if !w.limited() {
		return rationer.Allowance{NextAt: now, Held: 1}
	}
	a := w.rationer.Allowance(fleet, now)
	if a.Held != w.permitsHeld {
		klog.InfoS("Share of a server's rate limit changes", "server", w.info.ID, "permits", a.Held, "before", w.permitsHeld, "per-second", a.PerSecond,
			"limit", w.limit().PerSecond, "instances", len(fleet.Names), "reachable", fleet.Reachable)
		w.permitsHeld = a.Held
	}
	return a
}

// rationed returns the row's rationer, and makes it if the row has none.
func (w *row) rationed() *rationer.Rationer {
	if w.rationer == nil {
		w.rationer = &rationer.Rationer{Server: string(w.info.ID)}
	}
	return w.rationer
}

// observeLimit records the limit that the server named in the answer to a request sent at sentAt.
func (w *row) observeLimit(limit backend.RateLimit, sentAt, now clock.Millis) {
	if w.rationer == nil && !limit.Named {
		return
	}
	before := w.limit()
	if w.rationed().Observe(limit, sentAt, now) {
		w.recordLimitChange(before, "its own answer", now)
	}
}

// recordLimitChange logs a change of the limit, with what this instance has sent the server
// since it began to name one.
func (w *row) recordLimitChange(before backend.RateLimit, source string, now clock.Millis) {
	if !before.Named {
		w.limitedSince, w.sentWhileLimited = now, 0
	}
	limit := w.limit()
	klog.InfoS("Server changes its rate limit", "server", w.info.ID, "service", w.info.Service, "named", limit.Named, "per-second", limit.PerSecond,
		"before", before.PerSecond, "source", source, "limited-ms", now-w.limitedSince, "sent-meanwhile", w.sentWhileLimited)
}

// counted reports whether this instance has a part in the limits of servers.
func (r *Roster) counted() bool { return r.CountedFunc == nil || r.CountedFunc() }

// fleet returns what this instance knows of the instances that share the servers' limits. The
// lock must be held.
func (r *Roster) fleet() rationer.Fleet {
	fleet := r.reachable
	if fleet.Names == nil {
		fleet = rationer.Fleet{Names: r.InstancesFunc(), Reachable: 1}
	}
	if r.counted() {
		fleet.Self = string(r.Instance)
	}
	return fleet
}

// SetReachable sets the names of the instances that share the servers' limits as far as this
// instance reaches them, itself included, and their share of all instances.
func (r *Roster) SetReachable(names []string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(names, r.reachable.Names) {
		names = r.reachable.Names
	}
	r.reachable = rationer.Fleet{Names: names, Reachable: share}
}

// useLimit uses one request of a limited server's limit. The lock must be held.
func (r *Roster) useLimit(w *row, now clock.Millis) {
	if !w.limited() {
		return
	}
	w.rationer.Take(r.fleet(), now)
	w.sentWhileLimited++
	if r.OnLimitedSend != nil {
		r.OnLimitedSend(w.info.Service)
	}
}

// passOnPermits passes permits of limited servers on that this instance has no work for. The
// lock must be held.
func (r *Roster) passOnPermits(now clock.Millis) {
	var fleet rationer.Fleet
	for _, w := range r.rows {
		if !w.limited() {
			continue
		}
		if fleet.Names == nil {
			fleet = r.fleet()
		}
		w.rationer.PassOn(fleet, r.services[w.info.Service].lastWantedAt, now)
	}
}

// LimitReport is what instances tell one another about the limit of one incarnation of a server.
type LimitReport struct {
	Server backend.Incarnation
	Report rationer.Report
}

// LimitReports returns what this instance tells its peers about the limits of servers.
func (r *Roster) LimitReports() []LimitReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var reports []LimitReport
	for _, w := range r.rows {
		if w.rationer == nil || len(reports) == maxLimitReports {
			continue
		}
		if report, found := w.rationer.Report(now); found {
			reports = append(reports, LimitReport{Server: w.info.Incarnation(), Report: report})
		}
	}
	return reports
}

// MergeLimits takes over what a peer reports about the limits of servers.
func (r *Roster) MergeLimits(reports []LimitReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, reported := range reports {
		w := r.rowOf(reported.Server)
		if w == nil {
			continue // the peer repeats the report while the server has a limit
		}
		before := w.limit()
		if w.rationed().Merge(reported.Report, now) {
			w.recordLimitChange(before, "a peer", now)
		}
	}
}
