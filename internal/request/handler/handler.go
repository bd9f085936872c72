// Package handler serves the callers' HTTP API: it validates requests, runs them, and
// answers errors with problem documents, whose outcome says whether the request ran.
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

// Defaults of the limits on callers' requests.
const (
	// DefaultBodyBytes is the maximum size of a request body when BodyBytes is not set.
	DefaultBodyBytes = 2 << 20
	// DefaultPromptTimeout is the timeout of a request of prompt priority that sets none,
	// when PromptTimeout is not set.
	DefaultPromptTimeout = 10 * clock.Second
	// DefaultPatientTimeout is the timeout of a request of patient priority that sets none,
	// when PatientTimeout is not set.
	DefaultPatientTimeout = 120 * clock.Second
)

// RequestSummary describes a request that has ended, for logs and metrics.
type RequestSummary struct {
	Request   ident.Request
	Workspace declaration.WorkspaceName
	Route     string
	Version   declaration.Ref
	Outcome   problem.Outcome
	Refusal   problem.Type // empty if the request was answered
	Status    int
	Attempts  int
	Cost      declaration.MicroCost
	Elapsed   clock.Millis
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
	// RefusalFunc, when set, returns the refusal for new requests while the instance
	// takes none, and nil otherwise.
	RefusalFunc func() *problem.Document
	// OnRequestStart, when set, is called for each authenticated request once its route
	// has been found.
	OnRequestStart func(request ident.Request, workspace declaration.WorkspaceName, route string)
	// OnRequestEnd, when set, is called when a request has ended, also if it was refused.
	OnRequestEnd func(RequestSummary)
	// OnUnstoredBill, when set, is called when a bill could not be recorded, so that only
	// this process holds it.
	OnUnstoredBill func(bill.Record)

	BodyBytes         int64
	PromptTimeout     clock.Millis
	PatientTimeout    clock.Millis
	StreamBufferBytes int
	StallTimeout      clock.Millis

	mu       sync.Mutex
	inFlight int
}

// Mux returns the handler of the callers' API.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.serve((*exchange).chat))
	mux.HandleFunc("GET /v1/requests/{id}", h.serve((*exchange).lookup))
	mux.HandleFunc("/services/{service}/{path...}", h.serve((*exchange).service))
	mux.HandleFunc("/services/{service}", h.serve((*exchange).service))
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

// exchange is one request being served, and its response.
type exchange struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	headers   headers
	digest    string
	workspace *keeper.Workspace
	started   clock.Millis
	summary   RequestSummary
}

// serve wraps an endpoint with the checks that all endpoints share, writes the refusal
// if there is one, and reports the end of the request.
func (h *Handler) serve(endpoint func(*exchange) *problem.Document) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.addInFlight(1)
		defer h.addInFlight(-1)
		v := &exchange{Handler: h, w: w, r: r, started: h.Clock.Now()}
		refusal := v.authenticate()
		if refusal == nil {
			refusal = endpoint(v)
		}
		if refusal != nil {
			refusal.Write(w)
		}
		v.reportEnd(refusal)
	}
}

func (h *Handler) addInFlight(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight += n
}

// authenticate makes the checks that all endpoints share: it validates the headers,
// asks RefusalFunc and finds the workspace of the caller's key.
func (v *exchange) authenticate() *problem.Document {
	headers, refusal := readHeaders(v.r.Header)
	if refusal != nil {
		return refusal
	}
	v.headers = headers
	v.summary.Request = headers.request
	v.w.Header().Set("X-Request-Id", string(headers.request))
	if v.RefusalFunc != nil {
		if refusal := v.RefusalFunc(); refusal != nil {
			return refusal
		}
	}
	v.digest = KeyDigest(bearerKey(v.r.Header))
	v.workspace = v.ViewFunc().WorkspaceByDigest(v.digest)
	if v.workspace == nil {
		return problem.New(problem.TypeBadKey, http.StatusUnauthorized, problem.OutcomeNotRun, "the bearer key belongs to no workspace")
	}
	v.summary.Workspace = v.workspace.Name
	return nil
}

// KeyDigest returns the digest by which the configuration identifies a workspace's key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func bearerKey(h http.Header) string {
	scheme, key, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (v *exchange) reportStart(route string) {
	v.summary.Route = route
	if v.OnRequestStart != nil {
		v.OnRequestStart(v.headers.request, v.workspace.Name, route)
	}
}

func (v *exchange) reportEnd(refusal *problem.Document) {
	v.summary.Elapsed = v.Clock.Now() - v.started
	if refusal != nil {
		v.summary.Refusal = refusal.Type
		v.summary.Outcome = refusal.Outcome
		v.summary.Status = refusal.Status
	}
	if v.OnRequestEnd != nil {
		v.OnRequestEnd(v.summary)
	}
}

// deadline returns the time by which the request must have ended.
func (v *exchange) deadline(p declaration.Priority) clock.Millis {
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

// billID returns the ID under which the request is billed. It has no part that depends
// on the instance: a request repeated unchanged with the same idempotency key or request
// ID keeps its bill ID at every instance.
func (v *exchange) billID(body []byte) bill.ID {
	callID := string(v.headers.key)
	if callID == "" {
		callID = string(v.headers.request)
	}
	sum := sha256.Sum256(append([]byte(v.r.Method+v.r.URL.RequestURI()+"\x00"), body...))
	return bill.ID(string(v.workspace.Name) + "/" + callID + "/" + hex.EncodeToString(sum[:6]))
}

// recordBill completes a bill and records it. It must be called before the last byte of
// the answer is sent.
func (v *exchange) recordBill(r bill.Record) {
	r.Workspace = v.workspace.Name
	r.Request = v.headers.request
	r.At = v.Clock.Now()
	v.summary.Cost = r.Cost
	v.summary.Attempts = r.Attempts
	if err := v.Biller.Record(v.r.Context(), r); err != nil && v.OnUnstoredBill != nil {
		v.OnUnstoredBill(r)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a failure means that the caller has disconnected
}
