// Package submitter brings a configuration document into the platform's object API.
//
// Each declared thing is an object of its own, written by a conditional write on the
// version that was compared. Operators who race each other change different objects
// freely; on the same object one of them gets a conflict with the difference.
package submitter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindConflict means that another operator has changed the same object.
	KindConflict Kind = "conflict"
	// KindUnavailable means that the store did not answer; the change may be repeated.
	KindUnavailable Kind = "unavailable"
	// KindInvalid means that a stored object cannot be read.
	KindInvalid Kind = "invalid"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxTries bounds the tries of one write whose answer was lost.
	maxTries = 5
	// retryPause is the pause between them.
	retryPause clock.Millis = 200
)

// Action is what happens to an object.
type Action string

// Actions.
const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Change is the difference of one object between the store and a document.
type Change struct {
	Action  Action             `json:"action"`
	Name    string             `json:"name"`
	Version ident.StoreVersion `json:"version,omitempty"`
	Before  json.RawMessage    `json:"before,omitempty"`
	After   json.RawMessage    `json:"after,omitempty"`
}

// Submitter compares and writes. Set Store and Clock before use.
type Submitter struct {
	Store *storer.Storer
	Clock *clock.Clock
}

// Objects returns the objects that a document declares, by name.
func Objects(f *declaration.Fleet) (map[string]json.RawMessage, error) {
	objects := map[string]json.RawMessage{}
	add := func(sort order.Sort, name string, value any) error {
		raw, err := json.Marshal(value)
		objects[order.Name(sort, name)] = raw
		return err
	}
	var errs []error
	for _, z := range f.Zones {
		errs = append(errs, add(order.SortZone, string(z.Name), z))
	}
	for _, m := range f.Models {
		errs = append(errs, add(order.SortModel, string(m.Name), m))
	}
	for _, s := range f.Services {
		errs = append(errs, add(order.SortService, string(s.Name), s))
	}
	for _, k := range f.SessionKeys {
		errs = append(errs, add(order.SortSessionKey, string(k.Name), k))
	}
	for _, w := range f.Workspaces {
		errs = append(errs, add(order.SortWorkspace, string(w.Name), w))
	}
	for _, err := range errs {
		if err != nil {
			return nil, fault.New("encode configuration", KindInvalid, err)
		}
	}
	return objects, nil
}

// declared are the sorts of objects that documents hold, in the order of writing: a
// workspace comes after what it refers to.
var declared = []order.Sort{order.SortZone, order.SortModel, order.SortService, order.SortSessionKey, order.SortWorkspace}

// Read returns the present configuration objects and the store's version.
func (s *Submitter) Read(ctx context.Context) (map[string]storer.Object, ident.StoreVersion, error) {
	changes, err := s.Store.List(ctx, order.Kind, 0, 0)
	if err != nil {
		return nil, 0, fault.New("read configuration", KindUnavailable, err)
	}
	present := map[string]storer.Object{}
	for _, o := range changes.Objects {
		if !o.Deleted {
			present[o.Name] = o
		}
	}
	return present, changes.Version, nil
}

// Diff returns what submitting the document would change. With prune, declared
// objects that the document lacks are deleted.
func (s *Submitter) Diff(ctx context.Context, f *declaration.Fleet, prune bool) ([]Change, error) {
	wanted, err := Objects(f)
	if err != nil {
		return nil, err
	}
	present, _, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for _, sort := range declared {
		changes = append(changes, diffSort(sort, wanted, present, prune)...)
	}
	return changes, nil
}

func diffSort(sort order.Sort, wanted map[string]json.RawMessage, present map[string]storer.Object, prune bool) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		if got, _ := order.SplitName(name); got != sort {
			continue
		}
		held, found := present[name]
		switch {
		case !found:
			changes = append(changes, Change{Action: ActionCreate, Name: name, After: wanted[name]})
		case !bytes.Equal(held.Value, wanted[name]):
			changes = append(changes, Change{Action: ActionChange, Name: name, Version: held.Version, Before: held.Value, After: wanted[name]})
		}
	}
	if !prune {
		return changes
	}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		_, keep := wanted[name]
		if got, _ := order.SplitName(name); got == sort && !keep {
			changes = append(changes, Change{Action: ActionDelete, Name: name, Version: present[name].Version, Before: present[name].Value})
		}
	}
	return changes
}

// Submit carries out changes in order and returns those that took effect. base, when
// not zero, is the store version that the document was made from: a change of an
// object that was changed after it is a conflict.
func (s *Submitter) Submit(ctx context.Context, changes []Change, base ident.StoreVersion) (done []Change, version ident.StoreVersion, err error) {
	for _, c := range changes {
		if base > 0 && c.Version > base {
			return done, version, s.conflict(ctx, c)
		}
		v, err := s.apply(ctx, c)
		if err != nil {
			return done, version, err
		}
		version = max(version, v)
		done = append(done, c)
	}
	return done, version, nil
}

// apply carries out one change. After a lost answer it reads the object: the write
// either took effect or is tried again under the same condition.
func (s *Submitter) apply(ctx context.Context, c Change) (ident.StoreVersion, error) {
	var last error
	for try := range maxTries {
		if try > 0 {
			if err := s.Clock.Sleep(ctx, retryPause); err != nil {
				return 0, fault.New("submit "+c.Name, KindUnavailable, err)
			}
		}
		version, err := s.write(ctx, c)
		if err == nil {
			return version, nil
		}
		last = err
		held, getErr := s.Store.Get(ctx, order.Kind, c.Name)
		if took(c, held, getErr) {
			return held.Version, nil
		}
		if storer.KindOf(err) == storer.KindConflict {
			return 0, s.conflict(ctx, c)
		}
	}
	return 0, fault.New("submit "+c.Name, KindUnavailable, last)
}

func (s *Submitter) write(ctx context.Context, c Change) (ident.StoreVersion, error) {
	pre := storer.Precondition{Match: c.Version}
	switch c.Action {
	case ActionDelete:
		return 0, s.Store.Delete(ctx, order.Kind, c.Name, pre)
	case ActionCreate:
		pre = storer.Precondition{Absent: true}
	}
	return s.Store.Put(ctx, order.Kind, c.Name, c.After, pre)
}

// took reports whether a change whose answer was lost has taken effect.
func took(c Change, held storer.Object, getErr error) bool {
	if c.Action == ActionDelete {
		return storer.KindOf(getErr) == storer.KindNotFound
	}
	return getErr == nil && bytes.Equal(held.Value, c.After)
}

// conflict describes what another operator has put in the object's place.
func (s *Submitter) conflict(ctx context.Context, c Change) error {
	now := "deleted"
	if held, err := s.Store.Get(ctx, order.Kind, c.Name); err == nil {
		now = fmt.Sprintf("at version %d: %s", held.Version, held.Value)
	}
	return fault.Newf("submit "+c.Name, KindConflict, "another operator changed it; it is now %s; you wanted: %s", now, c.After)
}

// Give writes an order, such as a zone taken out. Giving an order that stands is no error.
func (s *Submitter) Give(ctx context.Context, sort order.Sort, name string, o order.Order) (ident.StoreVersion, error) {
	raw, err := json.Marshal(o)
	if err != nil {
		return 0, fault.New("give order", KindInvalid, err)
	}
	version, err := s.apply(ctx, Change{Action: ActionCreate, Name: order.Name(sort, name), After: raw})
	if KindOf(err) == KindConflict {
		return 0, nil
	}
	return version, err
}

// Revoke removes an order. Revoking one that does not stand is no error.
func (s *Submitter) Revoke(ctx context.Context, sort order.Sort, name string) error {
	held, err := s.Store.Get(ctx, order.Kind, order.Name(sort, name))
	if storer.KindOf(err) == storer.KindNotFound {
		return nil
	}
	if err != nil {
		return fault.New("revoke order", KindUnavailable, err)
	}
	_, err = s.apply(ctx, Change{Action: ActionDelete, Name: held.Name, Version: held.Version})
	return err
}

// Steer changes a roll-out's progress on condition that it is as change sees it.
func (s *Submitter) Steer(ctx context.Context, model declaration.ModelName, change func(*order.Progress) error) (order.Progress, error) {
	const op = "steer roll-out"
	name := order.Name(order.SortProgress, string(model))
	held, err := s.Store.Get(ctx, order.Kind, name)
	if err != nil {
		return order.Progress{}, fault.New(op, KindUnavailable, err)
	}
	var p order.Progress
	if err := json.Unmarshal(held.Value, &p); err != nil {
		return p, fault.New(op, KindInvalid, err)
	}
	if err := change(&p); err != nil {
		return p, fault.New(op, KindInvalid, err)
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return p, fault.New(op, KindInvalid, err)
	}
	_, err = s.apply(ctx, Change{Action: ActionChange, Name: name, Version: held.Version, Before: held.Value, After: raw})
	return p, err
}

// Fleet returns the document that the present objects make up.
func Fleet(present map[string]storer.Object) (*declaration.Fleet, error) {
	f := &declaration.Fleet{}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		if err := addObject(f, name, present[name].Value); err != nil {
			return nil, fault.Newf("read "+name, KindInvalid, "%v", err)
		}
	}
	return f, nil
}

func addObject(f *declaration.Fleet, name string, raw []byte) error {
	sort, _ := order.SplitName(name)
	switch sort {
	case order.SortZone:
		return decodeInto(&f.Zones, raw)
	case order.SortModel:
		return decodeInto(&f.Models, raw)
	case order.SortService:
		return decodeInto(&f.Services, raw)
	case order.SortSessionKey:
		return decodeInto(&f.SessionKeys, raw)
	case order.SortWorkspace:
		return decodeInto(&f.Workspaces, raw)
	}
	return nil
}

func decodeInto[T any](list *[]T, raw []byte) error {
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		return err
	}
	*list = append(*list, value)
	return nil
}
