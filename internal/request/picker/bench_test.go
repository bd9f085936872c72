package picker_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.com/dotterelwell/internal/request/picker"
)

// Parameters of the simulation: servers in three zones, one of them slow and one at its cold
// limit.
const (
	servers      = 12
	slots        = 16
	coldSlots    = 2
	serviceMs    = 500.0
	slowFactor   = 4.0
	requestCount = 60_000
	maxQueue     = 200
)

// finish is when a request ends at a server.
type finish struct {
	at     float64
	server int
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// BenchmarkPolicies measures the waiting plus service time and the rejections of each policy at
// 70, 90 and 110% of the servers' capacity.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []int{70, 90, 110} {
		for _, policy := range []picker.Policy{picker.PolicyThreeChoices, picker.PolicyRandom, picker.PolicyRoundRobin, picker.PolicyLeastInFlight} {
			name := string(policy)
			if name == "" {
				name = "three-choices"
			}
			b.Run(fmt.Sprintf("%s/load=%d", name, load), func(b *testing.B) {
				for range b.N {
					times, rejected := simulate(policy, float64(load)/100)
					slices.Sort(times)
					b.ReportMetric(times[len(times)/2], "p50-ms")
					b.ReportMetric(times[len(times)*99/100], "p99-ms")
					b.ReportMetric(100*float64(rejected)/requestCount, "rejected-%")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// capacity returns how many concurrent requests a server takes, and the factor by which it is
// slower than normal.
func capacity(server int) (room int, slow float64) {
	switch server {
	case 0:
		return slots, slowFactor
	case 1:
		return coldSlots, 1
	}
	return slots, 1
}

// simulate plays requests with random (Poisson) arrivals against servers behind a common queue.
func simulate(policy picker.Policy, load float64) (times []float64, rejected int) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := picker.Picker{Policy: policy, Uint64N: rng.Uint64N}
	total := 0.0
	for s := range servers {
		room, slow := capacity(s)
		total += float64(room) / (1.5 * serviceMs * slow)
	}
	inFlight := make([]int, servers)
	delay := make([]float64, servers)
	var ends finishes
	var queue []float64
	now := 0.0
	start := func(arrived float64) bool {
		var candidates []picker.Candidate
		var index []int
		for s := range servers {
			room, _ := capacity(s)
			if inFlight[s] < room {
				candidates = append(candidates, picker.Candidate{InFlight: inFlight[s], Load: float64(inFlight[s]) / float64(room), Delay: delay[s], SameZone: s%3 == 0})
				index = append(index, s)
			}
		}
		i := p.Pick(candidates, false)
		if i < 0 {
			return false
		}
		s := index[i]
		room, slow := capacity(s)
		full := float64(inFlight[s]+1) / float64(room)
		took := serviceMs * slow * (0.5 + full) * (0.5 + rng.ExpFloat64()/2) // a batch slows down as it fills
		delay[s] = 0.7*delay[s] + 0.3*slow*(0.5+full)
		inFlight[s]++
		heap.Push(&ends, finish{now + took, s})
		times = append(times, now+took-arrived)
		return true
	}
	for range requestCount {
		next := now + rng.ExpFloat64()/(total*load)
		for len(ends) > 0 && ends[0].at <= next {
			f := heap.Pop(&ends).(finish)
			now = f.at
			inFlight[f.server]--
			if len(queue) > 0 && start(queue[0]) {
				queue = queue[1:]
			}
		}
		now = next
		if len(queue) > 0 || !start(now) {
			if len(queue) >= maxQueue {
				rejected++
				continue
			}
			queue = append(queue, now)
		}
	}
	return times, rejected
}
