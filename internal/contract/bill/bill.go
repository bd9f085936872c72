// Package bill defines the durable record of what a workspace is charged.
//
// Records are grouped in segments, one create-only object each. The same record may
// stand in two segments after a hand-over; readers count each ID once.
package bill

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// ID identifies a request across caller's retries: one ID is charged once.
type ID string

// Record is the charge for one answered request.
type Record struct {
	ID        ID                        `json:"id"`
	Workspace declaration.WorkspaceName `json:"workspace"`
	Route     declaration.RouteName     `json:"route,omitempty"`
	Service   declaration.ServiceName   `json:"service,omitempty"`
	Version   string                    `json:"version,omitempty"`
	Request   ident.Request             `json:"request"`
	Prompt    int                       `json:"prompt-tokens,omitempty"`
	Answer    int                       `json:"answer-tokens,omitempty"`
	Attempts  int                       `json:"attempts"`
	Cost      declaration.MicroCost     `json:"cost"`
	At        clock.Millis              `json:"at-ms"`
}

// Segment is a group of records of one instance's process.
type Segment struct {
	Owner   ident.Incarnation `json:"owner"`
	Records []Record          `json:"records"`
}

// maxSegmentBytes bounds a decoded segment.
const maxSegmentBytes = 64 << 20

// Kind returns the kind of the segments that were begun on the day of t, in UTC.
func Kind(t clock.Millis) storer.ObjectKind {
	return storer.ObjectKind("bill-" + t.Time().UTC().Format("20060102"))
}

// KindOfDay returns the kind of the segments of a day in the form 2006-01-02.
func KindOfDay(day string) (storer.ObjectKind, error) {
	t, err := time.Parse("2006-01-02", day)
	if err != nil {
		return "", errors.Newf("day %q is not of the form 2006-01-02", day)
	}
	return Kind(clock.Millis(t.UnixMilli())), nil
}

// Encode returns the compressed value of a segment.
func Encode(s Segment) ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(s); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decode reads and checks the value of a segment.
func Decode(value []byte) (Segment, error) {
	zip, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Segment{}, errors.Wrap(err, "segment is not compressed")
	}
	defer zip.Close()
	var s Segment
	if err := json.NewDecoder(io.LimitReader(zip, maxSegmentBytes)).Decode(&s); err != nil {
		return Segment{}, errors.Wrap(err, "decode segment")
	}
	for i, r := range s.Records {
		if r.ID == "" || r.Workspace == "" || r.Cost < 0 {
			return Segment{}, errors.Newf("record %d lacks id or workspace or has cost %d", i, r.Cost)
		}
	}
	return s, nil
}
