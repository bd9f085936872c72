package scaler

import (
	"math"

	"example.com/dotterelwell/internal/machine/clock"
)

// sample is the demand at one time, in servers.
type sample struct {
	at      clock.Millis
	servers float64
}

// demandInServers converts the demand to the number of servers that it occupies.
func demandInServers(state State) float64 {
	d := state.Demand
	perServer := float64(clock.Second)
	drain := float64(max(leadTime(state.Service), clock.Second)) // a backlog should be gone when new servers serve
	work := d.Work/perServer + d.Backlog/drain
	if engine := state.Service.Engine; engine != nil && engine.Slots > 0 {
		slots := float64(d.Busy) / float64(engine.Slots) / slotUtilization
		return max(work, slots*utilization(state))
	}
	return work
}

// utilization returns the utilization of servers at which a request waits for waitPart of the target
// on average: the mean wait in a queue is u/(1-u) times the mean work of a request.
func utilization(state State) float64 {
	if state.Demand.Requests <= 0 || state.Target <= 0 {
		return maxUtilization
	}
	wait := waitPart * float64(state.Target)
	work := state.Demand.Work / state.Demand.Requests * waitSpread
	return min(max(wait/(wait+work), minUtilization), maxUtilization)
}

// smoothed returns the means of the history over smoothSpan, so that the random arrival of requests
// does not pass for a peak.
func (s *Scaler) smoothed(from clock.Millis) []sample {
	var means []sample
	first, sum := 0, 0.0
	for i, o := range s.history {
		sum += o.servers
		for o.at-s.history[first].at >= smoothSpan {
			sum -= s.history[first].servers
			first++
		}
		if o.at >= from {
			means = append(means, sample{o.at, sum / float64(i-first+1)})
		}
	}
	return means
}

// peak returns the highest demand of the history.
func (s *Scaler) peak() float64 {
	peak := 0.0
	for _, o := range s.smoothed(0) {
		peak = max(peak, o.servers)
	}
	return peak
}

// forecast returns the demand that is expected when servers of the next order begin to serve, which is
// the lead time after the least pause between two orders. Growth is extrapolated, bounded by
// maxGrowth; a fall is not.
func (s *Scaler) forecast(state State) float64 {
	recent := s.smoothed(state.Now)
	current := recent[len(recent)-1].servers
	ahead := leadTime(state.Service) + orderPause(state.Service) + smoothSpan
	return min(current+s.growth(state.Now)*float64(ahead), maxGrowth*current)
}

// growth returns by how many servers the demand grows in a millisecond: the least growth between
// consecutive parts of trendSpan. Neither a jump nor the rise of a short wave passes for a trend.
func (s *Scaler) growth(now clock.Millis) float64 {
	const part = trendSpan / trendParts
	if now-s.history[0].at < trendSpan {
		return 0
	}
	var sums, counts [trendParts]float64
	for _, o := range s.history {
		if age := now - o.at; age < trendSpan {
			sums[trendParts-1-age/part] += o.servers
			counts[trendParts-1-age/part]++
		}
	}
	least := math.Inf(1)
	for i := 1; i < trendParts; i++ {
		if counts[i-1] == 0 || counts[i] == 0 {
			return 0
		}
		least = min(least, sums[i]/counts[i]-sums[i-1]/counts[i-1])
	}
	return max(least, 0) / float64(part)
}
