package gossiper

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/packer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/stager"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/accountant"
	"example.com/dotterelwell/internal/zone/informer"
)

// Peer is another instance.
type Peer struct {
	Instance ident.Instance
	Address  ident.Address
	Zone     declaration.ZoneName
	// Strength compares what instances can do for others: processor and link.
	Strength float64
}

// CopyStatus tells how new a copy is.
type CopyStatus struct {
	Position ident.StoreVersion
	// Age is how long ago the store confirmed that there is nothing newer.
	Age clock.Millis
	// Lost is set while the sender cannot reach the store.
	Lost bool
}

// Message is the state of one instance.
type Message struct {
	From        ident.Instance
	Incarnation ident.Incarnation
	// Copies tells how new each copy of the store's objects is.
	Copies map[storer.ObjectKind]CopyStatus
	// Loads holds what the instance has at each server; servers without anything are left
	// out.
	Loads accountant.Loads
	// Sums holds the sums of zones' loads, from a watcher of a large fleet.
	Sums   map[declaration.ZoneName]accountant.Sum
	Stages map[declaration.ServiceName]stager.Stage
	// Departing names the servers that are leaving by their own word and not by their
	// entries.
	Departing []backend.Incarnation
	Tallies   []tallier.Entry
}

// PullArgs asks for the changes of a kind after a version.
type PullArgs struct {
	Kind  storer.ObjectKind
	After ident.StoreVersion
}

// PullReply answers PullArgs.
type PullReply struct {
	Found  bool
	Update informer.Update
	// Packed holds the objects of Update in place of them, when they are large.
	Packed []byte
}

// unpack moves packed objects to their place.
func (r *PullReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	objects, err := packer.Unpack(r.Packed)
	r.Update.Objects, r.Packed = objects, nil
	return err
}
