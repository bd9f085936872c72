package gossiper

import (
	"cmp"
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/ident"
)

// partners returns the peers of a round, which depend on the roll-outs in the message.
func (g *Gossiper) partners(round int, message Message) []Peer {
	peers := g.PeersFunc()
	chosen := map[ident.Instance]Peer{}
	if watchers := g.holders(g.WatchedKind, watchDuty, g.neighbours(), g.watchers()); len(watchers) > 0 {
		p := watchers[round%len(watchers)]
		chosen[p.Instance] = p
	}
	for service := range message.Stages {
		for _, p := range g.collectors(service) {
			chosen[p.Instance] = p
		}
	}
	random := manyPeers
	if g.InLargeFleet() {
		random = fewPeers
		g.addForeignWatchers(chosen, round)
	}
	for n := range min(random, len(peers)) {
		p := peers[(round*random+n)%len(peers)]
		chosen[p.Instance] = p
	}
	delete(chosen, g.Instance)
	return slices.Collect(maps.Values(chosen))
}

// InLargeFleet reports whether the fleet is too large for all instances to be neighbours.
func (g *Gossiper) InLargeFleet() bool { return len(g.PeersFunc()) >= smallFleet }

func (g *Gossiper) watchers() int {
	if g.InLargeFleet() {
		return g.ZoneWatchers
	}
	return g.Watchers
}

// neighbours returns the peers that this instance shares watchers with.
func (g *Gossiper) neighbours() []Peer {
	if !g.InLargeFleet() {
		return g.PeersFunc()
	}
	return g.inZone(g.Zone)
}

func (g *Gossiper) inZone(zone declaration.ZoneName) []Peer {
	var near []Peer
	for _, p := range g.PeersFunc() {
		if p.Zone == zone {
			near = append(near, p)
		}
	}
	return near
}

// addForeignWatchers lets the watchers of zones exchange the sums of loads.
func (g *Gossiper) addForeignWatchers(chosen map[ident.Instance]Peer, round int) {
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
		watchers := g.rank(watchDuty, g.able(g.WatchedKind, peers), g.watchers())
		if len(watchers) > 0 {
			p := watchers[round%len(watchers)]
			chosen[p.Instance] = p
		}
	}
}

// collectors returns the instances that collect the evidence about a service's roll-out.
func (g *Gossiper) collectors(service declaration.ServiceName) []Peer {
	return g.holders(g.WatchedKind, string(service), g.PeersFunc(), evidenceCopies)
}

// CollectsEvidence reports whether this instance collects the evidence about a service's
// roll-out. Others see their own evidence only.
func (g *Gossiper) CollectsEvidence(service declaration.ServiceName) bool {
	return g.holds(g.collectors(service))
}

const (
	// watchDuty is the item of the duty to watch the store.
	watchDuty = "watch"
	// evidenceCopies is the number of instances that collect the evidence about a roll-out.
	evidenceCopies = 2
)

// Watches reports whether this instance watches a kind of objects for its neighbours.
func (g *Gossiper) Watches(kind storer.ObjectKind) bool {
	return g.holds(g.holders(kind, watchDuty, g.neighbours(), g.watchers()))
}

// HoldsDuty reports whether this instance holds the duty for a service's roll-out. Two
// instances may both believe so.
func (g *Gossiper) HoldsDuty(service declaration.ServiceName) bool {
	return g.holds(g.holders(g.DutyKind, string(service), g.PeersFunc(), 1))
}

func (g *Gossiper) holds(holders []Peer) bool {
	return slices.ContainsFunc(holders, func(p Peer) bool { return p.Instance == g.Instance })
}

// holders returns the n instances of highest weight for an item among this one and the
// peers that answer and reach the store, as far as known. While nobody reaches it, they
// are chosen among those that answer, and the others wait for them to find it again.
func (g *Gossiper) holders(kind storer.ObjectKind, item string, peers []Peer, n int) []Peer {
	self := Peer{Instance: g.Instance, Zone: g.Zone, Strength: g.Strength}
	able := g.able(kind, peers)
	if own := g.Informers[kind]; own == nil || !own.StoreLost() {
		able = append(able, self)
	}
	if len(able) > 0 {
		return g.rank(item, able, n)
	}
	chosen := g.rank(item, append(g.answering(peers), self), n)
	if slices.ContainsFunc(chosen, func(p Peer) bool { return g.Alive(p.Instance) }) {
		return chosen
	}
	return append(chosen, self) // they may be cut off from this instance
}

// answering returns the peers that answered when they were last called, or have not been.
func (g *Gossiper) answering(peers []Peer) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		_, failing := g.failedSince[p.Instance]
		return failing
	})
}

// able returns the peers that answer and reach the store, as far as known.
func (g *Gossiper) able(kind storer.ObjectKind, peers []Peer) []Peer {
	var able []Peer
	now := g.Clock.Now()
	g.mu.Lock()
	for _, p := range peers {
		failed := g.failedAt[p.Instance]
		if (failed == 0 || now-failed > retryAfter) && !g.lost[p.Instance][kind] {
			able = append(able, p)
		}
	}
	g.mu.Unlock()
	return able
}

// strong leaves out peers with less than half of the greatest strength, if n remain.
func strong(peers []Peer, n int) []Peer {
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

// rank returns the n strong peers of highest weight for an item.
func (g *Gossiper) rank(item string, able []Peer, n int) []Peer {
	able = strong(able, n)
	if len(able) <= n {
		return able
	}
	best := make([]Peer, 0, n)
	scores := make([]uint64, 0, n)
	for _, p := range able {
		score := dutyHash.Score(item, string(p.Instance))
		at, _ := slices.BinarySearchFunc(scores, score, func(held, s uint64) int { return cmp.Compare(s, held) })
		if at == n {
			continue
		}
		if len(best) == n {
			best, scores = best[:n-1], scores[:n-1]
		}
		best, scores = slices.Insert(best, at, p), slices.Insert(scores, at, score)
	}
	return best
}

var dutyHash = hasher.Hasher{Salt: "duty"}
