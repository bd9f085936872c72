// Package picker chooses a backend server among those that may take a request.
package picker

import "math/rand/v2"

// Policy names an algorithm of choice. The zero value is PolicyThreeChoices.
type Policy string

// Policies. The last three are baselines for measurements.
const (
	// PolicyThreeChoices takes the cheapest of three random candidates by load, delay and
	// zone. If the request has a prompt prefix, the candidate with the highest affinity is
	// preferred while its load is within bounds.
	PolicyThreeChoices  Policy = ""
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round-robin"
	PolicyLeastInFlight Policy = "least-in-flight"
)

// Candidate is a server that may take the request.
type Candidate struct {
	// InFlight is the number of this instance's own requests at the server.
	InFlight int
	// Load is the estimated share of the server's limit that is in use; it may exceed 1.
	Load float64
	// Delay is the server's recent time to the first token, divided by the smallest among
	// the candidates; zero when unknown.
	Delay float64
	// SameZone is set for a server in this instance's zone.
	SameZone bool
	// Affinity is the rendezvous weight of the server for the request's prompt prefix.
	Affinity uint64
}

const (
	// affinityLoadFactor bounds the load of the candidate with the highest affinity, as a
	// multiple of the mean load.
	affinityLoadFactor = 1.25
	// maxAffinityLoad is the load at or above which affinity is ignored.
	maxAffinityLoad = 0.85
)

// Picker chooses servers. Its zero value uses PolicyThreeChoices and the random source of
// math/rand/v2. It is not safe for concurrent use.
type Picker struct {
	Policy Policy
	// Uint64N, when set, returns a random number in [0, n).
	Uint64N func(n uint64) uint64

	next int
}

// Pick returns the index of the chosen candidate, or -1 if there are no candidates. affinity
// is set when the candidates' Affinity weights are valid.
func (p *Picker) Pick(candidates []Candidate, affinity bool) int {
	if len(candidates) == 0 {
		return -1
	}
	switch p.Policy {
	case PolicyRandom:
		return p.random(len(candidates))
	case PolicyRoundRobin:
		p.next++
		return p.next % len(candidates)
	case PolicyLeastInFlight:
		return least(candidates)
	}
	if affinity {
		if i := affine(candidates); i >= 0 {
			return i
		}
	}
	return p.bestOfSample(candidates)
}

func (p *Picker) random(n int) int {
	if p.Uint64N == nil {
		return int(rand.Uint64N(uint64(n)))
	}
	return int(p.Uint64N(uint64(n)))
}

func least(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// affine returns the candidate with the highest affinity, or -1 if its load is out of bounds.
func affine(candidates []Candidate) int {
	best, sum := 0, 0.0
	for i, c := range candidates {
		sum += c.Load
		if c.Affinity > candidates[best].Affinity {
			best = i
		}
	}
	mean := sum / float64(len(candidates))
	load := candidates[best].Load
	if load >= maxAffinityLoad || load > affinityLoadFactor*mean+1.0/float64(len(candidates)) {
		return -1
	}
	return best
}

// sampleSize is the number of random candidates that are compared.
const sampleSize = 3

// remoteCost is the additional cost of a server in another zone.
const remoteCost = 0.1

// bestOfSample returns the cheapest of sampleSize random candidates.
func (p *Picker) bestOfSample(candidates []Candidate) int {
	best := p.random(len(candidates))
	for range sampleSize - 1 {
		if i := p.random(len(candidates)); cost(candidates[i]) < cost(candidates[best]) {
			best = i
		}
	}
	return best
}

// cost returns the cost of a candidate; it grows with load and delay, and is higher in another
// zone.
func cost(c Candidate) float64 {
	delay := max(c.Delay, 1)
	total := (c.Load + 0.05) * delay
	if !c.SameZone {
		total += remoteCost
	}
	return total
}
