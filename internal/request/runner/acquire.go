package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/zone/quarantiner"
)

// acquire takes a slot at a server. If none is free, it waits for up to slotTimeout.
func (x *execution) acquire() (*roster.Slot, *message.Refusal) {
	waitUntil := x.Clock.Now() + x.slotTimeout()
	queued, endWait := false, func() {}
	defer func() { endWait() }()
	admission := x.newAdmission()
	defer admission.end()
	for {
		if refusal := cmp.Or(x.refuseStopping(), x.refuseTooLate()); refusal != nil {
			return nil, refusal
		}
		if admission.mustWait(x.Clock.Now()) {
			if refusal := x.awaitRoom(&admission); refusal != nil {
				return nil, refusal
			}
			continue
		}
		freed := x.slotFreed.wait()
		want := x.wantFor(x.requestedModel())
		admission.apply(&want, x.Clock.Now())
		slot, err := x.Roster.Acquire(want)
		if err == nil {
			admission.pass(x.Clock.Now())
			return slot, nil
		}
		if roster.KindOf(err) == roster.KindNoRoom {
			if refusal := x.awaitRoom(&admission); refusal != nil {
				return nil, refusal
			}
			continue
		}
		var refusal *message.Refusal
		switch {
		case errors.Is(err, errServiceChanged):
			continue
		case errors.Is(err, errQuarantined):
			hold, blocked := x.Quarantiner.Blocked(x.suspects, x.probed)
			if !blocked || x.takeProbe(hold) {
				continue
			}
			return nil, x.refuseQuarantined(hold)
		case errors.As(err, &refusal):
			return nil, refusal
		}
		left := waitUntil - x.Clock.Now()
		poll := min(left, slotPollInterval)
		if roster.KindOf(err) == roster.KindPaused {
			pause := x.pause(queued)
			if pause.Wait > left {
				return nil, x.refuseNoSlot(err)
			}
			if end, byStop := x.latestEnd(); byStop && x.Clock.Now()+pause.Wait >= end {
				return nil, x.stoppedRefusal(err)
			}
			poll = min(poll, max(pause.Wait, 1))
			if !queued {
				queued, endWait = true, x.Roster.StartWait(x.service)
			}
		}
		if left <= 0 {
			return nil, x.refuseNoSlot(err)
		}
		if refusal := x.await(freed, poll); refusal != nil {
			return nil, refusal
		}
	}
}

// awaitRoom waits in the queue until the request is to look for room at a server again.
func (x *execution) awaitRoom(admission *admission) *message.Refusal {
	woken, timeout := admission.wait(x.Clock.Now())
	if timeout <= 0 {
		return nil
	}
	return x.await(woken, timeout)
}

// await waits for an event or a timeout. It refuses the request if its context ends before.
func (x *execution) await(event <-chan struct{}, timeout clock.Millis) *message.Refusal {
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-event:
	case <-timer.C:
	case <-x.ctx.Done():
	}
	if x.ctx.Err() != nil {
		return x.contextRefusal()
	}
	return nil
}

// takeProbe reports whether a request that has not been sent yet may be sent once although it, or
// parts of its prompt, are in quarantine. Of several causes of which it has a part it probes the one of which
// it has most. A request that has a whole cause probes no other one.
func (x *execution) takeProbe(hold quarantiner.Hold) bool {
	if len(x.probed) > 0 || x.sends > 0 {
		return false
	}
	leads := []crash.Suspect{hold.Cause[0]}
	for other, blocked := x.Quarantiner.Blocked(x.suspects, leads); blocked; other, blocked = x.Quarantiner.Blocked(x.suspects, leads) {
		if !hold.Partial || !other.Partial {
			return false
		}
		leads = append(leads, other.Cause[0])
	}
	if !x.Quarantiner.TakeProbe(x.ctx, hold, x.tellsOf(hold.Cause)) {
		return false
	}
	x.probed = leads
	klog.InfoS("Request probes a quarantine", "request", x.req.ID, "suspect", leads[0], "with", hold.Cause[1:], "partial", hold.Partial, "whole-request", leads[0] == x.work.Fingerprint)
	return true
}

// tellsOf returns a function that reports whether a crash under the request could have no other cause: all other
// parts of its prompt have been in answers that got past their beginning.
func (x *execution) tellsOf(cause crash.Cause) func() bool {
	return func() bool {
		return !slices.ContainsFunc(x.work.Parts, func(part crash.Suspect) bool {
			return !slices.Contains(cause, part) && !x.Observer.IsClear(part)
		})
	}
}

// refuseQuarantined returns the refusal of a request that is in quarantine, or whose prompt has parts
// in quarantine.
func (x *execution) refuseQuarantined(hold quarantiner.Hold) *message.Refusal {
	retryAfter := x.Quarantiner.Refuse(hold)
	var err error
	switch {
	case hold.Cause[0] == x.work.Fingerprint:
		err = errors.Newf("servers crash under this request, fingerprint %s", hold.Cause[0])
	case hold.Partial:
		err = errors.Newf("servers crash under prompt parts %v together, and another request is finding out which of them do it", hold.Cause)
	default:
		err = errors.Newf("servers crash under prompt part %s", hold.Cause[0])
		if len(hold.Cause) > 1 {
			err = errors.Newf("servers crash under prompt parts %v together", hold.Cause)
		}
	}
	if x.mayHaveRun {
		return x.refuseUnserved(err)
	}
	refusal := x.refuse(message.KindQuarantined, err)
	refusal.RetryAfter = retryAfter
	return refusal
}

// pause returns when the request may be sent if all servers that could take it have asked for a
// pause or name a rate limit. queued is set if the request waits already.
func (x *execution) pause(queued bool) roster.Pause {
	return x.Roster.Pause(x.wantFor(x.requestedModel()), queued)
}

// refuseNoSlot returns the refusal of a request that could not take a slot.
func (x *execution) refuseNoSlot(err error) *message.Refusal {
	switch {
	case x.mayHaveRun:
		return x.refuseUnserved(err)
	case roster.KindOf(err) == roster.KindNoServer:
		return x.refuse(message.KindNoServer, err)
	}
	return x.refuse(message.KindOverloaded, err)
}

// slotPollInterval is the interval at which a waiting request tries again without being
// woken: a cold server becomes usable with time, without an event.
const slotPollInterval clock.Millis = 100

// slotTimeout is how long a request waits for a slot: a quarter of the route's first-byte
// target, up to which an answer keeps its full value. A stream that has begun waits longer,
// for the route's gap target. Both are at most a third of the time to the deadline.
func (x *execution) slotTimeout() clock.Millis {
	wait := x.route.FirstByteTarget / 4
	if x.streamStarted {
		wait = x.route.InterEventTarget
	}
	return min(wait, (x.deadline-x.Clock.Now())/3)
}

// wantFor returns the requirements on the server that is to run the request with a model.
func (x *execution) wantFor(model declaration.ModelName) roster.Want {
	want := roster.Want{Service: x.service, Exclude: x.excluded, MayRunFunc: x.mayRun}
	if x.route.CacheAffine {
		shared := x.req.SharedTokens()
		want.SharedWork = x.Predictor.PrefillTime(model, shared)
		want.OwnWork = x.Predictor.PrefillTime(model, max(x.req.PromptTokens-shared, 0))
		if part := x.req.SharedPrefix(); part != "" {
			want.SharedPart = part + "/" + string(model)
			want.CopyWork = x.view.Config.Services[x.service].CopyTime(shared)
		}
	}
	if x.SideFunc != nil {
		want.SideFunc = func(order backend.Rollout) (roster.Side, bool) {
			return x.SideFunc(order, x.req.Session, x.requestHash)
		}
	}
	return want
}
