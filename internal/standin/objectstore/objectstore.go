// Package objectstore stands in for the platform's object API, in memory.
//
// Fault points are get, put, delete and list, with the effects refuse, hang,
// slow and lose-answer.
package objectstore

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/faulter"
)

// Fault points.
const (
	PointGet    faulter.Point = "get"
	PointPut    faulter.Point = "put"
	PointDelete faulter.Point = "delete"
	PointList   faulter.Point = "list"
)

var errInjected = errors.New("injected fault")

// Calls counts the calls that the store has received.
type Calls struct {
	Reads, Writes, Waiting int
	WrittenBytes           int
}

// Store is the stand-in. Its zero value is an empty store without latency.
type Store struct {
	// Clock times latency and waits.
	Clock *clock.Clock
	// Latency delays each call.
	Latency clock.Millis
	// WriteRate is the number of writes a second that the store takes; further ones
	// queue. Zero means no limit.
	WriteRate int
	// Faults spoils calls.
	Faults faulter.Table

	mu      sync.Mutex
	down    bool
	version ident.StoreVersion
	kinds   map[storer.ObjectKind]map[string]storer.Object
	changed chan struct{}
	calls   Calls
	// turn is when the next write may begin, in microseconds.
	turn int64
}

// SetDown starts or ends an outage, in which no call is answered or takes effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Objects returns the present objects of a kind by name, bypassing faults and counts.
func (s *Store) Objects(kind storer.ObjectKind) []storer.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []storer.Object
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if o := s.kinds[kind][name]; !o.Deleted {
			present = append(present, o)
		}
	}
	return present
}

// Drop forgets all objects, so that a measurement does not count them.
func (s *Store) Drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds = nil
}

// Storer returns a client that calls the store without a network.
func (s *Store) Storer() *storer.Storer {
	return &storer.Storer{GetFunc: s.Get, PutFunc: s.Put, DeleteFunc: s.Delete, ListFunc: s.List}
}

// enter counts a call, waits out latency and applies faults that act before the call.
func (s *Store) enter(ctx context.Context, op string, point faulter.Point, write bool) (loseAnswer bool, err error) {
	s.mu.Lock()
	if write {
		s.calls.Writes++
	} else {
		s.calls.Reads++
	}
	down := s.down
	wait := s.Latency
	if write {
		wait += s.queueWrite()
	}
	s.mu.Unlock()
	if wait > 0 {
		if err := s.Clock.Sleep(ctx, wait); err != nil {
			return false, fault.New(op, storer.KindUnavailable, err)
		}
	}
	if down {
		return false, fault.New(op, storer.KindUnavailable, errInjected)
	}
	rule, found := s.Faults.Next(point)
	if !found {
		return false, nil
	}
	switch rule.Effect {
	case faulter.EffectRefuse:
		return false, fault.New(op, storer.KindUnavailable, errInjected)
	case faulter.EffectHang:
		<-ctx.Done()
		return false, fault.New(op, storer.KindUnavailable, ctx.Err())
	case faulter.EffectSlow:
		if err := s.Clock.Sleep(ctx, rule.Delay); err != nil {
			return false, fault.New(op, storer.KindUnavailable, err)
		}
	case faulter.EffectLoseAnswer:
		return true, nil
	}
	return false, nil
}

// queueWrite returns how long the next write waits for its turn. The lock must be held.
func (s *Store) queueWrite() clock.Millis {
	if s.WriteRate <= 0 {
		return 0
	}
	now := int64(s.Clock.Now()) * 1000
	s.turn = max(s.turn, now)
	wait := s.turn - now
	s.turn += 1_000_000 / int64(s.WriteRate)
	return clock.Millis(wait / 1000)
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind storer.ObjectKind, name string) (storer.Object, error) {
	const op = "get object"
	lose, err := s.enter(ctx, op, PointGet, false)
	if err != nil {
		return storer.Object{}, err
	}
	s.mu.Lock()
	o, found := s.kinds[kind][name]
	s.mu.Unlock()
	if lose {
		return storer.Object{}, fault.New(op, storer.KindUnavailable, errInjected)
	}
	if !found || o.Deleted {
		return storer.Object{}, fault.Newf(op, storer.KindNotFound, "%s/%s", kind, name)
	}
	return o, nil
}

// Put writes one object.
func (s *Store) Put(ctx context.Context, kind storer.ObjectKind, name string, value []byte, pre storer.Precondition) (ident.StoreVersion, error) {
	const op = "put object"
	lose, err := s.enter(ctx, op, PointPut, true)
	if err != nil {
		return 0, err
	}
	version, err := s.change(op, kind, storer.Object{Name: name, Value: slices.Clone(value)}, pre)
	if lose {
		return 0, fault.New(op, storer.KindUnavailable, errInjected)
	}
	return version, err
}

// Delete removes one object.
func (s *Store) Delete(ctx context.Context, kind storer.ObjectKind, name string, pre storer.Precondition) error {
	const op = "delete object"
	lose, err := s.enter(ctx, op, PointDelete, true)
	if err != nil {
		return err
	}
	_, err = s.change(op, kind, storer.Object{Name: name, Deleted: true}, pre)
	if lose {
		return fault.New(op, storer.KindUnavailable, errInjected)
	}
	return err
}

func (s *Store) change(op string, kind storer.ObjectKind, o storer.Object, pre storer.Precondition) (ident.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.kinds[kind][o.Name]
	present := found && !old.Deleted
	if pre.Absent && present || pre.Match != 0 && (!present || old.Version != pre.Match) {
		return 0, fault.Newf(op, storer.KindConflict, "%s/%s is at version %d", kind, o.Name, old.Version)
	}
	if o.Deleted && !present {
		return 0, fault.Newf(op, storer.KindNotFound, "%s/%s", kind, o.Name)
	}
	if s.kinds == nil {
		s.kinds = map[storer.ObjectKind]map[string]storer.Object{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]storer.Object{}
	}
	s.version++
	s.calls.WrittenBytes += len(o.Value)
	o.Version = s.version
	s.kinds[kind][o.Name] = o
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return o.Version, nil
}

// List returns or awaits changes.
func (s *Store) List(ctx context.Context, kind storer.ObjectKind, since ident.StoreVersion, wait clock.Millis) (storer.Changes, error) {
	const op = "list objects"
	lose, err := s.enter(ctx, op, PointList, false)
	if err != nil {
		return storer.Changes{}, err
	}
	if wait > 0 {
		s.addWaiting(1)
		defer s.addWaiting(-1)
	}
	deadline := s.Clock.Now() + wait
	for {
		changes, changed := s.changesSince(kind, since)
		left := deadline - s.Clock.Now()
		if len(changes.Objects) > 0 || left <= 0 {
			if lose {
				return storer.Changes{}, fault.New(op, storer.KindUnavailable, errInjected)
			}
			return changes, nil
		}
		if err := s.await(ctx, changed, left); err != nil {
			return storer.Changes{}, fault.New(op, storer.KindUnavailable, err)
		}
	}
}

func (s *Store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Waiting += n
}

// await returns when changed is closed or left has passed.
func (s *Store) await(ctx context.Context, changed <-chan struct{}, left clock.Millis) error {
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-timed.Done():
		}
	}()
	_ = s.Clock.Sleep(timed, left) // a change ends the sleep early
	return ctx.Err()
}

func (s *Store) changesSince(kind storer.ObjectKind, since ident.StoreVersion) (storer.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changes := storer.Changes{Version: s.version}
	for _, o := range s.kinds[kind] {
		if o.Version > since {
			changes.Objects = append(changes.Objects, o)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	return changes, s.changed
}
