package assembler_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/fleet"
)

var (
	cheap1 = declaration.Ref{Model: "cheap", Version: "1"}
	cheap2 = declaration.Ref{Model: "cheap", Version: "2"}
	good1  = declaration.Ref{Model: "good", Version: "1"}
)

// newFleet starts instances, engines with all versions and a desk, and waits until
// they are ready.
func newFleet(t *testing.T, nodes, engines int, prepare ...func(*fleet.Fleet)) *fleet.Fleet {
	t.Helper()
	f, stop := fleet.New(3)
	t.Cleanup(stop)
	for _, p := range prepare {
		p(f)
	}
	if err := f.Submit(t.Context(), f.Configuration()); err != nil {
		t.Fatal(err)
	}
	for i := range engines {
		e := &engine.Engine{Versions: []declaration.Ref{cheap1, cheap2, good1}, FirstToken: 20, TokenGap: 10, Limit: 32, ColdLimit: 2, WarmAfter: 3}
		if err := f.AddEngine(i, e); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 2 {
		if err := f.AddDesk(i, &deskservice.Service{}); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.AddNodes(nodes); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// streamText returns the text of a streamed answer, and whether it ended whole.
func streamText(body []byte) (text string, whole bool) {
	for line := range strings.Lines(string(body)) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == chat.StreamEnd {
			return text, true
		}
		var frame chat.Answer
		if json.Unmarshal([]byte(data), &frame) == nil {
			text += frame.Text()
		}
	}
	return text, false
}

// TestPath sends one request of each kind through a whole fleet.
func TestPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		const prompt = "when does the bakery light? tokens=12"
		for _, stream := range []bool{true, false} {
			for _, route := range []string{"lookups", "rulings", "appeals"} {
				reply, err := f.Send(t.Context(), f.Next(), fleet.Chat(route, prompt, stream))
				if err != nil || reply.Status != 200 {
					t.Fatalf("%s: status %d, error %v: %s", route, reply.Status, err, reply.Body)
				}
				version, err := declaration.ParseRef(reply.Header.Get(chat.HeaderVersion))
				if err != nil {
					t.Fatal(err)
				}
				got, whole := streamText(reply.Body)
				if !stream {
					var answer chat.Answer
					if err := json.Unmarshal(reply.Body, &answer); err != nil {
						t.Fatal(err)
					}
					got, whole = answer.Text(), true
				}
				if want := engine.Text(version, prompt); !whole || got != want {
					t.Errorf("%s, stream %v: answer %q (whole %v), want %q", route, stream, got, whole, want)
				}
			}
		}
		reply, err := f.Send(t.Context(), f.Next(), fleet.Register("k1", "open"))
		if err != nil || reply.Status != 200 || !strings.Contains(string(reply.Body), `"run":1`) {
			t.Errorf("registration: status %d, error %v: %s", reply.Status, err, reply.Body)
		}
		again, err := f.Send(t.Context(), f.Next(), fleet.Register("k1", "open"))
		if err != nil || string(again.Body) != string(reply.Body) {
			t.Errorf("repeated registration: status %d, error %v: %s, want %s", again.Status, err, again.Body, reply.Body)
		}
	})
}

func workspaceDigest() string { return handler.KeyDigest(fleet.Key) }
