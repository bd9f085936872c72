// Package dispatcher runs calls of plain services, repeatable ones with retries and
// others at most once.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/request/recorder"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindDenied means that the workspace may not call the service.
	KindDenied Kind = "denied"
	// KindClaimFailed means that no claim could be made; the call has not run.
	KindClaimFailed Kind = "claim-failed"
	// KindKeyMismatch means that the key belongs to a different call.
	KindKeyMismatch Kind = "key-mismatch"
	// KindKeyInUse means that a call with the key is under way or its outcome is unknown.
	KindKeyInUse Kind = "key-in-use"
	// KindKeyExpired means that the key is older than claims are kept.
	KindKeyExpired Kind = "key-expired"
	// KindAnswerNotKept means that the call ran earlier and its answer was too large to keep.
	KindAnswerNotKept Kind = "answer-not-kept"
	// KindNoSlot means that no server took the call; the cause tells why.
	KindNoSlot Kind = "no-slot"
	// KindFailed means that the tries are used up or may not go on.
	KindFailed Kind = "failed"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxTries bounds the servers that one call is offered to.
	maxTries = 3
	// claimPause is the pause between tries to claim, for patient calls.
	claimPause clock.Millis = 250
	// repeatPatience is how long a repeated call waits for the outcome of the first.
	repeatPatience = 5 * clock.Second
	// repeatPause is the pause between two looks at that outcome.
	repeatPause clock.Millis = 100
)

// Call is one call of a plain service.
type Call struct {
	Digest    string
	Workspace declaration.WorkspaceName
	Service   declaration.Service
	Request   ident.Request
	// Key is the caller's idempotency key, or the request's identifier without one.
	Key      ident.Key
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Priority declaration.Priority
	Deadline clock.Millis
}

// Once reports whether the call may not be repeated.
func (c *Call) Once() bool { return slices.Contains(c.Service.OnceMethods, c.Method) }

// scopedKey returns the key that claims are kept under.
func scopedKey(workspace declaration.WorkspaceName, key ident.Key) ident.Key {
	return ident.Key(string(workspace) + "/" + string(key))
}

// digest identifies the call, so that a key cannot be reused for another.
func (c *Call) digest() string {
	h := sha256.New()
	for _, part := range []string{string(c.Service.Name), c.Method, c.Path} {
		_, _ = h.Write([]byte(part + "\x00")) // a hash never fails to take bytes
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Reply is what the caller gets.
type Reply struct {
	forwarder.Answer
	// Replayed is set when the answer is that of an earlier call with the key.
	Replayed bool
}

// Dispatcher runs calls. Set the exported fields before use.
type Dispatcher struct {
	Clock     *clock.Clock
	ViewFunc  func() *keeper.View
	Registrar *registrar.Registrar
	Admitter  *admitter.Admitter
	Forwarder *forwarder.Forwarder
	Claimer   *claimer.Claimer
	Retrier   *retrier.Budget
	// LiveFunc reports whether a process still runs, as far as known.
	LiveFunc func(owner ident.Incarnation) bool
	// OnDispatch, when set, is told of each call that is about to be sent.
	OnDispatch func(call *Call, slot *registrar.Slot)
	// OnClaim, when set, is told of each claim that was decided and the time it took.
	OnClaim func(call *Call, won bool, took clock.Millis)
}

// Do runs a call.
func (d *Dispatcher) Do(ctx context.Context, call *Call, rec *recorder.Recorder) (Reply, error) {
	d.Retrier.CountRequest()
	if call.Once() {
		return d.once(ctx, call, rec)
	}
	answer, err := d.repeatable(ctx, call, rec)
	return Reply{Answer: answer}, err
}

// repeatable tries servers until one answers, within the retry budget.
func (d *Dispatcher) repeatable(ctx context.Context, call *Call, rec *recorder.Recorder) (forwarder.Answer, error) {
	const op = "run call"
	var exclude []ident.Server
	var last error
	for try := range maxTries {
		if try > 0 && !d.Retrier.TryRetry() {
			break
		}
		answer, server, err := d.send(ctx, call, rec, exclude)
		if err == nil {
			return answer, nil
		}
		if KindOf(err) == KindNoSlot {
			return forwarder.Answer{}, err
		}
		last = err
		exclude = append(exclude, server)
		if ctx.Err() != nil {
			break
		}
	}
	return forwarder.Answer{}, fault.New(op, KindFailed, last)
}

// send offers the call to one server.
func (d *Dispatcher) send(ctx context.Context, call *Call, rec *recorder.Recorder, exclude []ident.Server) (forwarder.Answer, ident.Server, error) {
	slot, err := d.acquire(ctx, call, exclude)
	if err != nil {
		return forwarder.Answer{}, "", fault.New("run call", KindNoSlot, err)
	}
	if d.OnDispatch != nil {
		d.OnDispatch(call, slot)
	}
	started := d.Clock.Now()
	rec.Begin()
	answer, err := d.Forwarder.Forward(ctx, forwarder.Call{
		Address: slot.Address, Request: call.Request, Key: call.Key, Method: call.Method,
		Path: call.Path, Header: call.Header, Body: call.Body, AtMostOnce: call.Once(),
	})
	rec.End(fateOf(err))
	slot.Release(resultOf(ctx, err), d.Clock.Now()-started)
	return answer, slot.Server, err
}

func (d *Dispatcher) acquire(ctx context.Context, call *Call, exclude []ident.Server) (*registrar.Slot, error) {
	check := func(v *keeper.View) error {
		w := v.WorkspaceByDigest(call.Digest)
		if w == nil || !w.UsesService(call.Service.Name) {
			return fault.Newf("check service", KindDenied, "service %q is not allowed", call.Service.Name)
		}
		return nil
	}
	want := registrar.Want{Service: call.Service.Name, Exclude: exclude, MayRunFunc: check}
	return d.Admitter.Admit(ctx, admitter.Request{
		Queue:    admitter.QueueName("service." + string(call.Service.Name)),
		Priority: call.Priority,
		Deadline: call.Deadline,
		TryFunc:  func() (*registrar.Slot, error) { return d.Registrar.Acquire(want) },
	})
}

func fateOf(err error) recorder.Result {
	switch forwarder.KindOf(err) {
	case forwarder.KindNotSent:
		return recorder.ResultNotSent
	case forwarder.KindRefused:
		return recorder.ResultRefused
	case "":
		if err == nil {
			return recorder.ResultRan
		}
	}
	return recorder.ResultLost
}

func resultOf(ctx context.Context, err error) registrar.Result {
	if err == nil {
		return registrar.ResultOK
	}
	switch forwarder.KindOf(err) {
	case forwarder.KindNotSent:
		return registrar.ResultUnreachable
	case forwarder.KindRefused:
		return registrar.ResultRefused
	}
	if ctx.Err() != nil {
		return registrar.ResultAbandoned
	}
	return registrar.ResultFailed
}

// entry returns the claim's entry for a call.
func entry(call *Call, nonce ident.Nonce) claim.Entry {
	return claim.Entry{
		Key:     scopedKey(call.Workspace, call.Key),
		Nonce:   nonce,
		Request: call.Request,
		Service: string(call.Service.Name),
		Digest:  call.digest(),
	}
}
