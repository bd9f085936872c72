package bufferer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/standin/property"
)

// TestRead checks that a body is read unchanged for any announced length and for short reads.
func TestRead(t *testing.T) {
	property.Check(t, 100, func(t *rapid.T) {
		body := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 20_000).Draw(t, "sixteenths"))
		body = body[:max(len(body)-rapid.IntRange(0, 15).Draw(t, "cut"), 0)]
		size := rapid.SampledFrom([]int64{-1, 0, int64(len(body)), int64(len(body)) + 1, 1 << 40}).Draw(t, "announced")
		source := io.Reader(bytes.NewReader(body))
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		var b bufferer.Bufferer
		got, release, err := b.Read(source, size, int64(len(body)))
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("%d of %d bytes, error %v", len(got), len(body), err)
		}
		release()
	})
}

// TestBounds checks that a body that is too long or exceeds the shared limit is refused, that
// small bodies are read even then, and large ones again after a release.
func TestBounds(t *testing.T) {
	b := &bufferer.Bufferer{Limit: 1 << 20}
	read := func(size int) (func(), error) {
		_, release, err := b.Read(strings.NewReader(strings.Repeat("x", size)), int64(size), 2<<20)
		return release, err
	}
	release, err := read(600 << 10)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := read(600 << 10); bufferer.KindOf(err) != bufferer.KindFull {
		t.Errorf("a second large body: error %v, want kind %q", err, bufferer.KindFull)
	}
	for range 100 {
		if _, err := read(60 << 10); err != nil {
			t.Fatalf("a small body: %v", err)
		}
	}
	release()
	for range 20 { // a failed read must release its memory as well
		if _, err := read(3 << 20); bufferer.KindOf(err) != bufferer.KindTooLong && bufferer.KindOf(err) != bufferer.KindFull {
			t.Fatalf("a body that is too long: error %v", err)
		}
	}
	if _, err := read(600 << 10); err != nil {
		t.Errorf("a large body after others have ended: %v", err)
	}
	broken := errors.New("broken")
	if _, _, err := b.Read(iotest.ErrReader(broken), 5, 10); !errors.Is(err, broken) {
		t.Errorf("error %v, want that of the source", err)
	}
}
