// Package gossiper exchanges messages between instances. A message holds the store versions
// that its sender has, the loads of servers and the states of roll-outs. An instance whose
// copy of the store's objects is older than a peer's pulls the missing changes from the peer.
//
// Merging messages is commutative and idempotent, so lost, late or repeated messages do no
// harm.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/duty/counter"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/packer"
	"example.com/dotterelwell/internal/link/timekeeper"
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
	// pullTimeout bounds a call that returns store objects. It is longer than callTimeout
	// because the objects may be large and the link slow.
	pullTimeout = 2 * clock.Second
	// minLargeFleet is the number of peers from which a fleet counts as large. In smaller
	// fleets all instances are neighbours, in large fleets those of the same zone.
	minLargeFleet = 12
	// randomPeersLarge and randomPeersSmall are the numbers of random peers that an instance
	// calls in one round in large and in small fleets.
	randomPeersLarge = 1
	randomPeersSmall = 3
	// failureBackoff is how long after a failed call a peer is not selected as a holder.
	failureBackoff = 3 * clock.Second
	// unreachableRetention is how long a failed call makes a peer count as unreachable. In a large
	// fleet minutes pass until the peer is called again.
	unreachableRetention = 10 * clock.Second
	// aliveTimeout is how long after its last message a peer counts as alive.
	aliveTimeout = 3 * clock.Second
	// maxTallies bounds the number of tallies in one message.
	maxTallies = 256
)

// Gossiper exchanges messages with peers. Set the exported fields before use.
type Gossiper struct {
	Clock    *clock.Clock
	Instance ident.Instance
	Zone     declaration.ZoneName
	// Strength is this instance's capacity for serving its peers, as in Peer.
	Strength    float64
	Incarnation ident.Incarnation
	Connector   *connector.Connector
	// Watchers is the number of instances that watch the store in a small fleet, and
	// ZoneWatchers the number in each zone of a large fleet.
	Watchers, ZoneWatchers int
	// WatchedKind is the kind of store objects that an instance must be able to read to be
	// selected as a store watcher or as an evidence collector.
	WatchedKind storer.ObjectKind
	// DutyKind is the kind of store objects that an instance must be able to read to be
	// selected for a duty.
	DutyKind storer.ObjectKind
	// RoundInterval is the time between two rounds; zero for DefaultRoundInterval.
	RoundInterval clock.Millis
	// PeersFunc returns the other instances.
	PeersFunc func() []Peer
	// Informers holds the copies of the store's objects.
	Informers map[storer.ObjectKind]*informer.Informer
	Tallier   *tallier.Tallier
	// Accountant holds the loads of servers that this and other instances report.
	Accountant *accountant.Accountant
	// MessageFunc returns a message with the loads, roll-out stages and departing servers of
	// this instance. The Gossiper sets the other fields.
	MessageFunc func() Message
	// OnMessage, if set, is called with each message from a peer.
	OnMessage func(Message)
	// UsageFunc, if set, returns the counts of requests for a peer. asked is set for an answer.
	UsageFunc func(peer Peer, asked bool) counter.Report
	// DemandFunc, if set, returns the demand for servers that a message to a peer carries, as Demand and
	// ZoneDemands. asked is set for an answer.
	DemandFunc func(peer Peer, asked bool) (own *demander.Report, zones map[declaration.ZoneName]demander.Report)
	// Timekeeper, if set, learns the clocks of peers.
	Timekeeper *timekeeper.Timekeeper
	// HolderFunc, if set, returns the instance that counts of requests are meant for. In a small
	// fleet all call it in each round.
	HolderFunc func() ident.Instance

	packer packer.Packer

	mu            sync.Mutex
	lastMessageAt map[ident.Instance]clock.Millis
	evidenceSent  map[ident.Instance]evidenceCursor
	// lastFailedAt is the time of the last failed call to a peer, and failingSince that of the
	// first failed call since the last successful one. A successful call deletes both.
	lastFailedAt, failingSince map[ident.Instance]clock.Millis
	pullBegan                  map[storer.ObjectKind]clock.Millis            // of the newest pull in progress
	storeLost                  map[ident.Instance]map[storer.ObjectKind]bool // kinds that peers cannot read from the store
	round                      atomic.Int64
}

// evidenceCursor is the tallier's serial up to which one incarnation of a peer has received
// this instance's evidence.
type evidenceCursor struct {
	incarnation ident.Incarnation
	serial      uint64
}

// Run exchanges messages once per round until ctx ends. A round does not wait for the calls of the one before, which may hang
// until their timeout.
func (g *Gossiper) Run(ctx context.Context) error {
	round := g.RoundInterval
	if round <= 0 {
		round = DefaultRoundInterval
	}
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for {
		jitter := clock.Millis(rand.Int64N(int64(round)/4 + 1))
		if err := g.Clock.Sleep(ctx, round+jitter); err != nil {
			return nil
		}
		rounds.Go(func() { g.Exchange(ctx) })
	}
}

// Exchange runs one round: it exchanges messages with one store watcher of the neighbours, with
// the evidence collectors of open roll-outs and with a few random peers, and waits for the
// replies.
func (g *Gossiper) Exchange(ctx context.Context) {
	message := g.message()
	var calls sync.WaitGroup
	for _, p := range g.roundPeers(int(g.round.Add(1)), message) {
		calls.Go(func() { g.exchangeWith(ctx, p, message) })
	}
	calls.Wait()
}

// SendToNeighbours starts an exchange of messages with all neighbours, without waiting for
// the next round or for the replies.
func (g *Gossiper) SendToNeighbours(ctx context.Context) {
	g.spreadTo(ctx, g.neighbours())
}

// SendToAll starts an exchange of messages with all peers, without waiting for the next
// round or for the replies.
func (g *Gossiper) SendToAll(ctx context.Context) {
	g.spreadTo(ctx, g.PeersFunc())
}

// SendTo starts an exchange of messages with one peer, without waiting for the reply.
func (g *Gossiper) SendTo(ctx context.Context, instance ident.Instance) {
	for _, p := range g.PeersFunc() {
		if p.Instance == instance {
			g.spreadTo(ctx, []Peer{p})
		}
	}
}

func (g *Gossiper) spreadTo(ctx context.Context, peers []Peer) {
	message := g.message()
	for _, p := range peers {
		go g.exchangeWith(ctx, p, message)
	}
}

// exchangeWith sends a peer the message, with the evidence that the peer collects, and merges
// the peer's reply.
func (g *Gossiper) exchangeWith(ctx context.Context, p Peer, message Message) {
	serial := g.addEvidence(&message, p.Instance)
	if g.UsageFunc != nil {
		message.Usage = g.UsageFunc(p, false)
	}
	if g.DemandFunc != nil {
		message.Demand, message.ZoneDemands = g.DemandFunc(p, false)
	}
	var reply Message
	began := g.Clock.Now()
	err := g.call(ctx, p, "Exchange", message, &reply)
	g.recordContact(p.Instance, err)
	if err != nil {
		return
	}
	if g.Timekeeper != nil {
		g.Timekeeper.Record(p.Instance, reply.Incarnation, reply.Clock, began, g.Clock.Now())
	}
	g.mu.Lock()
	if cursor := g.evidenceSent[p.Instance]; cursor.incarnation != reply.Incarnation {
		serial = 0 // another incarnation of the peer, which has none of the evidence sent before
	}
	if g.evidenceSent == nil {
		g.evidenceSent = map[ident.Instance]evidenceCursor{}
	}
	g.evidenceSent[p.Instance] = evidenceCursor{incarnation: reply.Incarnation, serial: serial}
	g.mu.Unlock()
	g.merge(reply)
	g.catchUp(ctx, p, reply.Copies)
}

// recordContact records the result of a call to a peer.
func (g *Gossiper) recordContact(instance ident.Instance, err error) {
	g.mu.Lock()
	if g.lastFailedAt == nil {
		g.lastFailedAt, g.failingSince = map[ident.Instance]clock.Millis{}, map[ident.Instance]clock.Millis{}
	}
	_, failing := g.failingSince[instance]
	changed := failing != (err != nil)
	if err != nil {
		g.lastFailedAt[instance] = g.Clock.Now()
		if !failing {
			g.failingSince[instance] = g.Clock.Now()
		}
	} else {
		delete(g.lastFailedAt, instance)
		delete(g.failingSince, instance)
	}
	g.mu.Unlock()
	if changed {
		klog.InfoS("Peer contact", "peer", instance, "reachable", err == nil, "err", err)
	}
}

// message returns the message with this instance's current state, without evidence.
func (g *Gossiper) message() Message {
	message := g.MessageFunc()
	message.From, message.Incarnation = g.Instance, g.Incarnation
	if g.Timekeeper != nil {
		message.Clock = g.Clock.Now()
	}
	g.Accountant.SetReported(message.Loads)
	if g.InLargeFleet() && g.Watches(g.WatchedKind) {
		isNeighbour := map[ident.Instance]bool{}
		for _, p := range g.neighbours() {
			isNeighbour[p.Instance] = true
		}
		message.Sums = g.Accountant.Sums(message.Loads, func(instance ident.Instance) bool { return isNeighbour[instance] })
	}
	message.Copies = make(map[storer.ObjectKind]CopyStatus, len(g.Informers))
	for kind, i := range g.Informers {
		point := i.Point()
		message.Copies[kind] = CopyStatus{Position: point.Version, Era: point.Era, Kept: i.Kept(), Age: i.Age(), Lost: i.StoreLost(), SteadyFor: i.SteadyFor()}
	}
	return message
}

// addEvidence adds this instance's evidence about the roll-outs whose evidence the peer
// collects, as far as the peer does not have it. It returns the tallier's serial up to which
// the peer then has the evidence.
func (g *Gossiper) addEvidence(message *Message, peer ident.Instance) uint64 {
	collected := map[declaration.ModelName]bool{}
	for service := range message.Stages {
		for _, p := range g.collectors(service) {
			if p.Instance == peer {
				collected[declaration.ModelName(service)] = true
			}
		}
	}
	g.mu.Lock()
	since := g.evidenceSent[peer].serial
	g.mu.Unlock()
	if len(collected) == 0 {
		return since
	}
	var serial uint64
	message.Tallies, serial = g.Tallier.ChangesSince(since, maxTallies, func(key tallier.Key) bool {
		return key.Owner == g.Tallier.Owner && collected[key.Subject.Version.Model]
	})
	return serial
}

// merge applies a peer's message.
func (g *Gossiper) merge(message Message) {
	g.mu.Lock()
	if g.lastMessageAt == nil {
		g.lastMessageAt = map[ident.Instance]clock.Millis{}
	}
	g.lastMessageAt[message.From] = g.Clock.Now()
	if g.storeLost == nil {
		g.storeLost = map[ident.Instance]map[storer.ObjectKind]bool{}
	}
	lost := map[storer.ObjectKind]bool{}
	for kind, c := range message.Copies {
		lost[kind] = c.Lost
	}
	g.storeLost[message.From] = lost
	g.mu.Unlock()
	for _, e := range message.Tallies {
		g.Tallier.Merge(e)
	}
	g.Accountant.RecordLoads(message.From, message.Loads)
	g.Accountant.RecordSums(message.Sums)
	if g.OnMessage != nil {
		g.OnMessage(message)
	}
}

// UnreachableFor returns the peers to which all calls have failed for at least the given
// duration, without those that were last called longer ago than that.
func (g *Gossiper) UnreachableFor(duration clock.Millis) []ident.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unreachable []ident.Instance
	for instance, since := range g.failingSince {
		if g.Clock.Now()-since >= duration && g.Clock.Now()-g.lastFailedAt[instance] < duration {
			unreachable = append(unreachable, instance)
		}
	}
	return unreachable
}

// Alive reports whether a message from a peer arrived within aliveTimeout. It is always true for
// this instance.
func (g *Gossiper) Alive(instance ident.Instance) bool {
	if instance == g.Instance {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	at, found := g.lastMessageAt[instance]
	return found && g.Clock.Now()-at < aliveTimeout
}
