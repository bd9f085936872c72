package registrar_test

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/warmer"
)

var version = declaration.Ref{Model: "m", Version: "1"}

func engine(id string, state lister.State, address ident.Address) lister.Instance {
	return lister.Instance{ID: id, State: state, Role: lister.RoleEngine, Zone: "z", Address: address, Versions: []declaration.Ref{version}}
}

// newTable returns a table whose instance holds every warming duty.
func newTable() (*registrar.Registrar, *warmer.Warmer) {
	now := clock.Hour
	c := &clock.Clock{NowFunc: func() clock.Millis { now += 10; return now }}
	w := &warmer.Warmer{Clock: c, DutyFunc: func(ident.Server) warmer.Duty { return warmer.Duty{Held: true} }}
	return &registrar.Registrar{Clock: c, Zone: "z", Warmer: w, ViewFunc: func() *keeper.View { return &keeper.View{} }}, w
}

// TestRenewedServer checks that a warm server counts as cold when it returns after it was gone,
// or with another address.
func TestRenewedServer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		changes []lister.Instance
		cold    bool
	}{
		{"listed again", []lister.Instance{engine("e", lister.StateLive, "10.0.0.1:80")}, false},
		{"leaving and back", []lister.Instance{engine("e", lister.StateLeaving, "10.0.0.1:80"), engine("e", lister.StateLive, "10.0.0.1:80")}, false},
		{"gone and back", []lister.Instance{engine("e", lister.StateGone, ""), engine("e", lister.StateLive, "10.0.0.1:80")}, true},
		{"another address", []lister.Instance{engine("e", lister.StateLive, "10.0.0.2:80")}, true},
	} {
		r, w := newTable()
		r.Apply([]lister.Instance{engine("e", lister.StateLive, "10.0.0.1:80")})
		w.MarkWarm("e", 1)
		for _, change := range tt.changes {
			r.Apply([]lister.Instance{change})
		}
		if cold := !w.Warm("e"); cold != tt.cold {
			t.Errorf("%s: cold %v, want %v", tt.name, cold, tt.cold)
		}
	}
}

// TestStaleWarmth checks that a report of warmth is ignored if it was requested before the server
// became cold.
func TestStaleWarmth(t *testing.T) {
	r, w := newTable()
	r.Apply([]lister.Instance{engine("e", lister.StateLive, "10.0.0.1:80")})
	w.MarkWarm("e", 1)
	asked := r.Epoch("10.0.0.1:80")
	w.MarkCold("e")
	r.Report("10.0.0.1:80", chat.Load{State: chat.LoadWarm}, asked)
	if w.Warm("e") {
		t.Error("an old report of warmth made a cold server warm")
	}
	r.Report("10.0.0.1:80", chat.Load{State: chat.LoadWarm}, r.Epoch("10.0.0.1:80"))
	if !w.Warm("e") {
		t.Error("a report of the current epoch did not make the server warm")
	}
}

// TestColdRoom checks that a cold server gets no more requests than its limit, and that an
// excluded server is used again only when all servers have been tried.
func TestColdRoom(t *testing.T) {
	r, w := newTable()
	r.Apply([]lister.Instance{engine("a", lister.StateLive, "10.0.0.1:80"), engine("b", lister.StateLive, "10.0.0.2:80")})
	first, err := r.Acquire(registrar.Want{Version: version, Exclude: []ident.Server{"b"}})
	if err != nil || first.Server != "a" || !first.Cold {
		t.Fatalf("slot %+v, error %v", first, err)
	}
	if _, err := r.Acquire(registrar.Want{Version: version, Exclude: []ident.Server{"b"}}); registrar.KindOf(err) != registrar.KindFull {
		t.Errorf("a second request at a cold server: error %v", err)
	}
	second, err := r.Acquire(registrar.Want{Version: version, Exclude: []ident.Server{"a", "b"}})
	if err != nil || second.Server != "b" {
		t.Errorf("all tried: slot %+v, error %v", second, err)
	}
	w.MarkWarm("a", 1)
	first.Release(registrar.ResultOK, 10)
	first.Release(registrar.ResultOK, 10)
	if rows := r.Rows(); rows[0].InFlight != 0 {
		t.Errorf("%d in flight after one slot was released twice", rows[0].InFlight)
	}
}
