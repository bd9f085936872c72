// Package host builds an instance that runs on the users' platform, and runs it.
package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/link/pathfinder"
	"example.com/dotterelwell/internal/link/selector"
	"example.com/dotterelwell/internal/link/sweeper"
	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/meter"
	"example.com/dotterelwell/internal/machine/profile"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/request/cascader"
	"example.com/dotterelwell/internal/request/observer"
	"example.com/dotterelwell/internal/request/predictor"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/request/runner"
	"example.com/dotterelwell/internal/version/stager"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/accountant"
	"example.com/dotterelwell/internal/zone/attributor"
	"example.com/dotterelwell/internal/zone/curator"
	"example.com/dotterelwell/internal/zone/enlister"
	"example.com/dotterelwell/internal/zone/informer"
	"example.com/dotterelwell/internal/zone/quarantiner"
	"example.com/dotterelwell/platform"
)

// Kind classifies the package's errors.
type Kind string

// KindListen means that an address could not be listened on.
const KindListen Kind = "listen"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// storeTimeout bounds a call of the store, which usually answers in milliseconds.
	storeTimeout = 2 * clock.Second
	// retryPart is the part of the fleet's retry ratio and slack that instances use; the
	// rest covers the unevenness of their traffic.
	retryPart = 0.85
	slackPart = 0.5
	// idlePart is the part of the connections that a server accepts which all instances
	// together may keep idle; the rest is for requests.
	idlePart = 0.5
	// bodyPart is the part of the process's memory that the large bodies of all requests
	// and answers may take together. It leaves the small machines their usual peak.
	bodyPart = 1.0 / 16
	// storeConnections bounds the idle connections to the store: one for each kind of object
	// that is watched, and some for other calls.
	storeConnections = 8
	// storeIdleTime bounds how long a connection to the store is kept without a call. One that falls silent while it is idle
	// makes the next call wait for its timeout.
	storeIdleTime = 1 * clock.Second
	// maxStoreHeader bounds the header of an answer of the store, in bytes.
	maxStoreHeader = 64 << 10
)

var reserveHash = hasher.Hasher{Salt: "retry"}

// Host is one instance.
type Host struct {
	Profile     profile.Profile
	Clock       *clock.Clock
	Meter       *meter.Meter
	Store       *storer.Storer
	Curator     *curator.Curator
	Roster      *roster.Roster
	Stager      *stager.Stager
	Enlister    *enlister.Enlister
	Gossiper    *gossiper.Gossiper
	Connector   *connector.Connector
	Transporter *transporter.Transporter
	Pathfinder  *pathfinder.Pathfinder
	Tunneler    *tunneler.Tunneler
	Selector    *selector.Selector
	Runner      *runner.Runner
	Observer    *observer.Observer
	Attributor  *attributor.Attributor
	Quarantiner *quarantiner.Quarantiner
	Sweeper     *sweeper.Sweeper

	outside    Outside
	bufferer   *bufferer.Bufferer
	gates      gates
	informers  map[storer.ObjectKind]*informer.Informer
	tallier    *tallier.Tallier
	accountant *accountant.Accountant
	duties     duties
	draining   atomic.Bool
	startedAt  clock.Millis
	// metPeers is set once the first peers on the list of instances have been asked for their news.
	metPeers atomic.Bool
	// stopFrom is when a stopping instance takes no more long requests, and stopAt when it
	// cuts what still runs, in milliseconds; zero until it is told to stop.
	stopFrom, stopAt atomic.Int64
	inFlight         atomic.Int64
	// asking holds the inquiry about crashes that messages carry while this instance collects them.
	asking atomic.Pointer[crash.Inquiry]
	// removedAt is when instances that are gone were last looked for; read by removeGone alone.
	removedAt clock.Millis
	// rolloutPause is until when roll-outs are left alone, in milliseconds.
	rolloutPause atomic.Int64

	mu      sync.Mutex
	bounds  profile.Bounds
	budgets map[declaration.ServiceName]*retrier.Budget
	peers   map[ident.Instance]map[declaration.ServiceName]stager.Stage
}

// Outside replaces the network, for tests. Its zero value uses TCP.
type Outside struct {
	DialFunc   func(ctx context.Context, network, address string) (net.Conn, error)
	ListenFunc func(address ident.Address) (net.Listener, error)
	// ListenCallersFunc listens on the callers' address; nil for ListenFunc.
	ListenCallersFunc func(address ident.Address) (net.Listener, error)
}

// New builds an instance. The returned function gives up what it holds; call it after
// Run has returned.
func New(p profile.Profile, outside Outside) (*Host, func()) {
	if outside.DialFunc == nil {
		outside.DialFunc = dialer.Dial
	}
	if outside.ListenFunc == nil {
		outside.ListenFunc, outside.ListenCallersFunc = listen, listenCallers
	}
	if outside.ListenCallersFunc == nil {
		outside.ListenCallersFunc = outside.ListenFunc
	}
	h := &Host{
		Profile: p, outside: outside, bounds: p.Bounds, Clock: &clock.Clock{}, Meter: meter.New(),
		informers: map[storer.ObjectKind]*informer.Informer{},
		budgets:   map[declaration.ServiceName]*retrier.Budget{},
		peers:     map[ident.Instance]map[declaration.ServiceName]stager.Stage{},
	}
	h.startedAt = h.Clock.Now()
	client := StoreClient(outside.DialFunc)
	h.Store = platform.NewStorer(p.StoreAddress, client, storeTimeout)
	h.tallier = &tallier.Tallier{Clock: h.Clock, Owner: ident.NewIncarnation(p.Instance, h.Clock.Now())}
	h.wireZone()
	h.wireTunnels()
	h.wireCrashes()
	h.wireLinks()
	h.wireRequests()
	h.wireDuties()
	h.wireGates()
	return h, func() {
		h.Transporter.Close()
		h.Connector.Close()
		client.CloseIdleConnections()
		h.duties.close()
	}
}

// StoreClient returns the HTTP client for the store. dial opens connections.
func StoreClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdleTime.Duration(), MaxResponseHeaderBytes: maxStoreHeader, DisableCompression: true,
	}}
}

func (h *Host) currentBounds() profile.Bounds {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bounds
}

// coldRate is the rate of requests that a cold server of a service may receive.
func (h *Host) coldRate(service declaration.ServiceName) float64 {
	config := h.Curator.View().Config
	if config == nil || config.Services[service] == nil || config.Services[service].ColdPerSecond <= 0 {
		return 0
	}
	b := h.currentBounds()
	return config.Services[service].ColdPerSecond*b.ColdOverrun + b.ColdSlack - 1
}

func (h *Host) wireLinks() {
	h.accountant = &accountant.Accountant{Clock: h.Clock, Instance: h.Profile.Instance, Zone: h.Profile.Zone}
	h.Gossiper = &gossiper.Gossiper{
		Clock: h.Clock, Instance: h.Profile.Instance, Zone: h.Profile.Zone, Strength: h.Profile.Strength(), Incarnation: h.tallier.Owner,
		Connector: h.Connector, PeersFunc: h.Enlister.Peers, Watchers: watchers, ZoneWatchers: zoneWatchers, WatchedKind: platform.RoutingKind, DutyKind: platform.RolloutKind,
		Informers: h.informers, Tallier: h.tallier, Accountant: h.accountant, MessageFunc: h.message, OnMessage: h.merge,
	}
	for _, i := range h.informers {
		i.PullFunc = h.Gossiper.Pull
	}
}

// message fills in what the gossiper tells peers.
func (h *Host) message() gossiper.Message {
	stages := h.Stager.Stages()
	for service, s := range stages {
		s.OldInFlight = h.Roster.InFlightOnOtherReleases(service, s.Target)
		stages[service] = s
	}
	return gossiper.Message{
		Loads: h.Roster.Loads(), Stages: stages, Departing: h.Roster.Departing(), Limits: h.Roster.LimitReports(), Brittle: h.Roster.BrittleReports(),
		Tunnels: h.tunnelReport(), Pauses: h.Roster.PauseReports(), Parts: h.Roster.PartDigest(),
		Crashes: h.Observer.Reports(), Inquiry: h.inquiry(), Cleared: h.Observer.Cleared(), Quarantine: h.Quarantiner.Entries(),
		Duties: h.claims(),
	}
}

func (h *Host) merge(n gossiper.Message) {
	h.mu.Lock()
	h.peers[n.From] = n.Stages
	h.mu.Unlock()
	if h.Gossiper.InLargeFleet() {
		h.Roster.SetPeerLoads(h.accountant.PeerLoads())
	} else {
		h.Roster.SetPeerLoads(h.accountant.InstanceLoads(), 0)
	}
	h.Roster.MergeDeparting(n.Departing)
	h.Roster.MergeLimits(n.Limits)
	h.Roster.MergeBrittle(n.Brittle)
	h.Roster.MergePauses(n.Pauses)
	h.Roster.MergeParts(n.Parts)
	h.Selector.Merge(n.From, n.Tunnels)
	h.Stager.Merge(n.Stages)
	h.mergeCrashes(n)
	h.mergeDuties(n)
}

func (h *Host) wireRequests() {
	h.bufferer = &bufferer.Bufferer{Limit: int64(bodyPart * float64(h.Profile.MemoryBytes))}
	h.Transporter = &transporter.Transporter{Clock: h.Clock, DialFunc: h.Pathfinder.DialContext}
	h.Meter.Gauge("unreachable_servers", "Backend servers that this instance has failed to connect to and has not reached since.", func() float64 { return float64(h.Roster.Unreachable()) })
	routes := h.informers[platform.RoutingKind]
	h.Sweeper = &sweeper.Sweeper{Clock: h.Clock, LimitFunc: func() clock.Millis { return h.limits().IdleTimeout }}
	h.Runner = &runner.Runner{
		Clock: h.Clock, ViewFunc: h.Curator.View, Roster: h.Roster, Transporter: h.Transporter,
		Cascader: &cascader.Cascader{}, Predictor: &predictor.Predictor{}, Bufferer: h.bufferer, Observer: h.Observer, Quarantiner: h.Quarantiner, EncodeFunc: platform.EncodeAttempt, DecodeFunc: platform.DecodeHead,
		ConfigCurrentFunc: routes.Current, StateLoadedFunc: h.informed, StopsBeforeFunc: h.stopsBefore, StopAtFunc: h.stopTime,
		SideFunc: h.Stager.Side, RetryBudgetFunc: h.budget, MaxIdleConnsFunc: h.maxIdle, OnAttemptEnd: h.noteAnswer, OnRequestEnd: h.noteEnd,
		OnOverrun:      func(bound string) { h.Meter.Overruns.WithLabelValues(bound).Inc() },
		OnAttemptStart: h.noteWait, OnInterEventLatency: h.notePace, OnSent: h.Stager.PinSession, OnPeerAdvised: h.noteAdvice,
		OnRoomWait: h.noteRoomWait,
	}
	h.Meter.Gauge("waiting_for_room", "Requests that wait at this instance until a backend server has room for them.", func() float64 { return float64(h.Runner.Waiting()) })
}

// informed reports whether the instance has a copy of every kind that decides where a
// request may go.
func (h *Host) informed() bool {
	for _, kind := range []storer.ObjectKind{platform.RoutingKind, platform.EvacuationKind, platform.RolloutKind, platform.ServerKind} {
		if !h.informers[kind].Loaded() {
			return false
		}
	}
	return true
}

// budget returns this instance's part of the retry budget of a service.
func (h *Host) budget(service declaration.ServiceName) *retrier.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.budgets[service]
	if held == nil {
		held = &retrier.Budget{
			Clock: h.Clock, Window: h.bounds.RetryWindow,
			Share:       h.bounds.RetryRatio * retryPart,
			ReserveFunc: func() float64 { return h.ownReserve(service, h.currentBounds().RetrySlack*slackPart) },
		}
		h.budgets[service] = held
	}
	return held
}

// ownReserve returns this instance's part of the retries that all instances together may make
// in a window without requests to a service. If there is less than one for each instance, some
// instances get one, and the others retry only for the share of their own requests.
func (h *Host) ownReserve(service declaration.ServiceName, all float64) float64 {
	own := h.ownPart(all)
	switch {
	case own >= 1:
		return own
	case reserveHash.InTop(string(service), string(h.Profile.Instance), h.Enlister.Names(), int(all)):
		return 1
	}
	return 0
}

// maxIdle returns how many idle connections this instance may keep to each server of a
// service, so that those of all instances leave room for requests: a server resets
// connections that are too many. It is 0 where the service has no limit, and -1 for none.
func (h *Host) maxIdle(service declaration.ServiceName) int {
	config := h.Curator.View().Config
	if config == nil || config.Services[service] == nil || config.Services[service].MaxConnections == 0 {
		return 0
	}
	if own := int(h.ownPart(idlePart * float64(config.Services[service].MaxConnections))); own > 0 {
		return own
	}
	return -1
}

// ownPart returns this instance's part of what all instances together may use.
func (h *Host) ownPart(all float64) float64 {
	return all / float64(max(len(h.Enlister.Names()), 1))
}

// noteAnswer counts an attempt for the roll-outs. A request that has failed already may
// fail wherever it goes and says nothing about releases.
func (h *Host) noteAnswer(o runner.AttemptOutcome) {
	if o.AfterFailure {
		return
	}
	switch o.Result {
	case roster.ResultOK:
		h.Stager.RecordAnswer(o.Service, o.Release, o.Route.Name)
	case roster.ResultError:
		h.Stager.RecordFailure(o.Service, o.Release, o.Route.Name)
	case roster.ResultLost:
		h.noteLoss(o)
	}
}

// noteWait counts the time to an answer's first byte for the roll-outs.
func (h *Host) noteWait(a runner.Attempt) (heard func(firstByte clock.Millis, found bool)) {
	kind := stager.DelayFirstByte
	if a.Route.CacheAffine {
		kind = stager.DelayPrompt
	}
	reached := func() bool { return !h.Pathfinder.IsLost(a.Server) }
	return h.Stager.TrackFirstByte(a.Service, a.Release, kind, a.Route.Name, a.Model, reached)
}

// notePace counts a stream's pace for the roll-outs.
func (h *Host) notePace(a runner.Attempt, gap clock.Millis) {
	h.Stager.RecordDelay(a.Service, a.Release, stager.DelayPace, a.Route.Name, a.Model, gap)
}

// noteRoomWait counts a request that waited at this instance until a server had room.
func (h *Host) noteRoomWait(route string, waited clock.Millis) {
	h.Meter.RoomWaits.WithLabelValues(route).Inc()
	h.Meter.RoomWaitSeconds.WithLabelValues(route).Add(waited.Duration().Seconds())
}

func (h *Host) noteEnd(e runner.RequestOutcome) {
	outcome := "answered"
	if e.Refusal != "" {
		outcome = "refused"
	}
	h.Meter.Requests.WithLabelValues(string(e.Workspace), e.Route, outcome, string(e.Refusal)).Inc()
	h.Meter.Seconds.WithLabelValues(e.Route).Observe(e.Took.Duration().Seconds())
}

// ready reports whether callers should be sent to this instance.
func (h *Host) ready() bool {
	return !h.draining.Load() && h.Curator.View().Config != nil && h.Roster.HasServers() && h.informed() && !h.gates.callers.Full()
}

func (h *Host) limits() routing.Limits {
	if config := h.Curator.View().Config; config != nil {
		return config.Limits
	}
	return routing.Limits{}
}

// status describes this instance for operators.
func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	version := routing.Version(0)
	if config := h.Curator.View().Config; config != nil {
		version = config.Version
	}
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{
		"instance": h.Profile.Instance, "zone": h.Profile.Zone, "ready": h.ready(), "config": version,
		"in-flight": h.inFlight.Load(), "peers": h.Enlister.Names(), "servers": h.Roster.Rows(), "quarantine": h.Quarantiner.Entries(), "problems": h.problems(),
	})
	if err != nil {
		klog.ErrorS(err, "Status could not be written")
	}
}

func listen(address ident.Address) (net.Listener, error) {
	return listenWith(net.ListenConfig{KeepAliveConfig: dialer.KeepAlive, Control: dialer.Control}, address)
}

// listenCallers listens without TCP_USER_TIMEOUT, which also ends a connection whose caller is alive and doesn't
// read for that long. platform.Ingress bounds how long a write may take.
func listenCallers(address ident.Address) (net.Listener, error) {
	return listenWith(net.ListenConfig{KeepAliveConfig: dialer.KeepAlive}, address)
}

func listenWith(config net.ListenConfig, address ident.Address) (net.Listener, error) {
	l, err := config.Listen(context.Background(), "tcp", string(address))
	if err != nil {
		return nil, fault.New("listen", KindListen, err)
	}
	return l, nil
}
