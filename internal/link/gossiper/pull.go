package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// catchUp compares a peer's copies of the store's objects with those of this instance, and pulls
// the changes that this instance lacks.
func (g *Gossiper) catchUp(ctx context.Context, p Peer, copies map[storer.ObjectKind]CopyStatus) {
	for kind, c := range copies {
		i := g.Informers[kind]
		if i != nil && i.Point().Era == c.Era {
			i.NoteSteady(c.SteadyFor, c.Age)
		}
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
	finish, started := g.startPull(i.Kind)
	if !started {
		return
	}
	defer finish()
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

// startPull reports whether a pull may begin, and returns a function to call at its end. None may while another of the same kind
// is in progress, unless that has taken as long as a call without objects may take: its connection may have fallen silent.
func (g *Gossiper) startPull(kind storer.ObjectKind) (finish func(), started bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if began, found := g.pullBegan[kind]; found && now-began < callTimeout {
		return nil, false
	}
	if g.pullBegan == nil {
		g.pullBegan = map[storer.ObjectKind]clock.Millis{}
	}
	g.pullBegan[kind] = now
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pullBegan[kind] == now {
			delete(g.pullBegan, kind)
		}
	}, true
}
