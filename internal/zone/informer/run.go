package informer

import (
	"context"
	"math/rand/v2"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Run keeps the copy up to date until ctx is done.
func (i *Informer) Run(ctx context.Context) error {
	i.startedAt = i.Clock.Now()
	var pulls sync.WaitGroup
	defer pulls.Wait()
	var pulling sync.Mutex // held while changes are pulled from peers
	backoff, probe := firstBackoff, false
	expirations := 0 // of the history, since a watch succeeded
	for ctx.Err() == nil {
		if !i.shouldCallStore() {
			pause := ageCheckInterval
			if i.Position() == 0 {
				pause = firstCheckInterval
			}
			_ = i.Clock.Sleep(ctx, pause) // the loop ends when ctx is done
			continue
		}
		position, wait := i.watchFrom(), i.watchWait()
		if probe || !i.watches || position == 0 {
			wait = 0
		}
		fetch, end := i.call.begin(ctx, wait > 0)
		update, err := i.fetch(fetch, position, wait)
		restarted := end()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && restarted {
			klog.InfoS("Call of the store is restarted", "kind", i.Kind, "age-ms", i.Age())
			probe = true // a call that waits tells only after its wait that the store is lost
			continue
		}
		probe = false
		i.RecordStoreCall(err)
		if err != nil {
			if storer.KindOf(err) == storer.KindExpired {
				klog.InfoS("Store dropped the change history; relisting all objects", "kind", i.Kind, "position", position)
				i.requireList()
				if i.OnHistoryExpired != nil {
					i.OnHistoryExpired(i.Kind)
				}
				if expirations++; expirations > 1 { // the history did not even reach back to the list
					backoff = i.sleepBackoff(ctx, backoff)
				}
				continue
			}
			i.aloneRetryAt = i.Clock.Now() + aloneRetryDelay
			delay := i.retryDelay()
			i.storeRetryAt = i.Clock.Now() + delay + clock.Millis(rand.Int64N(int64(delay)/2))
			if pulling.TryLock() { // peers may not answer either, and the store is retried meanwhile
				pulls.Go(func() {
					defer pulling.Unlock()
					i.pullFromPeers(ctx)
				})
			}
			backoff = i.sleepBackoff(ctx, backoff)
			continue
		}
		if position > 0 {
			expirations = 0
		}
		if expirations == 0 {
			backoff = firstBackoff
		}
		if i.discoversRestore(update) {
			continue // the answer to a watch from an earlier era is not complete
		}
		i.Apply(update)
		if len(update.Objects) > 0 {
			if i.OnFetched != nil {
				i.OnFetched(i.Kind)
			}
			_ = i.Clock.Sleep(ctx, batchDelay) // the loop ends when ctx is done
		}
	}
	return nil
}

// sleepBackoff waits for a backoff with jitter, and returns the next one.
func (i *Informer) sleepBackoff(ctx context.Context, backoff clock.Millis) clock.Millis {
	longest := maxBackoff
	if i.Position() == 0 {
		longest = maxFirstBackoff
	}
	backoff = min(backoff, longest)
	_ = i.Clock.Sleep(ctx, backoff/2+clock.Millis(rand.Int64N(int64(backoff)))) // the caller's loop ends when ctx is done
	return min(2*backoff, longest)
}

// RestartWatch cancels the watch in progress and starts another from the same version, which does not wait for changes.
// That call fails at once if the store is lost, and with storer.KindExpired if the store has dropped the history after that
// version; a watch in progress would not notice.
func (i *Informer) RestartWatch() {
	i.recordFailure()
	i.call.restart()
}

// shouldCallStore reports whether this instance should list or watch the store now.
func (i *Informer) shouldCallStore() bool {
	if i.Position() == 0 && i.MayListFunc != nil && !i.MayListFunc() {
		return false
	}
	watches := i.ShouldWatchFunc == nil || i.ShouldWatchFunc()
	if watches != i.watches && i.Loaded() {
		klog.InfoS("Store is watched by this instance", "kind", i.Kind, "watches", watches, "age-ms", i.Age())
	}
	i.watches = watches
	switch {
	case watches:
		return true
	case i.Position() == 0:
		return i.Clock.Now()-i.startedAt >= i.InitialSyncWait
	case i.StoreLost():
		now := i.Clock.Now()
		return i.retryNow.Swap(false) || now >= i.storeRetryAt || now >= i.aloneRetryAt && i.AloneFunc != nil && i.AloneFunc()
	}
	if age := i.Age(); age > i.watchWait()+askMargin {
		klog.InfoS("Copy is not confirmed, asking the store", "kind", i.Kind, "age-ms", age)
		return true
	}
	return false
}

func (i *Informer) retryDelay() clock.Millis {
	if i.RetryDelay > 0 {
		return i.RetryDelay
	}
	return DefaultRetryDelay
}

// RetryNow makes an instance that has lost the store call it without waiting for RetryDelay, once.
func (i *Informer) RetryNow() {
	if i.StoreLost() {
		i.retryNow.Store(true)
	}
}

func (i *Informer) watchWait() clock.Millis {
	if i.WatchWait > 0 {
		return i.WatchWait
	}
	return DefaultWatchWait
}

// fetch lists all objects if position is zero, and otherwise watches for changes after it.
func (i *Informer) fetch(ctx context.Context, position ident.StoreVersion, wait clock.Millis) (Update, error) {
	changes, err := i.Store.List(ctx, i.Kind, position, wait)
	return Update{Kind: i.Kind, Changes: changes, From: position, Whole: position == 0, fetched: true}, err
}

func (i *Informer) pullFromPeers(ctx context.Context) {
	if i.PullFunc == nil {
		return
	}
	if update, found := i.PullFunc(ctx, i.Kind, i.Point()); found {
		i.Apply(update)
	}
}
