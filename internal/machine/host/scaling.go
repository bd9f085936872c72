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

// demandFor returns the demand for servers that a message to a peer carries. In a small fleet all
// instances tell theirs to whom they talk. In a large one they tell it to those that they call in their
// zone, among them its watcher, which tells the zone's to watchers of other zones, and all to the holder.
func (h *Host) demandFor(peer gossiper.Peer, asked bool) (own *demander.Report, zones map[declaration.ZoneName]demander.Report) {
	d := h.duties.demander
	large, sameZone := h.Gossiper.InLargeFleet(), peer.Zone == h.Profile.Zone
	if !large || !asked && sameZone {
		own = d.Own()
	}
	if !large || !h.Gossiper.Watches(h.Gossiper.WatchedKind) {
		return own, nil
	}
	claim, _ := h.duties.leasers[duty.Scaling].Claim()
	switch {
	case peer.Instance == claim.Holder:
		zones = d.Zones(h.inZone())
	case !sameZone:
		zones = d.OwnZone(h.inZone())
	}
	return own, zones
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
		perSecond := float64(clock.Second) / float64(demander.Window)
		state := scaler.State{
			Now: h.Clock.Now(), Service: view.Config.Services[name], Target: shortestTarget(view.Config, name),
			RolloutOpen: ordered && order.Outcome == backend.OutcomeOpen,
			Demand: scaler.Demand{
				Work: float64(total.Services[name].Work) * perSecond, Requests: float64(total.Services[name].Requests) * perSecond, Whole: whole,
			},
			Zones: map[declaration.ZoneName]scaler.Servers{},
		}
		for zone, c := range h.Roster.Census(name) {
			state.Zones[zone] = scaler.Servers{Present: c.Present, OtherSide: c.OtherSide, Ready: c.Ready, Cold: c.Cold, Evacuated: view.EvacuatedZones[zone]}
			state.Mixed = state.Mixed || c.Mixed
			state.Demand.Busy += c.Busy
			state.Demand.Backlog += float64(c.Backlog)
		}
		states = append(states, state)
	}
	return states, true
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
