// Package handler serves callers over HTTP: it checks what they send, runs it, and
// turns every error into a problem document with a truthful outcome.
package handler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/dispatcher"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/version/signer"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Limits of what callers may send and wait for.
const (
	// DefaultBodyBytes bounds a request's body when no bound is set.
	DefaultBodyBytes = 2 << 20
	// DefaultPromptTimeout is the deadline of a prompt request that names none.
	DefaultPromptTimeout = 10 * clock.Second
	// DefaultPatientTimeout is the deadline of a patient request that names none.
	DefaultPatientTimeout = 120 * clock.Second
)

// RequestSummary describes a request that has ended, for logs and metrics.
type RequestSummary struct {
	Request   ident.Request
	Workspace declaration.WorkspaceName
	Route     string
	Version   declaration.Ref
	Outcome   problem.Outcome
	Refusal   problem.Type // empty for an answer
	Status    int
	Attempts  int
	Cost      declaration.MicroCost
	Duration      clock.Millis
}

// Handler serves callers. Set the exported fields, then use Mux.
type Handler struct {
	Clock      *clock.Clock
	ViewFunc   func() *keeper.View
	Conductor  *conductor.Conductor
	Dispatcher *dispatcher.Dispatcher
	Biller     *biller.Biller
	Signer     *signer.Signer
	Budget     *pacer.MemoryBudget
	// RefusalFunc returns a refusal while the instance takes no new work.
	RefusalFunc func() *problem.Document
	// OnRequestStart, when set, is told of each request that passed the gate.
	OnRequestStart func(request ident.Request, workspace declaration.WorkspaceName, route string)
	// OnRequestEnd, when set, is told of each request's end.
	OnRequestEnd func(RequestSummary)
	// OnUnstoredBill, when set, is told of each answer whose bill only this process holds.
	OnUnstoredBill func(bill.Record)

	BodyBytes      int64
	PromptTimeout  clock.Millis
	PatientTimeout clock.Millis
	StreamBufferBytes         int
	StallTimeout     clock.Millis

	mu       sync.Mutex
	inFlight int
}

// Mux returns the callers' API.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.serve((*visit).chat))
	mux.HandleFunc("GET /v1/requests/{id}", h.serve((*visit).lookup))
	mux.HandleFunc("/services/{service}/{path...}", h.serve((*visit).service))
	mux.HandleFunc("/services/{service}", h.serve((*visit).service))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		problem.New(problem.TypeUnknownPath, http.StatusNotFound, problem.OutcomeNotRun, "%s %s is not part of the API", r.Method, r.URL.Path).Write(w)
	})
	return mux
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// visit is one request being served.
type visit struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	headers   headers
	digest    string
	workspace *keeper.Workspace
	started   clock.Millis
	finished  RequestSummary
}

// serve wraps an endpoint with the gate, authentication and header checks.
func (h *Handler) serve(endpoint func(*visit) *problem.Document) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.count(1)
		defer h.count(-1)
		v := &visit{Handler: h, w: w, r: r, started: h.Clock.Now()}
		refusal := v.enter()
		if refusal == nil {
			refusal = endpoint(v)
		}
		if refusal != nil {
			refusal.Write(w)
		}
		v.finish(refusal)
	}
}

func (h *Handler) count(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight += n
}

// enter checks everything that does not depend on the endpoint.
func (v *visit) enter() *problem.Document {
	headers, refusal := readHeaders(v.r.Header)
	if refusal != nil {
		return refusal
	}
	v.headers = headers
	v.finished.Request = headers.request
	v.w.Header().Set("X-Request-Id", string(headers.request))
	if v.RefusalFunc != nil {
		if refusal := v.RefusalFunc(); refusal != nil {
			return refusal
		}
	}
	v.digest = KeyDigest(bearer(v.r.Header))
	v.workspace = v.ViewFunc().WorkspaceByDigest(v.digest)
	if v.workspace == nil {
		return problem.New(problem.TypeBadKey, http.StatusUnauthorized, problem.OutcomeNotRun, "the bearer key belongs to no workspace")
	}
	v.finished.Workspace = v.workspace.Name
	return nil
}

// KeyDigest returns the digest under which a workspace's key is declared.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func bearer(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (v *visit) begun(route string) {
	v.finished.Route = route
	if v.OnRequestStart != nil {
		v.OnRequestStart(v.headers.request, v.workspace.Name, route)
	}
}

func (v *visit) finish(refusal *problem.Document) {
	v.finished.Duration = v.Clock.Now() - v.started
	if refusal != nil {
		v.finished.Refusal = refusal.Type
		v.finished.Outcome = refusal.Outcome
		v.finished.Status = refusal.Status
	}
	if v.OnRequestEnd != nil {
		v.OnRequestEnd(v.finished)
	}
}

// deadline returns when the request must have ended.
func (v *visit) deadline(p declaration.Priority) clock.Millis {
	timeout := v.headers.timeout
	switch {
	case timeout > 0:
	case p == declaration.PriorityPatient:
		timeout = orDefault(v.PatientTimeout, DefaultPatientTimeout)
	default:
		timeout = orDefault(v.PromptTimeout, DefaultPromptTimeout)
	}
	return v.started + timeout
}

func orDefault[T int | int64 | clock.Millis](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// billID returns the identity under which the request is charged. A request that
// the caller can repeat keeps its identity at every instance.
func (v *visit) billID(body []byte) bill.ID {
	name := string(v.headers.key)
	if name == "" {
		name = string(v.headers.request)
	}
	sum := sha256.Sum256(append([]byte(v.r.Method+v.r.URL.RequestURI()+"\x00"), body...))
	return bill.ID(string(v.workspace.Name) + "/" + name + "/" + hex.EncodeToString(sum[:6]))
}

// charge makes a bill safe before the answer's last byte is sent.
func (v *visit) charge(r bill.Record) {
	r.Workspace = v.workspace.Name
	r.Request = v.headers.request
	r.At = v.Clock.Now()
	v.finished.Cost = r.Cost
	v.finished.Attempts = r.Attempts
	if err := v.Biller.Record(v.r.Context(), r); err != nil && v.OnUnstoredBill != nil {
		v.OnUnstoredBill(r)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller has left when this fails
}
