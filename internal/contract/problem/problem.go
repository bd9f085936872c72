// Package problem forms the refusals that callers see, as application/problem+json (RFC 9457), and what
// operators are told of an instance in the same form.
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

// Type names the reason of a refusal, or what an operator should look into.
type Type string

// Reasons of refusals, and problems for operators.
const (
	// TypeBadBody means that the body cannot be read or is not a request.
	TypeBadBody Type = "bad-body"
	// TypeBodyTooLarge means that the body exceeds the instance's bound.
	TypeBodyTooLarge Type = "body-too-large"
	// TypeBadHeader means that a header has a wrong value.
	TypeBadHeader Type = "bad-header"
	// TypeBadKey means that the bearer key belongs to no workspace.
	TypeBadKey Type = "bad-key"
	// TypeUnknownRoute means that the workspace has no such route or service.
	TypeUnknownRoute Type = "unknown-route"
	// TypeUnknownPath means that the path is not part of the API.
	TypeUnknownPath Type = "unknown-path"
	// TypeBadSession means that the session token is forged, expired or another's.
	TypeBadSession Type = "bad-session"
	// TypeWithdrawn means that the version may take no new work and the route does not move the request.
	TypeWithdrawn Type = "version-withdrawn"
	// TypeNoServer means that no version or server of the route is in service.
	TypeNoServer Type = "no-server"
	// TypeOverloaded means that the request's turn would come too late; ask again after Retry-After.
	TypeOverloaded Type = "overloaded"
	// TypeDeadline means that the request's deadline passed.
	TypeDeadline Type = "deadline"
	// TypeStopping means that the instance is stopping or its zone is out.
	TypeStopping Type = "stopping"
	// TypeNoConfig means that the instance has no configuration, or has heard from nobody for too long.
	TypeNoConfig Type = "no-configuration"
	// TypeClaimFailed means that the store did not take the claim of a request that may not be repeated.
	TypeClaimFailed Type = "claim-failed"
	// TypeKeyInUse means that a request with the key is under way, or its answer was not kept.
	TypeKeyInUse Type = "key-in-use"
	// TypeKeyMismatch means that the key was used for another request.
	TypeKeyMismatch Type = "key-mismatch"
	// TypeKeyExpired means that the key carries a time before which claims are forgotten.
	TypeKeyExpired Type = "key-expired"
	// TypeBillBacklog means that too many bills wait for the store.
	TypeBillBacklog Type = "bill-backlog"
	// TypeBackendFailed means that backend servers failed and the tries are used up.
	TypeBackendFailed Type = "backend-failed"
	// TypeAnswerCut means that a streamed answer cannot be continued.
	TypeAnswerCut Type = "answer-cut"
	// TypeNotFound means that no claim with the key is known.
	TypeNotFound Type = "request-not-found"
	// TypeUsageLate means that the usage of a period was not reported to the platform in time; callers never see it.
	TypeUsageLate Type = "usage-late"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Document is a refusal, or a problem for operators, which has neither status nor outcome.
type Document struct {
	Type    Type    `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status,omitempty"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome,omitempty"`
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

// ForOperators returns a document that no caller sees.
func ForOperators(t Type, title, format string, args ...any) Document {
	return Document{Type: t, Title: title, Detail: fmt.Sprintf(format, args...)}
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
