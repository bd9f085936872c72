// Package assembler builds an entry instance from its settings and runs it.
package assembler

import (
	"context"
	"net"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/contract/inferrer"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/contract/rater"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/link/exchanger"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/machine/meter"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/machine/worker"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/billholder"
	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/dispatcher"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/request/relayer"
	"example.com/dotterelwell/internal/version/chooser"
	"example.com/dotterelwell/internal/version/estimator"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/roller"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/lender"
	"example.com/dotterelwell/internal/zone/warmer"
	"example.com/dotterelwell/internal/zone/watcher"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = "listen"
	// KindKeys means that a key or certificate could not be loaded.
	KindKeys Kind = "keys"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// poolWorkers is the number of background workers besides those of claims.
	poolWorkers = 32
	// shardWorkers is the number of workers that one shard of claims can occupy.
	shardWorkers = 6
	// poolBacklog is the number of background tasks that may wait.
	poolBacklog = 1024
)

// Outside holds the clients of outside systems. Fields left nil are made from the settings.
type Outside struct {
	Clock     *clock.Clock
	Store     *storer.Storer
	Lister    *lister.Lister
	Rater     *rater.Rater
	Inferrer  *inferrer.Inferrer
	Forwarder *forwarder.Forwarder
	// Caller, Peer and Operator replace listening on the settings' addresses.
	Caller, Peer, Operator net.Listener
	// DialFunc replaces opening TCP connections.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
}

// Node is one entry instance.
type Node struct {
	Settings    loader.Settings
	Clock       *clock.Clock
	Incarnation ident.Incarnation
	Meter       *meter.Meter
	Chronicler  *chronicler.Chronicler
	Pool        *worker.Pool
	Connector   *connector.Connector
	Enroller    *enroller.Enroller
	Exchanger   *exchanger.Exchanger
	Keeper      *keeper.Keeper
	Watcher     *watcher.Watcher
	Warmer      *warmer.Warmer
	Lender      *lender.Lender
	Registrar   *registrar.Registrar
	Admitter    *admitter.Admitter
	Tallier     *tallier.Tallier
	Estimator   *estimator.Estimator
	Chooser     *chooser.Chooser
	Judge       *judge.Judge
	Roller      *roller.Roller
	Claimer     *claimer.Claimer
	Biller      *biller.Biller
	Billholder  *billholder.Holder
	Relayer     *relayer.Relayer
	Conductor   *conductor.Conductor
	Dispatcher  *dispatcher.Dispatcher
	Handler     *handler.Handler
	Budget      *pacer.MemoryBudget

	outside  Outside
	mu       sync.Mutex
	draining bool
	// raterBad is when the rating service failed last; zero while it answers.
	raterBad clock.Millis
	ready    bool
	zonesOut map[declaration.ZoneName]bool
}

// New builds a node. The returned function gives up what the node holds; call it
// after Run has returned.
func New(s loader.Settings, outside Outside) (*Node, func(), error) {
	n := &Node{Settings: s, outside: outside, Clock: outside.Clock, zonesOut: map[declaration.ZoneName]bool{}}
	if n.Clock == nil {
		n.Clock = &clock.Clock{}
	}
	n.Incarnation = ident.NewIncarnation(s.Instance, n.Clock.Now())
	n.Meter = meter.New()
	n.Chronicler = &chronicler.Chronicler{Clock: n.Clock, Instance: s.Instance}
	pool, stopPool := worker.New(poolWorkers+shardWorkers*s.Limits.ClaimShards, poolBacklog)
	n.Pool = pool
	dial, closeDial := dialer.New(outside.DialFunc)
	n.fillOutside(dial)
	if err := n.wireLinks(); err != nil {
		stopPool()
		closeDial()
		return nil, nil, err
	}
	n.wireFleet()
	n.wireVersions()
	n.wireRequests()
	n.wireMetrics()
	return n, func() {
		n.Connector.Close()
		stopPool()
		closeDial()
	}, nil
}

// fillOutside makes the clients that were not given.
func (n *Node) fillOutside(dial *dialer.Dialer) {
	o, p := &n.outside, n.Settings.Platform
	if o.Store == nil {
		o.Store = storer.New(p.ObjectAPI, dial.Pooled, p.Timeout)
	}
	if o.Lister == nil {
		o.Lister = lister.New(p.InstanceList, dial.Pooled, p.Timeout)
	}
	if o.Rater == nil && p.RatingService != "" {
		o.Rater = rater.New(p.RatingService, dial.Pooled, p.RatingTimeout)
	}
	if o.Inferrer == nil {
		o.Inferrer = inferrer.New(dial)
	}
	if o.Forwarder == nil {
		o.Forwarder = forwarder.New(dial, (&bufferer.Bufferer{}).Read)
	}
}
