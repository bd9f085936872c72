package host

import (
	"bytes"
	"context"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/platform"
)

// holdsDuty reports whether this instance records the outcome of a service's roll-out.
// Two instances may both believe so: the object's revision lets one write through.
func (h *Host) holdsDuty(service declaration.ServiceName) bool {
	return h.Gossiper.HoldsDuty(service)
}

// recordRollouts writes how roll-outs stand, for those whose duty this instance holds.
func (h *Host) recordRollouts(ctx context.Context) {
	if int64(h.Clock.Now()) < h.rolloutPause.Load() {
		return
	}
	for service, order := range h.Curator.View().Rollouts {
		if !h.holdsDuty(service) {
			continue
		}
		object, found := h.informers[platform.RolloutKind].Get(string(service))
		stored, isStored := h.informers[platform.RolloutKind].Stored(string(service))
		if !found || !isStored {
			continue
		}
		if lostStatus(object, stored) {
			h.record(ctx, stored, order)
			continue
		}
		if order.Outcome != backend.OutcomeOpen {
			continue
		}
		outcome := h.Stager.DueOutcome(order, h.oldInFlight(service, order.Target))
		if outcome == backend.OutcomeOpen && len(object.Status) > 0 {
			continue
		}
		order.Outcome = outcome
		h.record(ctx, object, order)
	}
}

// lostStatus reports whether a restored store has lost the status of an order.
func lostStatus(order, stored storer.Object) bool {
	return len(order.Status) > 0 && bytes.Equal(order.Value, stored.Value) && !bytes.Equal(order.Status, stored.Status)
}

func (h *Host) record(ctx context.Context, object storer.Object, order backend.Rollout) {
	status, err := platform.EncodeRolloutStatus(order)
	if err != nil {
		klog.ErrorS(err, "Roll-out status cannot be encoded", "service", order.Service)
		return
	}
	informer := h.informers[platform.RolloutKind]
	version, err := h.Store.PutStatus(ctx, platform.RolloutKind, object.Name, status, storer.Unchanged(object, true))
	switch storer.KindOf(err) {
	case storer.KindBusy, storer.KindUnavailable:
		informer.RecordStoreCall(err)
	}
	if err != nil {
		klog.InfoS("Roll-out status is not written", "service", order.Service, "outcome", order.Outcome, "revision", object.Version, "err", err)
	} else {
		klog.InfoS("Roll-out status is written", "service", order.Service, "target", order.Target, "outcome", order.Outcome, "revision", version)
	}
	// A write without an answer may have taken effect, and one that met a conflict shows
	// that the copy is old: what is in force is read before the next write.
	if err := informer.Refresh(ctx, object.Name); err != nil {
		klog.InfoS("Roll-out order cannot be read", "service", order.Service, "err", err)
		h.rolloutPause.Store(int64(h.Clock.Now() + rolloutPause))
	}
}

// rolloutPause is the pause after the store could not be asked about a roll-out.
const rolloutPause = 1 * clock.Second

// oldInFlight is the number of requests that all instances have at older releases.
func (h *Host) oldInFlight(service declaration.ServiceName, target backend.Release) int {
	total := h.Roster.InFlightOnOtherReleases(service, target)
	h.mu.Lock()
	defer h.mu.Unlock()
	for instance, stages := range h.peers {
		if h.Gossiper.Alive(instance) && stages[service].Target == target {
			total += stages[service].OldInFlight
		}
	}
	return total
}
