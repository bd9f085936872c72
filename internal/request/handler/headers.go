package handler

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/dunglas/httpsfv"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	maxRequestIDBytes = 128
	maxKeyBytes       = 256
	maxTimeout        = clock.Hour
	// patientUrgency is the RFC 9218 urgency from which a request is patient.
	patientUrgency = 5
	// lowestUrgency is the highest number, and lowest urgency, of RFC 9218.
	lowestUrgency = 7
)

var errUrgency = errors.Newf("u is not an integer from 0 to %d", lowestUrgency)

// headers are the checked headers of a request.
type headers struct {
	request ident.Request
	key     ident.Key
	timeout clock.Millis
	// patient is set when the caller lowers the request's urgency.
	patient bool
	session string
}

// readHeaders checks the headers that callers may set.
func readHeaders(h http.Header) (headers, *problem.Document) {
	out := headers{
		request: ident.Request(h.Get(chat.HeaderRequestID)),
		key:     ident.Key(h.Get(chat.HeaderIdempotencyKey)),
		session: h.Get(chat.HeaderSession),
	}
	if out.request == "" {
		out.request = ident.NewRequest()
	}
	if !visible(string(out.request), maxRequestIDBytes) {
		return out, badHeader(chat.HeaderRequestID, "is not 1 to %d visible ASCII characters without a slash", maxRequestIDBytes)
	}
	if out.key != "" && !visible(string(out.key), maxKeyBytes) {
		return out, badHeader(chat.HeaderIdempotencyKey, "is not 1 to %d visible ASCII characters without a slash", maxKeyBytes)
	}
	if raw := h.Get(chat.HeaderTimeout); raw != "" {
		n, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || n < 1 || clock.Millis(n) > maxTimeout {
			return out, badHeader(chat.HeaderTimeout, "%q is not a number of milliseconds from 1 to %d", raw, maxTimeout)
		}
		out.timeout = clock.Millis(n)
	}
	urgency, err := readUrgency(h)
	if err != nil {
		return out, badHeader(chat.HeaderPriority, "is not a priority as in RFC 9218: %v", err)
	}
	out.patient = urgency >= patientUrgency
	return out, nil
}

func badHeader(name, format string, args ...any) *problem.Document {
	return problem.New(problem.TypeBadHeader, http.StatusBadRequest, problem.OutcomeNotRun, name+" "+format, args...)
}

// visible reports whether s has 1 to most printable ASCII characters, none of them
// a space or a slash.
func visible(s string, most int) bool {
	if s == "" || len(s) > most {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// readUrgency returns the urgency that the header Priority states, or 0 without one.
func readUrgency(h http.Header) (int64, error) {
	values := h.Values(chat.HeaderPriority)
	if len(values) == 0 {
		return 0, nil
	}
	dict, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return 0, err
	}
	member, found := dict.Get("u")
	if !found {
		return 0, nil
	}
	item, ok := member.(httpsfv.Item)
	if !ok {
		return 0, errUrgency
	}
	urgency, ok := item.Value.(int64)
	if !ok || urgency < 0 || urgency > lowestUrgency {
		return 0, errUrgency
	}
	return urgency, nil
}

// priority returns the request's class: the declared one, or patient when the
// caller lowers it.
func (h headers) priority(declared declaration.Priority) declaration.Priority {
	if h.patient || declared == declaration.PriorityPatient {
		return declaration.PriorityPatient
	}
	return declaration.PriorityPrompt
}
