package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// TestHerd guards against herding in a large fleet: all instances get the same load report and
// send before the next one, so that requests queue up at the servers that were idle in the
// report. With the sampled choice they must wait less than when each instance sends to the
// least loaded of all servers, and less than when it sends to a random server.
func TestHerd(t *testing.T) {
	const instances, servers, sends = 87, 140, 1
	const work = 100.0
	random := rand.New(rand.NewPCG(1, 2))
	zones := []declaration.ZoneName{"a", "b", "c"}
	reported := make([]float64, servers)
	heard := map[ident.Server]roster.Load{}
	index := map[ident.Server]int{}
	var entries []backend.Server
	for i := range servers {
		id := ident.Server(fmt.Sprintf("i-%d", i))
		index[id] = i
		entries = append(entries, backend.Server{ID: id, Zone: zones[i%len(zones)]})
		reported[i] = float64(random.IntN(600))
		heard[id] = roster.Load{Pending: clock.Millis(reported[i])}
	}
	// meanWait returns the mean wait of requests when each instance chooses by its own rule.
	meanWait := func(ruleFunc func(instance int) (chooseFunc func() int)) float64 {
		backlog, total := slices.Clone(reported), 0.0
		for i := range instances {
			chooseFunc := ruleFunc(i)
			for range sends {
				chosen := chooseFunc()
				total += backlog[chosen]
				backlog[chosen] += work
			}
		}
		return total / (instances * sends)
	}
	anywhere := meanWait(func(int) func() int {
		return func() int { return random.IntN(servers) }
	})
	least := meanWait(func(int) func() int {
		believed := slices.Clone(reported)
		return func() int {
			chosen := slices.Index(believed, slices.Min(believed))
			believed[chosen] += work
			return chosen
		}
	})
	sampled := meanWait(func(i int) func() int {
		tab := newTable(ident.Instance(fmt.Sprintf("f-%d", i)), nil, 0)
		tab.Zone, tab.RandIntNFunc = zones[i%len(zones)], random.IntN
		tab.put(entries...)
		tab.SetPeerLoads(heard, 0)
		return func() int {
			slot, err := tab.Acquire(roster.Want{Service: "engines", OwnWork: work})
			if err != nil {
				t.Fatal(err)
			}
			return index[slot.Server.ID]
		}
	})
	t.Logf("mean wait: any server %.0f ms, least loaded %.0f ms, sample %.0f ms", anywhere, least, sampled)
	if sampled >= anywhere || sampled >= least {
		t.Errorf("requests wait %.0f ms, %.0f ms at any server, %.0f ms at the least loaded", sampled, anywhere, least)
	}
}
