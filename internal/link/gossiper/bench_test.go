package gossiper_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/zone/accountant"
)

// messageOf returns the message of a store watcher with the loads of the given number of servers.
func messageOf(servers int) gossiper.Message {
	loads := accountant.Loads{}
	for i := range servers {
		loads[ident.Server(fmt.Sprintf("i-%010x", i))] = roster.Load{Requests: 3, Pending: 250}
	}
	message := gossiper.Message{From: "front-north-a-17", Incarnation: "front-north-a-17.m0q2n7.4f", Copies: map[storer.ObjectKind]gossiper.CopyStatus{}}
	for _, kind := range []storer.ObjectKind{"config", "servers", "rollouts", "evacuations", "instances"} {
		message.Copies[kind] = gossiper.CopyStatus{Position: 123456, Age: 350}
	}
	if servers > 0 {
		message.Sums = map[declaration.ZoneName]accountant.Sum{"north-a": {Loads: loads}}
	}
	return message
}

// BenchmarkMessageSlopes measures the size of one message between instances, and the time to
// encode and decode it, as a function of the number of servers in the zone load sums.
func BenchmarkMessageSlopes(b *testing.B) {
	for _, servers := range []int{0, 140, 1400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var stream bytes.Buffer
			encoder, decoder := gob.NewEncoder(&stream), gob.NewDecoder(&stream)
			message := messageOf(servers)
			size := 0
			for range b.N {
				if err := encoder.Encode(message); err != nil {
					b.Fatal(err)
				}
				size = stream.Len()
				var got gossiper.Message
				if err := decoder.Decode(&got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}
