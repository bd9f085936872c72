package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/accepter"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/machine/reporter"
	"example.com/dotterelwell/internal/zone/lender"
)

const (
	// tickEvery is the interval of the instance's own housekeeping.
	tickEvery clock.Millis = 200
	// listWait is how long one watch of the instance list waits.
	listWait = 3 * clock.Second
	// listPause is the pause after the instance list failed.
	listPause = 1 * clock.Second
	// trimEvery is the interval at which old claims are forgotten.
	trimEvery = 10 * clock.Second
	// takeOverEvery is the interval at which the bills of gone instances are looked for.
	takeOverEvery = 5 * clock.Second
	// headerTimeout bounds the wait for a caller's request headers.
	headerTimeout = 10 * clock.Second
	// idleTimeout bounds the idle time of a caller's connection.
	idleTimeout = 120 * clock.Second
	// flushTimeout bounds the writing of what is left at the end of a planned stop.
	flushTimeout = 10 * clock.Second
)

// Run serves until ctx ends and then shuts down gracefully: it turns unready, waits
// for the balancer, finishes every request, and writes what must last.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	var group run.Group
	background, stopBackground := context.WithCancel(context.Background())
	loop := func(f func(context.Context) error) {
		group.Add(func() error { return f(background) }, func(error) { stopBackground() })
	}
	callers := n.callerServer()
	operators := &http.Server{Handler: n.reporter().Mux(), ReadHeaderTimeout: headerTimeout.Duration()}
	group.Add(func() error { return n.untilStopped(ctx, callers) }, func(error) { stopBackground() })
	group.Add(func() error {
		err := serveHTTP(callers, listeners.caller)
		if err == nil {
			<-background.Done() // Serve returns as Shutdown begins, and the first actor that returns ends the group
		}
		return err
	}, func(error) { _ = callers.Close() })
	group.Add(func() error { return serveHTTP(operators, listeners.operator) }, func(error) { _ = operators.Close() })
	group.Add(func() error { return n.Exchanger.Serve(listeners.peer) }, func(error) {
		_ = listeners.peer.Close() // it may be closed already
		n.Connector.Close()
	})
	loop(n.watchList)
	loop(n.Watcher.Run)
	loop(n.Exchanger.Run)
	loop(n.Biller.Run)
	loop(n.Roller.Run)
	loop(n.every(tickEvery, n.tick))
	loop(n.every(tickEvery, n.warm))
	loop(n.every(trimEvery, n.Claimer.Trim))
	loop(n.every(takeOverEvery, n.takeOverBills))
	n.Chronicler.Record(chronicler.KindStarted, "", "", string(n.Incarnation))
	klog.InfoS("Instance started", "instance", n.Settings.Instance, "incarnation", n.Incarnation, "callers", listeners.caller.Addr(), "peers", listeners.peer.Addr(), "operators", listeners.operator.Addr())
	return group.Run()
}

type listeners struct{ caller, peer, operator net.Listener }

// listen opens the listeners that were not given. That of peers waits out errors of accept in its connector.
func (n *Node) listen() (listeners, error) {
	l := listeners{caller: n.outside.Caller, peer: n.outside.Peer, operator: n.outside.Operator}
	for _, open := range []struct {
		listener *net.Listener
		address  ident.Address
	}{{&l.caller, n.Settings.CallerAddress}, {&l.peer, n.Settings.PeerAddress}, {&l.operator, n.Settings.OperatorAddress}} {
		if *open.listener != nil {
			continue
		}
		opened, err := net.Listen("tcp", string(open.address))
		if err != nil {
			return l, fault.New("listen", KindListen, err)
		}
		*open.listener = opened
	}
	l.caller = &accepter.Accepter{Listener: l.caller, Port: "callers"}
	l.operator = &accepter.Accepter{Listener: l.operator, Port: "operators"}
	k := n.Settings.Keys
	if k.CertFile == "" {
		return l, nil
	}
	cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return l, fault.New("load certificate", KindKeys, err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	l.caller = tls.NewListener(l.caller, config)
	l.operator = tls.NewListener(l.operator, config)
	return l, nil
}

func (n *Node) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/", n.Handler.Mux())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if refusal := n.refusal(true); refusal != nil {
			refusal.Write(w)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
}

func (n *Node) reporter() *reporter.Reporter {
	return &reporter.Reporter{
		Clock: n.Clock, KeyDigest: n.Settings.Keys.OperatorKeyDigest, Metrics: n.Meter.Handler(),
		Exchanger: n.Exchanger, Registrar: n.Registrar, Keeper: n.Keeper,
		Estimator: n.Estimator, Tallier: n.Tallier, Judge: n.Judge, Claimer: n.Claimer,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// untilStopped waits for ctx and then shuts down in the order that cuts no request.
func (n *Node) untilStopped(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.Chronicler.Record(chronicler.KindDraining, "", "", "")
	klog.InfoS("Instance is draining", "instance", n.Settings.Instance, "in-flight", n.Handler.InFlight())
	l := n.Settings.Limits
	_ = n.Clock.Sleep(context.Background(), l.BalancerDelay) // a background context never ends
	n.Admitter.Stop(n.Clock.Now() + l.DrainTimeout)
	finish, cancel := context.WithTimeout(context.Background(), l.DrainTimeout.Duration())
	defer cancel()
	err := callers.Shutdown(finish)
	flush, cancelFlush := context.WithTimeout(context.Background(), flushTimeout.Duration())
	defer cancelFlush()
	err = errors.CombineErrors(err, n.Claimer.Drain(flush))
	err = errors.CombineErrors(err, n.Biller.Drain(flush))
	if err != nil {
		klog.ErrorS(err, "Instance stopped with work left over", "instance", n.Settings.Instance)
		return err
	}
	klog.InfoS("Instance stopped", "instance", n.Settings.Instance)
	return nil
}

// every returns a loop that calls f at an interval.
func (n *Node) every(interval clock.Millis, f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			f(ctx)
			if err := n.Clock.Sleep(ctx, interval); err != nil {
				return nil
			}
		}
	}
}

// watchList keeps the tables of instances and servers up to date.
func (n *Node) watchList(ctx context.Context) error {
	since, wait := ident.StoreVersion(0), clock.Millis(0)
	for ctx.Err() == nil {
		changes, err := n.outside.Lister.List(ctx, since, wait)
		if err != nil {
			_ = n.Clock.Sleep(ctx, listPause) // an ended context ends the loop
			continue
		}
		n.applyList(changes)
		since, wait = changes.Version, listWait
		if since == 0 {
			_ = n.Clock.Sleep(ctx, tickEvery) // an empty list has no version to wait from
		}
	}
	return nil
}

func (n *Node) applyList(changes lister.Changes) {
	n.Enroller.Apply(changes.Instances)
	if len(changes.Instances) > 0 {
		n.Registrar.Apply(changes.Instances)
	}
}

// tick does the housekeeping that must not wait for requests.
func (n *Node) tick(context.Context) {
	n.Enroller.Tick()
	n.Admitter.Wake()
	n.noteReadiness()
}

// warm looks after cold servers: it states this instance's requests there, asks those
// whose duty it holds how warm they are, and borrows places at the others.
func (n *Node) warm(ctx context.Context) {
	prompt, patient := n.Admitter.Waiting()
	for _, row := range n.Registrar.Rows() {
		if row.Warm {
			continue
		}
		n.Exchanger.SetUsage(row.Server, row.InFlight)
		if !n.warmingDuty(row.Server).Held {
			n.borrow(ctx, row, prompt+patient > 0)
			continue
		}
		if len(row.Versions) == 0 {
			continue
		}
		load, err := n.outside.Inferrer.Load(ctx, row.Address)
		if err == nil {
			n.Registrar.Report(row.Address, load, row.Epoch)
		}
	}
}

// borrow asks for a place at a cold server while requests wait or one is under way
// there, and gives the place back otherwise.
func (n *Node) borrow(ctx context.Context, row registrar.Row, needed bool) {
	holder := n.warmingHolder(row.Server)
	if holder == "" || holder == n.Settings.Instance {
		return
	}
	if needed || row.InFlight > 0 {
		asked := n.Clock.Now()
		if n.Warmer.BorrowedUntil(row.Server)-asked > lender.LeaseDuration/2 {
			return
		}
		if n.Exchanger.Borrow(ctx, holder, row.Server, false) {
			n.Warmer.Borrow(row.Server, holder, asked+lender.LeaseDuration)
			n.Admitter.Wake()
		}
		return
	}
	// The place is given up first, and returned only if no request took it meanwhile.
	if n.Warmer.DropBorrowed(row.Server) && n.Registrar.InFlight(row.Server) == 0 {
		n.Exchanger.Borrow(ctx, holder, row.Server, true)
	}
}

// takeOverBills writes the bills of instances that are gone.
func (n *Node) takeOverBills(ctx context.Context) {
	for _, owner := range n.Billholder.Owners() {
		if n.Enroller.Alive(owner) {
			continue
		}
		written, err := n.Billholder.TakeOver(ctx, owner)
		if written > 0 {
			n.Meter.BillsTakenOver.Add(float64(written))
			n.Chronicler.Record(chronicler.KindBillsTakenOver, "", string(owner), "")
		}
		if err != nil {
			klog.V(1).InfoS("Bills of a gone instance are not written yet", "owner", owner, "err", err)
			return
		}
	}
}
