// Package picker chooses one backend server among those that may take a request.
package picker

import "math/rand/v2"

// Policy names a way to choose. The zero value is PolicyDrawn.
type Policy string

// Policies. The last three are baselines for measurements.
const (
	// PolicyDrawn takes the cheapest of three random candidates by load, delay and
	// zone, and follows prefix affinity within a load bound.
	PolicyDrawn      Policy = ""
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round-robin"
	PolicyLeast      Policy = "least-in-flight"
)

// Candidate is a server that may take the request.
type Candidate struct {
	// InFlight is the number of this instance's own requests at the server.
	InFlight int
	// Load is the estimated share of the server's limit that is in use; it may exceed 1.
	Load float64
	// Delay is the server's recent time to the first token over its peers' median.
	Delay float64
	// SameZone is set for a server in the instance's own zone.
	SameZone bool
	// Affinity is the rendezvous weight of the request's prompt prefix at the server.
	Affinity uint64
}

const (
	// affinityRoom is how far above the mean load an affine server may be.
	affinityRoom = 1.25
	// affinityCeiling is the load above which affinity is ignored.
	affinityCeiling = 0.85
)

// Picker chooses servers. Its zero value uses PolicyDrawn and a random source
// of the runtime. It is not safe for concurrent use.
type Picker struct {
	Policy Policy
	// Uint64N returns a number in [0, n).
	Uint64N func(n uint64) uint64

	turn int
}

// Pick returns the index of the chosen candidate, or -1 when there is none.
// affinity is set when the candidates' affinity weights are meaningful.
func (p *Picker) Pick(candidates []Candidate, affinity bool) int {
	if len(candidates) == 0 {
		return -1
	}
	switch p.Policy {
	case PolicyRandom:
		return p.random(len(candidates))
	case PolicyRoundRobin:
		p.turn++
		return p.turn % len(candidates)
	case PolicyLeast:
		return least(candidates)
	}
	if affinity {
		if i := affine(candidates); i >= 0 {
			return i
		}
	}
	return p.drawn(candidates)
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

// affine returns the candidate with the highest affinity when its load is within bounds.
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
	if load >= affinityCeiling || load > affinityRoom*mean+1.0/float64(len(candidates)) {
		return -1
	}
	return best
}

// choices is the number of candidates that are drawn and compared.
const choices = 3

// remoteCost is what a server of another zone costs more than one of the own.
const remoteCost = 0.1

// drawn takes the cheapest of a few random candidates.
func (p *Picker) drawn(candidates []Candidate) int {
	best := p.random(len(candidates))
	for range choices - 1 {
		if i := p.random(len(candidates)); cost(candidates[i]) < cost(candidates[best]) {
			best = i
		}
	}
	return best
}

// cost orders candidates: a loaded, slow or remote server costs more.
func cost(c Candidate) float64 {
	delay := max(c.Delay, 1)
	total := (c.Load + 0.05) * delay
	if !c.SameZone {
		total += remoteCost
	}
	return total
}
