// Package faulter holds the fault table of the stand-ins for outside systems.
package faulter

import (
	"math/rand/v2"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

// Effect is what goes wrong.
type Effect string

// Effects that the stand-ins know. Each stand-in documents those that it has.
const (
	// EffectRefuse declines the call before it has any effect.
	EffectRefuse Effect = "refuse"
	// EffectHang never answers.
	EffectHang Effect = "hang"
	// EffectCut closes the connection part way through the answer.
	EffectCut Effect = "cut"
	// EffectLoseAnswer carries out the call and then closes the connection without an answer.
	EffectLoseAnswer Effect = "lose-answer"
	// EffectSlow delays the call.
	EffectSlow Effect = "slow"
	// EffectSilent keeps the connection open and stops sending part way through.
	EffectSilent Effect = "silent"
	// EffectCold turns the server cold.
	EffectCold Effect = "go-cold"
	// EffectCross sends another request's answer.
	EffectCross Effect = "cross"
	// EffectFail runs the call and answers with an error.
	EffectFail Effect = "fail"
)

// Point names a place where a stand-in consults the table, such as put or stream.
type Point string

// Rule is one row of the table.
type Rule struct {
	Point  Point
	Effect Effect
	// Skip is the number of passes to let through first.
	Skip int
	// Count is the number of passes to spoil; zero spoils every one.
	Count int
	// Share spoils only this share of the passes, when above zero.
	Share float64
	// Delay is the length of EffectSlow.
	Delay clock.Millis
	// Frame is the frame before which a stream is spoilt.
	Frame int
}

// Table holds the rules in force. Its zero value spoils nothing.
type Table struct {
	mu    sync.Mutex
	rules []*activeRule
	rng   *rand.Rand
}

type activeRule struct {
	Rule
	passed int
	fired  int
}

// Seed makes the choices of rules with a share repeatable.
func (t *Table) Seed(seed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rng = rand.New(rand.NewPCG(seed, seed))
}

// Add puts a rule in force after the earlier ones.
func (t *Table) Add(rule Rule) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rules = append(t.rules, &activeRule{Rule: rule})
}

// Clear removes all rules.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rules = nil
}

// Next returns the first rule that applies to this pass of point.
func (t *Table) Next(point Point) (Rule, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rules {
		if r.Point == point && t.applies(r) {
			r.fired++
			return r.Rule, true
		}
	}
	return Rule{}, false
}

func (t *Table) applies(r *activeRule) bool {
	if r.Count > 0 && r.fired >= r.Count {
		return false
	}
	if r.passed < r.Skip {
		r.passed++
		return false
	}
	if r.Share <= 0 {
		return true
	}
	if t.rng == nil {
		t.rng = rand.New(rand.NewPCG(1, 1))
	}
	return t.rng.Float64() < r.Share
}
