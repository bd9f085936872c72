package stager_test

import (
	"math/rand/v2"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/stager"
)

// send delivers the stages of one instance to another, with the delay of a message.
func (f *fleet) send(from, to *stager.Stager) {
	stages := from.Stages()
	f.now += 20
	to.Merge(stages)
}

// TestOrderReadLate checks that a good release is completed by its deadline, counted from the order,
// although the order was placed while the store was away and requests are in flight at the old
// release all the time, and that active sessions keep their release in the first half of the time
// whenever the order was placed. One instance had lost the store long before: it reads the order late
// and must not make the others hurry.
func TestOrderReadLate(t *testing.T) {
	for _, tt := range []struct {
		name string
		// unread is the time for which the order can have been unread when the first instance read it.
		unread, completedFrom, completedBy clock.Millis
	}{
		{"read at once", 0, within * 94 / 100, within * 97 / 100},
		{"unread for a sixth of its time at most", within / 6, within * 79 / 100, within - within/6},
		{"unread for longer than its time", 3 * within, within * 71 / 100, within * 77 / 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3)
			started := f.now
			f.stagers[0].UnreadSinceFunc = func(declaration.ServiceName) clock.Millis {
				if tt.unread == 0 {
					return 0
				}
				return started - tt.unread
			}
			f.stagers[2].UnreadSinceFunc = func(declaration.ServiceName) clock.Millis { return started - 10*within }
			for _, s := range f.stagers[1:] {
				s.HasAllEvidenceFunc = func(declaration.ServiceName) bool { return false }
			}
			order := f.placeOrder()
			near := f.stagers[:2]
			for _, s := range near {
				s.Stages()
			}
			observe(near[0], rand.New(rand.NewPCG(1, 2)), 80, 60, 2, 0, 1)
			for near[1].DueOutcome(order, 1) == backend.OutcomeOpen {
				if f.now += 250; f.now-started > 2*within {
					t.Fatal("never completed")
				}
				for _, s := range near {
					s.Tick()
				}
				if f.now-started >= 6*clock.Second { // the late instance sends first
					f.send(f.stagers[2], near[0])
					f.send(near[0], f.stagers[2])
				}
				f.send(near[0], near[1])
				f.send(near[1], near[0])
				for i, s := range near {
					if share := newShare(s, order, 500); f.now-started <= within/2 && share > 0.15 {
						t.Fatalf("instance %d gives the release %.2f of the sessions after %d ms", i, share, f.now-started)
					}
				}
			}
			if took := f.now - started; took < tt.completedFrom || took > tt.completedBy {
				t.Errorf("completed %d ms after it was read, want %d to %d", took, tt.completedFrom, tt.completedBy)
			}
		})
	}
}
