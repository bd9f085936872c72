package enroller_test

import (
	"fmt"
	"testing"

	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// member is an enroller with a clock that the test moves.
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

// pass moves the time in steps, as a running process does.
func (m *member) pass(span clock.Millis) {
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

// TestPausedHolder lets a holder sleep: as it wakes up it holds nothing, until the
// list has answered and a new settle time begins.
func TestPausedHolder(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b"))
	m.pass(20 * clock.Second)
	item := heldItem(t, m)
	m.now += 30 * clock.Second
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("a holder that was paused still held its duty before its first tick")
	}
	m.Tick()
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("a holder that was paused still held its duty after its first tick")
	}
	woken := m.now
	m.Apply(nil)
	if held, since := m.HoldsGuarded(item); !held || since < woken {
		t.Errorf("after the list answered: held %v since %d, want since %d or later", held, since, woken)
	}
}

// TestDutyMoves shows that a duty which moves starts a new settle time, and one that
// stays does not.
func TestDutyMoves(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b", "c"))
	m.pass(10 * clock.Second)
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

// TestCutOff drops guarded duties when neither the list nor most peers answer.
func TestCutOff(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b", "c"))
	m.pass(10 * clock.Second)
	item := heldItem(t, m)
	tickOnly := func(span clock.Millis) {
		for end := m.now + span; m.now < end; m.now += 200 {
			m.Tick()
		}
	}
	tickOnly(enroller.MaxListAge + clock.Second)
	if held, _ := m.HoldsGuarded(item); held {
		t.Error("an instance that hears nobody holds a duty")
	}
	m.RecordContact("b", "b.1")
	if held, _ := m.HoldsGuarded(item); !held {
		t.Error("an instance that hears most others lost its duty in an outage of the list")
	}
}

// TestAlive tells a replaced or silent process from a living one.
func TestAlive(t *testing.T) {
	m := newMember("a")
	m.Apply(live("a", "b"))
	m.RecordContact("b", "b.1")
	if !m.Alive("b.1") {
		t.Error("a process that has just answered is not alive")
	}
	m.RecordContact("b", "b.2")
	if m.Alive("b.1") {
		t.Error("a process whose instance runs another one is alive")
	}
	m.pass(2 * clock.Minute)
	if m.Alive("b.2") {
		t.Error("a process that was silent for minutes is alive")
	}
}
