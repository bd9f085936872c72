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

// writeTimeout is the timeout of one write to a caller that reads nothing.
const writeTimeout = 10 * clock.Minute

// readBody reads the whole body, up to its maximum size.
func (v *exchange) readBody() ([]byte, *problem.Document) {
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

// chat serves a chat completion request.
func (v *exchange) chat() *problem.Document {
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
	v.reportStart(body.Model)
	ask, refusal := v.newChatRequest(route, body)
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

// answerContext returns the context of an answer. It ends at the deadline only if the
// caller has set a timeout. Otherwise the deadline applies only to the start of the
// answer: the answer may be long and its caller slow, and an engine that stops sending
// is detected by the gap between its events.
func (v *exchange) answerContext(deadline clock.Millis) (context.Context, context.CancelFunc) {
	if v.headers.timeout == 0 {
		return context.WithCancel(v.r.Context())
	}
	return context.WithTimeout(v.r.Context(), (deadline - v.Clock.Now()).Duration())
}

func (v *exchange) newChatRequest(route *keeper.Route, body *chat.Request) (*conductor.ChatRequest, *problem.Document) {
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

// collect sends the answer once it is complete: as JSON or, if the caller asked for a
// stream, as all its frames at once.
func (v *exchange) collect(ctx context.Context, ask *conductor.ChatRequest, raw []byte) *problem.Document {
	rec := &recorder.Recorder{}
	answer, err := v.Conductor.Collect(ctx, ask, rec)
	if err != nil {
		return v.refusal(ask, rec, err)
	}
	v.recordAnswerBill(ask, answer, raw)
	v.setAnswerHeaders(ask, answer.Version)
	v.w.Header().Set(chat.HeaderAttempts, strconv.Itoa(answer.Attempts))
	v.w.Header().Set(chat.HeaderCost, strconv.FormatInt(int64(answer.Cost), 10))
	v.summary.Outcome, v.summary.Status = problem.OutcomeRan, http.StatusOK
	if ask.Body.Stream {
		v.writeFrames(answer)
		return nil
	}
	v.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(v.w).Encode(v.completion(answer)) // a failure means that the caller has disconnected
	return nil
}

func (v *exchange) writeFrames(answer conductor.Answer) {
	v.w.Header().Set("Content-Type", chat.ContentTypeStream)
	for _, f := range answer.Frames {
		if _, err := v.w.Write(conductor.EncodeFrame(f)); err != nil {
			return
		}
	}
}

// completion builds a JSON answer from the collected frames.
func (v *exchange) completion(answer conductor.Answer) chat.Answer {
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

func (v *exchange) recordAnswerBill(ask *conductor.ChatRequest, answer conductor.Answer, raw []byte) {
	v.summary.Version = answer.Version
	v.recordBill(bill.Record{
		ID: v.billID(raw), Route: ask.Route.Name, Version: answer.Version.String(),
		Prompt: answer.Usage.PromptTokens, Answer: answer.Usage.CompletionTokens,
		Attempts: answer.Attempts, Cost: answer.Cost,
	})
}

// setAnswerHeaders sets the version header, and a session token that pins the session to
// that version.
func (v *exchange) setAnswerHeaders(ask *conductor.ChatRequest, version declaration.Ref) {
	h := v.w.Header()
	h.Set(chat.HeaderVersion, version.String())
	session := signer.Session{Workspace: v.workspace.Name, Route: ask.Route.Name, Version: version}
	if token, err := v.Signer.Sign(v.ViewFunc().SessionKeys, session); err == nil {
		h.Set(chat.HeaderSession, token)
	}
}

// stream sends the answer frame by frame. The last frame is sent after the bill has been
// recorded.
func (v *exchange) stream(ctx context.Context, ask *conductor.ChatRequest, raw []byte) *problem.Document {
	rec := &recorder.Recorder{}
	buffer := &pacer.StreamBuffer{Clock: v.Clock, Window: v.StreamBufferBytes, StallTimeout: v.StallTimeout, Budget: v.Budget}
	var version atomic.Pointer[declaration.Ref]
	var answer conductor.Answer
	var runErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		answer, runErr = v.Conductor.Stream(ctx, ask, rec, buffer, func(ref declaration.Ref) { version.Store(&ref) })
		if runErr == nil {
			v.recordAnswerBill(ask, answer, raw)
			runErr = buffer.Put(ctx, conductor.EncodeFrame(answer.Frames[0]))
		}
		buffer.Close(runErr)
	}()
	sent := v.forwardStream(ask, buffer, &version)
	buffer.CancelRead(context.Canceled)
	<-ended
	if runErr == nil {
		v.summary.Outcome, v.summary.Status = problem.OutcomeRan, http.StatusOK
		v.w.Header().Set(chat.HeaderAttempts, strconv.Itoa(answer.Attempts))
		v.w.Header().Set(chat.HeaderCost, strconv.FormatInt(int64(answer.Cost), 10))
		return nil
	}
	refusal := v.refusal(ask, rec, runErr)
	if !sent {
		return refusal
	}
	v.endWithError(refusal)
	return nil
}

// forwardStream copies the stream to the caller and reports whether it has sent anything.
// Only the goroutine that writes to the buffer observes the deadline: if this reader
// stopped at the deadline too, an answer completed just before would end without its last
// frame.
func (v *exchange) forwardStream(ask *conductor.ChatRequest, buffer *pacer.StreamBuffer, version *atomic.Pointer[declaration.Ref]) bool {
	out := http.NewResponseController(v.w)
	sent := false
	for {
		data, err := buffer.Take(v.r.Context())
		if err != nil || data == nil {
			return sent
		}
		if !sent {
			sent = true
			v.setAnswerHeaders(ask, *version.Load())
			v.w.Header().Set("Content-Type", chat.ContentTypeStream)
			v.w.Header().Set("Trailer", chat.HeaderAttempts+", "+chat.HeaderCost)
		}
		_ = out.SetWriteDeadline(v.Clock.Now().Time().Add(writeTimeout.Duration())) // not every ResponseWriter supports deadlines
		if _, err := v.w.Write(data); err != nil {
			return sent
		}
		_ = out.Flush() // after a failure the next write returns an error
	}
}

// endWithError sends an error event to the caller of a stream that has already started.
// The stream then ends without the frame that marks a complete answer.
func (v *exchange) endWithError(refusal *problem.Document) {
	raw, _ := json.Marshal(refusal) // marshaling a problem document never fails
	_, _ = v.w.Write([]byte("event: error\ndata: " + string(raw) + "\n\n"))
	v.summary.Refusal, v.summary.Outcome, v.summary.Status = refusal.Type, refusal.Outcome, http.StatusOK
}
