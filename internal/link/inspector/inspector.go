// Package inspector bounds the heads of HTTP/1.1 answers while they are read.
//
// A server in trouble may send header lines, one line or interim answers without end. An
// Inspector stands between a connection and the parser of heads and fails before that has
// taken in more than the bounds allow.
package inspector

import (
	"io"

	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors. Each names the bound that was exceeded.
type Kind string

// Kinds of errors.
const (
	// KindBytes means that the head, with the interim answers before it, is too long.
	KindBytes Kind = "head-bytes"
	// KindLines means that the head has too many lines.
	KindLines Kind = "head-lines"
	// KindInterims means that too many interim answers came before the final one.
	KindInterims Kind = "interim-answers"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxBytes bounds a head with the interim answers before it. It is eight times the
	// usual limit of a caller's header, and small beside the memory of an instance.
	maxBytes = 32 << 10
	// maxLines bounds the lines of these heads. Each costs many times its bytes in memory.
	maxLines = 256
	// maxInterims bounds the interim answers (status 1xx) before one final answer.
	maxInterims = 8
)

// Inspector reads from a source. Its zero value with a Source passes everything.
type Inspector struct {
	Source io.Reader

	left     int // bytes that the head may still take
	counting bool
	lines    int
	interims int

	inHead    bool
	length    int // of the line so far
	last      byte
	firstLine bool
	status    position
	interim   bool
}

// position is where in the status line the scan is.
type position int

const (
	inProtocol position = iota
	beforeStatus
	afterStatus
)

// BeginHead says that the next bytes are the head of an answer.
func (i *Inspector) BeginHead() {
	i.left, i.counting, i.lines, i.interims = maxBytes, true, 0, 0
	i.resetHead()
}

// EndHead says that the head has been parsed: what follows is its body.
func (i *Inspector) EndHead() { i.counting, i.inHead = false, false }

func (i *Inspector) resetHead() {
	i.inHead, i.firstLine, i.status, i.interim = true, true, inProtocol, false
	i.length, i.last = 0, 0
}

// Read reads from the source. While a head is expected it fails beyond the bounds.
func (i *Inspector) Read(p []byte) (int, error) {
	const op = "read head"
	if !i.counting {
		return i.Source.Read(p)
	}
	if i.left <= 0 {
		return 0, fault.Newf(op, KindBytes, "more than %d bytes", maxBytes)
	}
	n, err := i.Source.Read(p[:min(len(p), i.left)])
	i.left -= n
	for _, b := range p[:n] {
		if !i.inHead {
			break // the parser has read ahead into the body
		}
		if kind := i.scan(b); kind != "" {
			return 0, fault.Newf(op, kind, "more than %d lines or %d interim answers", maxLines, maxInterims)
		}
	}
	return n, err
}

// scan takes one byte of a head and returns the bound that it exceeds, if any.
func (i *Inspector) scan(b byte) Kind {
	if b != '\n' {
		i.scanStatus(b)
		i.length++
		i.last = b
		return ""
	}
	blank := i.length == 0 || i.length == 1 && i.last == '\r'
	i.length, i.last = 0, 0
	if !blank {
		i.firstLine = false
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

// scanStatus finds out whether the head is that of an interim answer: its status begins
// with a one.
func (i *Inspector) scanStatus(b byte) {
	if !i.firstLine {
		return
	}
	switch {
	case i.status == inProtocol && b == ' ':
		i.status = beforeStatus
	case i.status == beforeStatus && b != ' ':
		i.status, i.interim = afterStatus, b == '1'
	}
}
