// Package rater is the client of the platform's rating service.
package rater

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// KindUnavailable means that no usable rating came in time.
const KindUnavailable Kind = "unavailable"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Query asks how good an answer is.
type Query struct {
	Request string                `json:"request"`
	Answer  string                `json:"answer"`
	Class   declaration.ClassName `json:"class"`
}

// Rating is the service's verdict.
type Rating struct {
	Rating declaration.Quality `json:"rating"`
}

// ratingFields avoids recursion in Rating's own decoder.
type ratingFields Rating

// UnmarshalJSON decodes and checks a rating.
func (r *Rating) UnmarshalJSON(raw []byte) error {
	var fields ratingFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if !(fields.Rating >= 0 && fields.Rating <= 1) {
		return errors.Newf("rating %v is not between 0 and 1", fields.Rating)
	}
	*r = Rating(fields)
	return nil
}

// Rater calls the rating service. RateFunc is a seam for tests; New fills it in.
type Rater struct {
	// RateFunc rates one answer.
	RateFunc func(ctx context.Context, q Query) (declaration.Quality, error)
}

// Rate rates one answer.
func (r *Rater) Rate(ctx context.Context, q Query) (declaration.Quality, error) {
	return r.RateFunc(ctx, q)
}

// maxRatingBytes bounds an answer of the rating service.
const maxRatingBytes = 4096

// New returns a Rater for the service at base.
func New(base string, client *http.Client, timeout clock.Millis) *Rater {
	endpoint := strings.TrimSuffix(base, "/") + "/rate"
	rate := func(ctx context.Context, q Query) (declaration.Quality, error) {
		const op = "rate answer"
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		body, err := json.Marshal(q)
		if err != nil {
			return 0, fault.New(op, KindUnavailable, err)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
		if err != nil {
			return 0, fault.New(op, KindUnavailable, err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			return 0, fault.New(op, KindUnavailable, err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return 0, fault.Newf(op, KindUnavailable, "status %d", resp.StatusCode)
		}
		var rating Rating
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxRatingBytes)).Decode(&rating); err != nil {
			return 0, fault.New(op, KindUnavailable, err)
		}
		return rating.Rating, nil
	}
	return &Rater{RateFunc: rate}
}
