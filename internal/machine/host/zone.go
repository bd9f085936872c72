package host

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/version/stager"
	"example.com/dotterelwell/internal/zone/curator"
	"example.com/dotterelwell/internal/zone/enlister"
	"example.com/dotterelwell/internal/zone/informer"
	"example.com/dotterelwell/platform"
)

// Changes of the configuration and of servers must be in force within ConfigLag also
// when a watch has fallen silent; the operators allow more for the others.
const (
	// promptPart is the wait of a prompt watch as a part of ConfigLag: the rest is for the
	// time-out of a silent watch and for the way between instances.
	promptPart = 0.35
	// patientWait is the wait of other watches.
	patientWait clock.Millis = 3000
	// watchers is the number of instances that watch the store in a small fleet, and
	// zoneWatchers that in each zone of a large one: the watchers of zones hear of one
	// another what one of them misses.
	watchers     = 2
	zoneWatchers = 1
	// firstWait is how long a starting instance waits for the copies of others. They come
	// with its first exchange.
	firstWait clock.Millis = 1200
	// lostRetryDelay is the delay of the calls by which an instance that does not watch finds out that it reaches the store
	// again. The first success makes all kinds retry, so that one of them is enough.
	lostRetryDelay clock.Millis = 1500
	// longestFirstWait bounds the wait of a starting instance for the list of instances, and for an exchange with some of them.
	longestFirstWait = 10 * clock.Second
	// aloneAfter is the time without a message from any peer after which an instance expects no news from peers. It exceeds two
	// rounds of exchanges.
	aloneAfter clock.Millis = 1500
)

func (h *Host) promptWait() clock.Millis {
	return clock.Millis(promptPart * float64(h.Profile.Bounds.ConfigLag))
}

// inform makes the copy of a kind.
func (h *Host) inform(kind storer.ObjectKind, wait clock.Millis, apply func([]storer.Object)) *informer.Informer {
	i := &informer.Informer{
		Clock: h.Clock, Store: h.Store, Kind: kind, WatchWait: wait, OnChange: apply, OnStoreContact: h.noteStore,
		InitialSyncWait: firstWait, MayListFunc: h.mayList,
		ShouldWatchFunc:  func() bool { return h.Enlister.Synced() && h.Gossiper.Watches(kind) },
		AloneFunc:        func() bool { return !h.Gossiper.HeardWithin(aloneAfter) },
		OnFetched:        func(storer.ObjectKind) { h.Gossiper.SendToNeighbours(context.Background()) },
		OnHistoryExpired: h.restartWatches,
		OnRestored:       h.noteRestored,
		KeepTimes:        h.keepTimes(kind),
	}
	h.informers[kind] = i
	return i
}

const (
	// lapseHeartbeats is the number of heartbeats without a write after which the platform removes a
	// server's entry, and lapseMargin the time that it takes.
	lapseHeartbeats              = 3
	lapseMargin     clock.Millis = 1400
)

// keepTimes bounds how long objects are kept that a restored store lacks. The versions of the routing configuration only rise, so
// that the newest one is right however late the operator writes it again. A live server writes its
// entry within about two seconds, and that of a dead one lapses. A zone may be taken out of service
// again although the store holds that order already. Instances write their entries one after the
// other.
func (h *Host) keepTimes(kind storer.ObjectKind) informer.KeepTimes {
	switch kind {
	case platform.RoutingKind:
		return informer.KeepTimes{Missing: informer.MaxStoreCopyAge, Changed: informer.MaxStoreCopyAge}
	case platform.ServerKind:
		times := informer.KeepTimes{Missing: 2 * clock.Second}
		if h.Profile.Heartbeat > 0 {
			times.Returned = lapseHeartbeats*h.Profile.Heartbeat + lapseMargin
		}
		return times
	case platform.EvacuationKind:
		return informer.KeepTimes{Returned: 3 * clock.Second}
	case enlister.ObjectKind:
		return informer.KeepTimes{Missing: 30 * clock.Second}
	}
	return informer.KeepTimes{}
}

// noteRestored makes the watches of all other kinds list their objects, when one of them has found
// that the store was restored from a copy.
func (h *Host) noteRestored(found storer.ObjectKind, era ident.StoreEra) {
	for kind, i := range h.informers {
		if kind != found {
			i.NoteEra(era)
		}
	}
}

// serverState returns the part of a server's entry that matters: the entry also holds a count and a
// time that change without a new version.
func serverState(o storer.Object) []byte {
	server, err := platform.DecodeServer(o)
	if err != nil {
		return o.Value
	}
	server.ColdFor = 0
	state, err := json.Marshal(server)
	if err != nil {
		return o.Value
	}
	return state
}

// restartWatches lets the watches of all other kinds find out what one of them has: that
// the store is lost, or has dropped its history. They would hear nothing until their wait
// ends.
func (h *Host) restartWatches(found storer.ObjectKind) {
	for kind, i := range h.informers {
		if kind != found {
			i.RestartWatch()
		}
	}
}

// noteStore tells the others at once when this instance loses the store, so that they
// take over its duties.
func (h *Host) noteStore(kind storer.ObjectKind, err error) {
	if err != nil {
		klog.InfoS("Store is lost", "kind", kind, "err", err)
		h.restartWatches(kind)
		h.Gossiper.SendToNeighbours(context.Background())
		return
	}
	klog.InfoS("Store is reached", "kind", kind)
	for other, i := range h.informers {
		if other != kind {
			i.RetryNow()
		}
	}
}

func (h *Host) wireZone() {
	h.Curator = &curator.Curator{
		RoutingName:       platform.RoutingName,
		DecodeRoutingFunc: platform.DecodeRouting,
		DecodeRolloutFunc: platform.DecodeRollout,
		OnChange:          func(*curator.View) { h.Runner.WakeWaiters() },
	}
	config := h.inform(platform.RoutingKind, h.promptWait(), h.Curator.ApplyRouting)
	config.RetryDelay = lostRetryDelay
	h.inform(platform.EvacuationKind, patientWait, h.Curator.ApplyEvacuations)
	h.inform(platform.RolloutKind, patientWait, h.Curator.ApplyRollouts)
	servers := h.inform(platform.ServerKind, h.promptWait(), func(objects []storer.Object) { h.Roster.Apply(objects) })
	servers.StateFunc = serverState
	instances := h.inform(enlister.ObjectKind, patientWait, func([]storer.Object) { h.refreshInstances() })
	instances.InitialSyncWait, instances.MayListFunc = 0, nil
	h.Enlister = &enlister.Enlister{
		Clock: h.Clock, Store: h.Store, Informer: instances, Instance: h.Profile.Instance,
		Entry: enlister.Entry{Address: h.Profile.PeerAddress(), Zone: h.Profile.Zone, Strength: h.Profile.Strength()},
	}
	h.Roster = &roster.Roster{
		Clock: h.Clock, Instance: h.Profile.Instance, Zone: h.Profile.Zone,
		ViewFunc: h.Curator.View, DecodeFunc: platform.DecodeServer, OutageEndedAtFunc: servers.OutageEndedAt,
		InstancesFunc: h.Enlister.Names, CountedFunc: h.Enlister.Counted, ColdRateFunc: h.coldRate,
		OnPart: func(service declaration.ServiceName, use roster.PartUse) {
			h.Meter.SharedParts.WithLabelValues(string(service), string(use)).Inc()
		},
		OnLimitedSend: func(service declaration.ServiceName) { h.Meter.LimitedSends.WithLabelValues(string(service)).Inc() },
		OnBrittle:     func() { go h.Gossiper.SendToAll(context.Background()) }, // the table's lock is held
		OnBrittleRejection: func(service declaration.ServiceName, lowered bool) {
			h.Meter.BrittleRejections.WithLabelValues(string(service)).Inc()
			if lowered {
				go h.Gossiper.SendToAll(context.Background())
			}
		},
		OnFreed: func() { h.Runner.WakeWaiters() },
	}
	h.Meter.Gauge("store_copy_age_seconds", "Time since the store confirmed the oldest of this instance's copies of its objects.", func() float64 { return h.oldestCopyAge().Duration().Seconds() })
	h.Stager = &stager.Stager{
		Clock: h.Clock, ViewFunc: h.Curator.View, Tallier: h.tallier,
		ExposureShare: h.Profile.Bounds.ExposureShare, SessionGap: h.Profile.Bounds.SessionGap,
		UnreadSinceFunc: func(service declaration.ServiceName) clock.Millis {
			return h.informers[platform.RolloutKind].UnreadSince(string(service))
		},
		HasAllEvidenceFunc: func(service declaration.ServiceName) bool { return h.Gossiper.CollectsEvidence(service) },
		OnBad:              func(declaration.ServiceName, backend.Release, string) { h.Gossiper.SendToAll(context.Background()) },
	}
}

// oldestCopyAge returns the time since the store confirmed the oldest of the copies.
func (h *Host) oldestCopyAge() clock.Millis {
	oldest := clock.Millis(0)
	for _, i := range h.informers {
		if i.Loaded() {
			oldest = max(oldest, i.Age())
		}
	}
	return oldest
}

// refreshInstances takes in the list of instances, and asks some of them for their news
// when it is the first.
func (h *Host) refreshInstances() {
	first := len(h.Enlister.Peers()) == 0
	h.Enlister.Refresh()
	if first {
		go func() {
			h.Gossiper.Exchange(context.Background())
			h.metPeers.Store(true)
		}()
	}
}

// mayList reports whether a starting instance may act on what the store lists. A store that has just been restored from a copy
// holds earlier states; peers know which ones, so that they are asked first.
func (h *Host) mayList() bool {
	return h.metPeers.Load() || h.Clock.Now()-h.startedAt >= longestFirstWait
}
