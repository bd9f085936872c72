package enroller_test

import (
	"fmt"
	"testing"

	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// member is an enroller whose clock the test sets.
type member struct {
	*enroller.Enroller
	now clock.Millis
}

func newMember(id ident.Instance) *member {
	m := &member{now: clock.Hour}
	m.Enroller = &enroller.Enroller{
		Clock: &clock.Clock{NowFunc: func() clock.Millis { return m.now }}, Instance: id, Incarnation: ident.Incarnation(id) + ".1", Zone: "z",
	}
	m.Tick()
	return m
}

// advance moves the clock in steps of 200 ms and calls Tick and Apply at each, as a running
// process does.
func (m *member) advance(span clock.Millis) {
	for end := m.now + span; m.now < end; m.now += 200 {
		m.Tick()
		m.Apply(nil)
	}
}

func live(ids ...string) []lister.Instance {
	var list []lister.Instance
	for _, id := range ids {
		list = append(list, lister.Instance{ID: id, State: lister.StateLive, Role: lister.RoleEntry, Address: "10.0.0.1:80"})
	}
	return list
}

// heldItem returns an item whose duty the member holds.
func heldItem(t *testing.T, m *member) string {
	t.Helper()
	for i := range 1000 {
		item := fmt.Sprintf("server-%d", i)
		if held, _ := m.HoldsGuarded(item); held {
			return item
		}
	}
	t.Fatal("the member holds no duty")
	return ""
}

// TestPausedHolder guards against a paused process that still acts as holder of a guarded
// duty: after the pause it must not hold the duty until the list has been read again, and
// the time since which it holds the duty starts anew.
func TestPausedHolder(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b"))
	m.advance(20 * clock.Second)
	item := heldItem(t, m)
	m.now += 30 * clock.Second
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("a holder that was paused still held its duty before its first tick")
	}
	m.Tick()
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("a holder that was paused still held its duty after its first tick")
	}
	resumedAt := m.now
	m.Apply(nil)
	if held, since := m.HoldsGuarded(item); !held || since < resumedAt {
		t.Errorf("after the list answered: held %v since %d, want since %d or later", held, since, resumedAt)
	}
}

// TestDutyMoves checks that the time since which a duty is held starts anew when the duty
// moves to another instance, and is kept when it stays.
func TestDutyMoves(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b", "c"))
	m.advance(10 * clock.Second)
	item := heldItem(t, m)
	_, before := m.HoldsGuarded(item)
	m.Apply([]lister.Instance{{ID: "c", State: lister.StateGone}})
	if held, since := m.HoldsGuarded(item); !held || since != before {
		t.Errorf("a duty that stayed: held %v since %d, want since %d", held, since, before)
	}
	changed := m.now
	m.Apply([]lister.Instance{{ID: "b", State: lister.StateGone}})
	for i := range 100 {
		held, since := m.HoldsGuarded(fmt.Sprintf("server-%d", i))
		if !held {
			t.Fatalf("the only instance does not hold the duty for server-%d", i)
		}
		if since != before && since != changed {
			t.Errorf("duty for server-%d since %d, want %d or %d", i, since, before, changed)
		}
	}
}

// TestCutOff checks that an instance holds no guarded duty when neither the list nor most
// peers have answered within MaxListAge.
func TestCutOff(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b", "c"))
	m.advance(10 * clock.Second)
	item := heldItem(t, m)
	tickOnly := func(span clock.Millis) {
		for end := m.now + span; m.now < end; m.now += 200 {
			m.Tick()
		}
	}
	tickOnly(enroller.MaxListAge + clock.Second)
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("an instance without contact to the list or peers holds a guarded duty")
	}
	m.RecordContact("b", "b.1")
	if held, _ := m.HoldsGuarded(item); !held {
		t.Error("an instance in contact with most others lost its duty in an outage of the list")
	}
}

// TestAlive checks that a process counts as gone when its instance runs another process or
// when no message came from it for minutes.
func TestAlive(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b"))
	m.RecordContact("b", "b.1")
	if !m.Alive("b.1") {
		t.Error("a process that has just answered counts as gone")
	}
	m.RecordContact("b", "b.2")
	if m.Alive("b.1") {
		t.Error("a process whose instance has restarted counts as alive")
	}
	m.advance(2 * clock.Minute)
	if m.Alive("b.2") {
		t.Error("a process without contact for minutes counts as alive")
	}
}
