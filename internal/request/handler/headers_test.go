package handler

import (
	"net/http"
	"testing"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/problem"
)

// FuzzHeaders sets every header that callers may set to arbitrary values. Accepted values
// must be within their bounds, and a refusal must say that the request has not run.
func FuzzHeaders(f *testing.F) {
	f.Add("req-1", "key-1", "1000", "u=3", "token")
	f.Add("a/b", "", "-1", "u=9, i", "")
	f.Fuzz(func(t *testing.T, request, key, timeout, priority, session string) {
		h := http.Header{}
		for name, value := range map[string]string{
			chat.HeaderRequestID: request, chat.HeaderIdempotencyKey: key, chat.HeaderTimeout: timeout,
			chat.HeaderPriority: priority, chat.HeaderSession: session,
		} {
			h.Set(name, value)
		}
		got, refusal := readHeaders(h)
		if refusal != nil {
			if refusal.Outcome != problem.OutcomeNotRun || refusal.Type != problem.TypeBadHeader {
				t.Errorf("refusal %+v", refusal)
			}
			return
		}
		if got.request == "" || len(got.request) > maxRequestIDBytes || len(got.key) > maxKeyBytes || got.timeout < 0 || got.timeout > maxTimeout {
			t.Errorf("accepted %+v", got)
		}
	})
}
