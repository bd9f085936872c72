// Package auditor reads stored bills from the platform's object API, each bill once
// even if several segments contain it, and adds up what each workspace is charged.
package auditor

import (
	"cmp"
	"context"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindUnavailable means that the segments could not be listed.
	KindUnavailable Kind = "unavailable"
	// KindCorrupt means that a segment cannot be decoded.
	KindCorrupt Kind = "corrupt"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// Auditor reads bills. Set Store before use.
type Auditor struct{ Store *storer.Storer }

// SegmentKinds returns the object kinds, one a day, of the segments that may contain
// records of the span before now. A segment is stored under the day of its first
// record, so the day before the span is included.
func SegmentKinds(now, span clock.Millis) []storer.ObjectKind {
	var kinds []storer.ObjectKind
	for t := now - span - clock.Day; t < now+clock.Day; t += clock.Day {
		kinds = append(kinds, bill.Kind(min(t, now)))
	}
	return slices.Compact(kinds)
}

// Records returns the records of all segments of the given kinds, sorted by time. Of
// several records with the same ID it returns the earliest, and of equally early ones
// that of the lowest cost.
func (a *Auditor) Records(ctx context.Context, kinds []storer.ObjectKind) ([]bill.Record, error) {
	const op = "read bills"
	earliest := map[bill.ID]bill.Record{}
	for _, kind := range kinds {
		changes, err := a.Store.List(ctx, kind, 0, 0)
		if err != nil {
			return nil, fault.New(op, KindUnavailable, err)
		}
		for _, o := range changes.Objects {
			if o.Deleted {
				continue
			}
			segment, err := bill.Decode(o.Value)
			if err != nil {
				return nil, fault.Newf(op, KindCorrupt, "%s/%s: %v", kind, o.Name, err)
			}
			addEarliest(earliest, segment.Records)
		}
	}
	records := make([]bill.Record, 0, len(earliest))
	for _, r := range earliest {
		records = append(records, r)
	}
	slices.SortFunc(records, func(x, y bill.Record) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.ID, y.ID))
	})
	return records, nil
}

func addEarliest(earliest map[bill.ID]bill.Record, records []bill.Record) {
	for _, r := range records {
		known, found := earliest[r.ID]
		if !found || r.At < known.At || r.At == known.At && r.Cost < known.Cost {
			earliest[r.ID] = r
		}
	}
}

// Total is what one workspace is charged.
type Total struct {
	Workspace declaration.WorkspaceName `json:"workspace"`
	Bills     int                       `json:"bills"`
	Prompt    int                       `json:"prompt-tokens"`
	Answer    int                       `json:"answer-tokens"`
	Cost      declaration.MicroCost     `json:"cost-micros"`
}

// SumByWorkspace returns the totals of each workspace, sorted by its name.
func SumByWorkspace(records []bill.Record) []Total {
	totals := map[declaration.WorkspaceName]*Total{}
	for _, r := range records {
		t := totals[r.Workspace]
		if t == nil {
			t = &Total{Workspace: r.Workspace}
			totals[r.Workspace] = t
		}
		t.Bills++
		t.Prompt += r.Prompt
		t.Answer += r.Answer
		t.Cost += r.Cost
	}
	sums := make([]Total, 0, len(totals))
	for _, t := range totals {
		sums = append(sums, *t)
	}
	slices.SortFunc(sums, func(x, y Total) int { return cmp.Compare(x.Workspace, y.Workspace) })
	return sums
}
