// Package inspector limits the size of the heads of HTTP/1.1 answers while they are read.
//
// A faulty server may send endless header lines, an endless line or endless interim answers.
// An Inspector is a reader between a connection and the parser of heads, and returns an
// error before the parser has read more than the limits allow.
package inspector

import (
	"io"

	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors by the limit that was exceeded.
type Kind string

// Kinds of errors.
const (
	// KindBytes means that the head, with the interim answers before it, has more than
	// maxBytes bytes.
	KindBytes Kind = "head-bytes"
	// KindLines means that these heads have more than maxLines lines.
	KindLines Kind = "head-lines"
	// KindInterims means that more than maxInterims interim answers came before the final
	// one.
	KindInterims Kind = "interim-answers"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxBytes bounds the bytes of a head with the interim answers before it. It is eight
	// times the usual limit of a caller's header, and small compared with the memory of an
	// instance.
	maxBytes = 32 << 10
	// maxLines bounds the lines of these heads. A parsed line takes many times its bytes in
	// memory.
	maxLines = 256
	// maxInterims bounds the interim answers (status 1xx) before one final answer.
	maxInterims = 8
)

// Inspector reads from a source. Its zero value with a Source checks nothing until BeginHead
// is called.
type Inspector struct {
	Source io.Reader

	bytesLeft int // bytes that may still be read before the end of the head
	counting  bool
	lines     int
	interims  int

	inHead       bool
	lineLength   int // bytes of the current line so far
	lastByte     byte
	inStatusLine bool
	status       statusPosition
	interim      bool
}

// statusPosition is the part of the status line that the next byte belongs to.
type statusPosition int

const (
	inProtocol statusPosition = iota
	beforeStatus
	afterStatus
)

// BeginHead starts the checks: the next bytes are the head of an answer.
func (i *Inspector) BeginHead() {
	i.bytesLeft, i.counting, i.lines, i.interims = maxBytes, true, 0, 0
	i.resetHead()
}

// EndHead ends the checks: the head has been parsed, and its body follows.
func (i *Inspector) EndHead() { i.counting, i.inHead = false, false }

func (i *Inspector) resetHead() {
	i.inHead, i.inStatusLine, i.status, i.interim = true, true, inProtocol, false
	i.lineLength, i.lastByte = 0, 0
}

// Read reads from the source. Between BeginHead and EndHead it returns an error when a limit
// is exceeded.
func (i *Inspector) Read(p []byte) (int, error) {
	const op = "read head"
	if !i.counting {
		return i.Source.Read(p)
	}
	if i.bytesLeft <= 0 {
		return 0, fault.Newf(op, KindBytes, "more than %d bytes", maxBytes)
	}
	n, err := i.Source.Read(p[:min(len(p), i.bytesLeft)])
	i.bytesLeft -= n
	for _, b := range p[:n] {
		if !i.inHead {
			break // the parser has read ahead into the body
		}
		if kind := i.scanByte(b); kind != "" {
			return 0, fault.Newf(op, kind, "more than %d lines or %d interim answers", maxLines, maxInterims)
		}
	}
	return n, err
}

// scanByte processes one byte of a head and returns the limit that is exceeded, or "" if none
// is.
func (i *Inspector) scanByte(b byte) Kind {
	if b != '\n' {
		i.scanStatus(b)
		i.lineLength++
		i.lastByte = b
		return ""
	}
	blank := i.lineLength == 0 || i.lineLength == 1 && i.lastByte == '\r'
	i.lineLength, i.lastByte = 0, 0
	if !blank {
		i.inStatusLine = false
		if i.lines++; i.lines > maxLines {
			return KindLines
		}
		return ""
	}
	if !i.interim {
		i.inHead = false
		return ""
	}
	if i.interims++; i.interims > maxInterims {
		return KindInterims
	}
	i.resetHead()
	return ""
}

// scanStatus processes one byte and sets interim if the status code of the head begins with
// 1, which marks an interim answer.
func (i *Inspector) scanStatus(b byte) {
	if !i.inStatusLine {
		return
	}
	switch {
	case i.status == inProtocol && b == ' ':
		i.status = beforeStatus
	case i.status == beforeStatus && b != ' ':
		i.status, i.interim = afterStatus, b == '1'
	}
}
