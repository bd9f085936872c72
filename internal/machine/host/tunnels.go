package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/pathfinder"
	"example.com/dotterelwell/internal/link/selector"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/runner"
)

const (
	// tunnelPart is the part of the process's memory, and of its descriptors, that tunnels carried
	// for peers may take.
	tunnelPart = 1.0 / 8
	// tunnelDescriptors is the number of descriptors that a carried tunnel takes.
	tunnelDescriptors = 2
	// reachSample is how many other servers are tried to find out whether a server that refuses
	// connections has crashed.
	reachSample = 4
	// lossCheckTime is how long after a lost attempt it is known whether the link to the server is lost, and
	// earlyCheckTime how long after it if connections are opened meanwhile.
	lossCheckTime  clock.Millis = 700
	earlyCheckTime clock.Millis = 100
)

// wireTunnels builds the ways to servers: directly, and through peers while links are lost.
func (h *Host) wireTunnels() {
	h.Connector = &connector.Connector{DialFunc: h.outside.DialFunc}
	h.Pathfinder = &pathfinder.Pathfinder{Clock: h.Clock, DialFunc: h.outside.DialFunc, OnLost: func(server ident.Address) { h.Transporter.DropIdle(server) }, OnCutOff: h.noteCutOff}
	h.Tunneler = &tunneler.Tunneler{Instance: h.Profile.Instance, Connector: h.Connector, DialFunc: h.Pathfinder.CarryContext, MayCarryFunc: h.mayCarry, StoppingFunc: h.draining.Load, Limit: h.tunnelLimit()}
	h.Selector = &selector.Selector{Clock: h.Clock, Zone: h.Profile.Zone, PeersFunc: h.Enlister.Peers, OpenFunc: h.Tunneler.Open}
	h.Tunneler.CarriersFunc = h.Selector.Carriers
	h.Pathfinder.TunnelFunc = h.Selector.Open
	h.Connector.StreamFuncs = map[string]func(*connector.Stream){tunneler.OpenMethod: h.Tunneler.Carry}
	h.Roster.LostFunc = h.Pathfinder.IsLost
	h.Meter.Gauge("lost_links", "Backend servers that this instance reaches through peers only.", func() float64 { return float64(h.Pathfinder.Lost()) })
	h.Meter.Gauge("carried_tunnels", "Connections to backend servers that this instance carries for peers.", func() float64 { return float64(h.Tunneler.Carried()) })
}

// tunnelLimit returns how many tunnels this instance carries at most.
func (h *Host) tunnelLimit() int {
	limit := int(tunnelPart * float64(h.Profile.MemoryBytes) / tunneler.MemoryBytes)
	if sockets := h.Profile.Sockets(); sockets > 0 {
		limit = min(limit, int(tunnelPart*float64(sockets)/tunnelDescriptors))
	}
	return max(limit, 1)
}

// mayCarry returns why no tunnel to a server may be carried now that must last so long. An instance that stops carries them
// as long as it takes such requests from its own callers.
func (h *Host) mayCarry(server ident.Address, left clock.Millis) error {
	if h.stopsBefore(left) {
		return errors.New("the instance is stopping")
	}
	return h.Roster.MayCarry(server)
}

// noteCutOff is called when this instance finds that it is cut off from servers.
func (h *Host) noteCutOff(hangs bool) {
	if hangs {
		h.Transporter.Close() // the idle connections would hang as well
	}
	if !h.Gossiper.InLargeFleet() {
		h.Gossiper.SendToAll(context.Background()) // the replies tell which peers are not
	}
}

// tunnelReport is what messages to peers say about tunnels.
func (h *Host) tunnelReport() tunneler.Report {
	report := tunneler.Report{Carries: true, Carried: h.Tunneler.Carried(), Stopping: h.draining.Load(), CutOff: h.Pathfinder.CutOff()}
	if report.CutOff {
		report.Carriers = h.Selector.Carriers()
	}
	return report
}

// noteLoss counts a lost attempt for the roll-outs, unless the link was lost: that says nothing
// about the server. Neither does an attempt that was lost through a peer.
func (h *Host) noteLoss(o runner.AttemptOutcome) {
	if o.Via != "" {
		return
	}
	lostAt := h.Clock.Now()
	count := func() {
		if !h.Pathfinder.IsLost(o.Server) {
			h.Stager.RecordFailure(o.Service, o.Release, o.Route.Name)
		}
	}
	time.AfterFunc(earlyCheckTime.Duration(), func() {
		if h.Pathfinder.DirectSince(lostAt) {
			count()
			return
		}
		time.AfterFunc((lossCheckTime - earlyCheckTime).Duration(), count)
	})
}

// reachesOthers reports whether this instance has reached another server than the given one since a time, or
// knows of no other.
func (h *Host) reachesOthers(ctx context.Context, server ident.Address, since clock.Millis) bool {
	if h.Pathfinder.DirectSince(since) {
		return true
	}
	others := h.Roster.OtherAddresses(server, reachSample)
	return len(others) == 0 || h.Pathfinder.ReachesAny(ctx, others)
}

// noteAdvice tells a peer what a server said to it in an answer that it passed on unread.
func (h *Host) noteAdvice(peer ident.Instance) { h.Gossiper.SendTo(context.Background(), peer) }
