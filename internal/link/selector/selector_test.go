package selector_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/link/selector"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// fleet is what a Selector meets: peers that answer as ends says.
type fleet struct {
	now   clock.Millis
	peers []gossiper.Peer
	// ends holds how a peer fails; "" for one that connects.
	ends     map[ident.Instance]tunneler.Kind
	carriers []ident.Instance
	asked    []ident.Instance
}

func newFleet(size int) (*fleet, *selector.Selector) {
	f := &fleet{now: 1_000_000, ends: map[ident.Instance]tunneler.Kind{}}
	for n := range size {
		f.peers = append(f.peers, gossiper.Peer{Instance: name(n), Zone: declaration.ZoneName(fmt.Sprintf("zone-%d", n%3))})
	}
	s := &selector.Selector{
		Clock: &clock.Clock{NowFunc: func() clock.Millis { return f.now }}, Zone: "zone-0",
		PeersFunc: func() []gossiper.Peer { return f.peers }, OpenFunc: f.open,
	}
	return f, s
}

func name(n int) ident.Instance { return ident.Instance(fmt.Sprintf("front-%d", n)) }

func (f *fleet) open(_ context.Context, peer ident.Instance, _, _ ident.Address) (*tunneler.Conn, tunneler.OpenReply, error) {
	f.asked = append(f.asked, peer)
	if kind := f.ends[peer]; kind != "" {
		return nil, tunneler.OpenReply{Carriers: f.carriers}, &tunneler.Error{Op: "open", Kind: kind}
	}
	return &tunneler.Conn{}, tunneler.OpenReply{}, nil
}

func (f *fleet) reportAll(s *selector.Selector, report tunneler.Report) {
	for _, p := range f.peers {
		s.Merge(p.Instance, report)
	}
}

// TestOnlyCarriersAreAsked guards against peers being asked that have not said that they carry tunnels, as those of older builds, or that
// say that they are cut off themselves.
func TestOnlyCarriersAreAsked(t *testing.T) {
	f, s := newFleet(6)
	s.Merge(name(0), tunneler.Report{})
	s.Merge(name(1), tunneler.Report{Carries: true, CutOff: true})
	s.Merge(name(2), tunneler.Report{Carries: true})
	s.Merge(name(2), tunneler.Report{}) // it has been replaced by an older build
	s.Merge(name(3), tunneler.Report{Carries: true})
	for range 20 {
		if _, err := s.Open(context.Background(), "10.9.0.1:80"); err != nil {
			t.Fatal(err)
		}
	}
	if slices.ContainsFunc(f.asked, func(i ident.Instance) bool { return i != name(3) }) {
		t.Errorf("asked %v", f.asked)
	}
}

// TestFindsTheFewThatReach guards against an instance not finding the few peers that reach servers among many that are cut off and don't
// know yet.
func TestFindsTheFewThatReach(t *testing.T) {
	for _, size := range []int{6, 40, 399} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f, s := newFleet(size)
			f.reportAll(s, tunneler.Report{Carries: true})
			for n := range size {
				f.ends[name(n)] = tunneler.KindNotCarried
			}
			f.ends[name(size/2)] = ""
			f.carriers = []ident.Instance{name(size / 2)}
			tries := 0
			for ; tries < 10; tries++ {
				if conn, err := s.Open(context.Background(), "10.9.0.1:80"); err == nil && conn != nil {
					break
				}
			}
			if tries > 0 {
				t.Errorf("found after %d tries", tries)
			}
			f.asked = nil
			for range 10 {
				if _, err := s.Open(context.Background(), "10.9.0.1:80"); err != nil {
					t.Error(err)
				}
			}
			if len(f.asked) > 11 {
				t.Errorf("%d questions for 10 connections", len(f.asked))
			}
		})
	}
}

// TestNobodyReaches guards against questions without end while no peer reaches servers.
func TestNobodyReaches(t *testing.T) {
	f, s := newFleet(399)
	f.reportAll(s, tunneler.Report{Carries: true})
	for n := range 399 {
		f.ends[name(n)] = tunneler.KindNotCarried
	}
	const seconds = 5
	for range seconds * 100 {
		if _, err := s.Open(context.Background(), "10.9.0.1:80"); err == nil {
			t.Fatal("a connection was opened")
		}
		f.now += 10
	}
	if len(f.asked) > seconds*33 {
		t.Errorf("%d questions in %d s", len(f.asked), seconds)
	}
}

// TestSpread guards against all connections going through one peer while others reach the servers as well, and against connections between
// zones that are not needed.
func TestSpread(t *testing.T) {
	f, s := newFleet(9)
	f.reportAll(s, tunneler.Report{Carries: true})
	for range 60 {
		if _, err := s.Open(context.Background(), "10.9.0.1:80"); err != nil {
			t.Fatal(err)
		}
	}
	counts := map[ident.Instance]int{}
	remote := 0
	for _, i := range f.asked {
		counts[i]++
		if !slices.Contains([]ident.Instance{name(0), name(3), name(6)}, i) {
			remote++
		}
	}
	if remote > 30 || counts[name(0)] < 5 || counts[name(3)] < 5 || counts[name(6)] < 5 {
		t.Errorf("%v, %d of them in other zones", counts, remote)
	}
}

// TestStoppingPeersComeLast guards against connections through peers that are about to stop while others reach the servers, and against requests
// being refused when those that stop are the only ones.
func TestStoppingPeersComeLast(t *testing.T) {
	f, s := newFleet(3)
	f.reportAll(s, tunneler.Report{Carries: true, Stopping: true})
	s.Merge(name(1), tunneler.Report{Carries: true})
	for n := range 20 {
		if n == 10 {
			f.ends[name(1)] = tunneler.KindNoPeer
			f.asked = nil
		}
		if _, err := s.Open(context.Background(), "10.9.0.1:80"); err != nil {
			t.Fatal(err)
		}
		if n < 10 && slices.ContainsFunc(f.asked, func(i ident.Instance) bool { return i != name(1) }) {
			t.Errorf("asked %v", f.asked)
		}
	}
}
