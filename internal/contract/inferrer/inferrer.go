// Package inferrer is the client of the model engines.
//
// Every call uses a stream, even if the caller asked for a complete answer: the
// offsets of the frames make a truncated answer resumable, and the time between
// frames reveals a dead connection early.
package inferrer

import (
	"context"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the call was sent.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the engine answered that it has not run the request.
	KindRefused Kind = "refused"
	// KindRejected means that the engine rejected the request as invalid.
	KindRejected Kind = "rejected"
	// KindFailed means that the engine failed while running the request.
	KindFailed Kind = "failed"
	// KindTruncated means that the answer is incomplete: the connection ended before the
	// last frame, a frame is missing, or a frame cannot be decoded. Cancel and Load
	// return it when no response arrives.
	KindTruncated Kind = "cut"
	// KindIdleTimeout means that the connection stayed open, but the response headers or
	// the next frame did not arrive in time.
	KindIdleTimeout Kind = "silent"
	// KindMismatched means that the answer belongs to another request.
	KindMismatched Kind = "crossed"
	// KindUnknownStream means that the engine has no stream of the request to resume.
	KindUnknownStream Kind = "unknown-stream"
	// KindCanceled means that the caller of this package canceled the stream.
	KindCanceled Kind = "stopped"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// StartOffset is the value of Call.After before the first frame, which has offset 0.
const StartOffset int64 = -1

// Call requests an answer, or the rest of one, from an engine.
type Call struct {
	Address ident.Address
	Request ident.Request
	// Body is the request that is sent unless Resume is set.
	Body *chat.Request
	// After is the offset of the last frame received, or StartOffset.
	After int64
	// NewConnection makes the call on a new connection instead of a pooled one.
	NewConnection bool
	// Resume requests the existing stream of the request at the engine, from the frame
	// following After, instead of sending Body.
	Resume bool
	// HeaderTimeout bounds the wait for the response headers.
	HeaderTimeout clock.Millis
	// FirstFrameTimeout bounds the wait for the first frame.
	FirstFrameTimeout clock.Millis
	// FrameTimeout bounds the wait between frames.
	FrameTimeout clock.Millis
}

// Frame is one event of a streamed answer.
type Frame struct {
	Offset int64
	// Data is the frame's JSON, or chat.StreamEnd.
	Data string
	// Answer is the decoded Data; it is empty in the last frame.
	Answer chat.Answer
	// Last marks the end of a complete answer.
	Last bool
}

// Inferrer calls engines. New sets its functions; tests may replace them.
type Inferrer struct {
	// StreamFunc makes a call and passes each new frame to emit, in order and without
	// gaps or repetitions. It returns nil after the last frame.
	StreamFunc func(ctx context.Context, call Call, emit func(Frame) error) error
	// CancelFunc tells an engine to stop working on a request.
	CancelFunc func(ctx context.Context, address ident.Address, request ident.Request) error
	// LoadFunc asks an engine for its load.
	LoadFunc func(ctx context.Context, address ident.Address) (chat.Load, error)
	// OnLoad, when set, is called with the load report in a response header.
	OnLoad func(address ident.Address, load chat.Load)
	// OnMismatchedFrame, when set, is called for each frame that belongs to another
	// request; the frame is discarded.
	OnMismatchedFrame func(address ident.Address, request ident.Request)
}

// Stream makes a call and passes each new frame to emit.
func (i *Inferrer) Stream(ctx context.Context, call Call, emit func(Frame) error) error {
	return i.StreamFunc(ctx, call, emit)
}

// Cancel tells an engine to stop working on a request.
func (i *Inferrer) Cancel(ctx context.Context, address ident.Address, request ident.Request) error {
	return i.CancelFunc(ctx, address, request)
}

// Load asks an engine for its load.
func (i *Inferrer) Load(ctx context.Context, address ident.Address) (chat.Load, error) {
	return i.LoadFunc(ctx, address)
}
