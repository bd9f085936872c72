// Package bufferer reads request and answer bodies into memory. All requests of an instance
// share one memory limit.
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
	// KindTooLong means that a body exceeds its maximum length.
	KindTooLong Kind = "body-bytes"
	// KindFull means that the body would exceed the shared memory limit.
	KindFull Kind = "bodies-held"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// freeBytes is the part of each body that does not count toward the shared limit, so that
	// ordinary requests are still served while a few large ones exhaust it. The bodies of
	// typical prompts and answers are smaller.
	freeBytes = 64 << 10
	// firstBytes is the initial buffer size for a body of unknown length.
	firstBytes = 4 << 10
	// defaultLimit is the limit of a Bufferer whose Limit is not set, in bytes.
	defaultLimit = 32 << 20
)

// Bufferer reads bodies. Its zero value has a default limit.
type Bufferer struct {
	// Limit bounds the memory of all bodies in bytes, not counting the first freeBytes of
	// each; zero means defaultLimit.
	Limit int64

	held atomic.Int64
}

// Read reads a body of at most most bytes to its end. size is its announced length, or
// negative if unknown. Call the returned function once the content is no longer used; it
// returns the body's memory to the shared limit.
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

// firstSize returns the size of the first buffer. It doesn't trust a large announced length:
// announcing costs the sender nothing, so memory beyond freeBytes is allocated only as the
// body arrives.
func firstSize(size int64) int64 {
	if size < 0 {
		return firstBytes
	}
	return min(size, freeBytes-1) + 1 // the extra byte lets Read see EOF without growing the buffer
}

// nextSize returns the size of the buffer that replaces a full one: twice as large, but
// limited to one byte more than the announced length until that is exceeded.
func nextSize(held, announced int64) int64 {
	if held <= announced {
		return min(2*held, announced+1)
	}
	return 2 * held
}

// reserve counts bytes toward the limit and reports whether they fit. If they don't, nothing
// is counted.
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
