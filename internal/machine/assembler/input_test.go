package assembler_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/fleet"
)

// TestBadInput sends each kind of bad input. Each gets its own problem, says that
// nothing has run, and leaves no claim and no bill.
func TestBadInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, func(f *fleet.Fleet) {
			f.Settings = func(s *loader.Settings) { s.Limits.BodyBytes = 4096 }
		})
		good := func() fleet.Ask { return fleet.Chat("lookups", "hello", false) }
		with := func(a fleet.Ask, change func(*fleet.Ask)) fleet.Ask {
			change(&a)
			return a
		}
		header := func(name, value string) fleet.Ask {
			return with(good(), func(a *fleet.Ask) { a.Header[name] = value })
		}
		body := func(raw string) fleet.Ask { return with(good(), func(a *fleet.Ask) { a.Body = []byte(raw) }) }
		for _, tt := range []struct {
			name   string
			ask    fleet.Ask
			status int
			kind   problem.Type
		}{
			{"malformed body", body(`{"model":`), http.StatusBadRequest, problem.TypeBadBody},
			{"body without messages", body(`{"model":"lookups"}`), http.StatusBadRequest, problem.TypeBadBody},
			{"oversized body", body(strings.Repeat(" ", 5000)), http.StatusRequestEntityTooLarge, problem.TypeBodyTooLarge},
			{"unknown route", body(`{"model":"nothing","messages":[{"role":"user","content":"x"}]}`), http.StatusNotFound, problem.TypeUnknownRoute},
			{"unknown path", with(good(), func(a *fleet.Ask) { a.Path = "/v2/x" }), http.StatusNotFound, problem.TypeUnknownPath},
			{"unknown service", with(fleet.Register("k", "x"), func(a *fleet.Ask) { a.Path = "/services/other/x" }), http.StatusNotFound, problem.TypeUnknownRoute},
			{"wrong key", header("Authorization", "Bearer nobody"), http.StatusUnauthorized, problem.TypeBadKey},
			{"no key", header("Authorization", ""), http.StatusUnauthorized, problem.TypeBadKey},
			{"timeout not a number", header(chat.HeaderTimeout, "soon"), http.StatusBadRequest, problem.TypeBadHeader},
			{"timeout too long", header(chat.HeaderTimeout, "999999999"), http.StatusBadRequest, problem.TypeBadHeader},
			{"priority not of RFC 9218", header(chat.HeaderPriority, "u=9"), http.StatusBadRequest, problem.TypeBadHeader},
			{"request id with a slash", header(chat.HeaderRequestID, "a/b"), http.StatusBadRequest, problem.TypeBadHeader},
			{"key too long", header(chat.HeaderIdempotencyKey, strings.Repeat("k", 300)), http.StatusBadRequest, problem.TypeBadHeader},
			{"forged session", header(chat.HeaderSession, "e30.AAAA"), http.StatusBadRequest, problem.TypeBadSession},
		} {
			reply, err := f.Send(t.Context(), f.Nodes[0], tt.ask)
			if err != nil {
				t.Fatalf("%s: %v", tt.name, err)
			}
			var doc problem.Document
			if err := json.Unmarshal(reply.Body, &doc); err != nil {
				t.Fatalf("%s: %v in %s", tt.name, err, reply.Body)
			}
			if reply.Status != tt.status || doc.Type != tt.kind || doc.Outcome != problem.OutcomeNotRun || reply.Header.Get("Content-Type") != problem.ContentType {
				t.Errorf("%s: status %d, %+v, want %d and type %q", tt.name, reply.Status, doc, tt.status, tt.kind)
			}
		}
		if records, _ := f.Nodes[0].Biller.Backlog(); records > 0 || len(f.Store.Objects(claim.Kind(0))) > 0 {
			t.Errorf("bad input left %d bills and %d claims", records, len(f.Store.Objects(claim.Kind(0))))
		}
	})
}

// TestKeys checks what a key protects: another body with it is refused, and the
// outcome of the first call can be found.
func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		if reply, err := f.Send(t.Context(), f.Nodes[0], fleet.Register("k", "first")); err != nil || reply.Status != 200 {
			t.Fatalf("status %d, error %v", reply.Status, err)
		}
		reply, err := f.Send(t.Context(), f.Nodes[1], fleet.Register("k", "second"))
		if err != nil || reply.Status != http.StatusUnprocessableEntity {
			t.Errorf("another body with the key: status %d, error %v: %s", reply.Status, err, reply.Body)
		}
		found, err := f.Send(t.Context(), f.Nodes[1], fleet.Ask{Method: http.MethodGet, Path: "/v1/requests/k"})
		if err != nil || !strings.Contains(string(found.Body), `"outcome":"ran"`) {
			t.Errorf("look-up: status %d, error %v: %s", found.Status, err, found.Body)
		}
		none, err := f.Send(t.Context(), f.Nodes[1], fleet.Ask{Method: http.MethodGet, Path: "/v1/requests/other"})
		if err != nil || none.Status != http.StatusNotFound {
			t.Errorf("look-up of nothing: status %d, error %v", none.Status, err)
		}
	})
}
