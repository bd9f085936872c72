// Package exchanger replicates tables between instances over net/rpc, and carries the other calls
// between instances.
//
// In every round, each instance pulls from some peers the changes to their tables since its last
// pull. Merging tables is commutative and idempotent, so lost, late or repeated messages do no
// harm. An instance with an urgent change sends its peers a nudge, a request to pull at once.
package exchanger

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/link/spreader"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/warmer"
)

// Kind classifies the package's errors.
type Kind string

// KindUnknownPeer means that the platform lists no such instance.
const KindUnknownPeer Kind = "unknown-peer"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// callTimeout bounds a call to a peer. Forward uses its caller's deadline instead.
	callTimeout = 1 * clock.Second
	// roundInterval is the time between two rounds.
	roundInterval = 1 * clock.Second
	// calmPullInterval is the time between two pulls of tallies of versions in no roll-out.
	calmPullInterval = 10 * clock.Second
	// maxFullMeshPeers is the number of peers up to which a round pulls from every peer.
	maxFullMeshPeers = 8
	// neighbourCount is the number of fixed peers that an instance pulls from if there are more
	// than maxFullMeshPeers, and fanOut the number of them in each round.
	neighbourCount = 6
	fanOut         = 2
	// randomPeerRounds is the number of rounds from one pull from a random peer, in place of the
	// neighbours, to the next.
	randomPeerRounds = 10
	// maxRemoteNudges bounds the number of nudged peers outside this instance's zone.
	maxRemoteNudges = 8
	// maxEntries bounds the entries of each table in one reply, and maxTallies the tallies.
	maxEntries = 1024
	maxTallies = 256
	// maxForwardedTallies replaces maxTallies if instances also forward the tallies of others.
	maxForwardedTallies = 12
	// usageTimeout is how long a peer's report of its usage counts.
	usageTimeout = 60 * clock.Second
)

// Exchanger exchanges tables and calls with peers. Set the exported fields before use.
type Exchanger struct {
	Clock       *clock.Clock
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Connector   *connector.Connector
	Enroller    *enroller.Enroller
	Keeper      *keeper.Keeper
	Chronicler  *chronicler.Chronicler
	Tallier     *tallier.Tallier
	// OnWarmth and OnBlock, if set, are called with changes that peers sent.
	OnWarmth func(warmer.Warmth)
	OnBlock  func(declaration.Ref, Block)
	// ClaimFunc, OutcomeFunc, HoldFunc and LendFunc handle calls from peers.
	ClaimFunc   func(ctx context.Context, shard int, entries []claim.Entry) ([]claimer.Verdict, error)
	OutcomeFunc func(held claim.Entry) (claim.Entry, bool)
	HoldFunc    func(biller.Batch) error
	LendFunc    func(server ident.Server, borrower ident.Instance, giveBack bool) bool
	// UrgentFunc reports whether tallies of a version are sent in every pull, as for versions in a
	// roll-out.
	UrgentFunc func(declaration.Ref) bool
	// StatusFunc returns the status of this instance.
	StatusFunc func() Status

	// Warmth, Usage, Blocks and Presence are the replicated tables: warm or cold servers, requests
	// in flight at cold servers, blocked versions, and heartbeats of instances.
	Warmth   spreader.Spreader[ident.Server, warmer.Warmth]
	Usage    spreader.Spreader[UsageKey, Usage]
	Blocks   spreader.Spreader[declaration.Ref, Block]
	Presence spreader.Spreader[ident.Instance, enroller.Presence]

	mu              sync.Mutex
	cursors         map[ident.Instance]Cursor
	usageReceivedAt map[UsageKey]clock.Millis
	pulling         map[ident.Instance]bool
	pullAgain       map[ident.Instance]bool
	announcedAt     clock.Millis
	calmPulledAt    map[ident.Instance]clock.Millis
	rounds          int
}

// Init initializes the tables. It must be called before any other method.
func (x *Exchanger) Init() {
	x.Warmth.NewerFunc = func(held, next warmer.Warmth) bool {
		return next.Epoch > held.Epoch || next.Epoch == held.Epoch && next.Warm && !held.Warm
	}
	x.Usage.NewerFunc = func(held, next Usage) bool { return next.At > held.At }
	x.Blocks.NewerFunc = func(held, next Block) bool { return next.At > held.At }
	x.Presence.NewerFunc = enroller.Newer
	x.cursors = map[ident.Instance]Cursor{}
	x.usageReceivedAt = map[UsageKey]clock.Millis{}
	x.pulling = map[ident.Instance]bool{}
	x.pullAgain = map[ident.Instance]bool{}
	x.calmPulledAt = map[ident.Instance]clock.Millis{}
}

func (x *Exchanger) sender() Sender {
	return Sender{Instance: x.Instance, Incarnation: x.Incarnation, Stamp: x.Chronicler.Now()}
}

// recordSender advances the event clock past the sender's stamp and records contact with it.
func (x *Exchanger) recordSender(s Sender) {
	x.Chronicler.MergeStamp(s.Stamp)
	x.Enroller.RecordContact(s.Instance, s.Incarnation)
}

// Serve serves the calls of peers on a listener until the connector is closed.
func (x *Exchanger) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{exchanger: x}); err != nil {
		return err
	}
	return x.Connector.Serve(listener, server)
}

// Run runs rounds until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	for {
		x.announce()
		x.Round(ctx)
		jitter := clock.Millis(rand.Int64N(int64(roundInterval) / 5))
		if err := x.Clock.Sleep(ctx, roundInterval+jitter); err != nil {
			return nil
		}
	}
}

// announce updates this process's entry in the presence table if its heartbeat is due.
func (x *Exchanger) announce() {
	now := x.Clock.Now()
	if now-x.announcedAt < x.Enroller.PresenceInterval() {
		return
	}
	x.announcedAt = now
	x.Presence.Merge(x.Instance, enroller.Presence{Incarnation: x.Incarnation, At: now})
}

// Round pulls from the peers of one round and waits until all pulls have ended.
func (x *Exchanger) Round(ctx context.Context) {
	x.rounds++
	var pulls sync.WaitGroup
	for _, p := range x.roundPeers(x.Enroller.Peers()) {
		pulls.Go(func() { x.Pull(ctx, p) })
	}
	pulls.Wait()
}

// roundPeers returns the peers to pull from in a round. Up to maxFullMeshPeers these are all
// peers. With more peers they are some of the fixed neighbours, whose connections stay open, and
// in every randomPeerRounds-th round a random peer, so that changes also reach groups of
// instances that have no neighbours in common.
func (x *Exchanger) roundPeers(peers []enroller.Peer) []enroller.Peer {
	if len(peers) <= maxFullMeshPeers {
		return peers
	}
	if x.rounds%randomPeerRounds == 0 {
		return x.randomPeers(peers, 1)
	}
	slices.SortFunc(peers, func(a, b enroller.Peer) int { return cmp.Compare(x.neighbourScore(b), x.neighbourScore(a)) })
	chosen := make([]enroller.Peer, 0, fanOut)
	for i := range fanOut {
		chosen = append(chosen, peers[(x.rounds*fanOut+i)%neighbourCount])
	}
	return chosen
}

var neighbourHash = hasher.Hasher{Salt: "neighbour"}

// neighbourScore returns a peer's rendezvous score; the peers with the highest scores are this
// instance's neighbours.
func (x *Exchanger) neighbourScore(p enroller.Peer) uint64 {
	return neighbourHash.Score(string(x.Instance), string(p.Instance))
}

// randomPeers returns up to n randomly chosen peers.
func (x *Exchanger) randomPeers(peers []enroller.Peer, n int) []enroller.Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// Pull asks one peer for its changes and merges the reply. A call during a pull from the same
// peer returns at once and makes the pull in progress repeat.
func (x *Exchanger) Pull(ctx context.Context, p enroller.Peer) {
	x.mu.Lock()
	if x.pulling[p.Instance] {
		x.pullAgain[p.Instance] = true
		x.mu.Unlock()
		return
	}
	x.pulling[p.Instance] = true
	x.mu.Unlock()
	for {
		x.pullOnce(ctx, p)
		x.mu.Lock()
		if !x.pullAgain[p.Instance] || ctx.Err() != nil {
			delete(x.pulling, p.Instance)
			delete(x.pullAgain, p.Instance)
			x.mu.Unlock()
			return
		}
		delete(x.pullAgain, p.Instance)
		x.mu.Unlock()
	}
}

func (x *Exchanger) pullOnce(ctx context.Context, p enroller.Peer) {
	now := x.Clock.Now()
	x.mu.Lock()
	cursor := x.cursors[p.Instance]
	calm := now-x.calmPulledAt[p.Instance] >= calmPullInterval
	if calm {
		x.calmPulledAt[p.Instance] = now
	}
	x.mu.Unlock()
	args := PullArgs{From: x.sender(), Cursor: cursor, Config: x.Keeper.CompleteVersion(), Calm: calm}
	var reply PullReply
	if err := x.call(ctx, p.Address, "Pull", args, &reply); err != nil {
		return // retried in the next round
	}
	x.recordSender(reply.From)
	x.merge(reply)
	x.mu.Lock()
	x.cursors[p.Instance] = reply.Cursor
	x.mu.Unlock()
}

// merge applies the reply to a pull.
func (x *Exchanger) merge(reply PullReply) {
	if reply.Config.Version > 0 {
		x.Keeper.Apply(reply.Config)
		x.Keeper.Confirm(reply.Config.Version, reply.ConfigAge)
	}
	for _, f := range reply.Presence {
		if f.Key != x.Instance && x.Presence.Merge(f.Key, f.Value) {
			x.Enroller.MergePresence(f.Key, f.Value)
		}
	}
	for _, f := range reply.Usage {
		x.mergeUsage(f)
	}
	for _, f := range reply.Warmth {
		if x.Warmth.Merge(f.Key, f.Value) && x.OnWarmth != nil {
			x.OnWarmth(f.Value)
		}
	}
	for _, f := range reply.Blocks {
		if x.Blocks.Merge(f.Key, f.Value) && x.OnBlock != nil {
			x.OnBlock(f.Key, f.Value)
		}
	}
	for _, e := range reply.Tallies {
		x.Tallier.Merge(e)
	}
}

func (x *Exchanger) mergeUsage(f spreader.Entry[UsageKey, Usage]) {
	if f.Key.Instance == x.Instance || !x.Usage.Merge(f.Key, f.Value) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.usageReceivedAt[f.Key] = x.Clock.Now()
}

// SetUsage reports to the peers how many requests this instance has in flight at a cold server.
func (x *Exchanger) SetUsage(server ident.Server, inFlight int) {
	key := UsageKey{Server: server, Instance: x.Instance}
	held, found := x.Usage.Get(key)
	if found && held.InFlight == inFlight && inFlight == 0 || !found && inFlight == 0 {
		return
	}
	x.Usage.Merge(key, Usage{InFlight: inFlight, At: x.Clock.Now()})
}

// PeerUsage returns the number of requests that each other instance has reported to have in
// flight at a server.
func (x *Exchanger) PeerUsage(server ident.Server) map[ident.Instance]int {
	used := map[ident.Instance]int{}
	now := x.Clock.Now()
	x.Usage.ForEach(func(key UsageKey, u Usage) {
		if key.Server != server || key.Instance == x.Instance || u.InFlight == 0 {
			return
		}
		x.mu.Lock()
		valid := now-x.usageReceivedAt[key] < usageTimeout
		x.mu.Unlock()
		if valid {
			used[key.Instance] = u.InFlight
		}
	})
	return used
}

// Nudge asks peers to pull from this instance at once. Up to maxFullMeshPeers these are all peers,
// otherwise the peers of this instance's zone and up to maxRemoteNudges others.
func (x *Exchanger) Nudge(ctx context.Context) {
	peers := x.Enroller.Peers()
	if len(peers) > maxFullMeshPeers {
		peers = x.nudgePeers(peers)
	}
	for _, p := range peers {
		go func() {
			_ = x.call(ctx, p.Address, "Nudge", x.sender(), &struct{}{}) // without a nudge, the changes spread in the next rounds
		}()
	}
}

// nudgePeers returns the peers to nudge if there are more than maxFullMeshPeers.
func (x *Exchanger) nudgePeers(peers []enroller.Peer) []enroller.Peer {
	var sameZone, otherZones []enroller.Peer
	for _, p := range peers {
		if p.Zone == x.Enroller.Zone {
			sameZone = append(sameZone, p)
			continue
		}
		otherZones = append(otherZones, p)
	}
	return append(sameZone, x.randomPeers(otherZones, maxRemoteNudges)...)
}

func (x *Exchanger) call(ctx context.Context, address ident.Address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return x.Connector.Call(ctx, address, serviceName+"."+method, args, reply)
}
