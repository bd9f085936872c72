package informer

import (
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
)

// UnreadSince returns the time after which the present state of an object was written, if this
// instance read it from the store after calls that failed. It returns zero for a state that was read
// at once or came from another instance, which may have read it earlier.
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

// lastReadBeforeFailure returns when the copy was last confirmed if the update is the store's answer
// after failed calls, and zero otherwise. The lock must be held.
func (i *Informer) lastReadBeforeFailure(u Update) clock.Millis {
	if !u.fetched || i.failedAt < i.confirmedAt {
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
