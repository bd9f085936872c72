package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// load sends requests at random moments to random instances, on kept connections.
type load struct {
	lab       *lab
	rng       *rand.Rand
	transport *http.Transport
	sent      sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]*tried
}

// tried is a client attempt and its outcome.
type tried struct {
	request
	node    *node
	sentAt  time.Time
	outcome outcome
}

// served reports whether the client got a server's whole answer with a success.
func (t *tried) served() bool {
	return t.outcome.whole && t.outcome.status == http.StatusOK && t.outcome.seal != ""
}

func (l *lab) newLoad(seed uint64) *load {
	return &load{lab: l, rng: rand.New(rand.NewPCG(seed, seed)), outcomes: map[string]*tried{},
		transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// run sends perSecond requests a second, made by next, for a time, and waits for their answers.
func (g *load) run(perSecond float64, length time.Duration, next func(n int) request) {
	for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
		r := next(n)
		t := &tried{request: r, node: g.lab.nodes[g.rng.IntN(len(g.lab.nodes))], sentAt: time.Now()}
		g.mu.Lock()
		g.outcomes[r.id] = t
		g.mu.Unlock()
		g.sent.Go(func() { g.send(t) })
		time.Sleep(time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	g.sent.Wait()
}

func (g *load) send(t *tried) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(t.budgetMs)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if t.method == http.MethodPost {
		body = strings.NewReader(t.body)
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+t.node.frontAddress()+t.path, body)
	g.lab.must(err)
	req.GetBody = nil // no repeats by net/http
	req.Host = host
	req.Header.Set("X-Attempt-Id", t.id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Time-Budget-Ms", fmt.Sprint(t.budgetMs))
	for _, h := range t.header {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	o := outcome{}
	resp, err := g.transport.RoundTrip(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // it has been read
		o.status, o.seal, o.body = resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(raw)
	}
	o.err, o.whole, o.took = err, err == nil, time.Since(t.sentAt)
	g.mu.Lock()
	t.outcome = o
	g.mu.Unlock()
	g.lab.record("client: %s sent to %s: %v", t.id, t.node.name, o)
}
