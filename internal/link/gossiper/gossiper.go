// Package gossiper passes messages between instances: which store versions each has, how
// loaded servers are, how roll-outs stand. Where one instance is behind another in a
// copy of the store's objects, it pulls what it lacks.
//
// All messages merge in any order and any number of times, so a lost, late or repeated
// one does no harm.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/packer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/accountant"
	"example.com/dotterelwell/internal/zone/informer"
)

const (
	// DefaultRoundInterval is the time between two rounds.
	DefaultRoundInterval clock.Millis = 500
	// callTimeout bounds a call to a peer.
	callTimeout clock.Millis = 800
	// pullTimeout bounds a call that brings objects, which may be large and links slow.
	pullTimeout = 2 * clock.Second
	// smallFleet is the number of instances up to which every one is a neighbour of all;
	// in larger fleets the instances of a zone are neighbours.
	smallFleet = 12
	// fewPeers and manyPeers are the numbers of random peers that are called in one round
	// in large and in small fleets.
	fewPeers  = 1
	manyPeers = 3
	// retryAfter is how long an instance that did not answer is passed over.
	retryAfter = 3 * clock.Second
	// aliveSpan is how long after its last message a peer counts as running.
	aliveSpan = 3 * clock.Second
	// maxTallies bounds the evidence in one message.
	maxTallies = 256
)

// Gossiper exchanges messages. Set the exported fields before use.
type Gossiper struct {
	Clock       *clock.Clock
	Instance    ident.Instance
	Zone        declaration.ZoneName
	Strength    float64
	Incarnation ident.Incarnation
	Connector   *connector.Connector
	// Watchers is the number of instances that watch the store in a small fleet, and
	// ZoneWatchers that in each zone of a large one.
	Watchers, ZoneWatchers int
	// WatchedKind is the kind whose loss takes an instance out of the watchers.
	WatchedKind storer.ObjectKind
	// DutyKind is the kind whose loss takes an instance out of those that may hold a duty.
	DutyKind storer.ObjectKind
	// RoundInterval is the time between two rounds; zero for DefaultRoundInterval.
	RoundInterval clock.Millis
	// PeersFunc returns the other instances.
	PeersFunc func() []Peer
	Informers map[storer.ObjectKind]*informer.Informer
	Tallier   *tallier.Tallier
	// Accountant receives and gives the loads of servers.
	Accountant *accountant.Accountant
	// MessageFunc fills in loads and stages of this instance.
	MessageFunc func() Message
	// OnMessage receives a peer's message.
	OnMessage func(Message)

	packer packer.Packer

	mu    sync.Mutex
	heard map[ident.Instance]clock.Millis
	sent  map[ident.Instance]delivery
	// failedAt is when a peer last did not answer, and failedSince when it first did not
	// since it last answered; neither is held once it has.
	failedAt, failedSince map[ident.Instance]clock.Millis
	pulling               map[storer.ObjectKind]bool
	lost                  map[ident.Instance]map[storer.ObjectKind]bool // what peers cannot reach
	rounds                atomic.Int64
}

// delivery is the tallier's serial up to which one run of a peer has the own evidence.
type delivery struct {
	to     ident.Incarnation
	serial uint64
}

// Run makes rounds until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	round := g.RoundInterval
	if round <= 0 {
		round = DefaultRoundInterval
	}
	for {
		jitter := clock.Millis(rand.Int64N(int64(round)/4 + 1))
		if err := g.Clock.Sleep(ctx, round+jitter); err != nil {
			return nil
		}
		g.Exchange(ctx)
	}
}

// Exchange exchanges messages with some peers: one of the neighbours that watch the store,
// those that collect the evidence about open roll-outs, and a few at random.
func (g *Gossiper) Exchange(ctx context.Context) {
	message := g.message()
	var calls sync.WaitGroup
	for _, p := range g.partners(int(g.rounds.Add(1)), message) {
		calls.Go(func() { g.exchangeWith(ctx, p, message) })
	}
	calls.Wait()
}

// ExchangeWithNeighbours sends the state with urgent changes to the neighbours at once.
func (g *Gossiper) ExchangeWithNeighbours(ctx context.Context) {
	g.spreadTo(ctx, g.neighbours())
}

// ExchangeWithAll sends the state with urgent changes to all peers at once.
func (g *Gossiper) ExchangeWithAll(ctx context.Context) {
	g.spreadTo(ctx, g.PeersFunc())
}

func (g *Gossiper) spreadTo(ctx context.Context, peers []Peer) {
	message := g.message()
	for _, p := range peers {
		go g.exchangeWith(ctx, p, message)
	}
}

// exchangeWith sends a peer the message, with the evidence that it collects, and merges its reply.
func (g *Gossiper) exchangeWith(ctx context.Context, p Peer, message Message) {
	serial := g.addEvidence(&message, p.Instance)
	var reply Message
	err := g.call(ctx, p, "Exchange", message, &reply)
	g.noteContact(p.Instance, err)
	if err != nil {
		return
	}
	g.mu.Lock()
	if held := g.sent[p.Instance]; held.to != reply.Incarnation {
		serial = 0 // another run of the peer, which has nothing yet
	}
	if g.sent == nil {
		g.sent = map[ident.Instance]delivery{}
	}
	g.sent[p.Instance] = delivery{to: reply.Incarnation, serial: serial}
	g.mu.Unlock()
	g.merge(reply)
	g.catchUp(ctx, p, reply.Copies)
}

func (g *Gossiper) noteContact(instance ident.Instance, err error) {
	g.mu.Lock()
	if g.failedAt == nil {
		g.failedAt, g.failedSince = map[ident.Instance]clock.Millis{}, map[ident.Instance]clock.Millis{}
	}
	_, failing := g.failedSince[instance]
	changed := failing != (err != nil)
	if err != nil {
		g.failedAt[instance] = g.Clock.Now()
		if !failing {
			g.failedSince[instance] = g.Clock.Now()
		}
	} else {
		delete(g.failedAt, instance)
		delete(g.failedSince, instance)
	}
	g.mu.Unlock()
	if changed {
		klog.InfoS("Peer contact", "peer", instance, "reachable", err == nil, "err", err)
	}
}

// message returns this instance's state.
func (g *Gossiper) message() Message {
	n := g.MessageFunc()
	n.From, n.Incarnation = g.Instance, g.Incarnation
	g.Accountant.SetReported(n.Loads)
	if g.InLargeFleet() && g.Watches(g.WatchedKind) {
		near := map[ident.Instance]bool{}
		for _, p := range g.neighbours() {
			near[p.Instance] = true
		}
		n.Sums = g.Accountant.Sums(n.Loads, func(instance ident.Instance) bool { return near[instance] })
	}
	n.Copies = make(map[storer.ObjectKind]CopyStatus, len(g.Informers))
	for kind, i := range g.Informers {
		n.Copies[kind] = CopyStatus{Position: i.Position(), Age: i.Age(), Lost: i.StoreLost()}
	}
	return n
}

// addEvidence adds the own evidence about the roll-outs that a peer collects for, and
// returns the tallier's serial up to which that is complete.
func (g *Gossiper) addEvidence(n *Message, peer ident.Instance) uint64 {
	collected := map[declaration.ModelName]bool{}
	for service := range n.Stages {
		for _, p := range g.collectors(service) {
			if p.Instance == peer {
				collected[declaration.ModelName(service)] = true
			}
		}
	}
	g.mu.Lock()
	since := g.sent[peer].serial
	g.mu.Unlock()
	if len(collected) == 0 {
		return since
	}
	var serial uint64
	n.Tallies, serial = g.Tallier.ChangesSince(since, maxTallies, func(key tallier.Key) bool {
		return key.Owner == g.Tallier.Owner && collected[key.Subject.Version.Model]
	})
	return serial
}

func (g *Gossiper) merge(n Message) {
	g.mu.Lock()
	if g.heard == nil {
		g.heard = map[ident.Instance]clock.Millis{}
	}
	g.heard[n.From] = g.Clock.Now()
	if g.lost == nil {
		g.lost = map[ident.Instance]map[storer.ObjectKind]bool{}
	}
	lost := map[storer.ObjectKind]bool{}
	for kind, c := range n.Copies {
		lost[kind] = c.Lost
	}
	g.lost[n.From] = lost
	g.mu.Unlock()
	for _, e := range n.Tallies {
		g.Tallier.Merge(e)
	}
	g.Accountant.RecordLoads(n.From, n.Loads)
	g.Accountant.RecordSums(n.Sums)
	if g.OnMessage != nil {
		g.OnMessage(n)
	}
}

// UnreachableFor returns the peers that have not answered for at least the given span.
func (g *Gossiper) UnreachableFor(span clock.Millis) []ident.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var gone []ident.Instance
	for instance, since := range g.failedSince {
		if g.Clock.Now()-since >= span && g.Clock.Now()-g.failedAt[instance] < span {
			gone = append(gone, instance)
		}
	}
	return gone
}

// Alive reports whether a peer was heard of lately. The instance itself always is.
func (g *Gossiper) Alive(instance ident.Instance) bool {
	if instance == g.Instance {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at, found := g.heard[instance]
	return found && g.Clock.Now()-at < aliveSpan
}
