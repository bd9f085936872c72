package dispatcher

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/request/recorder"
)

// once runs a call that may not be repeated. The order of steps is the promise:
// claim, slot with the last check, one dispatch, outcome.
func (d *Dispatcher) once(ctx context.Context, call *Call, rec *recorder.Recorder) (Reply, error) {
	const op = "run call once"
	if expired, age := d.expired(call.Key); expired {
		return Reply{}, fault.Newf(op, KindKeyExpired, "the key is %d ms old", age)
	}
	e := entry(call, ident.NewNonce())
	verdict, err := d.claimOrAwait(ctx, call, e)
	if err != nil {
		d.release(e)
		return Reply{}, fault.New(op, KindClaimFailed, err)
	}
	if !verdict.Won {
		return d.repeat(ctx, call, verdict.Record)
	}
	answer, err := d.dispatchClaimed(ctx, call, rec)
	if err == nil {
		d.settle(e, answer.Status, answer.Header.Get("Content-Type"), answer.Body)
		return Reply{Answer: answer}, nil
	}
	if rec.Outcome() == problem.OutcomeNotRun {
		d.release(e)
		return Reply{}, err
	}
	if found, ok := d.askService(ctx, call.Service, call.Request); ok {
		d.settle(e, found.Status, jsonType, found.Body)
		return Reply{Answer: toldAnswer(found)}, nil
	}
	return Reply{}, err
}

// jsonType is the media type of answers that a service reports later.
const jsonType = "application/json"

// expired reports whether a key that carries its time (a UUID of version 7) is
// older than claims are kept, so that an earlier run would be forgotten.
func (d *Dispatcher) expired(key ident.Key) (bool, clock.Millis) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return false, 0
	}
	seconds, nanos := id.Time().UnixTime()
	age := d.Clock.Now() - clock.Millis(seconds*1000+nanos/1_000_000)
	return age >= d.Claimer.Retention, age
}

// claimOrAwait asks for the right to run. While another call with the key is under
// way it waits a while for that call's outcome. Asking again costs no write: the
// shard's holder answers from what it has read.
func (d *Dispatcher) claimOrAwait(ctx context.Context, call *Call, e claim.Entry) (claimer.Verdict, error) {
	until := min(d.Clock.Now()+repeatPatience, call.Deadline)
	for {
		verdict, err := d.claim(ctx, call, e)
		if err != nil || verdict.Won || verdict.Record.State != claim.StateClaimed {
			return verdict, err
		}
		underWay := d.LiveFunc == nil || d.LiveFunc(verdict.Record.Owner)
		if !underWay || verdict.Record.Digest != e.Digest || d.Clock.Now()+repeatPause >= until {
			return verdict, nil
		}
		if err := d.Clock.Sleep(ctx, repeatPause); err != nil {
			return verdict, nil
		}
	}
}

// claim asks for the right to run; patient calls wait for the store until their deadline, unless that may outlast the instance.
func (d *Dispatcher) claim(ctx context.Context, call *Call, e claim.Entry) (claimer.Verdict, error) {
	started := d.Clock.Now()
	for {
		verdict, err := d.Claimer.Claim(ctx, e)
		if err == nil {
			if d.OnClaim != nil {
				d.OnClaim(call, verdict.Won, d.Clock.Now()-started)
			}
			return verdict, nil
		}
		if call.Priority != declaration.PriorityPatient || ctx.Err() != nil {
			return claimer.Verdict{}, err
		}
		if d.Clock.Now()+claimPause >= call.Deadline || d.Admitter.Outlasts(call.Deadline) {
			return claimer.Verdict{}, err
		}
		if sleepErr := d.Clock.Sleep(ctx, claimPause); sleepErr != nil {
			return claimer.Verdict{}, err
		}
	}
}

// dispatchClaimed sends the call once. Only when it is certain that a server has not
// run it does the call go to another.
func (d *Dispatcher) dispatchClaimed(ctx context.Context, call *Call, rec *recorder.Recorder) (forwarder.Answer, error) {
	const op = "run call once"
	var exclude []ident.Server
	var last error
	for range maxTries {
		answer, server, err := d.send(ctx, call, rec, exclude)
		if err == nil {
			return answer, nil
		}
		if KindOf(err) == KindNoSlot {
			return forwarder.Answer{}, err
		}
		last = err
		if rec.Outcome() != problem.OutcomeNotRun {
			break
		}
		exclude = append(exclude, server)
	}
	return forwarder.Answer{}, fault.New(op, KindFailed, last)
}

// repeat answers a call whose key has been claimed before.
func (d *Dispatcher) repeat(ctx context.Context, call *Call, held claim.Entry) (Reply, error) {
	const op = "repeat call"
	if held.Digest != call.digest() {
		return Reply{}, fault.Newf(op, KindKeyMismatch, "key %q was used for another call", call.Key)
	}
	if held.State == claim.StateClaimed {
		held = d.Resolve(ctx, held)
	}
	switch {
	case held.State != claim.StateRan:
		return Reply{}, fault.Newf(op, KindKeyInUse, "a call with key %q is %s", call.Key, held.State)
	case held.Partial:
		return Reply{}, fault.Newf(op, KindAnswerNotKept, "the call with key %q ran with status %d", call.Key, held.Status)
	}
	header := http.Header{"Content-Type": {held.Type}}
	return Reply{Answer: forwarder.Answer{Status: held.Status, Header: header, Body: held.Body}, Replayed: true}, nil
}

// Resolve tries to find the outcome of a claim whose owner may be gone. It returns
// the claim as it is now.
func (d *Dispatcher) Resolve(ctx context.Context, held claim.Entry) claim.Entry {
	if held.State != claim.StateClaimed || d.LiveFunc != nil && d.LiveFunc(held.Owner) {
		return held
	}
	service, found := d.ViewFunc().Service(declaration.ServiceName(held.Service))
	if !found || !service.CanTell {
		return held
	}
	// That a service has not run the call proves nothing: bytes may still be on
	// their way. Only an operator may release such a claim.
	report, ran := d.askService(ctx, service, held.Request)
	if ran {
		held.State, held.Status, held.Type, held.Body = claim.StateRan, report.Status, jsonType, report.Body
		d.settle(held, report.Status, jsonType, report.Body)
	}
	return held
}

// Find returns what is known of an earlier call with the key.
func (d *Dispatcher) Find(ctx context.Context, workspace declaration.WorkspaceName, key ident.Key) (claim.Entry, bool, error) {
	held, found, err := d.Claimer.Find(ctx, scopedKey(workspace, key))
	if err != nil || !found {
		return claim.Entry{}, false, err
	}
	return d.Resolve(ctx, held), true, nil
}

// askService asks all servers of a service whether a call ran, when the service can tell.
func (d *Dispatcher) askService(ctx context.Context, service declaration.Service, request ident.Request) (forwarder.LookupResult, bool) {
	if !service.CanTell {
		return forwarder.LookupResult{}, false
	}
	ctx = context.WithoutCancel(ctx) // the answer is recorded even when the caller has left
	for _, row := range d.Registrar.Rows() {
		if row.Service != service.Name {
			continue
		}
		report, err := d.Forwarder.Lookup(ctx, row.Address, request)
		if err == nil && report.Ran {
			return report, true
		}
	}
	return forwarder.LookupResult{}, false
}

func toldAnswer(r forwarder.LookupResult) forwarder.Answer {
	return forwarder.Answer{Status: r.Status, Header: http.Header{"Content-Type": {jsonType}}, Body: r.Body}
}

func (d *Dispatcher) settle(e claim.Entry, status int, contentType string, body []byte) {
	e.Status, e.Type, e.Body = status, contentType, body
	_ = d.Claimer.Settle(e) // a lost outcome is found again by Resolve
}

func (d *Dispatcher) release(e claim.Entry) {
	_ = d.Claimer.Release(e) // a lost release leaves the key in use, never a second run
}
