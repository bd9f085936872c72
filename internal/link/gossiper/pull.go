package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// catchUp compares a peer's copies of the store's objects with those of this instance, and pulls
// the changes that this instance lacks.
func (g *Gossiper) catchUp(ctx context.Context, p Peer, copies map[storer.ObjectKind]CopyStatus) {
	for kind, c := range copies {
		i := g.Informers[kind]
		switch {
		case i == nil:
		case i.Point().Before(c.point()), i.LacksKept(c.point(), c.Kept):
			g.pullFrom(ctx, p, i)
		default:
			i.Confirm(c.point(), c.Age)
		}
	}
}

// point returns the store's point up to which the copy is complete.
func (c CopyStatus) point() ident.StorePoint {
	return ident.StorePoint{Era: c.Era, Version: c.Position}
}

// Pull asks up to pullPeers random peers in turn for the changes of a kind after a version.
func (g *Gossiper) Pull(ctx context.Context, kind storer.ObjectKind, after ident.StorePoint) (informer.Update, bool) {
	peers := slices.Clone(g.PeersFunc())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(pullPeers, len(peers))] {
		if update, found := g.pullOnce(ctx, p, kind, after); found {
			return update, true
		}
	}
	return informer.Update{}, false
}

// pullPeers is the maximum number of peers that Pull asks.
const pullPeers = 3

func (g *Gossiper) pullFrom(ctx context.Context, p Peer, i *informer.Informer) {
	if !g.startPull(i.Kind) {
		return // a pull of the same kind is in progress
	}
	defer g.finishPull(i.Kind)
	if update, found := g.pullOnce(ctx, p, i.Kind, i.Point()); found {
		i.Apply(update)
	}
}

func (g *Gossiper) pullOnce(ctx context.Context, p Peer, kind storer.ObjectKind, after ident.StorePoint) (informer.Update, bool) {
	var reply PullReply
	err := g.callWithTimeout(ctx, pullTimeout, p, "Pull", PullArgs{Kind: kind, After: after.Version, Era: after.Era}, &reply)
	if err == nil {
		err = reply.unpack()
	}
	if err != nil {
		g.recordContact(p.Instance, err)
		return informer.Update{}, false
	}
	return reply.Update, reply.Found
}

func (g *Gossiper) startPull(kind storer.ObjectKind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pulling[kind] {
		return false
	}
	if g.pulling == nil {
		g.pulling = map[storer.ObjectKind]bool{}
	}
	g.pulling[kind] = true
	return true
}

func (g *Gossiper) finishPull(kind storer.ObjectKind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pulling, kind)
}
