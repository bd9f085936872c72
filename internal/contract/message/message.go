// Package message defines the types of a request that an instance forwards from a
// caller to a backend server, and of the answer that it returns.
package message

import (
	"fmt"
	"net/http"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// PromptPart is a part of a prompt, identified so that requests with the same part
// can share a server's cached work on it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request, read completely into memory.
type Request struct {
	ID     ident.Request
	Method string
	Host   string
	// Target is the path with its query exactly as the caller sent it. Path is its part before the
	// query, as the server sees it, and selects the route.
	Path, Target string
	// Header holds the headers that are forwarded to the backend server.
	Header http.Header
	Body   []byte
	// Key is the API key that identifies the caller's workspace.
	Key string
	// ArrivedAt is when the request was read. CallerTimeout is how long the caller
	// waits from then on; zero if the caller does not state it.
	ArrivedAt, CallerTimeout clock.Millis
	// OpenModel is set when the caller lets the router choose the model.
	OpenModel bool
	Model     declaration.ModelName
	// PromptTokens is the caller's count of the prompt's tokens; AnswerTokens is the
	// caller's limit of the answer's tokens.
	PromptTokens, AnswerTokens int
	// AnswerHint is the caller's estimate of the answer's tokens; 0 if it gives none.
	AnswerHint int
	Prompt     []PromptPart
	Session    string
	// After is the identifier of the last event that the caller has received
	// (Last-Event-ID); empty at the start of a stream.
	After string
}

// SharedPrefix returns the ID of the last prompt part that other requests may share,
// or "" if there is none. The final part of a prompt belongs to its request or
// session alone, so this is the part before it.
func (r *Request) SharedPrefix() string {
	if len(r.Prompt) < 2 {
		return ""
	}
	return r.Prompt[len(r.Prompt)-2].ID
}

// SharedParts returns the IDs of all prompt parts but the last, which other requests may
// share.
func (r *Request) SharedParts() []string {
	if len(r.Prompt) < 2 {
		return nil
	}
	ids := make([]string, len(r.Prompt)-1)
	for i := range ids {
		ids[i] = r.Prompt[i].ID
	}
	return ids
}

// SharedTokens returns the number of tokens in all prompt parts but the last, which
// other requests may share.
func (r *Request) SharedTokens() int {
	total := 0
	for i := 0; i < len(r.Prompt)-1; i++ {
		total += r.Prompt[i].Tokens
	}
	return total
}

// Attempt is one attempt to run a request at one backend server.
type Attempt struct {
	Request   *Request
	Server    backend.Server
	Workspace declaration.WorkspaceName
	// Model is the model to run; empty when the request names it or needs none.
	Model declaration.ModelName
	// Timeout is how long the server may work on the request.
	Timeout clock.Millis
	// Urgency is the priority among the server's requests, from 0, which runs first,
	// to 9.
	Urgency int
	// After is the identifier of the last event already received; a resumed stream
	// continues after it.
	After string
	// CopyFrom is the address of the server from which Server is to copy the parts of the prompt that it lacks,
	// instead of reading them; empty for none.
	CopyFrom ident.Address
}

// NoConfidence is the value of Head.Confidence if the model reports none.
const NoConfidence = -1

// Head is the status and the headers of a backend server's answer.
type Head struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	// RequestID is the request identifier that the server returns in its answer; empty
	// if it returns none.
	RequestID ident.Request
	// NotRun is set when the server states that it has not run the request and will
	// not run it.
	NotRun bool
	// Misdirected is set when the request reached another server than intended, because
	// that one now has the address.
	Misdirected bool
	// Authentic is set when the answer comes from the server's software, and not from
	// a faulty intermediary.
	Authentic bool
	// Confidence is the confidence in its answer that the model reports, 0 to 100, or
	// NoConfidence.
	Confidence int
	// RetryAfter is how long the server asks this instance to send it no requests; zero
	// if it does not ask.
	RetryAfter clock.Millis
	// Leaving is set when the server is about to stop and accepts no new requests.
	Leaving bool
	// RateLimit is the limit that the server names for the requests of all instances together.
	RateLimit backend.RateLimit
	// Brittleness is what the server says of how many rejections it bears.
	Brittleness backend.Brittleness
}

// BelongsTo reports whether the answer belongs to the request id. An answer without a
// request identifier does only if it states that the request has not run.
func (h *Head) BelongsTo(id ident.Request) bool {
	return h.RequestID == id || h.RequestID == "" && h.NotRun
}

// OK reports whether the answer is a success.
func (h *Head) OK() bool { return h.Status >= 200 && h.Status < 300 }

// Kind classifies the reasons for which a request gets no answer from a backend server.
type Kind string

// Kinds of refusals. The kinds up to KindOverloaded guarantee that the request has not run.
const (
	// KindNoConfig means that the instance has no configuration in force.
	KindNoConfig Kind = "no-config"
	// KindNoRoute means that no route matches the host and path.
	KindNoRoute Kind = "no-route"
	// KindUnauthorized means that the key belongs to no workspace.
	KindUnauthorized Kind = "unauthorized"
	// KindStaleConfig means that this instance's configuration does not allow the
	// request, but may be out of date.
	KindStaleConfig Kind = "uncertain"
	// KindInvalid means that the request cannot be parsed.
	KindInvalid Kind = "invalid"
	// KindBodyTooLarge and KindHeaderTooLarge mean that the request's body or header
	// exceeds its size limit.
	KindBodyTooLarge   Kind = "body-too-large"
	KindHeaderTooLarge Kind = "header-too-large"
	// KindBodyTimeout means that the request's body did not arrive in time.
	KindBodyTimeout Kind = "too-slow"
	// KindStopping means that the instance is about to stop.
	KindStopping Kind = "stopping"
	// KindNoServer means that no backend server is available for the request.
	KindNoServer Kind = "no-server"
	// KindQuarantined means that servers crash under the request or under a part of its prompt.
	KindQuarantined Kind = "quarantined"
	// KindTooLate means that no backend server can answer the request in the time that is left.
	KindTooLate Kind = "too-late"
	// KindOverloaded means that all available backend servers are at capacity.
	KindOverloaded Kind = "overloaded"
	// KindFailed means that no server returned a complete answer; the request may have run.
	KindFailed Kind = "failed"
	// KindTimeout means that the request exceeded its time limit; it may have run.
	KindTimeout Kind = "timeout"
	// KindCallerGone means that the caller closed its connection.
	KindCallerGone Kind = "caller-gone"
	// KindTruncated means that an answer ended early after its head had been forwarded
	// to the caller.
	KindTruncated Kind = "broken"
)

// Refusal is the package's error type: why a request ends without an answer.
type Refusal struct {
	Op   string
	Kind Kind
	// RetryAfter is how long the caller should wait before a retry; zero for no advice.
	RetryAfter clock.Millis
	Err        error
}

// Error formats the operation, the kind and the cause.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%s: %s", r.Op, r.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", r.Op, r.Kind, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// AnswerWriter writes the answer to the caller. The codec of the caller's protocol
// sets its functions.
type AnswerWriter struct {
	// CompleteFunc writes a complete answer.
	CompleteFunc func(head *Head, body []byte) error
	// HeadFunc writes the head of a stream, and EventsFunc one or more complete events.
	HeadFunc   func(head *Head) error
	EventsFunc func(events []byte) error
}
