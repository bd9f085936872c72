package inferrer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Limits of what is read from an engine.
const (
	maxFrameBytes  = 256 << 10
	maxLoadBytes   = 4096
	maxDetailBytes = 1024
)

// controlTimeout bounds the calls of Cancel and Load.
const controlTimeout = 1 * clock.Second

type httpEngine struct {
	dial  *dialer.Dialer
	hooks *Inferrer
}

// New returns an Inferrer that speaks the chat format over HTTP.
func New(d *dialer.Dialer) *Inferrer {
	inferrer := &Inferrer{}
	h := &httpEngine{dial: d, hooks: inferrer}
	inferrer.StreamFunc = h.stream
	inferrer.CancelFunc = h.cancel
	inferrer.LoadFunc = h.load
	return inferrer
}

func streamURL(address ident.Address, request ident.Request) string {
	return fmt.Sprintf("http://%s/v1/streams/%s", address, url.PathEscape(string(request)))
}

func (h *httpEngine) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	if call.Resume {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(call.Address, call.Request), nil)
		if err != nil {
			return nil, err
		}
		if call.After != StartOffset {
			req.Header.Set(chat.HeaderLastEventID, strconv.FormatInt(call.After, 10))
		}
		return req, nil
	}
	body, err := json.Marshal(call.Body)
	if err != nil {
		return nil, err
	}
	target := fmt.Sprintf("http://%s/v1/chat/completions", call.Address)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// stream bounds each wait for data by a timer that cancels the call, so that an open
// connection on which no bytes arrive ends with KindIdleTimeout.
func (h *httpEngine) stream(ctx context.Context, call Call, emit func(Frame) error) error {
	const op = "stream answer"
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(call.HeaderTimeout.Duration(), cancel)
	defer idleTimer.Stop()
	var evidence dialer.SendTrace
	req, err := h.newRequest(evidence.WithTrace(callCtx), call)
	if err != nil {
		return fault.New(op, KindNotSent, err)
	}
	req.Header.Set(chat.HeaderRequestID, string(call.Request))
	client := h.dial.Pooled
	if call.NewConnection {
		client = h.dial.Fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return h.classifyError(ctx, callCtx, op, err, evidence.MaybeSent())
	}
	defer resp.Body.Close()
	h.reportLoad(call.Address, resp)
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	if got := resp.Header.Get(chat.HeaderRequestID); got != string(call.Request) {
		return fault.Newf(op, KindMismatched, "engine %s answered for request %q", call.Address, got)
	}
	idleTimer.Reset(call.FirstFrameTimeout.Duration())
	return h.readFrames(ctx, callCtx, call, resp.Body, idleTimer, emit)
}

// classifyError returns the error of a call that failed before its response headers
// or within the body. ctx is the context of the caller, callCtx that of the call,
// which the idle timer cancels.
func (h *httpEngine) classifyError(ctx, callCtx context.Context, op string, err error, sent bool) error {
	switch {
	case ctx.Err() != nil && !sent:
		return fault.New(op, KindNotSent, ctx.Err())
	case ctx.Err() != nil:
		return fault.New(op, KindCanceled, ctx.Err())
	case !sent:
		return fault.New(op, KindNotSent, err)
	case callCtx.Err() != nil:
		h.dial.Pooled.CloseIdleConnections()
		return fault.New(op, KindIdleTimeout, err)
	default:
		return fault.New(op, KindTruncated, err)
	}
}

func statusError(op string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes)) // an unreadable detail is left out; the kind depends on the status and headers
	kind := KindFailed
	switch {
	case resp.StatusCode == http.StatusNotFound && resp.Request.Method == http.MethodGet:
		kind = KindUnknownStream
	case resp.Header.Get(chat.HeaderNotRun) == "true":
		kind = KindRefused
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		kind = KindRejected
	}
	return fault.Newf(op, kind, "status %d: %s", resp.StatusCode, detail)
}

func (h *httpEngine) readFrames(ctx, callCtx context.Context, call Call, body io.Reader, idleTimer *time.Timer, emit func(Frame) error) error {
	const op = "stream answer"
	next := call.After + 1
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxFrameBytes}) {
		idleTimer.Stop()
		if err != nil {
			return h.classifyError(ctx, callCtx, op, err, true)
		}
		frame, err := decodeFrame(event)
		if err != nil {
			return fault.New(op, KindTruncated, err)
		}
		if !frame.Last && frame.Answer.ID != string(call.Request) {
			h.reportMismatch(call)
			idleTimer.Reset(call.FrameTimeout.Duration())
			continue
		}
		if frame.Offset > next {
			return fault.Newf(op, KindTruncated, "frame %d follows frame %d", frame.Offset, next-1)
		}
		if frame.Offset == next {
			next++
			if err := emit(frame); err != nil {
				return fault.New(op, KindCanceled, err)
			}
			if frame.Last {
				return nil
			}
		}
		idleTimer.Reset(call.FrameTimeout.Duration())
	}
	return h.classifyError(ctx, callCtx, op, io.ErrUnexpectedEOF, true)
}

func (h *httpEngine) reportMismatch(call Call) {
	if h.hooks.OnMismatchedFrame != nil {
		h.hooks.OnMismatchedFrame(call.Address, call.Request)
	}
}

func decodeFrame(event sse.Event) (Frame, error) {
	offset, err := strconv.ParseInt(event.LastEventID, 10, 64)
	if err != nil || offset < 0 {
		return Frame{}, errors.Newf("frame id %q is not an offset", event.LastEventID)
	}
	frame := Frame{Offset: offset, Data: event.Data}
	if event.Data == chat.StreamEnd {
		frame.Last = true
		return frame, nil
	}
	if err := json.Unmarshal([]byte(event.Data), &frame.Answer); err != nil {
		return Frame{}, errors.Wrapf(err, "frame %d", offset)
	}
	return frame, nil
}

// reportLoad calls OnLoad with the load that an engine reports in a response header.
func (h *httpEngine) reportLoad(address ident.Address, resp *http.Response) {
	raw := resp.Header.Get(chat.HeaderEngineLoad)
	if raw == "" || h.hooks.OnLoad == nil {
		return
	}
	var load chat.Load
	if json.Unmarshal([]byte(raw), &load) == nil {
		h.hooks.OnLoad(address, load)
	}
}

func (h *httpEngine) cancel(ctx context.Context, address ident.Address, request ident.Request) error {
	const op = "cancel stream"
	ctx, stop := context.WithTimeout(ctx, controlTimeout.Duration())
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(address, request), nil)
	if err != nil {
		return fault.New(op, KindNotSent, err)
	}
	resp, err := h.dial.Fresh.Do(req)
	if err != nil {
		return fault.New(op, KindTruncated, err)
	}
	return resp.Body.Close()
}

func (h *httpEngine) load(ctx context.Context, address ident.Address) (chat.Load, error) {
	const op = "read load"
	ctx, stop := context.WithTimeout(ctx, controlTimeout.Duration())
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/load", address), nil)
	if err != nil {
		return chat.Load{}, fault.New(op, KindNotSent, err)
	}
	resp, err := h.dial.Pooled.Do(req)
	if err != nil {
		return chat.Load{}, fault.New(op, KindTruncated, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return chat.Load{}, fault.Newf(op, KindFailed, "status %d", resp.StatusCode)
	}
	var load chat.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load); err != nil {
		return chat.Load{}, fault.New(op, KindFailed, err)
	}
	return load, nil
}
