package conductor

import (
	"context"
	"strconv"
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/inferrer"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/request/pacer"
)

// bufferedAnswer collects the frames of one answer.
type bufferedAnswer struct {
	version declaration.Ref
	usage   chat.Usage
	rating  declaration.Quality
	frames  []inferrer.Frame
	text    strings.Builder
	bytes   int
}

func (h *bufferedAnswer) put(_ context.Context, f inferrer.Frame) error {
	h.bytes += len(f.Data)
	if h.bytes > maxAnswerBytes {
		return fault.Newf("hold answer", KindTooLarge, "the answer exceeds %d bytes", maxAnswerBytes)
	}
	h.frames = append(h.frames, f)
	h.text.WriteString(f.Answer.Text())
	return nil
}

func (h *bufferedAnswer) reset() bool {
	*h = bufferedAnswer{version: h.version}
	return true
}

// streamSender forwards frames to the caller, all but the last one: it is sent after
// the request has been billed.
type streamSender struct {
	pacer   *pacer.StreamBuffer
	version declaration.Ref
	started func(declaration.Ref)
	begun   bool
	sample  bool
	text    strings.Builder
	last    []inferrer.Frame
}

func (s *streamSender) put(ctx context.Context, f inferrer.Frame) error {
	if !s.begun {
		s.begun = true
		s.started(s.version)
	}
	if f.Last {
		s.last = []inferrer.Frame{f}
		return nil
	}
	if err := s.pacer.Put(ctx, EncodeFrame(f)); err != nil {
		return err
	}
	if s.sample && s.text.Len() < maxAnswerBytes {
		s.text.WriteString(f.Answer.Text())
	}
	return nil
}

func (s *streamSender) reset() bool {
	s.begun = false
	s.text.Reset()
	return s.pacer.DiscardUnread()
}

// EncodeFrame returns a frame as a server-sent event.
func EncodeFrame(f inferrer.Frame) []byte {
	b := make([]byte, 0, len(f.Data)+32)
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, f.Offset, 10)
	b = append(b, "\ndata: "...)
	b = append(b, f.Data...)
	return append(b, "\n\n"...)
}
