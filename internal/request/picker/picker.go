// Package picker chooses one backend server among those that may take a request.
package picker

import "math/rand/v2"

// Policy names a way to choose. The zero value is PolicyTwoChoices.
type Policy string

// Policies. The last three are baselines for measurements.
const (
	// PolicyTwoChoices takes the less loaded of two random candidates, those of
	// the own zone first, and follows prefix affinity within a load bound.
	PolicyTwoChoices Policy = ""
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
	// zoneRoom is the load up to which servers of the own zone are preferred.
	zoneRoom = 0.75
	// affinityRoom is how far above the mean load an affine server may be.
	affinityRoom = 1.25
	// affinityCeiling is the load above which affinity is ignored.
	affinityCeiling = 0.85
)

// Picker chooses servers. Its zero value uses PolicyTwoChoices and a random source
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
	return p.twoChoices(candidates)
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

// twoChoices draws twice, from the own zone while a candidate there has room.
func (p *Picker) twoChoices(candidates []Candidate) int {
	local := 0
	for _, c := range candidates {
		if c.SameZone && c.Load < zoneRoom {
			local++
		}
	}
	draw := func() int { return p.random(len(candidates)) }
	if local > 0 {
		draw = func() int { return nthLocal(candidates, p.random(local)) }
	}
	a, b := draw(), draw()
	if cost(candidates[b]) < cost(candidates[a]) {
		return b
	}
	return a
}

func nthLocal(candidates []Candidate, n int) int {
	for i, c := range candidates {
		if !c.SameZone || c.Load >= zoneRoom {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}

// cost orders candidates: a loaded or slow server costs more.
func cost(c Candidate) float64 {
	delay := max(c.Delay, 1)
	return (c.Load + 0.05) * delay
}
