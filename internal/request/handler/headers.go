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
	// patientUrgency is the RFC 9218 urgency value from which a request gets patient
	// priority.
	patientUrgency = 5
	// lowestUrgency is the largest RFC 9218 urgency value, which is the least urgent.
	lowestUrgency = 7
)

var errUrgency = errors.Newf("u is not an integer from 0 to %d", lowestUrgency)

// headers holds the validated headers of a request.
type headers struct {
	request ident.Request
	key     ident.Key
	timeout clock.Millis
	// patient is set when the caller asks for patient priority.
	patient bool
	session string
}

// readHeaders parses and validates the headers that callers may set.
func readHeaders(h http.Header) (headers, *problem.Document) {
	out := headers{
		request: ident.Request(h.Get(chat.HeaderRequestID)),
		key:     ident.Key(h.Get(chat.HeaderIdempotencyKey)),
		session: h.Get(chat.HeaderSession),
	}
	if out.request == "" {
		out.request = ident.NewRequest()
	}
	if !isVisibleASCII(string(out.request), maxRequestIDBytes) {
		return out, badHeader(chat.HeaderRequestID, "is not 1 to %d visible ASCII characters without a slash", maxRequestIDBytes)
	}
	if out.key != "" && !isVisibleASCII(string(out.key), maxKeyBytes) {
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

// isVisibleASCII reports whether s consists of 1 to maxLen visible ASCII characters, none
// of them a slash.
func isVisibleASCII(s string, maxLen int) bool {
	if s == "" || len(s) > maxLen {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// readUrgency returns the urgency in the Priority header, or 0 if the header or its
// parameter u is missing.
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

// priority returns the request's priority: the declared one, or patient when the caller
// lowers it.
func (h headers) priority(declared declaration.Priority) declaration.Priority {
	if h.patient || declared == declaration.PriorityPatient {
		return declaration.PriorityPatient
	}
	return declaration.PriorityPrompt
}
