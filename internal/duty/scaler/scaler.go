// Package scaler decides how many servers a service should have in each availability zone.
//
// The decision is pure: Decide gets the demand and the servers as they are now, keeps a history of
// the demand, and returns orders. Demand is counted in servers: the work that one server does when
// it processes prompts without a pause, or all of its slots. The number ordered carries the demand
// that is expected when servers ordered now begin to serve, and carries it still when the zone with
// the most servers is lost. It rises at once and falls in steps.
package scaler

import (
	"maps"
	"math"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// waitPart is the part of the target for the first event that a request may wait at a server on
	// average; the rest is for the processing of its own prompt and for uneven work.
	waitPart = 0.25
	// waitSpread is the factor by which prompts of uneven length lengthen the wait, compared with
	// prompts of equal length.
	waitSpread = 1.2
	// minUtilization and maxUtilization bound the utilization of servers at which requests begin in
	// time. Estimates of work are not exact, and prompts kept by servers make the work uneven.
	minUtilization, maxUtilization = 0.3, 0.7
	// lossUtilization is the utilization of the rest after the loss of a zone, for which room is kept:
	// requests wait longer until servers ordered in its place serve, but queues don't grow, although
	// prompts that the lost servers had cached are read again. At maxLossUtilization more are ordered.
	lossUtilization, maxLossUtilization = 0.9, 1.0
	// slotUtilization is the part of the slots that may be taken.
	slotUtilization = 0.8
	// maxGrowth bounds the forecast, relative to the demand now.
	maxGrowth = 1.5
	// surplus is the part of the servers by which a zone must exceed its need before servers are
	// taken away, and stepPart the part that one step takes away at most.
	surplus, stepPart = 0.1, 1.0 / 8
	// minHold is the least time for which the demand must have been low before a step down.
	minHold = 20 * clock.Second
	// settleSpan is the age of the history at which it is used: the reports of all instances have
	// arrived, and no expired ones count.
	settleSpan = 5 * clock.Second
	// trendSpan is the part of the history from which the growth of the demand is estimated, in
	// trendParts parts. It exceeds the waves of demand that servers cannot follow.
	trendSpan, trendParts = 12 * clock.Second, 4
	// smoothSpan is the span over which the demand is averaged before a peak is taken.
	smoothSpan = 2 * clock.Second
	// steadyPart is the part of a zone's servers that must be ready for its number to count as certain.
	steadyPart = 0.95
	// zoneRetention is how long a zone without servers counts as lost. A zone that is away for longer is
	// not expected back, and the others make room for the loss of one more.
	zoneRetention = 10 * 60 * clock.Second
	// lateFactor is the factor of the startup time after which an ordered server that is not present
	// is no longer expected.
	lateFactor = 2
)

// Demand is the fleet-wide demand for the servers of a service.
type Demand struct {
	// Work is the server time, in milliseconds per second, for the prompts of requests that were sent
	// lately, without what servers have cached. Requests is their number per second.
	Work, Requests float64
	// Backlog is the server time, in milliseconds, of prompts that servers have not processed yet.
	Backlog float64
	// Busy is the number of slots that are taken.
	Busy int
	// Whole is set if the demand that nearly all instances report is included.
	Whole bool
}

// Servers counts the servers of a service in one zone.
type Servers struct {
	// Present is the number of servers with an entry. During a roll-out it counts the larger side, as do
	// Ready and Cold, because only one side remains.
	Present int
	// OtherSide is the number of servers with an entry on the smaller side. The platform counts both
	// sides: an order below their sum takes servers away, on whichever side.
	OtherSide int
	// Ready is the number of those that take work now at full speed, and Cold the number of those that
	// will after their cold start. The rest is leaving or cannot be reached.
	Ready, Cold int
	// Evacuated is set while the zone's servers take no new work.
	Evacuated bool
}

// State is what a decision is made from.
type State struct {
	Now     clock.Millis
	Service *routing.Service
	// Target is the shortest target for the first event among the service's routes.
	Target clock.Millis
	// RolloutOpen is set while servers of two releases exist by order of the operators.
	RolloutOpen bool
	// Mixed is set while servers of two releases are present, also before and after a roll-out.
	Mixed bool
	// Unsettled is set while an order for the service is unanswered or may take effect late.
	Unsettled bool
	Demand    Demand
	// Zones holds the zones that have servers.
	Zones map[declaration.ZoneName]Servers
}

// Reason tells why an order is given.
type Reason string

// Reasons.
const (
	ReasonDemand   Reason = "demand"
	ReasonZoneLoss Reason = "zone-loss-room"
	ReasonSurplus  Reason = "surplus"
)

// Decision is an order and its reason.
type Decision struct {
	Order  duty.Order
	Before int
	Needed int
	// Expected is the demand, in servers, that the order is to carry.
	Expected float64
	Reason   Reason
}

// Scaler decides for one service. Its zero value is ready.
type Scaler struct {
	history []sample
	zones   map[declaration.ZoneName]*zone
	// steadyAt is when something last made the number of usable servers uncertain.
	steadyAt clock.Millis
	// rolloutOpen is set if a roll-out was open at the last decision; the last one ended at
	// rolloutEndedAt.
	rolloutOpen    bool
	rolloutEndedAt clock.Millis
}

// zone is what the scaler remembers of one zone.
type zone struct {
	// ordered is the newest order, 0 for none, which was given at orderedAt.
	ordered   int
	orderedAt clock.Millis
	// previous is the order before the newest one.
	previous int
	// before is the number of servers that were present at orderedAt.
	before int
	// present holds the numbers of servers seen lately.
	present []sample
	seenAt  clock.Millis
}

// Decide returns the orders that are due, in the order of the zones' names.
func (s *Scaler) Decide(state State) []Decision {
	if state.Service.Scaling == nil || state.Service.Scaling.Max <= 0 {
		return nil
	}
	hold := holdSpan(state.Service)
	state.Zones = s.withLostZones(state)
	s.record(state, hold)
	if len(s.history) == 0 || state.Now-s.history[0].at < settleSpan {
		return nil
	}
	if s.rolloutEndedAt > 0 && state.Now-s.rolloutEndedAt < settleSpan {
		return nil // the entries of the side that was stopped lapse only now
	}
	var decisions []Decision
	decisions = append(decisions, s.raise(state)...)
	if len(decisions) == 0 && !state.Unsettled && s.mayLower(state, hold) {
		decisions = s.lower(state)
	}
	for _, d := range decisions {
		held := s.zones[d.Order.Zone]
		held.previous = held.ordered
		held.ordered, held.orderedAt, held.before = d.Order.Servers, state.Now, state.Zones[d.Order.Zone].Present
	}
	return decisions
}

// Withdraw takes the newest order for a zone back, which was not carried out.
func (s *Scaler) Withdraw(name declaration.ZoneName) {
	if held := s.zones[name]; held != nil {
		held.ordered = held.previous
	}
}

// Expected returns the demand, in servers, that an order now would have to carry.
func (s *Scaler) Expected(state State) float64 {
	if len(s.history) == 0 {
		return 0
	}
	return s.forecast(state)
}

// leadTime is the time from an order until the ordered servers work at full speed.
func leadTime(service *routing.Service) clock.Millis {
	return service.Scaling.Startup + service.Warmup
}

// orderPause is the least time between two orders for more servers in a zone.
func orderPause(service *routing.Service) clock.Millis { return service.Scaling.Startup / 2 }

// holdSpan is the time for which the demand must have been low before servers are taken away. One
// that is needed again is missing for the lead time.
func holdSpan(service *routing.Service) clock.Millis { return max(2*leadTime(service), minHold) }

// withLostZones returns the zones of the state and those that had servers until lately.
func (s *Scaler) withLostZones(state State) map[declaration.ZoneName]Servers {
	maps.DeleteFunc(s.zones, func(_ declaration.ZoneName, z *zone) bool { return state.Now-z.seenAt >= zoneRetention })
	zones := maps.Clone(state.Zones)
	for name := range s.zones {
		if _, found := zones[name]; !found {
			zones[name] = Servers{}
		}
	}
	return zones
}

// record adds the state to the history. The history begins with the first request: before, nothing
// is known of the demand.
func (s *Scaler) record(state State, hold clock.Millis) {
	from := state.Now - hold
	expired := func(o sample) bool { return o.at < from-smoothSpan }
	if servers := demandInServers(state); state.Demand.Requests > 0 || len(s.history) > 0 {
		s.history = append(slices.DeleteFunc(s.history, expired), sample{state.Now, servers})
	}
	if s.zones == nil {
		s.zones = map[declaration.ZoneName]*zone{}
	}
	steady := state.Demand.Whole && !state.RolloutOpen && !state.Mixed
	for name, servers := range state.Zones {
		held := s.zones[name]
		if held == nil {
			held = &zone{}
			s.zones[name] = held
		}
		if servers.Present > 0 {
			held.seenAt = state.Now
		}
		if s.rolloutOpen && !state.RolloutOpen {
			held.ordered, held.orderedAt, held.present = 0, 0, nil // one side is gone, with what was ordered for it
		}
		held.present = append(slices.DeleteFunc(held.present, expired), sample{state.Now, float64(servers.Present)})
		steady = steady && !servers.Evacuated && servers.Ready > 0 && float64(servers.Ready) >= steadyPart*float64(held.usual())
	}
	if !steady {
		s.steadyAt = state.Now
	}
	if s.rolloutOpen && !state.RolloutOpen {
		s.rolloutEndedAt = state.Now
	}
	s.rolloutOpen = state.RolloutOpen
}

// usual is the number of servers that is usually present: the third quartile of what was seen lately.
// Servers that crash are missed for most of that time, and those that start again under other names,
// beside entries that have not lapsed yet, don't count.
func (z *zone) usual() int {
	if len(z.present) == 0 {
		return 0
	}
	counts := make([]float64, 0, len(z.present))
	for _, o := range z.present {
		counts = append(counts, o.servers)
	}
	slices.Sort(counts)
	usual := int(counts[len(counts)*3/4])
	if z.ordered > 0 {
		return min(z.ordered, usual)
	}
	return usual
}

// standing is the number of servers that the platform keeps in the zone, as far as known. It includes
// servers that crashed: an order below it would take servers away.
func (z *zone) standing() int { return max(z.ordered, z.usual()) }

func (z *zone) peakSince(from clock.Millis) int {
	peak := 0.0
	for _, o := range z.present {
		if o.at >= from {
			peak = max(peak, o.servers)
		}
	}
	return int(peak)
}

// coming is the number of servers that were ordered, are not present yet and should be soon. Those
// that an earlier order took away late come back when the newest one is repeated.
func (z *zone) coming(state State, present int) int {
	if z.ordered == 0 || state.Now-z.orderedAt >= lateFactor*state.Service.Scaling.Startup {
		return 0
	}
	if state.Unsettled {
		return max(z.ordered-present, 0)
	}
	return max(z.ordered-max(z.before, z.peakSince(z.orderedAt)), 0)
}

// usable returns the names of the zones whose servers take work.
func usable(state State) []declaration.ZoneName {
	var names []declaration.ZoneName
	for name, servers := range state.Zones {
		if !servers.Evacuated && servers.Ready+servers.Cold > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// needed returns how many servers each of the zones needs for the demand, and the reason. With all
// zones in use it includes the room for the loss of one, whose rest may be utilized as given.
func needed(state State, demand float64, zones int, afterLoss float64) (int, Reason) {
	each := int(math.Ceil(demand / utilization(state) / float64(zones)))
	if zones > 1 && zones == len(state.Zones) {
		if room := int(math.Ceil(demand / afterLoss / float64(zones-1))); room > each {
			return room, ReasonZoneLoss
		}
	}
	return each, ReasonDemand
}

// raise returns the orders for more servers. Servers that were ordered and should be present soon
// count. Servers that this instance alone cannot reach count too: those that crash lose their entry.
func (s *Scaler) raise(state State) []Decision {
	zones := usable(state)
	if len(zones) == 0 {
		return nil
	}
	bounds := state.Service.Scaling
	expected := s.forecast(state)
	least, reason := needed(state, expected, len(zones), maxLossUtilization)
	least = min(max(least, bounds.Min), bounds.Max)
	each, _ := needed(state, expected, len(zones), lossUtilization)
	each = min(max(each, bounds.Min), bounds.Max)
	var decisions []Decision
	for _, name := range zones {
		servers, held := state.Zones[name], s.zones[name]
		standing := held.standing()
		if state.RolloutOpen || state.Mixed {
			standing = max(standing, servers.Present+servers.OtherSide)
		}
		have := servers.Ready + servers.Cold + held.coming(state, servers.Present)
		if have >= least || held.orderedAt > 0 && state.Now-held.orderedAt < orderPause(state.Service) {
			continue
		}
		order := min(max(standing, servers.Present)+each-have, bounds.Max)
		if order <= standing || order <= servers.Present {
			continue
		}
		decisions = append(decisions, Decision{
			Order:  duty.Order{Service: state.Service.Name, Zone: name, Servers: order},
			Before: standing, Needed: each, Expected: expected, Reason: reason,
		})
	}
	return decisions
}

// mayLower reports whether servers may be taken away: all servers have been usable, no roll-out was
// open, no zone evacuated and the demand whole for the hold span, and the last order is that old.
func (s *Scaler) mayLower(state State, hold clock.Millis) bool {
	if state.Now-s.history[0].at < hold || state.Now-s.steadyAt < hold {
		return false
	}
	ready := 0
	for name, servers := range state.Zones {
		if held := s.zones[name]; held.orderedAt > 0 && state.Now-held.orderedAt < leadTime(state.Service) {
			return false
		}
		ready += servers.Ready
	}
	return ready > 0 && state.Demand.Backlog/float64(ready) < waitPart*float64(state.Target)
}

// lower returns the orders for fewer servers: one step in each zone that has more than the peak of
// the hold span needs.
func (s *Scaler) lower(state State) []Decision {
	zones := usable(state)
	if len(zones) < len(state.Zones) {
		return nil
	}
	bounds := state.Service.Scaling
	expected := s.peak()
	if s.forecast(state) > expected {
		return nil // the demand grows
	}
	each, _ := needed(state, expected, len(zones), lossUtilization)
	var decisions []Decision
	for _, name := range zones {
		servers := state.Zones[name]
		step := min(max(int(stepPart*float64(servers.Present)), 1), servers.Ready-each, servers.Present-bounds.Min)
		if float64(servers.Ready)*(1-surplus) < float64(each) || step <= 0 {
			continue
		}
		decisions = append(decisions, Decision{
			Order:  duty.Order{Service: state.Service.Name, Zone: name, Servers: servers.Present - step},
			Before: s.zones[name].standing(), Needed: each, Expected: expected, Reason: ReasonSurplus,
		})
	}
	return decisions
}
