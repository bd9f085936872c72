// Package problem forms the refusals that callers see, as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"example.com/dotterelwell/internal/machine/clock"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun means that no backend server has run the request or will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run; it will not be repeated.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "ran"
)

// Type names the reason of a refusal.
type Type string

// Reasons of refusals.
const (
	TypeBadBody       Type = "bad-body"
	TypeBodyTooLarge  Type = "body-too-large"
	TypeBadHeader     Type = "bad-header"
	TypeBadKey        Type = "bad-key"
	TypeUnknownRoute  Type = "unknown-route"
	TypeUnknownPath   Type = "unknown-path"
	TypeBadSession    Type = "bad-session"
	TypeWithdrawn     Type = "version-withdrawn"
	TypeNoServer      Type = "no-server"
	TypeOverloaded    Type = "overloaded"
	TypeDeadline      Type = "deadline"
	TypeStopping      Type = "stopping"
	TypeNoConfig      Type = "no-configuration"
	TypeClaimFailed   Type = "claim-failed"
	TypeKeyInUse      Type = "key-in-use"
	TypeKeyMismatch   Type = "key-mismatch"
	TypeKeyExpired    Type = "key-expired"
	TypeKeyMissing    Type = "key-missing"
	TypeBillBacklog   Type = "bill-backlog"
	TypeBackendFailed Type = "backend-failed"
	TypeAnswerCut     Type = "answer-cut"
	TypeNotFound      Type = "request-not-found"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Document is a refusal.
type Document struct {
	Type    Type    `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is the span after which asking again may help; zero for none.
	RetryAfter clock.Millis `json:"retry-after-ms,omitempty"`
}

// New returns a document with a formatted detail.
func New(t Type, status int, outcome Outcome, format string, args ...any) *Document {
	return &Document{
		Type:    t,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
	}
}

// After returns the document with the time after which to ask again.
func (d *Document) After(span clock.Millis) *Document {
	d.RetryAfter = span
	return d
}

// Error makes a document usable as an error.
func (d *Document) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", d.Type, d.Status, d.Outcome, d.Detail)
}

// Write sends the document as the response.
func (d *Document) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if d.RetryAfter > 0 {
		seconds := (d.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d) // the caller has left when this fails
}
