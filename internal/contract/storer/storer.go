// Package storer is the client of the platform's object API.
//
// The API stores values of up to 1 MiB under a kind and a name. Every change gets a
// store version higher than all earlier ones; the version of an object's last change
// is its entity tag (RFC 9110).
package storer

import (
	"context"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindConflict means that the precondition failed; nothing was changed.
	KindConflict Kind = "conflict"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "not-found"
	// KindUnavailable means that no valid response came; a change may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindRejected means that the API refused the call; nothing was changed.
	KindRejected Kind = "rejected"
	// KindBusy means that the API accepts no calls at the moment; nothing was changed.
	KindBusy Kind = "busy"
	// KindRestored means that the store was restored from a copy, so that the version of a
	// precondition means nothing any more. The change may have taken effect.
	KindRestored Kind = "restored"
	// KindExpired means that the store has discarded its history of changes after the
	// given version; the objects have to be listed again.
	KindExpired Kind = "expired"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// MaxValueBytes is the size of the largest value that the API accepts.
const MaxValueBytes = 1 << 20

// ObjectKind names a set of objects that are listed and watched together.
type ObjectKind string

// Object is a value with the store version of its last change.
type Object struct {
	Name    string             `json:"name"`
	Version ident.StoreVersion `json:"version"`
	// Era is the era of Version.
	Era ident.StoreEra `json:"era,omitempty"`
	// Deleted is set in changes for an object that was removed.
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value,omitempty"`
	// Status is what the system reports about the object, for an API that stores status
	// separately from the value.
	Status []byte `json:"status,omitempty"`
}

// Changes is the result of a list or watch.
type Changes struct {
	// Era is the era of the store that answered. Versions of different eras can't be compared.
	Era ident.StoreEra `json:"era,omitempty"`
	// Version is the store version up to which Objects contains all changes.
	Version ident.StoreVersion `json:"version"`
	Objects []Object           `json:"objects"`
}

// Precondition makes a change conditional on the object's state. Its zero value
// makes the change unconditional.
type Precondition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// Match, when not zero, requires that the object has this version, in this era.
	Match ident.StoreVersion
	Era   ident.StoreEra
}

// Unchanged returns the precondition that an object has not changed since it was read, or that it
// still does not exist if it was not found.
func Unchanged(o Object, found bool) Precondition {
	return Precondition{Absent: !found, Match: o.Version, Era: o.Era}
}

// Storer calls the object API. New sets its functions; tests may replace them.
type Storer struct {
	// GetFunc reads one object.
	GetFunc func(ctx context.Context, kind ObjectKind, name string) (Object, error)
	// PutFunc writes one object and returns its new version.
	PutFunc func(ctx context.Context, kind ObjectKind, name string, value []byte, pre Precondition) (ident.StoreVersion, error)
	// PutStatusFunc writes the status of one object and returns its new version. It is
	// nil for an API that stores no status.
	PutStatusFunc func(ctx context.Context, kind ObjectKind, name string, status []byte, pre Precondition) (ident.StoreVersion, error)
	// DeleteFunc removes one object.
	DeleteFunc func(ctx context.Context, kind ObjectKind, name string, pre Precondition) error
	// ListFunc returns the objects of a kind that changed after version since. With a
	// positive wait it is a long-poll watch: it returns as soon as there is a change,
	// or an empty list after wait.
	ListFunc func(ctx context.Context, kind ObjectKind, since ident.StoreVersion, wait clock.Millis) (Changes, error)
}

// Get reads one object.
func (s *Storer) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	return s.GetFunc(ctx, kind, name)
}

// Put writes one object and returns its new version.
func (s *Storer) Put(ctx context.Context, kind ObjectKind, name string, value []byte, pre Precondition) (ident.StoreVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.Newf("put object", KindRejected, "%s/%s has %d bytes, more than %d", kind, name, len(value), MaxValueBytes)
	}
	return s.PutFunc(ctx, kind, name, value, pre)
}

// PutStatus writes the status of one object and returns its new version.
func (s *Storer) PutStatus(ctx context.Context, kind ObjectKind, name string, status []byte, pre Precondition) (ident.StoreVersion, error) {
	if s.PutStatusFunc == nil {
		return 0, fault.Newf("put status", KindRejected, "the store does not support a status for %s/%s", kind, name)
	}
	return s.PutStatusFunc(ctx, kind, name, status, pre)
}

// Delete removes one object.
func (s *Storer) Delete(ctx context.Context, kind ObjectKind, name string, pre Precondition) error {
	return s.DeleteFunc(ctx, kind, name, pre)
}

// List returns the changes of a kind after version since. It waits up to wait for the
// first change.
func (s *Storer) List(ctx context.Context, kind ObjectKind, since ident.StoreVersion, wait clock.Millis) (Changes, error) {
	return s.ListFunc(ctx, kind, since, wait)
}
