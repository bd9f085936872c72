package pacer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/standin/property"
)

// TestPassesAll writes frames of random sizes to a reader with random delays. All bytes
// must arrive in order and within the window, and the budget must be free at the end.
func TestPassesAll(t *testing.T) {
	property.Check(t, 60, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 900), 1, 60).Draw(rt, "sizes")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 50), 60, 60).Draw(rt, "pauses")
		const window = 1000
		budget := &pacer.MemoryBudget{Limit: 1500}
		var got []byte
		peak, want := 0, 0
		synctest.Test(t, func(*testing.T) {
			p := &pacer.StreamBuffer{Clock: &clock.Clock{}, Window: window, Budget: budget}
			go func() {
				for i, size := range sizes {
					frame := make([]byte, size)
					for j := range frame {
						frame[j] = byte(i)
					}
					if p.Put(context.Background(), frame) != nil {
						return
					}
				}
				p.Close(nil)
			}()
			for i := 0; ; i++ {
				data, err := p.Take(context.Background())
				if err != nil || data == nil {
					break
				}
				got = append(got, data...)
				time.Sleep(time.Duration(pauses[i%len(pauses)]) * time.Millisecond)
			}
			_, peak = budget.Held()
		})
		for i, size := range sizes {
			for range size {
				if want >= len(got) || got[want] != byte(i) {
					rt.Fatalf("byte %d is not of frame %d", want, i)
				}
				want++
			}
		}
		if held, _ := budget.Held(); held != 0 || peak > window || want != len(got) {
			rt.Fatalf("held %d at the end, peak %d of %d, %d bytes of %d", held, peak, window, len(got), want)
		}
	})
}

// TestStall checks that Put fails while the reader takes nothing, and that AwaitEmpty returns
// once the reader has taken all data.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pacer.StreamBuffer{Clock: &clock.Clock{}, Window: 10, StallTimeout: clock.Second}
		if err := p.Put(t.Context(), make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		if err := p.Put(t.Context(), make([]byte, 5)); pacer.KindOf(err) != pacer.KindStalled || time.Since(started) != time.Second {
			t.Errorf("error %v after %v", err, time.Since(started))
		}
		go func() {
			for range 2 {
				_, _ = p.Take(context.Background()) // the second call ends with the stream
			}
		}()
		if err := p.AwaitEmpty(t.Context()); err != nil {
			t.Error(err)
		}
		if p.DiscardUnread() {
			t.Error("a stream of which something was taken could be reset")
		}
		p.Close(nil)
	})
}
