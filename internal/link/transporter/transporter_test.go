package transporter_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/standin/wire"
)

const address = "10.0.0.1:80"

// serve answers each request with the next of the given raw answers. Instead of an empty
// one it closes the connection; for "silent" it sends nothing until the caller closes.
func serve(t *testing.T, network *wire.Network, raw ...string) (accepted *atomic.Int64, stop func()) {
	l, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	accepted = new(atomic.Int64)
	answers := make(chan string, len(raw))
	for _, a := range raw {
		answers <- a
	}
	close(answers)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serveConn(c, answers)
		}
	}()
	return accepted, func() { _ = l.Close(); <-done }
}

func serveConn(c net.Conn, answers <-chan string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for len(answers) > 0 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // the test's requests have complete bodies
		next := <-answers
		switch next {
		case "":
			return
		case "silent":
			_, _ = reader.ReadByte() // until the caller closes
			return
		}
		_, _ = io.WriteString(c, next) // the caller may have closed the connection
	}
}

func request(body string) *http.Request {
	req := &http.Request{Method: http.MethodPost, Host: "h", Header: http.Header{}, URL: &url.URL{Scheme: "http", Host: address, Opaque: "/p%2Fq?x=1"}}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return req
}

func okResponse(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// send makes one call and returns the body of the answer.
func send(tr *transporter.Transporter, fresh bool, timeout clock.Millis) (string, error) {
	answer, err := tr.Send(context.Background(), transporter.Call{Address: address, Request: request("b"), Fresh: fresh, HeadTimeout: timeout})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func runInSynctest(t *testing.T, test func(t *testing.T, network *wire.Network, tr *transporter.Transporter)) {
	synctest.Test(t, func(t *testing.T) {
		var network wire.Network
		tr := &transporter.Transporter{Clock: &clock.Clock{}, DialFunc: network.Dialer("x")}
		test(t, &network, tr)
		tr.Close()
	})
}

// TestReuse checks that a connection is reused after a complete answer, and that a call with
// Fresh opens a new one.
func TestReuse(t *testing.T) {
	runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
		accepted, stop := serve(t, network, okResponse("a"), okResponse("b"), okResponse("c"))
		defer stop()
		for i, want := range []string{"a", "b", "c"} {
			if got, err := send(tr, i == 2, 0); got != want || err != nil {
				t.Errorf("got %q, error %v", got, err)
			}
		}
		if accepted.Load() != 2 {
			t.Errorf("%d connections, want 2", accepted.Load())
		}
		tr.Close()
	})
}

// TestMaxIdle guards against many instances that hold too many idle connections to few
// servers: concurrent calls must leave no more idle connections than Call.MaxIdle allows.
func TestMaxIdle(t *testing.T) {
	for _, tt := range []struct{ maxIdle, opened int }{{0, 4}, {2, 6}, {-1, 8}} {
		runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
			accepted, stop := serve(t, network, slices.Repeat([]string{okResponse("ok")}, 20)...)
			defer stop()
			for range 2 { // the second round reuses idle connections
				var answers []*transporter.Answer
				for range 4 {
					a, err := tr.Send(context.Background(), transporter.Call{Address: address, Request: request(""), MaxIdle: tt.maxIdle})
					if err != nil {
						t.Fatal(err)
					}
					answers = append(answers, a)
				}
				for _, a := range answers {
					_, _ = io.Copy(io.Discard, a) // the server sends complete answers
					a.Close()
				}
			}
			if n := int(accepted.Load()); n != tt.opened {
				t.Errorf("with %d idle connections at most: opened %d, want %d", tt.maxIdle, n, tt.opened)
			}
			tr.Close()
		})
	}
}

// TestUnusable checks that a connection isn't reused when the server closes it, sent
// unexpected bytes after the answer, or has a Keep-Alive timeout within the margin.
func TestUnusable(t *testing.T) {
	for name, first := range map[string]string{
		"close asked":      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na",
		"second answer":    okResponse("a") + okResponse("x"),
		"short keep-alive": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 1\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
				accepted, stop := serve(t, network, first, okResponse("b"))
				defer stop()
				for _, want := range []string{"a", "b"} {
					if got, err := send(tr, false, 0); got != want || err != nil {
						t.Errorf("got %q, error %v, want %q", got, err, want)
					}
				}
				if accepted.Load() != 2 {
					t.Errorf("%d connections, want 2", accepted.Load())
				}
				tr.Close()
			})
		})
	}
}

// TestEvidence checks which kind of error a request without an answer gets, which says
// whether it may have run.
func TestEvidence(t *testing.T) {
	for name, tt := range map[string]struct {
		answers []string
		want    transporter.Kind // of the last call
	}{
		"closed at once":          {[]string{""}, transporter.KindLost},
		"closed on reuse":         {[]string{okResponse("a"), ""}, transporter.KindStale},
		"silent":                  {[]string{"silent"}, transporter.KindSilent},
		"no answer in the format": {[]string{"rubbish\r\n\r\n"}, transporter.KindLost},
	} {
		t.Run(name, func(t *testing.T) {
			runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
				calls := len(tt.answers)
				_, stop := serve(t, network, tt.answers...)
				defer stop()
				var err error
				for range calls {
					_, err = send(tr, false, 500)
				}
				if transporter.KindOf(err) != tt.want {
					t.Errorf("error %v, want kind %s", err, tt.want)
				}
			})
		})
	}
	runInSynctest(t, func(t *testing.T, _ *wire.Network, tr *transporter.Transporter) {
		if _, err := send(tr, false, 0); transporter.KindOf(err) != transporter.KindNotSent {
			t.Errorf("refused connection: %v", err)
		}
	})
}

// TestPartialBody checks that a body cut short, by its length or in a chunked encoding,
// ends with io.ErrUnexpectedEOF.
func TestPartialBody(t *testing.T) {
	for name, raw := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
				_, stop := serve(t, network, raw)
				defer stop()
				if body, err := send(tr, false, 0); body != "short" || !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("got %q, error %v", body, err)
				}
			})
		})
	}
}

// TestCancel checks that Send returns as soon as its context ends. It closes the connection
// then, which lets the server stop its work.
func TestCancel(t *testing.T) {
	runInSynctest(t, func(t *testing.T, network *wire.Network, tr *transporter.Transporter) {
		_, stop := serve(t, network, "silent")
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := tr.Send(ctx, transporter.Call{Address: address, Request: request("b")})
		if transporter.KindOf(err) != transporter.KindLost || time.Since(start) > 150*time.Millisecond {
			t.Errorf("error %v after %v", err, time.Since(start))
		}
	})
}

// TestTarget checks that the request target is forwarded byte for byte.
func TestTarget(t *testing.T) {
	var b strings.Builder
	if err := request("").Write(&b); err != nil {
		t.Fatal(err)
	}
	if line, _, _ := strings.Cut(b.String(), "\r\n"); line != "POST /p%2Fq?x=1 HTTP/1.1" {
		t.Errorf("request line %q", line)
	}
}

// TestNothingIsSentAfterCancellation guards against a request reaching its server although the caller left while the connection was opened.
func TestNothingIsSentAfterCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	near, far := net.Pipe()
	defer far.Close()
	tr := &transporter.Transporter{DialFunc: func(context.Context, string, string) (net.Conn, error) {
		cancel()
		return near, nil
	}}
	req, err := http.NewRequest(http.MethodGet, "http://10.0.0.1/", nil)
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan int, 1)
	go func() {
		n, _ := far.Read(make([]byte, 1)) // 0 if the connection is closed
		sent <- n
	}()
	_, err = tr.Send(ctx, transporter.Call{Address: "10.0.0.1:80", Request: req})
	if n := <-sent; n > 0 || transporter.KindOf(err) != transporter.KindNotSent {
		t.Errorf("%d bytes were sent, error %v", n, err)
	}
}
