// Package cascader chooses among the candidate models of a route: which one a request
// is sent to first, and whether its answer is good enough to be passed on.
package cascader

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// calmConfidence is the confidence below which the answer of a small model is dropped
	// while servers are idle.
	calmConfidence = 52.0
	// pressureDrop is how much lower that limit is at full pressure.
	pressureDrop = 45.0
	// leastConfidence is the lowest limit.
	leastConfidence = 15.0
	// workShare weighs the work of the next answer against the wait for its server: the
	// wait is that of others as well, and grows when work is added.
	workShare = 0.3
)

// Cascader decides. Its zero value is ready.
type Cascader struct{}

// FirstModel returns the model that a request is sent to first; empty when the request
// names its model or needs none. That holds for streams that continue as well: a request
// that was too hard for the small model at the start is so again, and its confidence
// tells.
func (c *Cascader) FirstModel(route *routing.Route, req *message.Request) declaration.ModelName {
	if !req.OpenModel || len(route.Models) == 0 {
		return ""
	}
	return route.Models[0]
}

// EscalationModel returns the model that a request may be sent to after the given one; empty
// when there is none.
func (c *Cascader) EscalationModel(route *routing.Route, model declaration.ModelName) declaration.ModelName {
	if model == "" || len(route.Models) == 0 {
		return ""
	}
	if largest := route.Models[len(route.Models)-1]; largest != model {
		return largest
	}
	return ""
}

// Pressure returns how hard it is for another answer to be on time, from 0 to 1: wait
// and work are the milliseconds until its server is free and until its answer begins
// then, and left is the time in which that should happen.
func Pressure(wait, work float64, left clock.Millis) float64 {
	need := wait + workShare*work
	if need >= float64(left) {
		return 1
	}
	return need / float64(left)
}

// ConfidenceThreshold returns the confidence below which the answer of a small model should be dropped
// for one of a larger model.
func (c *Cascader) ConfidenceThreshold(pressure float64) float64 {
	return max(calmConfidence-pressureDrop*pressure, leastConfidence)
}

// ShouldEscalate reports whether the answer of a small model should be dropped for one of a
// larger model.
func (c *Cascader) ShouldEscalate(confidence int, pressure float64) bool {
	if confidence == message.NoConfidence {
		return false
	}
	return float64(confidence) < c.ConfidenceThreshold(pressure)
}
