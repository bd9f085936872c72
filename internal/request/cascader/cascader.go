// Package cascader chooses among the candidate models of a route: the model that a request
// is sent to first, and whether that model's answer is confident enough to be forwarded.
package cascader

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// idleConfidenceThreshold is the confidence below which the answer of a small model is
	// dropped while servers are idle.
	idleConfidenceThreshold = 52.0
	// thresholdDrop is how much lower the threshold is at a pressure of 1.
	thresholdDrop = 45.0
	// minConfidenceThreshold is the lower bound of the threshold.
	minConfidenceThreshold = 15.0
	// prefillWeight is the weight of the next answer's prefill time relative to the wait for a
	// server. The wait weighs more, because other requests wait for the same server too and
	// any additional work makes all of them wait longer.
	prefillWeight = 0.3
)

// Cascader implements the escalation policy of model cascades. Its zero value is ready.
type Cascader struct{}

// FirstModel returns the model that a request is sent to first, or "" if the request names
// its model or needs none. A resumed stream starts with the small model as well: if the
// request was too hard for it before, its confidence is low again and the request escalates.
func (c *Cascader) FirstModel(route *routing.Route, req *message.Request) declaration.ModelName {
	if !req.OpenModel || len(route.Models) == 0 {
		return ""
	}
	return route.Models[0]
}

// EscalationModel returns the largest model of the route, to which a request may escalate
// from the given model, or "" if there is no larger one.
func (c *Cascader) EscalationModel(route *routing.Route, model declaration.ModelName) declaration.ModelName {
	if model == "" || len(route.Models) == 0 {
		return ""
	}
	if largest := route.Models[len(route.Models)-1]; largest != model {
		return largest
	}
	return ""
}

// Pressure returns the part of the remaining time that another answer needs until it begins,
// from 0 to 1. wait is the time until a server is free and prefill the time from then until
// the answer begins, weighted by prefillWeight, both in milliseconds; left is the remaining
// time.
func Pressure(wait, prefill float64, left clock.Millis) float64 {
	needed := wait + prefillWeight*prefill
	if needed >= float64(left) {
		return 1
	}
	return needed / float64(left)
}

// ConfidenceThreshold returns the confidence below which the answer of a small model should
// be dropped for one of a larger model.
func (c *Cascader) ConfidenceThreshold(pressure float64) float64 {
	return max(idleConfidenceThreshold-thresholdDrop*pressure, minConfidenceThreshold)
}

// ShouldEscalate reports whether the answer of a small model should be dropped for one of a
// larger model.
func (c *Cascader) ShouldEscalate(confidence int, pressure float64) bool {
	if confidence == message.NoConfidence {
		return false
	}
	return float64(confidence) < c.ConfidenceThreshold(pressure)
}
