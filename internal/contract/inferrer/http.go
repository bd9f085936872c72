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

// Bounds of what an engine may send.
const (
	maxFrameBytes  = 256 << 10
	maxLoadBytes   = 4096
	maxDetailBytes = 1024
)

// controlTimeout bounds a cancellation and a load question.
const controlTimeout = 1 * clock.Second

type httpEngine struct {
	dial *dialer.Dialer
	seam *Inferrer
}

// New returns an Inferrer that speaks the chat format over HTTP.
func New(d *dialer.Dialer) *Inferrer {
	seam := &Inferrer{}
	h := &httpEngine{dial: d, seam: seam}
	seam.StreamFunc = h.stream
	seam.CancelFunc = h.cancel
	seam.LoadFunc = h.load
	return seam
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
		if call.After != Start {
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

// stream bounds every wait by a timer that cancels the call, so that an open
// connection without bytes ends as KindSilent.
func (h *httpEngine) stream(ctx context.Context, call Call, emit func(Frame) error) error {
	const op = "stream answer"
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(call.HeaderGap.Duration(), cancel)
	defer silence.Stop()
	var evidence dialer.SendTrace
	req, err := h.newRequest(evidence.WithTrace(inner), call)
	if err != nil {
		return fault.New(op, KindNotSent, err)
	}
	req.Header.Set(chat.HeaderRequestID, string(call.Request))
	client := h.dial.Pooled
	if call.Fresh {
		client = h.dial.Fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return h.lost(ctx, inner, op, err, evidence.MaybeSent())
	}
	defer resp.Body.Close()
	h.report(call.Address, resp)
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	if got := resp.Header.Get(chat.HeaderRequestID); got != string(call.Request) {
		return fault.Newf(op, KindCrossed, "engine %s answered for request %q", call.Address, got)
	}
	silence.Reset(call.FirstGap.Duration())
	return h.readFrames(ctx, inner, call, resp.Body, silence, emit)
}

// lost classifies an error before the response headers or within the body.
func (h *httpEngine) lost(ctx, inner context.Context, op string, err error, sent bool) error {
	switch {
	case ctx.Err() != nil && !sent:
		return fault.New(op, KindNotSent, ctx.Err())
	case ctx.Err() != nil:
		return fault.New(op, KindStopped, ctx.Err())
	case !sent:
		return fault.New(op, KindNotSent, err)
	case inner.Err() != nil:
		h.dial.Pooled.CloseIdleConnections()
		return fault.New(op, KindSilent, err)
	default:
		return fault.New(op, KindCut, err)
	}
}

func statusError(op string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes)) // the status alone decides the kind
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

func (h *httpEngine) readFrames(ctx, inner context.Context, call Call, body io.Reader, silence *time.Timer, emit func(Frame) error) error {
	const op = "stream answer"
	next := call.After + 1
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxFrameBytes}) {
		silence.Stop()
		if err != nil {
			return h.lost(ctx, inner, op, err, true)
		}
		frame, err := decodeFrame(event)
		if err != nil {
			return fault.New(op, KindCut, err)
		}
		if !frame.Last && frame.Answer.ID != string(call.Request) {
			h.dropped(call)
			silence.Reset(call.Gap.Duration())
			continue
		}
		if frame.Offset > next {
			return fault.Newf(op, KindCut, "frame %d follows frame %d", frame.Offset, next-1)
		}
		if frame.Offset == next {
			next++
			if err := emit(frame); err != nil {
				return fault.New(op, KindStopped, err)
			}
			if frame.Last {
				return nil
			}
		}
		silence.Reset(call.Gap.Duration())
	}
	return h.lost(ctx, inner, op, io.ErrUnexpectedEOF, true)
}

func (h *httpEngine) dropped(call Call) {
	if h.seam.OnDropped != nil {
		h.seam.OnDropped(call.Address, call.Request)
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

// report passes on the load that an engine states in a response header.
func (h *httpEngine) report(address ident.Address, resp *http.Response) {
	raw := resp.Header.Get(chat.HeaderEngineLoad)
	if raw == "" || h.seam.OnLoad == nil {
		return
	}
	var load chat.Load
	if json.Unmarshal([]byte(raw), &load) == nil {
		h.seam.OnLoad(address, load)
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
		return fault.New(op, KindCut, err)
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
		return chat.Load{}, fault.New(op, KindCut, err)
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
