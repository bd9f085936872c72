package admitter_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
)

// slotPool is a pool of slots. It hands out as many as were added.
type slotPool struct {
	mu   sync.Mutex
	free int
}

func (r *slotPool) take() (*registrar.Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free == 0 {
		return nil, fault.Newf("try", registrar.KindFull, "no room")
	}
	r.free--
	return &registrar.Slot{}, nil
}

func (r *slotPool) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += n
}

func request(r *slotPool, p declaration.Priority, within clock.Millis) admitter.Request {
	return admitter.Request{Queue: "m@1", Priority: p, Deadline: clock.Millis(time.Now().UnixMilli()) + within, TryFunc: r.take}
}

// TestShares checks that prompt requests go first and every fourth grant is for a patient
// request.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := &admitter.Admitter{Clock: &clock.Clock{}}, &slotPool{}
		var mu sync.Mutex
		granted := map[declaration.Priority]int{}
		var all sync.WaitGroup
		for _, p := range []declaration.Priority{declaration.PriorityPatient, declaration.PriorityPrompt} {
			for range 40 {
				all.Go(func() {
					if _, err := a.Admit(context.Background(), request(r, p, clock.Hour)); err == nil {
						mu.Lock()
						defer mu.Unlock()
						granted[p]++
					}
				})
			}
		}
		synctest.Wait()
		r.add(20)
		a.Wake()
		synctest.Wait()
		mu.Lock()
		if granted[declaration.PriorityPrompt] != 15 || granted[declaration.PriorityPatient] != 5 {
			t.Errorf("of 20 grants %v, want 15 prompt and 5 patient", granted)
		}
		mu.Unlock()
		r.add(60)
		a.Wake()
		all.Wait()
	})
}

// TestRefusals checks that a request is refused immediately if its deadline has passed or the
// queue is full, and at its deadline if it got no slot until then.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := &admitter.Admitter{Clock: &clock.Clock{}, QueueLimit: 1}, &slotPool{}
		started := time.Now()
		if _, err := a.Admit(t.Context(), request(r, declaration.PriorityPrompt, 0)); admitter.KindOf(err) != admitter.KindTooLate {
			t.Errorf("past its deadline: %v", err)
		}
		var waiting sync.WaitGroup
		waiting.Go(func() {
			_, err := a.Admit(context.Background(), request(r, declaration.PriorityPrompt, 5*clock.Second))
			if took := time.Since(started); admitter.KindOf(err) != admitter.KindTooLate || took != 5*time.Second {
				t.Errorf("waited in vain for %v: %v", took, err)
			}
		})
		synctest.Wait()
		if _, err := a.Admit(t.Context(), request(r, declaration.PriorityPrompt, clock.Second)); admitter.KindOf(err) != admitter.KindQueueFull {
			t.Errorf("a full queue: %v", err)
		}
		if time.Since(started) > 0 {
			t.Error("refusals that were certain took time")
		}
		waiting.Wait()
		if prompt, patient := a.Waiting(); prompt+patient > 0 {
			t.Errorf("%d still wait", prompt+patient)
		}
	})
}
