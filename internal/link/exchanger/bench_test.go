package exchanger_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/link/exchanger"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/wire"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// peer is the control plane of one instance: membership, tallies and table exchange.
type peer struct {
	exchanger *exchanger.Exchanger
	enroller  *enroller.Enroller
	connector *connector.Connector
	tallier   *tallier.Tallier
}

func newPeer(network *wire.Network, i int) (*peer, lister.Instance, error) {
	c := &clock.Clock{}
	id := ident.Instance(fmt.Sprintf("entry-%d", i))
	address := fmt.Sprintf("10.0.%d.%d:81", i/250, i%250)
	listener, err := network.Listen(address)
	if err != nil {
		return nil, lister.Instance{}, err
	}
	incarnation := ident.NewIncarnation(id, c.Now())
	p := &peer{
		enroller:  &enroller.Enroller{Clock: c, Instance: id, Incarnation: incarnation, Zone: "z"},
		connector: &connector.Connector{DialFunc: network.Dialer(string(id))},
		tallier:   &tallier.Tallier{Clock: c, Owner: incarnation},
	}
	p.exchanger = &exchanger.Exchanger{
		Clock: c, Instance: id, Incarnation: incarnation, Connector: p.connector, Enroller: p.enroller,
		Keeper: &keeper.Keeper{Clock: c}, Chronicler: &chronicler.Chronicler{Clock: c, Instance: id}, Tallier: p.tallier,
		StatusFunc: func() exchanger.Status { return exchanger.Status{} },
	}
	p.exchanger.Init()
	go func() { _ = p.exchanger.Serve(listener) }() // returns when the connector is closed
	listed := lister.Instance{
		ID: string(id), State: lister.StateLive, Role: lister.RoleEntry, Zone: declaration.ZoneName(fmt.Sprintf("z%d", i%27)),
		Address: ident.Address(address), PeerAddress: ident.Address(address),
	}
	return p, listed, nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControl measures the bytes, processor time and heap that the control plane uses at
// each instance, while every instance tallies answers of two versions in three classes.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{8, 50, 400} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) { benchControl(b, n) })
	}
}

func benchControl(b *testing.B, n int) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	before := heap()
	network := &wire.Network{}
	peers := make([]*peer, n)
	var all []lister.Instance
	for i := range peers {
		p, listed, err := newPeer(network, i)
		if err != nil {
			b.Fatal(err)
		}
		peers[i] = p
		all = append(all, listed)
		defer p.connector.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, p := range peers {
		p.enroller.Tick()
		p.enroller.Apply(all)
		go func() { _ = p.exchanger.Run(ctx) }() // returns when the context is cancelled
	}
	const warmUp, measured = 15 * time.Second, 10 * time.Second
	for range b.N {
		time.Sleep(warmUp)
		start, bytes := processorTime(), bytesSent(peers)
		for range int(measured / time.Second) {
			for _, p := range peers {
				recordTallies(p.tallier)
			}
			time.Sleep(time.Second)
		}
		cpu := processorTime() - start
		b.ReportMetric(float64(bytesSent(peers)-bytes)/measured.Seconds()/float64(n), "bytes/s/instance")
		b.ReportMetric(100*cpu.Seconds()/measured.Seconds()/float64(n), "core-%/instance")
		b.ReportMetric((heap()-before)/float64(n)/(1<<20), "MiB/instance")
	}
	b.ReportMetric(0, "ns/op")
}

func recordTallies(t *tallier.Tallier) {
	for _, class := range []declaration.ClassName{"lookup", "ruling", "appeal"} {
		for _, version := range []declaration.VersionName{"1", "2"} {
			s := tallier.Subject{Class: class, Version: declaration.Ref{Model: "bora", Version: version}}
			t.RecordAnswer(s, tallier.Answer{FirstToken: 300, Took: 3000, PromptTokens: 200, AnswerTokens: 340})
			t.RecordRating(s, 0.9)
		}
	}
}

func bytesSent(peers []*peer) int64 {
	total := int64(0)
	for _, p := range peers {
		total += p.connector.Traffic.Out.Load()
	}
	return total
}
