package fleet

import (
	"context"
	"sync/atomic"

	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/instancelist"
	"example.com/dotterelwell/internal/standin/objectstore"
)

// gate stands between one instance and the platform.
type gate struct{ cut atomic.Bool }

// check returns an error while the gate is shut.
func (g *gate) check(op string) error {
	if g.cut.Load() {
		return fault.Newf(op, storer.KindUnavailable, "cut off")
	}
	return nil
}

// store returns a client of the store through the gate. A call that is under way as
// the gate shuts takes effect, and its answer is lost.
func (g *gate) store(s *objectstore.Store) *storer.Storer {
	return &storer.Storer{
		GetFunc: func(ctx context.Context, kind storer.ObjectKind, name string) (storer.Object, error) {
			return through(g, "get object", func() (storer.Object, error) { return s.Get(ctx, kind, name) })
		},
		PutFunc: func(ctx context.Context, kind storer.ObjectKind, name string, value []byte, pre storer.Precondition) (ident.StoreVersion, error) {
			return through(g, "put object", func() (ident.StoreVersion, error) { return s.Put(ctx, kind, name, value, pre) })
		},
		DeleteFunc: func(ctx context.Context, kind storer.ObjectKind, name string, pre storer.Precondition) error {
			_, err := through(g, "delete object", func() (struct{}, error) { return struct{}{}, s.Delete(ctx, kind, name, pre) })
			return err
		},
		ListFunc: func(ctx context.Context, kind storer.ObjectKind, since ident.StoreVersion, wait clock.Millis) (storer.Changes, error) {
			return through(g, "list objects", func() (storer.Changes, error) { return s.List(ctx, kind, since, wait) })
		},
	}
}

func (g *gate) list(l *instancelist.List) *lister.Lister {
	inner := l.Lister()
	return &lister.Lister{ListFunc: func(ctx context.Context, since ident.StoreVersion, wait clock.Millis) (lister.Changes, error) {
		return through(g, "list instances", func() (lister.Changes, error) { return inner.List(ctx, since, wait) })
	}}
}

func through[T any](g *gate, op string, call func() (T, error)) (T, error) {
	var none T
	if err := g.check(op); err != nil {
		return none, err
	}
	answer, err := call()
	if checkErr := g.check(op); checkErr != nil {
		return none, checkErr
	}
	return answer, err
}
