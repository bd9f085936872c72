package demander_test

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

type member struct {
	demander.Demander
	sent roster.Sent
}

func newMember(now *clock.Millis, zone declaration.ZoneName) *member {
	m := &member{}
	m.Clock, m.Zone = &clock.Clock{NowFunc: func() clock.Millis { return *now }}, zone
	m.SentFunc = func() map[declaration.ServiceName]roster.Sent {
		return map[declaration.ServiceName]roster.Sent{"llm": m.sent, "plain": m.sent}
	}
	m.ServicesFunc = func() []declaration.ServiceName { return []declaration.ServiceName{"llm"} }
	return m
}

// TestTotals guards against a holder that orders servers for the requests of its own zone only. Two
// instances of zone a and one of zone b tell a third of zone a what they send, through the zones'
// watchers; each report is counted once, and services that are not scaled are left out. The same holds
// where the watcher is the holder.
func TestTotals(t *testing.T) {
	now := clock.Millis(1000)
	watcher, follower, holder := newMember(&now, "a"), newMember(&now, "a"), newMember(&now, "a")
	other := newMember(&now, "b")
	all := []*member{watcher, follower, holder, other}
	for range 16 {
		for i, m := range all {
			m.sent.Requests += int64(i + 1)
			m.sent.Work += 100
			m.Sample()
		}
		now += 250
	}
	inZone := func(instance ident.Instance) bool { return instance == "follower" || instance == "holder" }
	watcher.Record("follower", follower.Own())
	watcher.Record("holder", holder.Own())
	watcher.Record("other", other.Own()) // counted in the sum of its own zone
	watcher.RecordZones(other.OwnZone(func(ident.Instance) bool { return false }))
	holder.RecordZones(watcher.Zones(inZone))
	holder.RecordZones(watcher.Zones(inZone))

	total := holder.Total(true, inZone)
	if total.Instances != 4 || len(total.Services) != 1 {
		t.Errorf("total of %d instances and services %v", total.Instances, total.Services)
	}
	if got := total.Services["llm"]; got != (demander.Demand{Requests: 8 * (1 + 2 + 3 + 4), Work: 4 * 800}) {
		t.Errorf("demand %+v", got)
	}
	if total := watcher.Total(true, inZone); total.Instances != 4 {
		t.Errorf("the watcher of the zone counts %d instances", total.Instances)
	}
	now += 4 * clock.Second
	if total := holder.Total(true, inZone); total.Instances > 1 {
		t.Errorf("expired sums count as %d instances", total.Instances)
	}
}

// TestSilentPeers has a holder that hears of half of its peers: the number of reports must say so.
func TestSilentPeers(t *testing.T) {
	now := clock.Millis(1000)
	holder, peer := newMember(&now, "a"), newMember(&now, "a")
	for _, name := range []ident.Instance{"p1", "p2", "p3", "p4"} {
		holder.Record(name, peer.Own())
	}
	if n := holder.Total(false, nil).Instances; n != 5 {
		t.Errorf("%d reports, want 5", n)
	}
	now += 2 * clock.Second
	holder.Record("p1", peer.Own())
	holder.Record("p2", peer.Own())
	now += 1500
	if n := holder.Total(false, nil).Instances; n != 3 {
		t.Errorf("%d reports after two peers fell silent, want 3", n)
	}
}

// TestNothingScaled sends nothing where no service's servers are ordered.
func TestNothingScaled(t *testing.T) {
	now := clock.Millis(1000)
	m := newMember(&now, "a")
	m.ServicesFunc = func() []declaration.ServiceName { return nil }
	m.Sample()
	if m.Own() != nil || m.Zones(func(ident.Instance) bool { return true }) != nil {
		t.Error("a report is sent although the fleet orders no servers")
	}
}

// TestStart reports less than the demand of a whole window in the first second, not more: the first
// requests of a process say little about a rate.
func TestStart(t *testing.T) {
	now := clock.Millis(1000)
	m := newMember(&now, "a")
	m.Sample()
	m.sent = roster.Sent{Requests: 10, Work: 500}
	now += 250
	m.Sample()
	if got := m.Own().Services["llm"]; got != (demander.Demand{Requests: 10, Work: 500}) {
		t.Errorf("demand %+v after the first requests", got)
	}
}
