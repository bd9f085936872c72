package gatekeeper

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/machine/clock"
)

// TestScannerEndsHeads checks where a head ends and what it costs, however its bytes are split: a head taken for
// longer than it is would count a body toward the limit of heads, and one taken for shorter would escape it.
func TestScannerEndsHeads(t *testing.T) {
	for name, c := range map[string]struct {
		sent, rest   string
		lines, bytes int
		ended        bool
	}{
		"with a body":         {"POST / HTTP/1.1\r\na: b\r\n\r\nbody\r\n\r\n", "body\r\n\r\n", 2, 25, true},
		"bare line feeds":     {"GET / HTTP/1.1\na: b\n\nrest", "rest", 2, 21, true},
		"empty lines first":   {"\r\n\n\r\nGET / HTTP/1.1\r\n\r\n", "", 1, 23, true},
		"empty lines alone":   {"\r\n\r\n\r\n", "", 0, 6, false},
		"unfinished":          {"GET / HTTP/1.1\r\na: b", "", 1, 20, false},
		"folded and carriage": {"GET / HTTP/1.1\r\na: b\r\n \r\n\rx\r\n\r\n", "", 4, 31, true},
	} {
		for split := 0; split <= len(c.sent); split++ {
			var s scanner
			rest := string(s.read([]byte(c.sent[:split])))
			if s.ended {
				rest += c.sent[split:]
			} else {
				rest += string(s.read([]byte(c.sent[split:])))
			}
			if rest != c.rest || s.lines != c.lines || s.bytes != c.bytes || s.ended != c.ended {
				t.Errorf("%s, split at %d: rest %q, %d lines, %d bytes, ended %v; want %q, %d, %d, %v", name, split, rest, s.lines, s.bytes, s.ended, c.rest, c.lines, c.bytes, c.ended)
			}
		}
	}
}

// TestScannerGoesOn checks that a head which net/http reads on after an empty line is still measured: an empty line
// after a request that was sent ahead may come before a request or after its head.
func TestScannerGoesOn(t *testing.T) {
	s := scanner{lines: 1, text: true}
	s.read([]byte("\r\n"))
	s.read([]byte(strings.Repeat("a:\r\n", 1000) + "\r\n"))
	if s.lines != 1001 || s.bytes != 4004 {
		t.Errorf("%d lines and %d bytes are counted, want 1001 and 4004", s.lines, s.bytes)
	}
}

// TestTailCoversWhatIsReadAhead checks that at least the lines of the last bytes before a head are counted.
func TestTailCoversWhatIsReadAhead(t *testing.T) {
	for _, sizes := range [][]int{{4096}, {100, 4000, 100}, {1, 1, 1}, {9000}, {4000, 50, 100}, {2048, 2048, 2048}} {
		var counted tail
		total := 0
		for _, size := range sizes {
			counted.add([]byte(strings.Repeat("\n", size)))
			total += size
		}
		if want := min(total, pipelinedBytes); counted.lines() < want {
			t.Errorf("after reads of %v, %d lines are counted, want at least %d", sizes, counted.lines(), want)
		}
	}
}

// client is one end of a guarded connection, in the hands of the test.
type client struct {
	net.Conn
	guarded *Conn
}

func connect(t *testing.T, g *Gatekeeper) client {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return client{near, g.admit(far)}
}

// send lets the server read what the client sends, and returns the error of the last read.
func (c client) send(text string) error {
	go func() { _, _ = io.WriteString(c, text) }() // fails if the connection is closed meanwhile
	buffer := make([]byte, len(text))
	for n := 0; n < len(text); {
		m, err := c.guarded.Read(buffer)
		if err != nil {
			return err
		}
		n += m
	}
	return nil
}

func (c client) isClosed() bool { return c.guarded.closed.Load() }

const start = "GET / HTTP/1.1\r\n"

// TestConnectionsBeyondBound checks which connection makes room: idle ones before unfinished heads, the oldest first, and
// none with a request under way.
func TestConnectionsBeyondBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gatekeeper{Connections: 3}
		active, unfinished, idle := connect(t, g), connect(t, g), connect(t, g)
		g.Track(active.guarded, http.StateActive)
		time.Sleep(time.Millisecond)
		if err := unfinished.send(start); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		g.Track(idle.guarded, http.StateActive)
		g.Track(idle.guarded, http.StateIdle)
		time.Sleep(time.Millisecond)
		for n, want := range [][3]bool{{false, false, true}, {false, true, true}} {
			c := connect(t, g)
			if c.guarded == nil || g.Open() != 3 {
				t.Fatalf("connection %d is refused, or %d are open, want 3", n, g.Open())
			}
			if got := [3]bool{active.isClosed(), unfinished.isClosed(), idle.isClosed()}; got != want {
				t.Errorf("after connection %d, closed are active, unfinished, idle: %v, want %v", n, got, want)
			}
			time.Sleep(time.Millisecond)
			g.Track(c.guarded, http.StateActive)
		}
		if c := connect(t, g); c.guarded != nil {
			t.Error("a connection is taken although all others have requests under way")
		}
	})
}

// TestHeadsOverLimitAreRefused checks that a head over the limit in force gets its answer, and that one below passes.
func TestHeadsOverLimitAreRefused(t *testing.T) {
	g := &Gatekeeper{HeadBytesFunc: func() int { return 4096 }, RefusalFunc: func(b Bound) []byte { return []byte(b) }}
	if err := connect(t, g).send(start + "a: " + strings.Repeat("x", 4000) + "\r\n\r\n" + strings.Repeat("body", 4000)); err != nil {
		t.Errorf("a head below the limit is refused: %v", err)
	}
	for _, endless := range []string{"a: " + strings.Repeat("x", 8000), strings.Repeat("a:\r\n", 2000), strings.Repeat("\r\n", 4000)} {
		c := connect(t, g)
		go func() { _, _ = io.WriteString(c, endless) }() // fails when the connection is closed
		answered := make(chan string)
		go func() {
			answer := make([]byte, 100)
			n, _ := c.Conn.Read(answer) // nothing is read when it fails
			answered <- string(answer[:n])
		}()
		var err error
		for buffer := make([]byte, 512); err == nil; {
			_, err = c.guarded.Read(buffer)
		}
		if got := <-answered; got != string(BoundHeadBytes) {
			t.Errorf("a head over the limit gets %q, want %q", got, BoundHeadBytes)
		}
	}
}

// TestHeadMemory checks that many costly heads are bounded together, that the most costly unfinished one
// goes first, that ordinary requests pass meanwhile, and that all is given back.
func TestHeadMemory(t *testing.T) {
	g := &Gatekeeper{HeadMemory: 1 << 20, HeadBytesFunc: func() int { return 6000 }}
	costly := start + strings.Repeat("a:\r\n", 1000)
	under, unfinished := connect(t, g), connect(t, g)
	if err := under.send(costly + "\r\n"); err != nil {
		t.Fatal(err)
	}
	g.Track(under.guarded, http.StateActive)
	if err := unfinished.send(costly + strings.Repeat("b:\r\n", 300)); err != nil {
		t.Fatal(err)
	}
	second := connect(t, g)
	if err := second.send(costly + "\r\n"); err != nil || !unfinished.isClosed() {
		t.Errorf("a head that costs less than an unfinished one is refused: %v", err)
	}
	g.Track(second.guarded, http.StateActive)
	if err := connect(t, g).send(costly + "\r\n"); err == nil {
		t.Error("a costly head is taken although requests under way use up the memory")
	}
	ordinary := connect(t, g)
	if err := ordinary.send(start + strings.Repeat("a: b\r\n", 20) + "\r\n"); err != nil {
		t.Errorf("an ordinary request is refused: %v", err)
	}
	for _, c := range []client{under, second} {
		g.Track(c.guarded, http.StateIdle)
	}
	if used := g.HeadMemoryUsed(); used > 500<<10 {
		t.Errorf("%d bytes are still counted once the requests have ended", used)
	}
}

// TestOneHeadAlwaysFits checks that the most costly head inside the limit is taken in calm, however little memory there is.
func TestOneHeadAlwaysFits(t *testing.T) {
	const limit = 16 << 10
	g := &Gatekeeper{HeadMemory: 1, HeadBytesFunc: func() int { return limit }}
	if err := connect(t, g).send("GET / HTTP/1.1\n" + strings.Repeat("a:\n", (limit-16)/3) + "\n"); err != nil {
		t.Errorf("the only head is refused: %v", err)
	}
}

// TestRequestsSentAhead checks that a head that was read together with the body before it counts as well: net/http
// has it in its buffer then, and reads nothing more.
func TestRequestsSentAhead(t *testing.T) {
	g := &Gatekeeper{HeadMemory: 1 << 20}
	c := connect(t, g)
	if err := c.send(start + "\r\n"); err != nil {
		t.Fatal(err)
	}
	g.Track(c.guarded, http.StateActive)
	if err := c.send(strings.Repeat("a:\r\n", 1000) + "\r\n"); err != nil {
		t.Fatal(err)
	}
	g.Track(c.guarded, http.StateIdle)
	g.Track(c.guarded, http.StateActive)
	if used := g.HeadMemoryUsed(); used < 1000*lineBytes-allowanceBytes {
		t.Errorf("a head that was sent ahead counts %d bytes, want at least %d", used, 1000*lineBytes-allowanceBytes)
	}
	_ = c.guarded.Close() // the other end is the test's
	if used := g.HeadMemoryUsed(); used != 0 {
		t.Errorf("%d bytes are still counted after the connection was closed", used)
	}
}

// TestUnfinishedHeadsTimeOut checks that a head that has begun ends by the time-out in force, whatever net/http allows.
func TestUnfinishedHeadsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gatekeeper{HeadTimeoutFunc: func() clock.Millis { return 3000 }}
		c := connect(t, g)
		began := time.Now()
		if err := c.send(start); err != nil {
			t.Fatal(err)
		}
		if err := c.guarded.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		_, err := c.guarded.Read(make([]byte, 1))
		if took := time.Since(began); err == nil || took != 6*time.Second {
			t.Errorf("an unfinished head ends after %v with error %v, want 6 s", took, err)
		}
	})
}

// BenchmarkRead shows what an ordinary request costs: no allocation.
func BenchmarkRead(b *testing.B) {
	g := &Gatekeeper{HeadMemory: 1 << 20, HeadTimeoutFunc: func() clock.Millis { return 3000 }}
	c := &Conn{Conn: repeating(start + strings.Repeat("X-Header-Name: value\r\n", 10) + "\r\n"), gatekeeper: g}
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Read(buffer) // never fails
		c.setState(http.StateActive)
		c.setState(http.StateIdle)
	}
}

// repeating is a connection from which each read takes the same bytes.
type repeating string

func (r repeating) Read(p []byte) (int, error)       { return copy(p, r), nil }
func (r repeating) Write(p []byte) (int, error)      { return len(p), nil }
func (r repeating) Close() error                     { return nil }
func (r repeating) LocalAddr() net.Addr              { return nil }
func (r repeating) RemoteAddr() net.Addr             { return nil }
func (r repeating) SetDeadline(time.Time) error      { return nil }
func (r repeating) SetReadDeadline(time.Time) error  { return nil }
func (r repeating) SetWriteDeadline(time.Time) error { return nil }
