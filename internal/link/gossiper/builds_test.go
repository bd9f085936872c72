package gossiper_test

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/base64"
	"encoding/gob"
	"net/rpc"
	"strings"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/zone/accountant"
)

// olderMessage is a message as the build of 4a9026e, which has no tunnels, sent it.
//
//go:embed _fixtures/message-4a9026e.b64
var olderMessage string

// TestMessageOfOlderBuild guards against messages of a build without tunnels being misread, or saying that their sender carries tunnels.
func TestMessageOfOlderBuild(t *testing.T) {
	raw, err := base64.StdEncoding.DecodeString(strings.ReplaceAll(olderMessage, "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	var m gossiper.Message
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&m); err != nil {
		t.Fatal(err)
	}
	if m.From != "front-a" || m.Copies["config"].Position != 7 || m.Loads["i-1"].Requests != 3 || len(m.Departing) != 1 || m.Departing[0].Born != 1000 {
		t.Errorf("decoded %+v", m)
	}
	if m.Tunnels.Carries || len(m.Pauses) > 0 {
		t.Errorf("tunnels %+v, pauses %v", m.Tunnels, m.Pauses)
	}
}

// TestMessageToOlderBuild guards against messages that a build without tunnels can't decode.
func TestMessageToOlderBuild(t *testing.T) {
	type message struct { // what the older build knows of it
		From      ident.Instance
		Copies    map[storer.ObjectKind]gossiper.CopyStatus
		Loads     accountant.Loads
		Departing []backend.Incarnation
	}
	sent := gossiper.Message{
		From: "front-a", Copies: map[storer.ObjectKind]gossiper.CopyStatus{"config": {Position: 7}}, Loads: accountant.Loads{"i-1": roster.Load{Requests: 3}},
		Parts:       []byte{1, 2, 3},
		Departing:   []backend.Incarnation{{ID: "i-2", Born: 1000}},
		Tunnels:     tunneler.Report{Carries: true, Carried: 3, CutOff: true, Carriers: []ident.Instance{"front-b"}},
		Pauses:      []roster.PauseReport{{Server: backend.Incarnation{ID: "i-2"}, Left: 300}},
		Demand:      &demander.Report{Instances: 1, Services: map[declaration.ServiceName]demander.Demand{"llm": {Requests: 3, Work: 400}}},
		ZoneDemands: map[declaration.ZoneName]demander.Report{"a": {Instances: 2, Age: 300}},
	}
	var raw bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var got message
	if err := gob.NewDecoder(&raw).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.From != "front-a" || got.Copies["config"].Position != 7 || got.Loads["i-1"].Requests != 3 || len(got.Departing) != 1 {
		t.Errorf("decoded %+v", got)
	}
}

// TestCallsOfOlderBuild guards against calls of the build of e311602 that are not served any more.
func TestCallsOfOlderBuild(t *testing.T) {
	run(t, 1, 1, func(t *testing.T, f *fleet) {
		conn, err := f.network.Dialer("10.0.0.9")(context.Background(), "tcp", string(f.peers[0].Address))
		if err != nil {
			t.Fatal(err)
		}
		client := rpc.NewClient(conn)
		defer client.Close()
		if err := client.Call("gossip.Exchange", gossiper.Message{From: "older"}, new(gossiper.Message)); err != nil {
			t.Error(err)
		}
		if err := client.Call("gossip.Pull", gossiper.PullArgs{Kind: kind}, new(gossiper.PullReply)); err != nil {
			t.Error(err)
		}
	})
}
