package gossiper

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// roundPeers returns the peers to call in a round: one store watcher of the neighbours, the
// collectors of the evidence in the message, and random peers. In a large fleet, a
// store watcher also calls one watcher of each other zone.
func (g *Gossiper) roundPeers(round int, message Message) []Peer {
	peers := g.PeersFunc()
	chosen := map[ident.Instance]Peer{}
	if watchers := g.selectHolders(g.WatchedKind, watchDuty, g.neighbours(), g.watcherCount()); len(watchers) > 0 {
		p := watchers[round%len(watchers)]
		chosen[p.Instance] = p
	}
	for service := range message.Stages {
		for _, p := range g.collectors(service) {
			chosen[p.Instance] = p
		}
	}
	if len(message.Crashes) > 0 {
		for _, p := range g.collectors(crashDuty) {
			chosen[p.Instance] = p
		}
	}
	g.addHolder(chosen, peers)
	random := randomPeersSmall
	if g.InLargeFleet() {
		random = randomPeersLarge
		g.addWatchersOfOtherZones(chosen, round)
	}
	for n := range min(random, len(peers)) {
		p := peers[(round*random+n)%len(peers)]
		chosen[p.Instance] = p
	}
	delete(chosen, g.Instance)
	return slices.Collect(maps.Values(chosen))
}

// addHolder adds the instance that counts of requests are meant for in a small fleet. In a large one
// they go through the watchers.
func (g *Gossiper) addHolder(chosen map[ident.Instance]Peer, peers []Peer) {
	if g.HolderFunc == nil || g.InLargeFleet() {
		return
	}
	holder := g.HolderFunc()
	for _, p := range peers {
		if p.Instance == holder {
			chosen[p.Instance] = p
		}
	}
}

// InLargeFleet reports whether the fleet is too large for all instances to be neighbours. In a
// large fleet, only instances of the same zone are neighbours.
func (g *Gossiper) InLargeFleet() bool { return len(g.PeersFunc()) >= minLargeFleet }

// watcherCount returns the number of store watchers among the neighbours.
func (g *Gossiper) watcherCount() int {
	if g.InLargeFleet() {
		return g.ZoneWatchers
	}
	return g.Watchers
}

// neighbours returns the peers that share store watchers with this instance.
func (g *Gossiper) neighbours() []Peer {
	if !g.InLargeFleet() {
		return g.PeersFunc()
	}
	return g.inZone(g.Zone)
}

func (g *Gossiper) inZone(zone declaration.ZoneName) []Peer {
	var inZone []Peer
	for _, p := range g.PeersFunc() {
		if p.Zone == zone {
			inZone = append(inZone, p)
		}
	}
	return inZone
}

// addWatchersOfOtherZones adds a store watcher of each other zone if this instance is a store
// watcher itself, so that the zones exchange their load sums.
func (g *Gossiper) addWatchersOfOtherZones(chosen map[ident.Instance]Peer, round int) {
	if !g.Watches(g.WatchedKind) {
		return
	}
	zones := map[declaration.ZoneName][]Peer{}
	for _, p := range g.PeersFunc() {
		if p.Zone != g.Zone {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for _, peers := range zones {
		watchers := g.topRanked(watchDuty, g.eligible(g.WatchedKind, peers), g.watcherCount())
		if len(watchers) > 0 {
			p := watchers[round%len(watchers)]
			chosen[p.Instance] = p
		}
	}
}

// collectors returns the instances that receive every instance's evidence about a service's
// roll-out, or that about crashed servers.
func (g *Gossiper) collectors(item declaration.ServiceName) []Peer {
	return g.selectHolders(g.WatchedKind, string(item), g.PeersFunc(), evidenceCollectorCount)
}

// CollectsEvidence reports whether this instance receives every instance's evidence about a
// service's roll-out. Instances that do not collect it have only their own evidence.
func (g *Gossiper) CollectsEvidence(service declaration.ServiceName) bool {
	return g.includesSelf(g.collectors(service))
}

// CollectsCrashes reports whether this instance receives every instance's reports of crashed
// servers.
func (g *Gossiper) CollectsCrashes() bool { return g.includesSelf(g.collectors(crashDuty)) }

// SendToCrashCollectors starts an exchange of messages with the instances that collect the reports
// of crashed servers, without waiting for the next round or for the replies.
func (g *Gossiper) SendToCrashCollectors(ctx context.Context) {
	g.spreadTo(ctx, slices.DeleteFunc(g.collectors(crashDuty), func(p Peer) bool { return p.Instance == g.Instance }))
}

const (
	// crashDuty is the item whose holders collect the reports of crashed servers.
	crashDuty = "crashes"
	// watchDuty is the item whose holders watch the store.
	watchDuty = "watch"
	// evidenceCollectorCount is the number of instances that collect the evidence about one item.
	evidenceCollectorCount = 2
)

// Watches reports whether this instance watches a kind of store objects for its neighbours.
func (g *Gossiper) Watches(kind storer.ObjectKind) bool {
	return g.includesSelf(g.selectHolders(kind, watchDuty, g.neighbours(), g.watcherCount()))
}

// HoldsDuty reports whether this instance holds the duty for a service's roll-out. The result
// depends on which peers this instance reaches, so two instances may hold the duty at once.
func (g *Gossiper) HoldsDuty(service declaration.ServiceName) bool {
	return g.includesSelf(g.selectHolders(g.DutyKind, string(service), g.PeersFunc(), 1))
}

func (g *Gossiper) includesSelf(holders []Peer) bool {
	return slices.ContainsFunc(holders, func(p Peer) bool { return p.Instance == g.Instance })
}

// selectHolders selects n holders of an item by rendezvous hashing among this instance and the
// given peers, without those that are known to be unreachable or to have lost the store. If
// no instance is left, it selects among all responding peers and this instance: only these
// holders keep calling the store during its outage, and the other instances wait for them.
func (g *Gossiper) selectHolders(kind storer.ObjectKind, item string, peers []Peer, n int) []Peer {
	self := Peer{Instance: g.Instance, Zone: g.Zone, Strength: g.Strength}
	candidates := g.eligible(kind, peers)
	if own := g.Informers[kind]; own == nil || !own.StoreLost() {
		candidates = append(candidates, self)
	}
	if len(candidates) > 0 {
		return g.topRanked(item, candidates, n)
	}
	chosen := g.topRanked(item, append(g.responding(peers), self), n)
	if slices.ContainsFunc(chosen, func(p Peer) bool { return g.Alive(p.Instance) }) {
		return chosen
	}
	return append(chosen, self) // the selected holders may be partitioned from this instance
}

// Reachable returns the names of this instance and of all peers but those that it cannot exchange
// messages with. share is the number of instances reached lately, this one included, divided by
// the number of those that it tried to reach.
func (g *Gossiper) Reachable() (names []string, share float64) {
	peers := g.PeersFunc()
	now := g.Clock.Now()
	names = append(make([]string, 0, len(peers)+1), string(g.Instance))
	reached, unreached := 1.0, 0.0
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range peers {
		at, heard := g.lastMessageAt[p.Instance]
		since, failing := g.failingSince[p.Instance]
		switch {
		case heard && now-at < aliveTimeout:
			reached++
		case failing && now-since >= aliveTimeout && now-g.lastFailedAt[p.Instance] < unreachableRetention:
			unreached++
			continue
		}
		names = append(names, string(p.Instance))
	}
	return names, reached / (reached + unreached)
}

// HeardWithin reports whether a message from any peer arrived within a time, or there are no peers.
func (g *Gossiper) HeardWithin(span clock.Millis) bool {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range g.lastMessageAt {
		if now-at < span {
			return true
		}
	}
	return len(g.PeersFunc()) == 0
}

// StoreElsewhere reports whether a peer that was heard of lately can read a kind of objects from the
// store.
func (g *Gossiper) StoreElsewhere(kind storer.ObjectKind) bool {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for instance, at := range g.lastMessageAt {
		if now-at < aliveTimeout && !g.storeLost[instance][kind] {
			return true
		}
	}
	return false
}

// responding returns the peers whose last call succeeded or that have not been called yet.
func (g *Gossiper) responding(peers []Peer) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		_, failing := g.failingSince[p.Instance]
		return failing
	})
}

// eligible returns the peers without those whose last call failed within failureBackoff and
// those whose last message said that they had lost the store.
func (g *Gossiper) eligible(kind storer.ObjectKind, peers []Peer) []Peer {
	var eligible []Peer
	now := g.Clock.Now()
	g.mu.Lock()
	for _, p := range peers {
		failed := g.lastFailedAt[p.Instance]
		if (failed == 0 || now-failed > failureBackoff) && !g.storeLost[p.Instance][kind] {
			eligible = append(eligible, p)
		}
	}
	g.mu.Unlock()
	return eligible
}

// dropWeak removes peers with less than half of the greatest strength. It returns all peers if
// fewer than n would remain.
func dropWeak(peers []Peer, n int) []Peer {
	greatest := 0.0
	for _, p := range peers {
		greatest = max(greatest, p.Strength)
	}
	var chosen []Peer
	for _, p := range peers {
		if 2*p.Strength >= greatest {
			chosen = append(chosen, p)
		}
	}
	if len(chosen) < n {
		return peers
	}
	return chosen
}

// topRanked returns the n candidates with the highest rendezvous scores for an item, after
// dropWeak has removed weak ones.
func (g *Gossiper) topRanked(item string, candidates []Peer, n int) []Peer {
	candidates = dropWeak(candidates, n)
	if len(candidates) <= n {
		return candidates
	}
	best := make([]Peer, 0, n)
	scores := make([]uint64, 0, n)
	for _, p := range candidates {
		score := dutyHash.Score(item, string(p.Instance))
		index, _ := slices.BinarySearchFunc(scores, score, func(existing, s uint64) int { return cmp.Compare(s, existing) })
		if index == n {
			continue
		}
		if len(best) == n {
			best, scores = best[:n-1], scores[:n-1]
		}
		best, scores = slices.Insert(best, index, p), slices.Insert(scores, index, score)
	}
	return best
}

var dutyHash = hasher.Hasher{Salt: "duty"}
