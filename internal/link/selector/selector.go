// Package selector chooses the peers through which connections to backend servers are opened.
package selector

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// maxAsked is how many peers are asked for one connection, and maxFailed after how many of them
	// that could not connect to the server the others are not asked.
	maxAsked  = 3
	maxFailed = 2
	// freshReport is how long a peer's report tells its present state, and reportRetention how long it
	// tells that the peer's build knows tunnels.
	freshReport     = 3 * clock.Second
	reportRetention = 10 * clock.Minute
	// referralRetention is how long a peer counts as carrying because another one has said so.
	referralRetention = 3 * clock.Second
	// silentPause is how long a peer is not asked that could not be reached.
	silentPause = 1 * clock.Second
	// remoteCost is the cost of a peer in another zone, in tunnels: traffic between zones is priced.
	remoteCost = 16
	// sampleSize is how many peers of a rank are compared. The reports are some tenths of a second old:
	// if all instances compared all peers, all would choose the same.
	sampleSize = 6
	// maxFailures bounds the failed questions in each second.
	maxFailures = 30
)

// Selector chooses peers. Set the exported fields before use.
type Selector struct {
	Clock *clock.Clock
	Zone  declaration.ZoneName
	// PeersFunc returns the other instances.
	PeersFunc func() []gossiper.Peer
	// OpenFunc opens a connection to a server through a peer, as Tunneler.Open does.
	OpenFunc func(ctx context.Context, peer ident.Instance, at, server ident.Address) (*tunneler.Conn, tunneler.OpenReply, error)

	mu    sync.Mutex
	peers map[ident.Instance]*peerState
	// failures is the number of failed questions in the second from failuresAt on.
	failures   int
	failuresAt clock.Millis
}

// peerState is what this instance knows of a peer.
type peerState struct {
	report     tunneler.Report
	reportedAt clock.Millis
	// carriedAt and failedAt are when the peer last opened a connection for this instance and when it
	// last could not, and referredAt when another peer last named it as one that can.
	carriedAt, failedAt, referredAt clock.Millis
	// silentAt is when the peer itself could last not be reached.
	silentAt clock.Millis
	// open is the number of this instance's connections through the peer.
	open int
}

// rank orders peers by how likely they are to reach servers.
type rank int

const (
	rankProven  rank = iota // it has connected lately, by itself or by a referral, while others could not
	rankReaches             // it has connected lately, or says that it is not cut off
	rankUnknown
	rankStopping // it is about to stop
	rankFailed   // it could not connect when it was last asked
	rankNone     // its build doesn't know tunnels, or it says that it carries none
)

// rank returns the rank of a peer. someFail is set if peers could not connect lately. A nil peerState is
// that of a peer that has not reported.
func (s *peerState) rank(now clock.Millis, someFail bool) rank {
	if s == nil || !s.report.Carries || now-s.reportedAt >= reportRetention || now-s.silentAt < silentPause {
		return rankNone
	}
	fresh := now-s.reportedAt < freshReport
	proven := s.carriesSince(now-freshReport) || s.referredAt > now-referralRetention
	switch {
	case fresh && s.report.CutOff && s.carriedAt < s.reportedAt:
		return rankNone
	case s.failedAt > max(s.carriedAt, s.referredAt):
		return rankFailed
	case s.report.Stopping:
		return rankStopping
	case proven && someFail:
		return rankProven
	case proven, fresh:
		return rankReaches
	}
	return rankUnknown
}

// carriesSince reports whether the peer's last connection for this instance succeeded, after the given time.
func (s *peerState) carriesSince(at clock.Millis) bool {
	return s.carriedAt > max(at, s.failedAt)
}

// candidate is a peer to ask.
type candidate struct {
	gossiper.Peer
	state *peerState
	cost  int
}

// Open opens a connection to a server through a peer. The error tells of the server only if peers
// have tried to connect to it.
func (s *Selector) Open(ctx context.Context, server ident.Address) (net.Conn, error) {
	const op = "open connection through a peer"
	var failed error
	var asked []ident.Instance
	unreached := 0
	for len(asked) < maxAsked && unreached < maxFailed && ctx.Err() == nil {
		c, found := s.choose(asked)
		if !found {
			break
		}
		asked = append(asked, c.Instance)
		conn, reply, err := s.OpenFunc(ctx, c.Instance, c.Address, server)
		s.record(c, reply, err, ctx.Err() != nil)
		if err == nil {
			conn.OnClose(func() { s.release(c.state) })
			return conn, nil
		}
		kind := tunneler.KindOf(err)
		tried := kind == tunneler.KindServerRefused || kind == tunneler.KindServerSilent
		if tried {
			unreached++
		}
		if failed == nil || tried {
			failed = err
		}
	}
	if failed == nil {
		return nil, fault.Newf(op, tunneler.KindNoPeer, "no peer carries connections")
	}
	return nil, failed
}

// choose returns the peer to ask next: the one with the least cost among a sample of those with the best rank, or
// among those that failed the one that did so first.
func (s *Selector) choose(asked []ident.Instance) (best candidate, found bool) {
	peers := s.PeersFunc()
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.failuresAt < clock.Second && s.failures >= maxFailures {
		return candidate{}, false
	}
	someFail := now-s.failuresAt < freshReport
	compared := 0
	bestRank := rankNone
	for _, n := range rand.Perm(len(peers)) {
		p := peers[n]
		state := s.peers[p.Instance]
		r := state.rank(now, someFail)
		if r == rankNone || r > bestRank || slices.Contains(asked, p.Instance) {
			continue
		}
		if r < bestRank {
			bestRank, compared, found = r, 0, false
		}
		if compared++; r != rankFailed && compared > sampleSize {
			continue
		}
		c := candidate{Peer: p, state: state, cost: state.report.Carried + state.open}
		switch {
		case r == rankFailed:
			c.cost = int(state.failedAt - now)
		case p.Zone != s.Zone:
			c.cost += remoteCost
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// record records the result of asking a peer.
func (s *Selector) record(c candidate, reply tunneler.OpenReply, err error, cancelled bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state.report.Stopping = c.state.report.Stopping || reply.Stopping
	switch {
	case err == nil:
		c.state.carriedAt = now
		c.state.open++
		return
	case cancelled:
		return
	}
	c.state.failedAt = now
	if tunneler.KindOf(err) == tunneler.KindNoPeer {
		c.state.silentAt = now
	}
	if now-s.failuresAt >= clock.Second {
		s.failuresAt, s.failures = now, 0
	}
	s.failures++
	for _, instance := range reply.Carriers {
		if known := s.peers[instance]; known != nil {
			known.referredAt = now
		}
	}
}

func (s *Selector) release(state *peerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.open--
}

// Merge takes in a peer's report. Instances that are not on the list any more are forgotten.
func (s *Selector) Merge(from ident.Instance, report tunneler.Report) {
	peers := s.PeersFunc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[ident.Instance]*peerState{}
	}
	state := s.peers[from]
	if state == nil {
		if !report.Carries {
			return
		}
		state = &peerState{}
		s.peers[from] = state
		s.forgetAllBut(peers)
	}
	state.report, state.reportedAt = report, s.Clock.Now()
	for _, instance := range report.Carriers {
		if known := s.peers[instance]; known != nil {
			known.referredAt = s.Clock.Now()
		}
	}
}

// forgetAllBut forgets the instances that are not listed. The lock must be held.
func (s *Selector) forgetAllBut(peers []gossiper.Peer) {
	if len(s.peers) <= 2*len(peers)+1 {
		return
	}
	listed := map[ident.Instance]bool{}
	for _, p := range peers {
		listed[p.Instance] = true
	}
	for instance := range s.peers {
		if !listed[instance] {
			delete(s.peers, instance)
		}
	}
}

// Carriers returns peers that reach servers, for peers that look for them.
func (s *Selector) Carriers() []ident.Instance {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var carriers []ident.Instance
	for instance, state := range s.peers {
		if len(carriers) == tunneler.MaxReferrals {
			break
		}
		if state.carriesSince(now - freshReport) {
			carriers = append(carriers, instance)
		}
	}
	return carriers
}
