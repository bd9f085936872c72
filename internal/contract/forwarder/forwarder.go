// Package forwarder is the client of the plain services beside the model engines.
package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the call has left this process.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the service declares that it has not run the call.
	KindRefused Kind = "refused"
	// KindLost means that the call may have run but its answer did not come whole.
	KindLost Kind = "lost"
	// KindCrossed means that the answer belongs to another request.
	KindCrossed Kind = "crossed"
	// KindUntold means that the service could not tell whether a request ran.
	KindUntold Kind = "untold"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 8 << 20

// lookupTimeout bounds the question whether a request ran.
const lookupTimeout = 2 * clock.Second

// Call is one call of a plain service.
type Call struct {
	Address ident.Address
	Request ident.Request
	Key     ident.Key
	Method  string
	// Path is the escaped path with its query, starting with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Once marks a call that may not be repeated; it uses a new connection.
	Once bool
}

// Answer is a service's whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Report tells whether a request ran at a service.
type Report struct {
	Ran    bool   `json:"ran"`
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Forwarder calls plain services. Its functions are seams for tests; New fills them in.
type Forwarder struct {
	// ForwardFunc makes one call and returns the whole answer.
	ForwardFunc func(ctx context.Context, call Call) (Answer, error)
	// LookupFunc asks a service whether a request ran.
	LookupFunc func(ctx context.Context, address ident.Address, request ident.Request) (Report, error)
}

// Forward makes one call and returns the whole answer.
func (f *Forwarder) Forward(ctx context.Context, call Call) (Answer, error) {
	return f.ForwardFunc(ctx, call)
}

// Lookup asks a service whether a request ran.
func (f *Forwarder) Lookup(ctx context.Context, address ident.Address, request ident.Request) (Report, error) {
	return f.LookupFunc(ctx, address, request)
}

// passedHeaders are the caller's headers that a service receives.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// returnedHeaders are the service's headers that a caller receives.
var returnedHeaders = []string{"Content-Type", "Content-Language", "ETag", "Location", "Last-Modified", "Cache-Control"}

// New returns a Forwarder that speaks HTTP.
func New(d *dialer.Dialer) *Forwarder {
	h := &httpService{dial: d}
	return &Forwarder{ForwardFunc: h.forward, LookupFunc: h.lookup}
}

type httpService struct{ dial *dialer.Dialer }

func (h *httpService) forward(ctx context.Context, call Call) (Answer, error) {
	const op = "forward call"
	var evidence dialer.SendTrace
	target := fmt.Sprintf("http://%s%s", call.Address, call.Path)
	req, err := http.NewRequestWithContext(evidence.WithTrace(ctx), call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.New(op, KindNotSent, err)
	}
	copyHeaders(req.Header, call.Header, passedHeaders)
	req.Header.Set(chat.HeaderRequestID, string(call.Request))
	if call.Key != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, string(call.Key))
	}
	client := h.dial.Pooled
	if call.Once {
		client = h.dial.Fresh
		req.GetBody = nil // net/http must not be able to send the body again
	}
	resp, err := client.Do(req)
	if err != nil && !evidence.MaybeSent() {
		return Answer{}, fault.New(op, KindNotSent, err)
	}
	if err != nil {
		return Answer{}, fault.New(op, KindLost, err)
	}
	defer resp.Body.Close()
	return readAnswer(op, call, resp)
}

func readAnswer(op string, call Call, resp *http.Response) (Answer, error) {
	if resp.Header.Get(chat.HeaderNotRun) == "true" {
		return Answer{}, fault.Newf(op, KindRefused, "status %d", resp.StatusCode)
	}
	if got := resp.Header.Get(chat.HeaderRequestID); got != "" && got != string(call.Request) {
		return Answer{}, fault.Newf(op, KindCrossed, "answer belongs to request %q", got)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, fault.New(op, KindLost, err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, fault.Newf(op, KindLost, "answer exceeds %d bytes", maxAnswerBytes)
	}
	answer := Answer{Status: resp.StatusCode, Header: http.Header{}, Body: body}
	copyHeaders(answer.Header, resp.Header, returnedHeaders)
	return answer, nil
}

func copyHeaders(to, from http.Header, names []string) {
	for _, name := range names {
		if v := from.Values(name); len(v) > 0 {
			to[http.CanonicalHeaderKey(name)] = v
		}
	}
}

func (h *httpService) lookup(ctx context.Context, address ident.Address, request ident.Request) (Report, error) {
	const op = "look up request"
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	target := fmt.Sprintf("http://%s/requests/%s", address, url.PathEscape(string(request)))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Report{}, fault.New(op, KindUntold, err)
	}
	resp, err := h.dial.Fresh.Do(req)
	if err != nil {
		return Report{}, fault.New(op, KindUntold, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Report{}, fault.Newf(op, KindUntold, "status %d", resp.StatusCode)
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*maxAnswerBytes)).Decode(&report); err != nil {
		return Report{}, fault.New(op, KindUntold, err)
	}
	return report, nil
}
