// Package forwarder is the client of the plain services, which are not model engines.
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
	// KindNotSent means that no byte of the call was sent.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the service answered that it has not run the call.
	KindRefused Kind = "refused"
	// KindLost means that the call may have run, but no complete answer arrived.
	KindLost Kind = "lost"
	// KindMismatched means that the answer belongs to another request.
	KindMismatched Kind = "crossed"
	// KindLookupFailed means that a lookup did not find out whether a request ran.
	KindLookupFailed Kind = "untold"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// maxAnswerBytes bounds the body of a service's answer.
const maxAnswerBytes = 8 << 20

// lookupTimeout bounds a call of Lookup.
const lookupTimeout = 2 * clock.Second

// Call is one call to a plain service.
type Call struct {
	Address ident.Address
	Request ident.Request
	Key     ident.Key
	Method  string
	// Path is the escaped path with its query, starting with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce marks a call that must not be repeated. It uses a new connection and
	// is not retried by net/http.
	AtMostOnce bool
}

// Answer is a service's complete answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// LookupResult states whether a request ran at a service, and with what result.
type LookupResult struct {
	Ran    bool   `json:"ran"`
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Forwarder calls plain services. New sets its functions; tests may replace them.
type Forwarder struct {
	// ForwardFunc makes one call and returns the complete answer.
	ForwardFunc func(ctx context.Context, call Call) (Answer, error)
	// LookupFunc asks a service whether a request ran.
	LookupFunc func(ctx context.Context, address ident.Address, request ident.Request) (LookupResult, error)
}

// Forward makes one call and returns the complete answer.
func (f *Forwarder) Forward(ctx context.Context, call Call) (Answer, error) {
	return f.ForwardFunc(ctx, call)
}

// Lookup asks a service whether a request ran.
func (f *Forwarder) Lookup(ctx context.Context, address ident.Address, request ident.Request) (LookupResult, error) {
	return f.LookupFunc(ctx, address, request)
}

// forwardedHeaders are the caller's headers that are forwarded to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"}

// returnedHeaders are the service's headers that are returned to a caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "ETag", "Location", "Last-Modified", "Cache-Control"}

// ReadFunc reads a body of at most most bytes to its end, within a memory limit that all bodies share. size is its announced
// length, or negative if unknown. The returned function returns the body's memory to that limit.
type ReadFunc func(source io.Reader, size, most int64) (content []byte, release func(), err error)

// New returns a Forwarder that speaks HTTP and reads answers by read.
func New(d *dialer.Dialer, read ReadFunc) *Forwarder {
	h := &httpService{dial: d, read: read}
	return &Forwarder{ForwardFunc: h.forward, LookupFunc: h.lookup}
}

type httpService struct {
	dial *dialer.Dialer
	read ReadFunc
}

func (h *httpService) forward(ctx context.Context, call Call) (Answer, error) {
	const op = "forward call"
	var evidence dialer.SendTrace
	target := fmt.Sprintf("http://%s%s", call.Address, call.Path)
	req, err := http.NewRequestWithContext(evidence.WithTrace(ctx), call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fault.New(op, KindNotSent, err)
	}
	copyHeaders(req.Header, call.Header, forwardedHeaders)
	req.Header.Set(chat.HeaderRequestID, string(call.Request))
	if call.Key != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, string(call.Key))
	}
	client := h.dial.Pooled
	if call.AtMostOnce {
		client = h.dial.Fresh
		req.GetBody = nil // without GetBody net/http cannot send the body again
	}
	resp, err := client.Do(req)
	if err != nil && !evidence.MaybeSent() {
		return Answer{}, fault.New(op, KindNotSent, err)
	}
	if err != nil {
		return Answer{}, fault.New(op, KindLost, err)
	}
	defer resp.Body.Close()
	return h.readAnswer(op, call, resp)
}

func (h *httpService) readAnswer(op string, call Call, resp *http.Response) (Answer, error) {
	if resp.StatusCode < http.StatusOK { // net/http takes any three digits
		return Answer{}, fault.Newf(op, KindLost, "status %d is none of a final answer", resp.StatusCode)
	}
	if resp.Header.Get(chat.HeaderNotRun) == "true" {
		return Answer{}, fault.Newf(op, KindRefused, "status %d", resp.StatusCode)
	}
	if got := resp.Header.Get(chat.HeaderRequestID); got != "" && got != string(call.Request) {
		return Answer{}, fault.Newf(op, KindMismatched, "answer belongs to request %q", got)
	}
	body, release, err := h.read(resp.Body, resp.ContentLength, maxAnswerBytes)
	if err != nil {
		return Answer{}, fault.New(op, KindLost, err)
	}
	defer release() // the limit is for bodies that don't end; a whole one is soon passed on
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

func (h *httpService) lookup(ctx context.Context, address ident.Address, request ident.Request) (LookupResult, error) {
	const op = "look up request"
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	target := fmt.Sprintf("http://%s/requests/%s", address, url.PathEscape(string(request)))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return LookupResult{}, fault.New(op, KindLookupFailed, err)
	}
	resp, err := h.dial.Fresh.Do(req)
	if err != nil {
		return LookupResult{}, fault.New(op, KindLookupFailed, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return LookupResult{}, fault.Newf(op, KindLookupFailed, "status %d", resp.StatusCode)
	}
	var report LookupResult
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*maxAnswerBytes)).Decode(&report); err != nil {
		return LookupResult{}, fault.New(op, KindLookupFailed, err)
	}
	return report, nil
}
