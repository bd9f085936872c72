package informer

import (
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
)

// UnreadSince returns the time after which the present state of an object was written, if calls to
// the store failed between that time and the time at which this instance learned of the state. It
// returns zero if no call failed, or if nothing is known of the time before.
func (i *Informer) UnreadSince(name string) clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unreadSince[name]
}

// recordFailure records that a call to the store failed, so that changes may stay unread.
func (i *Informer) recordFailure() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failedAt = i.Clock.Now()
}

// lastReadBeforeFailure returns when the copy was last confirmed if a call to the store has failed
// since, and zero otherwise. The lock must be held.
func (i *Informer) lastReadBeforeFailure() clock.Millis {
	if i.failedAt < i.confirmedAt {
		return 0
	}
	return i.confirmedAt
}

// recordUnread records that objects may have changed from the given time on; zero means that they
// were read at once. The lock must be held.
func (i *Informer) recordUnread(changed []storer.Object, since clock.Millis) {
	for _, o := range changed {
		delete(i.unreadSince, o.Name)
		if since == 0 || o.Deleted {
			continue
		}
		if i.unreadSince == nil {
			i.unreadSince = map[string]clock.Millis{}
		}
		i.unreadSince[o.Name] = since
	}
}
