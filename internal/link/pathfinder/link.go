package pathfinder

import (
	"context"
	"net"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// retention is how long the state of a link is kept after its last use.
	retention = 30 * clock.Second
	// maxLinks bounds the links that are kept.
	maxLinks = 1 << 14
	// cutRetention is how long an instance without requests counts as cut off.
	cutRetention = 5 * clock.Second
)

// link is the state of the link to one server. It is kept from a failed connection until a direct one
// succeeds.
type link struct {
	// lost is set while direct connections fail and those of peers don't.
	lost bool
	// downAt is when neither this instance nor a peer could connect; zero while the link is lost.
	downAt clock.Millis
	// hangs tells that direct connections hang rather than fail at once.
	hangs bool
	// asking is set while peers are asked whether they reach the server; probing while an
	// attempt in the background is under way, of which the last began at probedAt.
	asking, probing  bool
	probedAt, usedAt clock.Millis
}

// isDown reports whether nobody reached the server lately. If connections hang, that holds until an attempt in
// the background succeeds, so that no request waits to find it out.
func (l *link) isDown(now clock.Millis) bool {
	return l.downAt > 0 && (l.hangs || now-l.downAt < downTimeout)
}

// cut is what the links together tell about this instance.
type cut struct {
	// off is set while the instance counts as cut off, and wantedAt is when a connection was last
	// asked for meanwhile.
	off      bool
	wantedAt clock.Millis
	// lost is the number of lost links, and hangs whether connections over the last one hang.
	lost  int
	hangs bool
	// directAt is when the last direct connection to any server was opened, and lostSince the number
	// of links lost since then.
	directAt  clock.Millis
	lostSince int
}

// path is how to connect to a server.
type path int

const (
	// pathRace is to connect directly, and through a peer if that fails or takes long.
	pathRace path = iota
	// pathDirect is to connect directly only, because peers are being asked or could not connect either.
	pathDirect
	// pathPeers is to connect through a peer.
	pathPeers
	// pathNone is not to connect.
	pathNone
)

// choosePath chooses how to connect to a server, and starts a direct attempt in the background where one is due.
func (p *Pathfinder) choosePath(server ident.Address) path {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	l := p.links[server]
	if p.cut.off {
		p.cut.wantedAt = now
	}
	if p.cut.off && (l == nil || !l.lost && !l.isDown(now)) {
		l = p.linkTo(server)
		p.setLost(l, p.cut.hangs)
	}
	if l == nil {
		return pathRace
	}
	l.usedAt = now
	switch {
	case l.lost:
		p.probe(server, l, now)
		return pathPeers
	case l.isDown(now) && l.hangs:
		p.probe(server, l, now)
		return pathNone
	case l.isDown(now), l.asking:
		return pathDirect
	}
	return pathRace
}

// CutOff reports whether this instance is cut off from servers, as far as it has tried lately.
func (p *Pathfinder) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut.off && p.Clock.Now()-p.cut.wantedAt < cutRetention
}

// Lost returns the number of servers whose links are lost.
func (p *Pathfinder) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut.lost
}

// DirectSince reports whether a direct connection to any server has been opened after the given time.
func (p *Pathfinder) DirectSince(at clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut.directAt > at
}

// IsLost reports whether the link to a server is lost.
func (p *Pathfinder) IsLost(server ident.Address) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.lost == 0 {
		return false
	}
	l := p.links[server]
	return l != nil && l.lost || l == nil && p.cut.off
}

// linkTo returns the state of a link, and makes it if there is none. The lock must be held.
func (p *Pathfinder) linkTo(server ident.Address) *link {
	l := p.links[server]
	if l == nil {
		if p.links == nil {
			p.links = map[ident.Address]*link{}
		}
		p.sweep()
		l = &link{usedAt: p.Clock.Now()}
		p.links[server] = l
	}
	return l
}

// sweep forgets the links that have not been used for a while, and others if they are too many. The
// lock must be held.
func (p *Pathfinder) sweep() {
	now := p.Clock.Now()
	if now-p.sweptAt < retention && len(p.links) < maxLinks {
		return
	}
	p.sweptAt = now
	for server, l := range p.links {
		if now-l.usedAt >= retention || len(p.links) >= maxLinks {
			p.forget(server, l)
		}
	}
}

// forget removes the state of a link. The lock must be held.
func (p *Pathfinder) forget(server ident.Address, l *link) {
	delete(p.links, server)
	if l.lost {
		p.cut.lost--
	}
}

// setLost marks a link as lost. The lock must be held.
func (p *Pathfinder) setLost(l *link, hangs bool) {
	if l.lost {
		return
	}
	l.lost, l.downAt, l.hangs = true, 0, hangs
	p.cut.lost++
	p.cut.lostSince++
	p.cut.hangs = hangs
}

// startAsking reports whether peers may be asked for a server. Only one question for it is under
// way at a time, so that many callers of a server that is down ask no more than one; again allows one
// for a server that is down.
func (p *Pathfinder) startAsking(server ident.Address, again bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.linkTo(server)
	now := p.Clock.Now()
	if l.asking || l.isDown(now) && !again || !p.mayAsk(now) {
		return false
	}
	l.asking = true
	return true
}

// mayAsk counts a question of peers, and reports whether it is within maxCalmAsks. The lock must be held.
func (p *Pathfinder) mayAsk(now clock.Millis) bool {
	if p.cut.lost > 0 || now-p.cut.directAt >= calmTime {
		return true
	}
	if now-p.calmAskedAt >= clock.Second {
		p.calmAsks, p.calmAskedAt = 0, now
	}
	p.calmAsks++
	return p.calmAsks <= maxCalmAsks
}

// endAsking ends what startAsking has begun, if it has.
func (p *Pathfinder) endAsking(server ident.Address, asked bool) {
	if !asked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[server]; l != nil {
		l.asking = false
	}
}

// probe starts an attempt in the background unless one was made lately: a direct one if the link is lost, whose
// success ends that, and otherwise one of this instance and its peers. The lock must be held.
func (p *Pathfinder) probe(server ident.Address, l *link, now clock.Millis) {
	if l.probing || p.probes >= maxProbes || now-l.probedAt < probeInterval {
		return
	}
	l.probing, l.probedAt = true, now
	p.probes++
	lost := l.lost
	go func() {
		dial := p.dialDirect
		if !lost {
			dial = func(ctx context.Context, server ident.Address) (net.Conn, error) { return p.race(ctx, server, true) }
		}
		if conn, err := dial(context.Background(), server); err == nil {
			_ = conn.Close() // it has shown that the server is reached
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probes--
		l.probing = false
	}()
}

// recordDirect records that a direct connection succeeded.
func (p *Pathfinder) recordDirect(server ident.Address) {
	p.mu.Lock()
	p.cut.directAt, p.cut.lostSince = p.Clock.Now(), 0
	wasOff := p.cut.off
	p.cut.off = false
	l := p.links[server]
	if l != nil {
		p.forget(server, l)
	}
	lost := p.cut.lost
	p.mu.Unlock()
	if l != nil && l.lost {
		klog.InfoS("Link to a server is back", "address", server, "lost", lost)
	}
	if wasOff {
		klog.InfoS("Instance is no longer cut off from servers", "address", server, "lost", lost)
	}
}

// recordLost records that a peer could connect to a server and this instance could not.
func (p *Pathfinder) recordLost(server ident.Address, hangs bool) {
	p.mu.Lock()
	l := p.linkTo(server)
	news := !l.lost
	p.setLost(l, hangs)
	isCut := !p.cut.off && p.cut.lostSince >= minLost
	if isCut {
		p.cut.off, p.cut.wantedAt = true, p.Clock.Now()
	}
	lost, directAgo := p.cut.lost, p.Clock.Now()-p.cut.directAt
	p.mu.Unlock()
	if news {
		klog.InfoS("Link to a server is lost", "address", server, "hangs", hangs, "lost", lost, "direct-ms-ago", directAgo)
		if hangs && p.OnLost != nil {
			p.OnLost(server)
		}
	}
	if isCut {
		klog.InfoS("Instance is cut off from servers", "hangs", hangs, "lost", lost, "direct-ms-ago", directAgo)
		if p.OnCutOff != nil {
			p.OnCutOff(hangs)
		}
	}
}

// recordUnreached records that neither this instance nor a peer could connect to a server.
func (p *Pathfinder) recordUnreached(server ident.Address, hangs bool, peersErr error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.linkTo(server)
	switch kind := tunneler.KindOf(peersErr); {
	case l.lost:
	case p.cut.off && kind != tunneler.KindServerRefused && kind != tunneler.KindServerSilent:
		p.setLost(l, hangs) // no peer has tried
	default:
		l.downAt, l.hangs = p.Clock.Now(), hangs
	}
}

// recordDown records that a server whose link is lost could not be reached by a peer either.
func (p *Pathfinder) recordDown(server ident.Address, hangs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.linkTo(server)
	if l.lost {
		l.lost = false
		p.cut.lost--
	}
	l.downAt, l.hangs = p.Clock.Now(), hangs
}
