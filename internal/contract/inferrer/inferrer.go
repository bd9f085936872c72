// Package inferrer is the client of the model engines.
//
// Every call streams, whatever form the caller asked for: offsets make a cut
// answer resumable, and gaps between frames show a dead connection early.
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
	// KindNotSent means that no byte of the call has left this process.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the engine declares that it has not run the request.
	KindRefused Kind = "refused"
	// KindRejected means that the engine found the request itself faulty.
	KindRejected Kind = "rejected"
	// KindFailed means that the engine failed while running the request.
	KindFailed Kind = "failed"
	// KindCut means that the connection ended before the answer did.
	KindCut Kind = "cut"
	// KindSilent means that the connection stayed open without a frame for too long.
	KindSilent Kind = "silent"
	// KindCrossed means that the engine answered with another request's answer.
	KindCrossed Kind = "crossed"
	// KindUnknownStream means that the engine holds no stream of the request.
	KindUnknownStream Kind = "unknown-stream"
	// KindStopped means that the caller of this package stopped the stream.
	KindStopped Kind = "stopped"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// Start is the offset before the first frame.
const Start int64 = -1

// Call asks an engine for an answer or for the rest of one.
type Call struct {
	Address ident.Address
	Request ident.Request
	// Body is sent when After is Start; otherwise the stream is resumed.
	Body *chat.Request
	// After is the offset of the last frame that was received.
	After int64
	// Fresh asks for a new connection.
	Fresh bool
	// Resume asks for the stream that the engine already holds, even from its start.
	Resume bool
	// HeaderGap bounds the wait for the engine's acceptance.
	HeaderGap clock.Millis
	// FirstGap bounds the wait for the first frame.
	FirstGap clock.Millis
	// Gap bounds the wait between frames.
	Gap clock.Millis
}

// Frame is one event of a streamed answer.
type Frame struct {
	Offset int64
	// Data is the JSON of the frame, or chat.StreamEnd.
	Data string
	// Answer is Data decoded; it is empty in the last frame.
	Answer chat.Answer
	// Last marks the end of a whole answer.
	Last bool
}

// Inferrer calls engines. Its functions are seams for tests; New fills them in.
type Inferrer struct {
	// StreamFunc runs a call and hands each new frame to emit in order,
	// without gaps or repetitions. It returns nil after the last frame.
	StreamFunc func(ctx context.Context, call Call, emit func(Frame) error) error
	// CancelFunc tells an engine to stop working on a request.
	CancelFunc func(ctx context.Context, address ident.Address, request ident.Request) error
	// LoadFunc asks an engine for its load.
	LoadFunc func(ctx context.Context, address ident.Address) (chat.Load, error)
	// OnLoad, when set, receives load reports that come with answers.
	OnLoad func(address ident.Address, load chat.Load)
	// OnDropped, when set, is told of each frame that belonged to another request.
	OnDropped func(address ident.Address, request ident.Request)
}

// Stream runs a call and hands each frame to emit.
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
