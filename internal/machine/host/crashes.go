package host

import (
	"context"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/request/observer"
	"example.com/dotterelwell/internal/zone/attributor"
	"example.com/dotterelwell/internal/zone/quarantiner"
)

// quarantineDuty is the item whose holder writes the quarantine to the store.
const quarantineDuty = "quarantine"

func (h *Host) wireCrashes() {
	h.Quarantiner = &quarantiner.Quarantiner{
		Clock: h.Clock, Store: h.Store,
		Informer:     h.inform(quarantiner.ObjectKind, patientWait, func(objects []storer.Object) { h.Quarantiner.Apply(objects) }),
		OnQuarantine: h.enforceQuarantine,
		OnRelease: func(suspect crash.Suspect, own bool) {
			h.Attributor.Release(suspect)
			if own {
				h.Gossiper.SendToAll(context.Background())
			}
		},
	}
	h.Meter.Gauge("quarantined_parts", "Prompt parts and requests in quarantine, because servers crash under them.", func() float64 { return float64(h.Quarantiner.Count()) })
	h.Attributor = &attributor.Attributor{Clock: h.Clock, CausesFunc: h.Quarantiner.Causes}
	h.Observer = &observer.Observer{
		Clock: h.Clock, DialFunc: h.Pathfinder.DialContext, ReachesOthersFunc: h.reachesOthers, OnClear: h.Quarantiner.Clear,
		OnCrash: func() {
			h.Attributor.Merge(h.Profile.Instance, h.Observer.Reports())
			h.Gossiper.SendToCrashCollectors(context.Background())
		},
	}
}

// enforceQuarantine gives up the attempts that wait at servers with a cause that has been put in
// quarantine, unless this instance knows better: the others may have judged without the reports of
// some instances.
func (h *Host) enforceQuarantine(cause crash.Cause) {
	for _, suspect := range cause {
		if begunAt, found := h.Observer.ClearedAt(suspect); found {
			h.Quarantiner.Clear([]crash.Suspect{suspect}, begunAt)
		}
	}
	if h.Quarantiner.Quarantined(cause...) {
		h.Observer.CancelWaiting(cause)
	}
}

// inquiry returns the inquiry that messages carry now.
func (h *Host) inquiry() crash.Inquiry {
	if asking := h.asking.Load(); asking != nil {
		return *asking
	}
	return crash.Inquiry{}
}

// mergeCrashes takes in what a peer says of crashed servers.
func (h *Host) mergeCrashes(n gossiper.Message) {
	h.Quarantiner.Merge(n.Quarantine)
	h.Attributor.Merge(n.From, n.Crashes)
	h.Attributor.MergeCleared(n.Cleared)
	h.Observer.Inquire(n.Inquiry)
}

// saveQuarantine writes the quarantine to the store, as far as it is this instance's turn.
func (h *Host) saveQuarantine(ctx context.Context) {
	h.Quarantiner.Tick(ctx, h.Gossiper.HoldsDuty(quarantineDuty))
}

// attributeCrashes asks all instances about crashes, and puts the suspects in quarantine that
// cause them, if this instance collects the reports.
func (h *Host) attributeCrashes(ctx context.Context) {
	h.Observer.Settle()
	if !h.Gossiper.CollectsCrashes() {
		h.asking.Store(nil)
		return
	}
	guilty := h.Attributor.Guilty()
	for _, cause := range guilty {
		h.Quarantiner.Quarantine(cause)
	}
	narrowed := h.Attributor.Narrowed()
	for lead, rest := range narrowed {
		h.Quarantiner.Narrow(lead, rest)
	}
	inquiry, due := h.Attributor.Inquiry()
	h.asking.Store(&inquiry)
	if due {
		h.Observer.Inquire(inquiry)
		h.Attributor.Merge(h.Profile.Instance, h.Observer.Reports())
		h.Attributor.MergeCleared(h.Observer.Cleared())
	}
	if due || len(guilty) > 0 || len(narrowed) > 0 {
		h.Gossiper.SendToAll(ctx)
	}
}
