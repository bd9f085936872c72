package host

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/link/gatekeeper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/profile"
	"example.com/dotterelwell/internal/request/runner"
	"example.com/dotterelwell/platform"
)

const (
	// tickEvery is the interval of housekeeping.
	tickEvery clock.Millis = 250
	// acceptSpan is how long a stopping instance takes requests of any length: the balancer
	// notices within two of its questions, and callers drop kept connections with their
	// next answer. Later it takes only requests that end before it stops.
	acceptSpan clock.Millis = 2800
	// quietSpan is how long a stopping instance stays after acceptSpan at least.
	quietSpan clock.Millis = 500
	// cutPart is the part of the grace period at which streams that still run are cut, for
	// their callers to resume them at another instance.
	cutPart = 0.94
	// endPart is the part of the grace period at which the instance ends at the latest.
	endPart = 0.97
	// headerTimeout bounds the wait for a request's first byte on a new connection, and for its header
	// while no configuration is known.
	headerTimeout = 15 * clock.Second
	// maxHeaderBytes bounds what net/http reads of a header; gatekeepers apply the limits in force.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx ends and then stops gracefully: it turns unready, answers
// every request, and cuts only streams that would outlast the grace period.
func (h *Host) Run(ctx context.Context, reload <-chan profile.Profile) error {
	callers, err := h.outside.ListenCallersFunc(h.Profile.CallerAddress)
	if err != nil {
		return err
	}
	readiness, err := h.outside.ListenFunc(h.Profile.ReadyAddress)
	if err != nil {
		return err
	}
	peers, err := h.outside.ListenFunc(h.Profile.PeerAddress())
	if err != nil {
		return err
	}
	requests, cutRequests := context.WithCancelCause(context.Background())
	background, stopBackground := context.WithCancel(context.Background())
	var group run.Group
	loop := func(f func(context.Context) error) {
		group.Add(func() error { return f(background) }, func(error) { stopBackground() })
	}
	serve := func(l net.Listener, gate *gatekeeper.Gatekeeper, handler http.Handler) {
		server := &http.Server{
			ConnState: func(c net.Conn, state http.ConnState) {
				gate.Track(c, state)
				if gate == h.gates.callers {
					h.Sweeper.Track(c, state)
				}
			},
			Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), MaxHeaderBytes: maxHeaderBytes,
			BaseContext: func(net.Listener) context.Context { return requests },
			// "OPTIONS *" would get a success without any server.
			DisableGeneralOptionsHandler: true,
		}
		group.Add(func() error { return serveHTTP(server, gate.Listen(l)) }, func(error) { _ = server.Close() })
	}
	serve(callers, h.gates.callers, h.counted(&platform.Ingress{
		Clock: h.Clock, Bufferer: h.bufferer, ServeFunc: h.Runner.Serve, LimitsFunc: h.limits, ClosingFunc: h.draining.Load,
	}))
	serve(readiness, h.gates.ready, platform.ReadyHandler(h.ready))
	if metrics, err := h.outside.ListenFunc(h.Profile.MetricsAddress()); err == nil {
		serve(metrics, h.gates.operators, h.operatorMux())
	} else {
		klog.ErrorS(err, "Metrics are not served; requests are", "address", h.Profile.MetricsAddress())
	}
	group.Add(func() error { return h.Gossiper.Serve(h.gates.peers.Listen(peers)) }, func(error) {
		_ = peers.Close() // it may be closed already
		h.Connector.Close()
	})
	group.Add(func() error { return h.untilStopped(ctx, background, func() { cutRequests(runner.ErrStopping) }) }, func(error) { stopBackground() })
	for _, i := range h.informers {
		loop(i.Run)
	}
	loop(h.Enlister.Run)
	loop(h.Gossiper.Run)
	loop(h.every(h.housekeep))
	loop(h.every(h.attributeCrashes))
	// These wait for answers of the store.
	loop(h.every(h.saveQuarantine))
	loop(h.every(h.recordRollouts))
	loop(h.every(h.removeGone))
	for _, run := range h.dutyLoops() {
		loop(run)
	}
	loop(func(ctx context.Context) error { return h.followReloads(ctx, reload) })
	klog.InfoS("Instance started", "instance", h.Profile.Instance, "zone", h.Profile.Zone, "callers", h.Profile.CallerAddress, "peers", h.Profile.PeerAddress(), "metrics", h.Profile.MetricsAddress())
	return group.Run()
}

func (h *Host) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.Meter.Handler())
	mux.HandleFunc("GET /status", h.status)
	return mux
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// counted counts the requests in flight.
func (h *Host) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// untilStopped waits for ctx and then for the requests in flight.
func (h *Host) untilStopped(ctx, group context.Context, cutRequests func()) error {
	select {
	case <-ctx.Done():
	case <-group.Done():
		return nil
	}
	h.draining.Store(true)
	klog.InfoS("Instance is draining", "instance", h.Profile.Instance, "in-flight", h.inFlight.Load(), "tunnels", h.Tunneler.Carried())
	began := h.Clock.Now()
	grace := h.currentBounds().Grace
	cutAt := began + clock.Millis(cutPart*float64(grace))
	h.stopAt.Store(int64(cutAt))
	h.stopFrom.Store(int64(began + acceptSpan))
	if !h.Gossiper.InLargeFleet() {
		h.Gossiper.SendToAll(context.Background()) // peers choose others for their tunnels
	}
	h.wait(func(now clock.Millis) bool {
		return now >= cutAt || now-began >= acceptSpan+quietSpan && h.idle()
	})
	// From here on every request is refused, so that none is sent to a server that this
	// instance would not wait for.
	h.stopAt.Store(int64(min(cutAt, h.Clock.Now())))
	h.wait(func(now clock.Millis) bool { return now >= cutAt || h.idle() })
	klog.InfoS("Instance stops", "instance", h.Profile.Instance, "streams-cut", h.inFlight.Load(), "tunnels-cut", h.Tunneler.Carried(), "after-ms", h.Clock.Now()-began)
	cutRequests()
	h.tellLastCounts()
	// The answers of the requests that were cut are written until then.
	endAt := began + clock.Millis(endPart*float64(grace))
	h.wait(func(now clock.Millis) bool { return now >= endAt || h.idle() })
	return nil
}

// idle reports whether this instance has no request in flight, of its own callers or of peers.
func (h *Host) idle() bool { return h.inFlight.Load() == 0 && h.Tunneler.Carried() == 0 }

// wait waits until a condition holds, looking a few times after it first does: requests
// that were being read have then been counted.
func (h *Host) wait(done func(now clock.Millis) bool) {
	for held := 0; held < 2; {
		time.Sleep((tickEvery / 10).Duration())
		if !done(h.Clock.Now()) {
			held = 0
			continue
		}
		held++
	}
}

// stopsBefore reports whether a new request that lasts so long would be cut by the stop
// of this instance, though it came too late to be cut.
func (h *Host) stopsBefore(timeout clock.Millis) bool {
	from, at := clock.Millis(h.stopFrom.Load()), clock.Millis(h.stopAt.Load())
	now := h.Clock.Now()
	return from > 0 && now >= from && now+timeout >= at
}

// stopTime returns when a stopping instance cuts the requests that are left, or zero.
func (h *Host) stopTime() clock.Millis { return clock.Millis(h.stopAt.Load()) }

// every returns a loop that calls f at the interval of housekeeping.
func (h *Host) every(f func(ctx context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for h.Clock.Sleep(ctx, tickEvery) == nil {
			f(ctx)
		}
		return nil
	}
}

// housekeep does what depends on time alone.
func (h *Host) housekeep(context.Context) {
	h.Roster.SetReachable(h.Gossiper.Reachable())
	h.Roster.Tick()
	h.Transporter.Sweep()
	h.Sweeper.Sweep()
	h.Stager.Tick()
	if h.duties.demander != nil {
		h.duties.demander.Sample()
	}
	for _, i := range h.informers {
		i.ExpireKept()
	}
}

const (
	// goneSpan is how long an instance does not answer before it is taken off the list. It
	// exceeds a restart and all but the longest partitions.
	goneSpan = 120 * clock.Second
	// removeEvery is the pause between two looks for such instances.
	removeEvery = 10 * clock.Second
)

// removeGone takes instances that are gone off the list, if this instance holds the
// duty for that.
func (h *Host) removeGone(ctx context.Context) {
	now := h.Clock.Now()
	if now-h.removedAt < removeEvery || !h.Gossiper.HoldsDuty("instances") {
		return
	}
	h.removedAt = now
	h.Enlister.RemoveReturned(ctx)
	for _, instance := range h.Gossiper.UnreachableFor(goneSpan) {
		h.Enlister.Remove(ctx, instance)
	}
}

// followReloads takes over bounds that operators have changed. Addresses and sizes stay
// until the next start.
func (h *Host) followReloads(ctx context.Context, reload <-chan profile.Profile) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-reload:
			h.setBounds(p.Bounds)
			klog.InfoS("Settings are reloaded", "instance", p.Instance, "bounds", p.Bounds)
		}
	}
}

// setBounds takes over bounds. The budgets keep what they have counted, unless their window
// changes.
func (h *Host) setBounds(b profile.Bounds) {
	h.mu.Lock()
	if b.RetryWindow != h.bounds.RetryWindow {
		clear(h.budgets)
	}
	h.bounds = b
	held := slices.Collect(maps.Values(h.budgets))
	h.mu.Unlock()
	for _, budget := range held { // without the lock, which a budget takes for its reserve
		budget.SetShare(b.RetryRatio * retryPart)
	}
	h.Stager.SetBounds(b.ExposureShare, b.SessionGap)
}
