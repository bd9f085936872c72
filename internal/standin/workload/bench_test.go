package workload_test

import (
	"fmt"
	"testing"

	"example.com/dotterelwell/internal/standin/workload"
)

// BenchmarkCost measures cost and quality of each policy over ten seeds, with the
// oracle of the same seed as the yardstick.
func BenchmarkCost(b *testing.B) {
	const seeds = 10
	for _, policy := range []workload.Policy{
		workload.PolicyReal, workload.PolicyBest, workload.PolicyCheapest, workload.PolicyStatic, workload.PolicyOracle,
	} {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				mean, worst, short, missed := 0.0, 0.0, 0.0, 0
				for seed := range uint64(seeds) {
					yardstick, err := workload.Run(workload.PolicyOracle, seed)
					if err != nil {
						b.Fatal(err)
					}
					got, err := workload.Run(policy, seed)
					if err != nil {
						b.Fatal(err)
					}
					ratio := got.Cost / yardstick.Cost
					mean += ratio / seeds
					worst = max(worst, ratio)
					short = max(short, got.Short)
					if got.Short > 0 {
						missed++
					}
				}
				b.ReportMetric(mean, "cost/oracle-mean")
				b.ReportMetric(worst, "cost/oracle-worst")
				b.ReportMetric(short, "worst-shortfall")
				b.ReportMetric(float64(missed), "seeds-missed-of-10")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkExposure measures how many answers a bad version gives before all
// instances have stopped it: mean and worst of ten seeds.
func BenchmarkExposure(b *testing.B) {
	const seeds, most = 10, 60_000
	for _, bad := range []workload.Badness{
		{Name: "quality-10", QualityDrop: 0.10},
		{Name: "quality-30", QualityDrop: 0.30},
		{Name: "errors-5", ErrorRise: 0.05},
		{Name: "errors-50", ErrorRise: 0.50},
		{Name: "slow-x3", Slower: 3},
	} {
		for _, spread := range []workload.Spread{workload.SpreadExchange, workload.SpreadNone, workload.SpreadWindow} {
			for _, instances := range []int{1, 8, 400} {
				b.Run(fmt.Sprintf("%s/%s/instances=%d", bad.Name, spread, instances), func(b *testing.B) {
					for range b.N {
						total, worst := 0, 0
						runs := seeds
						if instances == 400 {
							runs = 2
						}
						for seed := range uint64(runs) {
							n := workload.Exposure(seed, instances, bad, spread, most)
							total += n
							worst = max(worst, n)
						}
						b.ReportMetric(float64(total)/float64(runs), "exposed-mean")
						b.ReportMetric(float64(worst), "exposed-worst")
					}
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// BenchmarkFalseStops counts how many of 1,000 good roll-outs are stopped.
func BenchmarkFalseStops(b *testing.B) {
	const rollouts, answers = 1000, 1000
	for range b.N {
		stopped := 0
		for seed := range uint64(rollouts) {
			if workload.FalseStop(seed, answers) {
				stopped++
			}
		}
		b.ReportMetric(float64(stopped), "stopped-of-1000")
	}
	b.ReportMetric(0, "ns/op")
}
