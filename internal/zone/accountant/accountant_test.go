package accountant_test

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/zone/accountant"
)

// TestSums guards against many instances that each send long prompts to a server which other
// instances already keep busy. An instance must learn the loads of all others, without its
// own, from the watcher of its zone.
func TestSums(t *testing.T) {
	now := clock.Millis(1000)
	c := &clock.Clock{NowFunc: func() clock.Millis { return now }}
	watcher := &accountant.Accountant{Clock: c, Instance: "w", Zone: "a"}
	otherZone := &accountant.Accountant{Clock: c, Instance: "f", Zone: "b"}
	follower := &accountant.Accountant{Clock: c, Instance: "x", Zone: "a"}

	own := accountant.Loads{"s1": {Requests: 2, Pending: 300}}
	follower.SetReported(own)
	watcher.RecordLoads("x", own)
	watcher.RecordLoads("y", accountant.Loads{"s1": {Requests: 1, Pending: 100}, "s2": {Requests: 4, Pending: 50}})
	watcher.RecordLoads("stranger", accountant.Loads{"s1": {Requests: 9}}) // an instance of another zone, which is counted in the sum of that zone
	inZoneA := func(i ident.Instance) bool { return i == "x" || i == "y" }
	watcher.RecordSums(otherZone.Sums(accountant.Loads{"s3": {Requests: 7, Pending: 70}}, inZoneA))
	follower.RecordSums(watcher.Sums(accountant.Loads{"s2": {Requests: 1}}, inZoneA))

	got, _ := follower.PeerLoads()
	want := accountant.Loads{"s1": {Requests: 1, Pending: 100}, "s2": {Requests: 5, Pending: 50}, "s3": {Requests: 7, Pending: 70}}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for server, load := range want {
		if got[server] != load {
			t.Errorf("%s: %v, want %v", server, got[server], load)
		}
	}
	now += 4 * clock.Second
	if got, _ := follower.PeerLoads(); len(got) > 0 {
		t.Errorf("expired sums still count: %v", got)
	}
}

// TestNewerSum keeps the newer of two sums of a zone, regardless of which arrives last.
func TestNewerSum(t *testing.T) {
	now := clock.Millis(10_000)
	a := &accountant.Accountant{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}, Zone: "a"}
	sum := func(requests int, age clock.Millis) map[declaration.ZoneName]accountant.Sum {
		return map[declaration.ZoneName]accountant.Sum{"b": {Loads: accountant.Loads{"s": roster.Load{Requests: requests}}, Age: age}}
	}
	a.RecordSums(sum(1, 100))
	a.RecordSums(sum(2, 900))
	if got, age := a.PeerLoads(); got["s"].Requests != 1 || age != 100 {
		t.Errorf("got %v, %d ms old", got, age)
	}
}
