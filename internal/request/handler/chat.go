package handler

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/request/recorder"
	"example.com/dotterelwell/internal/version/signer"
	"example.com/dotterelwell/internal/zone/keeper"
)

// writeTimeout bounds one write to a caller who takes nothing at all.
const writeTimeout = 10 * clock.Minute

// readBody reads the whole body within its bound.
func (v *visit) readBody() ([]byte, *problem.Document) {
	limit := orDefault(v.BodyBytes, DefaultBodyBytes)
	body, err := io.ReadAll(http.MaxBytesReader(v.w, v.r.Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.TypeBodyTooLarge, http.StatusRequestEntityTooLarge, problem.OutcomeNotRun, "the body exceeds %d bytes", limit)
	}
	return nil, problem.New(problem.TypeBadBody, http.StatusBadRequest, problem.OutcomeNotRun, "the body could not be read: %v", err)
}

// chat serves a chat completion.
func (v *visit) chat() *problem.Document {
	raw, refusal := v.readBody()
	if refusal != nil {
		return refusal
	}
	body := &chat.Request{}
	if err := json.Unmarshal(raw, body); err != nil {
		return problem.New(problem.TypeBadBody, http.StatusBadRequest, problem.OutcomeNotRun, "the body is not a chat request: %v", err)
	}
	route := v.workspace.Route(declaration.RouteName(body.Model))
	if route == nil {
		return problem.New(problem.TypeUnknownRoute, http.StatusNotFound, problem.OutcomeNotRun, "workspace %q has no route %q", v.workspace.Name, body.Model)
	}
	v.begun(body.Model)
	ask, refusal := v.newAsk(route, body)
	if refusal != nil {
		return refusal
	}
	ctx, cancel := v.answerContext(ask.Deadline)
	defer cancel()
	if body.Stream && route.Answer != declaration.AnswerRated {
		return v.stream(ctx, ask, raw)
	}
	return v.collect(ctx, ask, raw)
}

// answerContext ends at the deadline that the caller has set. Without one the answer
// must only begin in time: it may be long and its caller slow, and silence of the
// engine is noticed by its gaps.
func (v *visit) answerContext(deadline clock.Millis) (context.Context, context.CancelFunc) {
	if v.headers.timeout == 0 {
		return context.WithCancel(v.r.Context())
	}
	return context.WithTimeout(v.r.Context(), (deadline - v.Clock.Now()).Duration())
}

func (v *visit) newAsk(route *keeper.Route, body *chat.Request) (*conductor.ChatRequest, *problem.Document) {
	priority := v.headers.priority(route.Priority)
	ask := &conductor.ChatRequest{
		Digest: v.digest, Workspace: v.workspace, Route: route, Request: v.headers.request,
		Body: body, Priority: priority, Deadline: v.deadline(priority),
	}
	if v.headers.session == "" {
		return ask, nil
	}
	view := v.ViewFunc()
	session, err := v.Signer.Verify(view.SessionKeys, v.headers.session, v.workspace.Name, route.Name)
	if err != nil {
		return nil, problem.New(problem.TypeBadSession, http.StatusBadRequest, problem.OutcomeNotRun, "%v", err)
	}
	ask.Pinned = session.Version
	return ask, nil
}

// collect answers whole, as JSON or as a stream of frames that are all there.
func (v *visit) collect(ctx context.Context, ask *conductor.ChatRequest, raw []byte) *problem.Document {
	rec := &recorder.Recorder{}
	answer, err := v.Conductor.Collect(ctx, ask, rec)
	if err != nil {
		return v.refusal(ask, rec, err)
	}
	v.chargeAnswer(ask, answer, raw)
	v.answerHeaders(ask, answer.Version)
	v.w.Header().Set(chat.HeaderAttempts, strconv.Itoa(answer.Attempts))
	v.w.Header().Set(chat.HeaderCost, strconv.FormatInt(int64(answer.Cost), 10))
	v.finished.Outcome, v.finished.Status = problem.OutcomeRan, http.StatusOK
	if ask.Body.Stream {
		v.replay(answer)
		return nil
	}
	v.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(v.w).Encode(v.whole(answer)) // the caller has left when this fails
	return nil
}

func (v *visit) replay(answer conductor.Answer) {
	v.w.Header().Set("Content-Type", chat.ContentTypeStream)
	for _, f := range answer.Frames {
		if _, err := v.w.Write(conductor.EncodeFrame(f)); err != nil {
			return
		}
	}
}

// whole forms a JSON answer of the collected frames.
func (v *visit) whole(answer conductor.Answer) chat.Answer {
	var text strings.Builder
	for _, f := range answer.Frames {
		text.WriteString(f.Answer.Text())
	}
	usage := answer.Usage
	return chat.Answer{
		ID: string(v.headers.request), Object: "chat.completion", Model: answer.Version.String(),
		Choices: []chat.Choice{{Message: &chat.Message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   &usage,
	}
}

func (v *visit) chargeAnswer(ask *conductor.ChatRequest, answer conductor.Answer, raw []byte) {
	v.finished.Version = answer.Version
	v.charge(bill.Record{
		ID: v.billID(raw), Route: ask.Route.Name, Version: answer.Version.String(),
		Prompt: answer.Usage.PromptTokens, Answer: answer.Usage.CompletionTokens,
		Attempts: answer.Attempts, Cost: answer.Cost,
	})
}

// answerHeaders names the version and hands out a session token for it.
func (v *visit) answerHeaders(ask *conductor.ChatRequest, version declaration.Ref) {
	h := v.w.Header()
	h.Set(chat.HeaderVersion, version.String())
	session := signer.Session{Workspace: v.workspace.Name, Route: ask.Route.Name, Version: version}
	if token, err := v.Signer.Sign(v.ViewFunc().SessionKeys, session); err == nil {
		h.Set(chat.HeaderSession, token)
	}
}

// stream answers frame by frame. The last frame is sent once the bill is safe.
func (v *visit) stream(ctx context.Context, ask *conductor.ChatRequest, raw []byte) *problem.Document {
	rec := &recorder.Recorder{}
	p := &pacer.StreamBuffer{Clock: v.Clock, Window: v.StreamBufferBytes, StallTimeout: v.StallTimeout, Budget: v.Budget}
	var version atomic.Pointer[declaration.Ref]
	var answer conductor.Answer
	var runErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		answer, runErr = v.Conductor.Stream(ctx, ask, rec, p, func(ref declaration.Ref) { version.Store(&ref) })
		if runErr == nil {
			v.chargeAnswer(ask, answer, raw)
			runErr = p.Put(ctx, conductor.EncodeFrame(answer.Frames[0]))
		}
		p.Close(runErr)
	}()
	begun := v.pass(ask, p, &version)
	p.CancelRead(context.Canceled)
	<-ended
	if runErr == nil {
		v.finished.Outcome, v.finished.Status = problem.OutcomeRan, http.StatusOK
		v.w.Header().Set(chat.HeaderAttempts, strconv.Itoa(answer.Attempts))
		v.w.Header().Set(chat.HeaderCost, strconv.FormatInt(int64(answer.Cost), 10))
		return nil
	}
	refusal := v.refusal(ask, rec, runErr)
	if !begun {
		return refusal
	}
	v.endCut(refusal)
	return nil
}

// pass copies the stream to the caller and reports whether it sent anything. Only the
// stream's writer heeds the deadline: were the reader to stop by itself, an answer that
// has just been made whole would end without its last frame.
func (v *visit) pass(ask *conductor.ChatRequest, p *pacer.StreamBuffer, version *atomic.Pointer[declaration.Ref]) bool {
	out := http.NewResponseController(v.w)
	begun := false
	for {
		data, err := p.Take(v.r.Context())
		if err != nil || data == nil {
			return begun
		}
		if !begun {
			begun = true
			v.answerHeaders(ask, *version.Load())
			v.w.Header().Set("Content-Type", chat.ContentTypeStream)
			v.w.Header().Set("Trailer", chat.HeaderAttempts+", "+chat.HeaderCost)
		}
		_ = out.SetWriteDeadline(v.Clock.Now().Time().Add(writeTimeout.Duration())) // not every writer has deadlines
		if _, err := v.w.Write(data); err != nil {
			return begun
		}
		_ = out.Flush() // a failure shows at the next write
	}
}

// endCut ends a stream that had begun with an event that says so, and without the
// frame that ends a whole answer.
func (v *visit) endCut(refusal *problem.Document) {
	raw, _ := json.Marshal(refusal) // a document always encodes
	_, _ = v.w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
	v.finished.Refusal, v.finished.Outcome, v.finished.Status = refusal.Type, refusal.Outcome, http.StatusOK
}
