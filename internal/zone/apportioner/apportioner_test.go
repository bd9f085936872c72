package apportioner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/apportioner"
	"example.com/dotterelwell/internal/zone/rationer"
)

const (
	step clock.Millis = 20
	work clock.Millis = 200
	// exchangeInterval is the time between two exchanges of an instance, and settleTime how long after the notice the
	// server's room shrinks.
	exchangeInterval clock.Millis = 500
	settleTime                    = 3 * clock.Second
)

// fleet is a number of instances with more work than a brittle server has room for.
type fleet struct {
	rand       *rand.Rand
	now        clock.Millis
	members    []*member
	names      []string
	room       int
	says       backend.Brittleness
	rejections []clock.Millis
	served     int
	most       int // largest number of rejections in a second
}

type member struct {
	apportioner.Apportioner
	side     int
	fleet    rationer.Fleet
	idleTill clock.Millis
	ends     []clock.Millis
	peers    int // others' requests at the last exchange
}

func newFleet(size, slots, room, rejects int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(uint64(size), uint64(rejects))), now: 100 * clock.Second, room: room, says: backend.Brittleness{Named: true, RejectionsPerSecond: rejects}}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("front-%d", i))
		m := &member{Apportioner: apportioner.Apportioner{Server: "i-1", Slots: slots}}
		m.Observe(f.says, f.now, f.now)
		f.members = append(f.members, m)
	}
	f.list()
	return f
}

// list tells the instances which others they reach.
func (f *fleet) list() {
	for side := range 2 {
		var names []string
		for i, m := range f.members {
			if m.side == side {
				names = append(names, f.names[i])
			}
		}
		for i, m := range f.members {
			if m.side == side {
				m.fleet = rationer.Fleet{Self: f.names[i], Names: names, Reachable: float64(len(names)) / float64(len(f.names))}
			}
		}
	}
}

// restart lets an instance lose what it knows. It sends nothing until it has heard of its peers.
func (f *fleet) restart(i int) {
	m := f.members[i]
	*m = member{Apportioner: apportioner.Apportioner{Server: m.Server, Slots: m.Slots}, side: m.side, fleet: m.fleet, idleTill: f.now + 3*clock.Second}
}

func (f *fleet) outstanding() int {
	n := 0
	for _, m := range f.members {
		n += len(m.ends)
	}
	return n
}

// run lets the instances work for a while.
func (f *fleet) run(span clock.Millis) {
	for until := f.now + span; f.now < until; f.now += step {
		for _, i := range f.rand.Perm(len(f.members)) {
			f.work(f.members[i])
			if f.rand.IntN(int(exchangeInterval/step)) == 0 {
				f.exchange(f.members[i], f.members[f.rand.IntN(len(f.members))])
			}
		}
	}
}

func (f *fleet) work(m *member) {
	for len(m.ends) > 0 && m.ends[0] <= f.now {
		m.ends = m.ends[1:]
	}
	load := apportioner.Load{Own: len(m.ends), Peers: m.peers}
	m.Keep(m.fleet, load, f.now, f.now)
	if f.now < m.idleTill || !m.MaySend(m.fleet, load, 1, f.now) {
		return
	}
	if f.outstanding() < f.room {
		m.ends = append(m.ends, f.now+work)
		f.served++
		return
	}
	recent := 1
	for _, at := range f.rejections {
		if f.now-at < clock.Second {
			recent++
		}
	}
	f.rejections = append(f.rejections, f.now)
	f.most = max(f.most, recent)
	if m.Reject(f.now, f.now) { // as instances do, tell all others at once
		for _, other := range f.members {
			if other.side == m.side {
				f.exchange(m, other)
			}
		}
	}
}

func (f *fleet) exchange(m, other *member) {
	if m == other || m.side != other.side {
		return
	}
	sent, _ := m.Report(f.now)
	replied, _ := other.Report(f.now)
	other.Merge(sent, f.now)
	m.Merge(replied, f.now)
	m.peers, other.peers = f.outstanding()-len(m.ends), f.outstanding()-len(other.ends)
}

func eachFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	for _, tt := range []struct{ size, slots, room, rejects int }{{3, 8, 3, 3}, {7, 6, 6, 1}, {20, 8, 3, 1}, {100, 16, 4, 3}, {400, 8, 8, 1}, {400, 32, 5, 3}} {
		t.Run(fmt.Sprintf("%d instances, %d slots, room for %d, %d rejections", tt.size, tt.slots, tt.room, tt.rejects), func(t *testing.T) {
			f := newFleet(tt.size, tt.slots, tt.slots, tt.rejects)
			f.run(settleTime)
			f.room = tt.room
			test(t, f)
			if f.most > tt.rejects {
				t.Errorf("%d rejections in a second, at most %d may be", f.most, tt.rejects)
			}
		})
	}
}

// TestRejectionsOfFleet guards against the rejections of all instances adding up to more than a server bears, also if it
// bears fewer than there are instances, and against the bound staying low for ever.
func TestRejectionsOfFleet(t *testing.T) {
	eachFleet(t, func(t *testing.T, f *fleet) {
		f.run(30 * clock.Second)
		before := f.served
		f.run(30 * clock.Second)
		if got, want := f.served-before, f.room*int(30*clock.Second/work)/4; got < want {
			t.Errorf("%d requests served in 30 s, want %d or more", got, want)
		}
	})
}

// TestRejectionsThroughRestartsAndCuts guards against instances that restart, or that are parted from the others, sending
// what others send already.
func TestRejectionsThroughRestartsAndCuts(t *testing.T) {
	eachFleet(t, func(_ *testing.T, f *fleet) {
		f.run(20 * clock.Second)
		for range 4 {
			for range 1 + len(f.members)/5 {
				f.restart(f.rand.IntN(len(f.members)))
			}
			f.run(8 * clock.Second)
			for i, m := range f.members {
				m.side = min(i%3, 1)
			}
			f.run(4 * clock.Second) // nobody has noticed yet
			f.list()
			f.run(20 * clock.Second)
			for _, m := range f.members {
				m.side = 0
			}
			f.run(clock.Second)
			f.list()
			f.run(8 * clock.Second)
		}
	})
}

// TestEndOfBrittleness guards against a late answer ending what a server says, and against peers that never learn of the end.
func TestEndOfBrittleness(t *testing.T) {
	var own, peer apportioner.Apportioner
	says := backend.Brittleness{Named: true, RejectionsPerSecond: 1}
	own.Observe(says, 1000, 1100)
	report, _ := own.Report(1100)
	peer.Merge(report, 1100)
	if own.Observe(backend.Brittleness{}, 1050, 1200) || !peer.Brittleness().Named {
		t.Error("an answer to a request from before the notice ended it")
	}
	own.Observe(backend.Brittleness{}, 1150, 1300)
	ended, _ := own.Report(1300)
	peer.Merge(ended, 1300)
	peer.Merge(report, 1400)
	if own.Brittleness().Named || peer.Brittleness().Named {
		t.Error("the server still counts as brittle")
	}
}
