package host

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/duty/autoscaler"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/duty/scaler"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/platform"
)

const (
	// wholePart is the part of the listed instances whose demand must be known for servers to be taken
	// away.
	wholePart = 0.9
	// maxServersAge is the age of the copy of the servers' entries up to which servers are ordered.
	maxServersAge = 5 * clock.Second
)

// wireScaling builds what orders backend servers.
func (h *Host) wireScaling() {
	d := &h.duties
	d.demander = &demander.Demander{Clock: h.Clock, Zone: h.Profile.Zone, SentFunc: h.Roster.Sent, ServicesFunc: h.scaledServices}
	h.Gossiper.DemandFunc = h.demandFor
	held := d.leasers[duty.Scaling]
	d.autoscaler = &autoscaler.Autoscaler{
		Clock: h.Clock, HeldFunc: held.Held, SupersededFunc: held.Superseded, ScaleFunc: h.platformFor(duty.Scaling).Scale,
		StatesFunc: h.scalingStates, PerSecond: h.Profile.Duties.DutyCallsPerSecond,
		OnState: func(s autoscaler.Subject, present, desired int) {
			h.Meter.ServersPresent.WithLabelValues(string(s.Service), string(s.Zone)).Set(float64(present))
			h.Meter.ServersDesired.WithLabelValues(string(s.Service), string(s.Zone)).Set(float64(desired))
		},
		OnLost: func() {
			h.Meter.ServersPresent.Reset()
			h.Meter.ServersDesired.Reset()
		},
		OnCall: func(s autoscaler.Subject, result string) {
			h.Meter.ServerOrders.WithLabelValues(string(s.Service), string(s.Zone), result).Inc()
		},
	}
}

// demandFor returns the demand for servers that a message to a peer carries.
func (h *Host) demandFor(peer gossiper.Peer, asked bool) (own *demander.Report, zones map[declaration.ZoneName]demander.Report) {
	claim, _ := h.duties.leasers[duty.Scaling].Claim()
	large := h.Gossiper.InLargeFleet()
	tells := chooseDemand(demandTold{
		large: large, watches: large && h.Gossiper.Watches(h.Gossiper.WatchedKind), asked: asked,
		sameZone: peer.Zone == h.Profile.Zone, toHolder: peer.Instance == claim.Holder,
	})
	if tells.own {
		own = h.duties.demander.Own()
	}
	switch tells.zones {
	case zonesAll:
		zones = h.duties.demander.Zones(h.inZone())
	case zonesOwn:
		zones = h.duties.demander.OwnZone(h.inZone())
	}
	return own, zones
}

// demandTold describes a message: whether the fleet is large, this instance watches its zone, the peer
// asked, and who the peer is.
type demandTold struct{ large, watches, asked, sameZone, toHolder bool }

// zoneScope tells of which zones a message carries the sums.
type zoneScope int

const (
	zonesNone zoneScope = iota
	zonesOwn
	zonesAll
)

// demandChoice tells what a message carries.
type demandChoice struct {
	own   bool
	zones zoneScope
}

// chooseDemand returns what a message carries. In a small fleet all instances tell theirs to whom they
// talk. In a large one they tell it to those that they call in their zone, among them its watcher, which
// tells the zone's to watchers of other zones, and all to the holder.
func chooseDemand(m demandTold) demandChoice {
	choice := demandChoice{own: !m.large || !m.asked && m.sameZone}
	switch {
	case !m.large || !m.watches:
	case m.toHolder:
		choice.zones = zonesAll
	case !m.sameZone:
		choice.zones = zonesOwn
	}
	return choice
}

// inZone returns a function that reports whether an instance is in this one's zone.
func (h *Host) inZone() func(ident.Instance) bool {
	members := map[ident.Instance]bool{}
	for _, p := range h.Enlister.Peers() {
		if p.Zone == h.Profile.Zone {
			members[p.Instance] = true
		}
	}
	return func(instance ident.Instance) bool { return members[instance] }
}

// scaledServices returns the services whose servers are ordered.
func (h *Host) scaledServices() []declaration.ServiceName {
	config := h.Curator.View().Config
	if config == nil {
		return nil
	}
	var scaled []declaration.ServiceName
	for name, service := range config.Services {
		if service.Scaling != nil {
			scaled = append(scaled, name)
		}
	}
	return scaled
}

// scalingStates returns the state of each service whose servers are ordered, and whether the view of
// the servers is recent.
func (h *Host) scalingStates() ([]scaler.State, bool) {
	view := h.Curator.View()
	if !h.informed() || h.informers[platform.ServerKind].Age() > maxServersAge {
		return nil, false
	}
	total := h.duties.demander.Total(h.Gossiper.InLargeFleet(), h.inZone())
	whole := float64(total.Instances) >= wholePart*float64(len(h.Enlister.Names()))
	var states []scaler.State
	for _, name := range h.scaledServices() {
		order, ordered := view.Rollouts[name]
		state := scalingState(total.Services[name], h.Roster.Census(name), view.EvacuatedZones)
		state.Now, state.Service, state.Target = h.Clock.Now(), view.Config.Services[name], shortestTarget(view.Config, name)
		state.RolloutOpen, state.Demand.Whole = ordered && order.Outcome == backend.OutcomeOpen, whole
		states = append(states, state)
	}
	return states, true
}

// scalingState returns the demand for a service and its servers in each zone.
func scalingState(demand demander.Demand, census map[declaration.ZoneName]roster.Census, evacuated map[declaration.ZoneName]bool) scaler.State {
	perSecond := float64(clock.Second) / float64(demander.Window)
	state := scaler.State{
		Demand: scaler.Demand{Work: float64(demand.Work) * perSecond, Requests: float64(demand.Requests) * perSecond},
		Zones:  map[declaration.ZoneName]scaler.Servers{},
	}
	for zone, c := range census {
		state.Zones[zone] = scaler.Servers{Present: c.Present, OtherSide: c.OtherSide, Ready: c.Ready, Cold: c.Cold, Evacuated: evacuated[zone]}
		state.Mixed = state.Mixed || c.Mixed
		state.Demand.Busy += c.Busy
		state.Demand.Backlog += float64(c.Backlog)
	}
	return state
}

// shortestTarget returns the shortest first-byte target among the routes to a service, or 0.
func shortestTarget(config *routing.Config, service declaration.ServiceName) clock.Millis {
	shortest := clock.Millis(0)
	for _, route := range config.Routes {
		for _, share := range route.Shares {
			if share.Service == service && share.Weight > 0 && route.FirstByteTarget > 0 && (shortest == 0 || route.FirstByteTarget < shortest) {
				shortest = route.FirstByteTarget
			}
		}
	}
	return shortest
}
