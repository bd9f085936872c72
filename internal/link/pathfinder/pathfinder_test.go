package pathfinder_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/link/pathfinder"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// way is how connections of one kind end.
type way string

const (
	opens   way = "opens"
	refuses way = "refuses"
	hangs   way = "hangs"
	absent  way = "absent" // of peers: none carries
)

// world is what a Pathfinder meets: how direct connections and those of peers end.
type world struct {
	direct                atomic.Value // a way, which a test may change
	peers                 way
	directDials, peerAsks atomic.Int64
	lost, cutOffs         atomic.Int64
}

func (w *world) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	w.directDials.Add(1)
	return w.end(ctx, w.direct.Load().(way), errors.New("connection refused"))
}

func (w *world) ask(ctx context.Context, _ ident.Address) (net.Conn, error) {
	w.peerAsks.Add(1)
	switch w.peers {
	case absent:
		return nil, &tunneler.Error{Op: "ask", Kind: tunneler.KindNoPeer}
	case hangs:
		time.Sleep(400 * time.Millisecond)
		return nil, &tunneler.Error{Op: "ask", Kind: tunneler.KindServerSilent}
	}
	return w.end(ctx, w.peers, &tunneler.Error{Op: "ask", Kind: tunneler.KindServerRefused})
}

func (*world) end(ctx context.Context, how way, refused error) (net.Conn, error) {
	switch how {
	case opens:
		near, far := net.Pipe()
		_ = far.Close()
		return near, nil
	case hangs:
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	return nil, refused
}

func run(t *testing.T, direct, peers way, test func(w *world, p *pathfinder.Pathfinder)) {
	synctest.Test(t, func(*testing.T) {
		w := &world{peers: peers}
		w.direct.Store(direct)
		test(w, &pathfinder.Pathfinder{
			Clock: &clock.Clock{}, DialFunc: w.dial, TunnelFunc: w.ask,
			OnLost: func(ident.Address) { w.lost.Add(1) }, OnCutOff: func(bool) { w.cutOffs.Add(1) },
		})
	})
}

func address(n int) string { return fmt.Sprintf("10.9.0.%d:80", n) }

// TestDial checks how connections end, and how soon, for each way in which direct connections and those of peers do: the first one to a
// server and later ones.
func TestDial(t *testing.T) {
	for _, tt := range []struct {
		direct, peers      way
		first, later       time.Duration // at most
		wantErr, wantsLost bool
	}{
		{opens, opens, 0, 0, false, false},
		{opens, absent, 0, 0, false, false},
		{refuses, opens, 0, 0, false, true},
		{hangs, opens, 250 * time.Millisecond, 0, false, true},
		{refuses, refuses, 0, 0, true, false},
		{refuses, absent, 0, 0, true, false},
		{refuses, hangs, 400 * time.Millisecond, 400 * time.Millisecond, true, false},
		{hangs, refuses, 1200 * time.Millisecond, 0, true, false},
		{hangs, hangs, 1200 * time.Millisecond, 0, true, false},
		{hangs, absent, 1200 * time.Millisecond, 0, true, false},
	} {
		t.Run(string(tt.direct+", peers "+tt.peers), func(t *testing.T) {
			run(t, tt.direct, tt.peers, func(_ *world, p *pathfinder.Pathfinder) {
				for n := range 20 {
					began := time.Now()
					_, err := p.DialContext(context.Background(), "tcp", address(1))
					took, most := time.Since(began), tt.later
					if n == 0 {
						most = tt.first
					}
					if (err != nil) != tt.wantErr || took > most {
						t.Errorf("connection %d: error %v after %v, at most %v", n, err, took, most)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if lost := p.IsLost(ident.Address(address(1))); lost != tt.wantsLost {
					t.Errorf("the link counts as lost: %t", lost)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// TestWayBack guards against connections going through peers for long after a link is back, or a server counting as down then.
func TestWayBack(t *testing.T) {
	for _, peers := range []way{opens, hangs, refuses, absent} {
		for _, direct := range []way{hangs, refuses} {
			t.Run(string(direct+", peers "+peers), func(t *testing.T) {
				run(t, direct, peers, func(w *world, p *pathfinder.Pathfinder) {
					dialFor := func(d time.Duration) {
						for began := time.Now(); time.Since(began) < d; time.Sleep(100 * time.Millisecond) {
							for n := range 4 {
								if conn, err := p.DialContext(context.Background(), "tcp", address(n)); err == nil {
									_ = conn.Close()
								}
							}
						}
					}
					dialFor(10 * time.Second)
					if off := p.CutOff(); off != (peers == opens) {
						t.Errorf("cut off: %t", off)
					}
					w.direct.Store(opens)
					dialFor(2500 * time.Millisecond)
					asked := w.peerAsks.Load()
					dialFor(2 * time.Second)
					if p.CutOff() || p.Lost() > 0 || w.peerAsks.Load() != asked {
						t.Errorf("cut off: %t, %d links lost, peers asked %d times", p.CutOff(), p.Lost(), w.peerAsks.Load()-asked)
					}
					if w.cutOffs.Load() > 1 {
						t.Errorf("the instance found %d times that it is cut off", w.cutOffs.Load())
					}
					time.Sleep(3 * time.Second)
				})
			})
		}
	}
}

// TestQuestionsAreBounded guards against many callers of a server that is down making as many questions of peers and background attempts.
func TestQuestionsAreBounded(t *testing.T) {
	for _, direct := range []way{refuses, hangs} {
		run(t, direct, refuses, func(w *world, p *pathfinder.Pathfinder) {
			const callers, seconds = 100, 5
			for began := time.Now(); time.Since(began) < seconds*time.Second; time.Sleep(50 * time.Millisecond) {
				for range callers {
					go func() { _, _ = p.DialContext(context.Background(), "tcp", address(1)) }() // all of them fail
				}
			}
			time.Sleep(3 * time.Second)
			if asked := w.peerAsks.Load(); asked > 2*seconds+2 {
				t.Errorf("%s: peers were asked %d times in %d s", direct, asked, seconds)
			}
		})
	}
}

// TestFewQuestionsInCalm guards against instances that load one another with questions when many servers crash at once, while others are reached.
func TestFewQuestionsInCalm(t *testing.T) {
	run(t, opens, refuses, func(w *world, p *pathfinder.Pathfinder) {
		p.DialFunc = func(ctx context.Context, network, at string) (net.Conn, error) {
			if at == address(0) {
				return w.dial(ctx, network, at)
			}
			return nil, errors.New("connection refused")
		}
		const seconds = 5
		for began := time.Now(); time.Since(began) < seconds*time.Second; time.Sleep(100 * time.Millisecond) {
			for n := range 40 {
				_, _ = p.DialContext(context.Background(), "tcp", address(n)) // all but the first are down
			}
		}
		if asked := w.peerAsks.Load(); asked > 2*seconds+2 {
			t.Errorf("peers were asked %d times in %d s", asked, seconds)
		}
	})
}

// TestStateIsBounded guards against the state of links growing without end with the servers that come and go.
func TestStateIsBounded(t *testing.T) {
	run(t, refuses, opens, func(_ *world, p *pathfinder.Pathfinder) {
		for n := range 18000 {
			conn, err := p.DialContext(context.Background(), "tcp", fmt.Sprintf("10.%d.%d.1:80", n/250, n%250))
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			if n%100 == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		if lost := p.Lost(); lost > 1<<14 {
			t.Errorf("the states of %d lost links are kept", lost)
		}
		time.Sleep(3 * time.Second)
	})
}

// TestCarryDirectly guards against tunnels that are carried on through a third instance.
func TestCarryDirectly(t *testing.T) {
	for _, direct := range []way{refuses, hangs} {
		run(t, direct, opens, func(w *world, p *pathfinder.Pathfinder) {
			if _, err := p.DialContext(context.Background(), "tcp", address(1)); err != nil {
				t.Fatal(err)
			}
			asked := w.peerAsks.Load()
			for n := range 3 {
				ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
				_, err := p.CarryContext(ctx, "tcp", address(n))
				cancel()
				if err == nil || w.peerAsks.Load() != asked {
					t.Errorf("error %v, peers asked %d times", err, w.peerAsks.Load()-asked)
				}
			}
			time.Sleep(3 * time.Second)
		})
	}
}
