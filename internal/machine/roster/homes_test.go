package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// document is a request for a long document that takes 400 ms to read and 20 ms to copy.
var document = roster.Want{Service: "engines", SharedPart: "p/large", SharedWork: 400, OwnWork: 100, CopyWork: 20}

// busyTable returns a table of servers s0, s1, ... that all have 500 ms of other instances' work before them.
func busyTable(instance ident.Instance, servers int) *table {
	tab := newTable(instance, []string{string(instance)}, 1)
	loads := map[ident.Server]roster.Load{}
	for i := range servers {
		id := ident.Server(fmt.Sprintf("s%d", i))
		tab.put(backend.Server{ID: id, Address: ident.Address(id)})
		loads[id] = roster.Load{Requests: 4, Pending: 500}
	}
	tab.SetPeerLoads(loads, 0)
	return tab
}

func (t *table) mustAcquire(tb testing.TB, want roster.Want) *roster.Slot {
	tb.Helper()
	slot, err := t.Acquire(want)
	if err != nil {
		tb.Fatal(err)
	}
	return slot
}

// TestHomeBrieflyFull guards against a document that is read again each time its server is full, cold or failing
// for a moment: the request that goes elsewhere copies it from there, and the next one goes home.
func TestHomeBrieflyFull(t *testing.T) {
	first := busyTable("x", 8)
	home := first.mustAcquire(t, document)
	home.Release(roster.ResultNotRun) // full
	elsewhere := first.mustAcquire(t, document)
	if elsewhere.Server.ID == home.Server.ID {
		t.Fatal("went to the full server")
	}
	second := busyTable("y", 8) // has not sent the document itself
	fullThere := second.mustAcquire(t, document)
	if fullThere.Server.ID != home.Server.ID {
		t.Fatalf("instances have homes %s and %s", home.Server.ID, fullThere.Server.ID)
	}
	fullThere.Release(roster.ResultNotRun)
	second.now += 50
	if got := second.mustAcquire(t, document); got.CopyFrom != home.Server.Address {
		t.Errorf("reads at %s, copies from %q, want from %s", got.Server.ID, got.CopyFrom, home.Server.Address)
	}
	second.now += clock.Second
	if got := second.mustAcquire(t, document); got.Server.ID != home.Server.ID {
		t.Errorf("the home lost its document to %s", got.Server.ID)
	}
}

// TestSourceGone checks that nothing is copied from a server that is leaving, restarted, failing, cold or out of reach, and
// that a second attempt copies from nowhere: the copy may be why the first one failed.
func TestSourceGone(t *testing.T) {
	for name, lose := range map[string]func(tab *table, home *roster.Slot){
		"leaving":      func(_ *table, home *roster.Slot) { home.MarkLeaving() },
		"out of reach": func(_ *table, home *roster.Slot) { home.Release(roster.ResultUnreachable) },
		"failing":      func(_ *table, home *roster.Slot) { home.Release(roster.ResultLost) },
		"cold": func(tab *table, home *roster.Slot) {
			s := home.Server
			s.ColdFor = 60 * clock.Second
			tab.put(s)
		},
		"lost link": func(tab *table, home *roster.Slot) {
			tab.LostFunc = func(a ident.Address) bool { return a == home.Server.Address }
		},
		"zone evacuated": func(tab *table, home *roster.Slot) {
			s := home.Server
			s.Zone = "b"
			tab.put(s)
			tab.view.EvacuatedZones = map[declaration.ZoneName]bool{"b": true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tab := busyTable("x", 8)
			home := tab.mustAcquire(t, document)
			tab.now += clock.Second
			lose(tab, home)
			for range 3 {
				if got := tab.mustAcquire(t, document); got.CopyFrom == home.Server.Address {
					t.Errorf("%s copies from it", got.Server.ID)
				}
			}
		})
	}
	tab := busyTable("x", 8)
	home := tab.mustAcquire(t, document)
	again := document
	again.Exclude = []ident.Server{home.Server.ID}
	if got := tab.mustAcquire(t, again); got.CopyFrom != "" {
		t.Errorf("a second attempt copies from %s", got.CopyFrom)
	}
}

// TestRestartKeepsNothing guards against trust in what an earlier incarnation of a server was sent: it is still the
// document's home, but what it lacks is copied from the server that stood in.
func TestRestartKeepsNothing(t *testing.T) {
	tab := busyTable("x", 8)
	home := tab.mustAcquire(t, document)
	home.Release(roster.ResultNotRun)
	standIn := tab.mustAcquire(t, document)
	tab.now += 2 * clock.Second
	restarted := home.Server
	restarted.Born = 5
	tab.put(restarted)
	loads := map[ident.Server]roster.Load{}
	for id := range tab.servers {
		loads[ident.Server(id)] = roster.Load{Requests: 4, Pending: 500}
	}
	loads[standIn.Server.ID] = roster.Load{Requests: 60, Pending: 1500}
	tab.SetPeerLoads(loads, 0)
	if got := tab.mustAcquire(t, document); got.Server.ID != home.Server.ID || got.CopyFrom != standIn.Server.Address {
		t.Errorf("goes to %s and copies from %q, want %s and %s", got.Server.ID, got.CopyFrom, home.Server.ID, standIn.Server.ID)
	}
}

// TestHotDocument plays 72 instances before 24 busy servers, each with requests for a few documents, of
// which one instance hardly sees one twice: of the readings of a document nearly all must be avoided.
func TestHotDocument(t *testing.T) {
	const instances, servers, documents, requests = 72, 24, 6, 400
	random := rand.New(rand.NewPCG(1, 2))
	var tables []*table
	for i := range instances {
		tab := busyTable(ident.Instance(fmt.Sprintf("f%d", i)), servers)
		tab.RandIntNFunc = random.IntN
		tables = append(tables, tab)
	}
	type copyOf struct {
		server   ident.Address
		document string
	}
	keptFrom := map[copyOf]clock.Millis{}
	read := 0
	for i := range requests {
		now := clock.Millis(100_000 + 20*i)
		loads := map[ident.Server]roster.Load{}
		for s := range servers { // what others bring changes from report to report
			loads[ident.Server(fmt.Sprintf("s%d", s))] = roster.Load{Requests: random.IntN(12), Pending: clock.Millis(random.IntN(1200))}
		}
		tab := tables[random.IntN(instances)]
		tab.now = now
		tab.SetPeerLoads(loads, 0)
		want := document
		want.SharedPart = fmt.Sprintf("p%d/large", random.IntN(documents))
		slot := tab.mustAcquire(t, want)
		keeps := func(server ident.Address) bool {
			from, found := keptFrom[copyOf{server, want.SharedPart}]
			return found && from <= now
		}
		at := copyOf{slot.Server.Address, want.SharedPart}
		if !keeps(at.server) {
			ready := now + clock.Millis(want.CopyWork)
			if slot.CopyFrom == "" || !keeps(slot.CopyFrom) {
				read++
				ready = now + clock.Millis(want.SharedWork)
			}
			if _, found := keptFrom[at]; !found {
				keptFrom[at] = ready
			}
		}
		slot.Release(roster.ResultAbandoned)
	}
	if share := 1 - float64(read-documents)/requests; share < 0.75 {
		t.Errorf("%d readings of %d documents, %.2f kept", read, documents, share)
	} else {
		t.Logf("%d readings of %d documents, %.2f kept", read, documents, share)
	}
}
