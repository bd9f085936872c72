package keeper_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/property"
	"example.com/dotterelwell/internal/zone/keeper"
)

func zoneObject(name string, version ident.StoreVersion, region string) storer.Object {
	raw, _ := json.Marshal(declaration.Zone{Name: declaration.ZoneName(name), Region: declaration.RegionName(region)}) // strings always encode
	return storer.Object{Name: order.Name(order.SortZone, name), Version: version, Value: raw}
}

// TestNothingReverts delivers one history to several keepers in random order, with
// repetitions, and partly through one another. All must end in the same, newest state.
func TestNothingReverts(t *testing.T) {
	property.Check(t, 300, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "changes")
		var history []storer.Object
		for v := 1; v <= n; v++ {
			name := fmt.Sprintf("z%d", rapid.IntRange(0, 4).Draw(rt, "zone"))
			o := zoneObject(name, ident.StoreVersion(v), fmt.Sprintf("region-%d", v))
			if rapid.IntRange(0, 5).Draw(rt, "kind") == 0 {
				o = storer.Object{Name: o.Name, Version: o.Version, Deleted: true}
			}
			history = append(history, o)
		}
		keepers := []*keeper.Keeper{{Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}}
		for range rapid.IntRange(0, 40).Draw(rt, "deliveries") {
			k := keepers[rapid.IntRange(0, 2).Draw(rt, "to")]
			if rapid.Bool().Draw(rt, "from peer") {
				peer := keepers[rapid.IntRange(0, 2).Draw(rt, "peer")]
				k.Apply(peer.ChangesSince(k.CompleteVersion()))
				continue
			}
			k.Apply(storer.Changes{Objects: []storer.Object{history[rapid.IntRange(0, n-1).Draw(rt, "object")]}})
		}
		keepers[0].Apply(storer.Changes{Version: ident.StoreVersion(n), Objects: history})
		keepers[1].Apply(keepers[0].ChangesSince(keepers[1].CompleteVersion()))
		keepers[2].Apply(keepers[1].ChangesSince(keepers[2].CompleteVersion()))
		for i, k := range keepers {
			if !reflect.DeepEqual(k.View().Zones(), keepers[0].View().Zones()) || k.CompleteVersion() != ident.StoreVersion(n) {
				rt.Fatalf("keeper %d holds %v at %d, keeper 0 holds %v", i, k.View().Zones(), k.CompleteVersion(), keepers[0].View().Zones())
			}
		}
	})
}

// TestInvalidObject keeps the last valid object in force and reports the invalid one.
func TestInvalidObject(t *testing.T) {
	for _, raw := range []string{`{"name":"z1"`, `{"name":"Z 1","region":"r"}`, `[]`} {
		rejected := 0
		k := &keeper.Keeper{Clock: &clock.Clock{}, OnRejected: func(keeper.Rejection) { rejected++ }}
		k.Apply(storer.Changes{Version: 1, Objects: []storer.Object{zoneObject("z1", 1, "north")}})
		k.Apply(storer.Changes{Version: 2, Objects: []storer.Object{{Name: "zone.z1", Version: 2, Value: []byte(raw)}}})
		zones := k.View().Zones()
		if rejected != 1 || len(zones) != 1 || zones[0].Region != "north" {
			t.Errorf("%s: %d rejections, zones %v", raw, rejected, zones)
		}
	}
}

// FuzzObject checks that no object name and value makes a keeper panic.
func FuzzObject(f *testing.F) {
	f.Add("zone.a", []byte(`{"name":"a","region":"r"}`))
	f.Add("progress.m", []byte(`{"phase":"running","step":1}`))
	f.Add("workspace.w", []byte(`{"allow":["m@1"]}`))
	f.Fuzz(func(_ *testing.T, name string, value []byte) {
		k := &keeper.Keeper{Clock: &clock.Clock{}}
		k.Apply(storer.Changes{Version: 1, Objects: []storer.Object{{Name: name, Version: 1, Value: value}}})
		_ = k.View().Models()
	})
}
