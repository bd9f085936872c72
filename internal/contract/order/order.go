// Package order names the configuration objects in the platform's object API.
//
// Objects of kind Kind are named sort.name: declarations of operators, orders that
// operators give at short notice, and the progress of roll-outs. Each is small and
// changes by itself, so that operators who race each other meet a conflict only
// where they change the same thing.
package order

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
)

// Kind is the kind of all configuration objects.
const Kind storer.ObjectKind = "config"

// Sort is the first part of an object's name.
type Sort string

// Sorts of configuration objects.
const (
	SortZone       Sort = "zone"
	SortModel      Sort = "model"
	SortWorkspace  Sort = "workspace"
	SortService    Sort = "service"
	SortSessionKey Sort = "session-key"
	// SortZoneOut is an order that takes a zone out.
	SortZoneOut Sort = "zone-out"
	// SortWithdrawal is an order that withdraws a version.
	SortWithdrawal Sort = "withdrawal"
	// SortProgress is the progress of a model's roll-out.
	SortProgress Sort = "progress"
)

// Name joins a sort and a name.
func Name(sort Sort, name string) string { return string(sort) + "." + name }

// SplitName undoes Name.
func SplitName(object string) (Sort, string) {
	sort, name, _ := strings.Cut(object, ".")
	return Sort(sort), name
}

// Order is the body of a zone-out or withdrawal.
type Order struct {
	By     string       `json:"by"`
	Reason string       `json:"reason,omitempty"`
	At     clock.Millis `json:"at-ms"`
}

// Phase is the state of a roll-out.
type Phase string

// Phases of a roll-out.
const (
	PhaseRunning Phase = "running"
	PhaseStopped Phase = "stopped"
	PhaseDone    Phase = "done"
	PhaseBad     Phase = "bad"
)

// Progress says how far a roll-out has come.
type Progress struct {
	From declaration.VersionName `json:"from"`
	To   declaration.VersionName `json:"to"`
	// Step indexes the roll-out's steps; -1 before the first.
	Step int `json:"step"`
	// Begun is when the roll-out began, or was begun again by an operator.
	Begun clock.Millis `json:"begun-ms"`
	// Since is when the step began.
	Since  clock.Millis `json:"since-ms"`
	Phase  Phase        `json:"phase"`
	Reason string       `json:"reason,omitempty"`
}

// progressFields avoids recursion in Progress's own decoder.
type progressFields Progress

// UnmarshalJSON decodes and checks a progress.
func (p *Progress) UnmarshalJSON(raw []byte) error {
	var fields progressFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	switch fields.Phase {
	case PhaseRunning, PhaseStopped, PhaseDone, PhaseBad:
	default:
		return errors.Newf("phase %q is unknown", fields.Phase)
	}
	if fields.Step < -1 {
		return errors.Newf("step %d is below -1", fields.Step)
	}
	*p = Progress(fields)
	return nil
}
