package host

import (
	"reflect"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/duty/scaler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
)

// TestChooseDemand guards against demand that does not reach the holder of the duty, and against messages of a large fleet that
// carry the demand of each instance to all.
func TestChooseDemand(t *testing.T) {
	for _, c := range []struct {
		name string
		told demandTold
		want demandChoice
	}{
		{"small fleet", demandTold{}, demandChoice{own: true}},
		{"small fleet, an answer to the holder", demandTold{asked: true, toHolder: true}, demandChoice{own: true}},
		{"large fleet, a call in the zone", demandTold{large: true, sameZone: true}, demandChoice{own: true}},
		{"large fleet, an answer in the zone", demandTold{large: true, sameZone: true, asked: true}, demandChoice{}},
		{"large fleet, a call to another zone", demandTold{large: true}, demandChoice{}},
		{"watcher to its zone", demandTold{large: true, watches: true, sameZone: true}, demandChoice{own: true}},
		{"watcher to another zone", demandTold{large: true, watches: true}, demandChoice{zones: zonesOwn}},
		{"watcher to the holder", demandTold{large: true, watches: true, toHolder: true}, demandChoice{zones: zonesAll}},
		{"watcher to the holder in its zone", demandTold{large: true, watches: true, toHolder: true, sameZone: true}, demandChoice{own: true, zones: zonesAll}},
		{"no watcher to the holder", demandTold{large: true, toHolder: true}, demandChoice{}},
	} {
		if got := chooseDemand(c.told); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestScalingState guards against demand in another unit than a second, and against zones that are left out of the sums, or
// count as usable while they are evacuated.
func TestScalingState(t *testing.T) {
	state := scalingState(
		demander.Demand{Requests: 400, Work: 50 * clock.Second},
		map[declaration.ZoneName]roster.Census{
			"a": {Present: 30, OtherSide: 12, Mixed: true, Ready: 20, Cold: 4, Busy: 100, Backlog: 3000},
			"b": {Present: 28, Ready: 28, Busy: 40, Backlog: 500},
		},
		map[declaration.ZoneName]bool{"b": true},
	)
	want := scaler.State{
		Mixed:  true,
		Demand: scaler.Demand{Work: 25_000, Requests: 200, Backlog: 3500, Busy: 140},
		Zones: map[declaration.ZoneName]scaler.Servers{
			"a": {Present: 30, OtherSide: 12, Ready: 20, Cold: 4},
			"b": {Present: 28, Ready: 28, Evacuated: true},
		},
	}
	if !reflect.DeepEqual(state, want) {
		t.Errorf("%+v, want %+v", state, want)
	}
}

// TestShortestTarget guards against a target of a route that sends the service nothing, or that has none.
func TestShortestTarget(t *testing.T) {
	route := func(service declaration.ServiceName, weight int, target clock.Millis) routing.Route {
		r := routing.Route{FirstByteTarget: target}
		r.Shares = append(r.Shares, routing.Share{Service: service, Weight: weight})
		return r
	}
	config := &routing.Config{Routes: []routing.Route{route("llm", 1, 8000), route("llm", 1, 4000), route("llm", 0, 300), route("llm", 1, 0), route("desk", 1, 200)}}
	if got := shortestTarget(config, "llm"); got != 4000 {
		t.Errorf("%d ms, want 4000", got)
	}
	if got := shortestTarget(config, "other"); got != 0 {
		t.Errorf("%d ms for a service without routes", got)
	}
}
