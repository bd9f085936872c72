package informer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// TestLossIsFoundByAllKinds guards against the kinds of objects being lost one after the other: each loss restarted the calls of
// the others with their whole wait, so that another instance took over each kind a second later than the one before.
func TestLossIsFoundByAllKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kinds, timeoutMargin = 6, 400 * time.Millisecond
		var silent atomic.Bool
		var informers [kinds]*informer.Informer
		store := &storer.Storer{ListFunc: func(ctx context.Context, _ storer.ObjectKind, since ident.StoreVersion, wait clock.Millis) (storer.Changes, error) {
			begun := time.Now()
			if since > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(wait.Duration()):
				}
			}
			if silent.Load() {
				select {
				case <-ctx.Done():
				case <-time.After(wait.Duration() + timeoutMargin - time.Since(begun)):
				}
				return storer.Changes{}, fault.Newf("watch", storer.KindUnavailable, "no answer")
			}
			return storer.Changes{Version: 1}, nil
		}}
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var lostAt [kinds]time.Time
		for n := range kinds {
			informers[n] = &informer.Informer{
				Clock: &clock.Clock{}, WatchWait: clock.Millis(700 + 600*n), Store: store,
				OnStoreContact: func(_ storer.ObjectKind, err error) {
					lostAt[n] = time.Now()
					for other, i := range informers {
						if other != n && err != nil {
							i.RestartWatch()
						}
					}
				},
			}
		}
		for _, i := range informers {
			running.Go(func() { _ = i.Run(ctx) }) // ends with ctx
		}
		time.Sleep(5 * time.Second)
		silent.Store(true)
		silentAt := time.Now()
		time.Sleep(5 * time.Second)
		stop()
		running.Wait()
		for n, at := range lostAt {
			if took := at.Sub(silentAt); at.IsZero() || took > 700*time.Millisecond+2*timeoutMargin {
				t.Errorf("kind %d is lost after %v", n, took)
			}
		}
	})
}

// TestNothingReturnsAfterExpiredHistory guards against objects that have been deleted coming back from a peer that is behind, while the
// store has dropped its history and the list is not there yet.
func TestNothingReturnsAfterExpiredHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{}
		h.write("a", false)
		h.write("b", false)
		var expired atomic.Bool
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 100,
			Store: &storer.Storer{ListFunc: func(ctx context.Context, _ storer.ObjectKind, since ident.StoreVersion, wait clock.Millis) (storer.Changes, error) {
				switch {
				case since == 0 && expired.Load():
					<-ctx.Done() // the list takes long
					return storer.Changes{}, fault.Newf("list", storer.KindUnavailable, "no answer")
				case since == 0:
					return h.fullList(h.newest()).Changes, nil
				case expired.Load():
					return storer.Changes{}, fault.Newf("watch", storer.KindExpired, "history is gone")
				}
				time.Sleep(wait.Duration())
				return h.since(since, h.newest()).Changes, nil
			}},
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { _ = i.Run(ctx); close(ended) }()
		time.Sleep(150 * time.Millisecond)
		older := h.fullList(h.newest())
		h.write("a", true)
		time.Sleep(200 * time.Millisecond)
		before := i.Point()
		expired.Store(true)
		time.Sleep(200 * time.Millisecond)
		i.Apply(older)
		if _, found := i.Get("a"); found {
			t.Error("an object that was deleted is back")
		}
		if at := i.Point(); at != before {
			t.Errorf("the copy is at %v, after %v", at, before)
		}
		stop()
		<-ended
	})
}

// TestHistoryThatKeepsExpiring guards against a loop of lists and watches without a pause at a store whose history never reaches back to
// the list.
func TestHistoryThatKeepsExpiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 1000,
			Store: &storer.Storer{ListFunc: func(_ context.Context, _ storer.ObjectKind, since ident.StoreVersion, _ clock.Millis) (storer.Changes, error) {
				calls++
				time.Sleep(4 * time.Millisecond)
				if since > 0 {
					return storer.Changes{}, fault.Newf("watch", storer.KindExpired, "history is gone")
				}
				return storer.Changes{Version: 5}, nil
			}},
		}
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		_ = i.Run(ctx) // ends with ctx
		if calls < 20 || calls > 100 {
			t.Errorf("%d calls in 20 s", calls)
		}
	})
}

// TestHungPullDelaysNoCall guards against an instance that does not call the store again for seconds, because peers that it asks for
// changes after a failed call do not answer.
func TestHungPullDelaysNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 100,
			Store: storeOf(func(ident.StoreVersion) (storer.Changes, error) {
				if down.Load() {
					return storer.Changes{}, fault.Newf("watch", storer.KindUnavailable, "no answer")
				}
				return storer.Changes{Version: 1}, nil
			}),
			PullFunc: func(ctx context.Context, _ storer.ObjectKind, _ ident.StorePoint) (informer.Update, bool) {
				select {
				case <-ctx.Done():
				case <-time.After(6 * time.Second):
				}
				return informer.Update{}, false
			},
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { _ = i.Run(ctx); close(ended) }()
		time.Sleep(250 * time.Millisecond)
		down.Store(true)
		time.Sleep(300 * time.Millisecond)
		down.Store(false)
		time.Sleep(time.Second)
		if i.StoreLost() {
			t.Error("the store has been back for a second and still counts as lost")
		}
		stop()
		<-ended
	})
}
