// Package bufferer reads bodies into memory within a bound that all requests of an
// instance share.
package bufferer

import (
	"io"
	"sync/atomic"

	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindTooLong means that one body is longer than it may be.
	KindTooLong Kind = "body-bytes"
	// KindFull means that the bodies of all requests together take too much memory.
	KindFull Kind = "bodies-held"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// freeBytes is the part of each body that does not count toward the limit, so that
	// ordinary requests go on while a few large ones exhaust it. Prompts and answers stay
	// below it.
	freeBytes = 64 << 10
	// firstBytes is the buffer that a body of unknown length begins with.
	firstBytes = 4 << 10
	// defaultLimit holds for a Bufferer without a limit, in bytes.
	defaultLimit = 32 << 20
)

// Bufferer reads bodies. Its zero value has a default limit.
type Bufferer struct {
	// Limit bounds the memory of all bodies beyond the free part of each, in bytes; zero
	// for a default.
	Limit int64

	held atomic.Int64
}

// Read reads a body of at most so many bytes to its end. size is its announced length, or
// negative. The returned function gives its memory back to the others; call it once the
// content is no longer used.
func (b *Bufferer) Read(source io.Reader, size, most int64) (content []byte, release func(), err error) {
	const op = "read body"
	counted := int64(0)
	release = func() { b.held.Add(-counted) }
	content = make([]byte, 0, firstSize(size))
	for {
		if len(content) == cap(content) {
			grown := nextSize(int64(cap(content)), size)
			if !b.reserve(grown - freeBytes) {
				release()
				return nil, nil, fault.Newf(op, KindFull, "%d bytes are held already", b.held.Load())
			}
			next := make([]byte, len(content), grown)
			copy(next, content)
			content = next
			b.held.Add(-counted)
			counted = max(grown-freeBytes, 0)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > most:
			release()
			return nil, nil, fault.Newf(op, KindTooLong, "more than %d bytes", most)
		case err == io.EOF:
			return content, release, nil
		case err != nil:
			release()
			return nil, nil, err
		}
	}
}

// firstSize returns the size of the first buffer. An announced length costs its sender
// nothing, so that a long one is not allocated beforehand.
func firstSize(size int64) int64 {
	if size < 0 {
		return firstBytes
	}
	return min(size, freeBytes-1) + 1 // one more shows the end without growing
}

// nextSize returns the size of the buffer after a full one: twice as much, but not beyond
// the announced length.
func nextSize(held, announced int64) int64 {
	if held <= announced {
		return min(2*held, announced+1)
	}
	return 2 * held
}

// reserve counts bytes, unless they exceed the limit.
func (b *Bufferer) reserve(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	limit := b.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	if b.held.Add(bytes) > limit {
		b.held.Add(-bytes)
		return false
	}
	return true
}
