package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// conn is a client's kept connection.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a client's connection. receiveBuffer, if not zero, is the size of its receive buffer.
func (l *lab) dial(address string, receiveBuffer int) (*conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, 1024)}, nil
}

// request is one client attempt.
type request struct {
	id, method, path string
	body             string
	budgetMs         int
	header           []string
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: %d\r\nX-Credential: %s\r\n", r.method, r.path, host, r.id, r.budgetMs, apiKey)
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// outcome is what a client saw of an attempt.
type outcome struct {
	status int    // zero if there was none
	body   string // as far as it came
	seal   string
	whole  bool
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.whole {
		return fmt.Sprintf("status %d, whole body of %d bytes, after %.2f s", o.status, len(o.body), o.took.Seconds())
	}
	return fmt.Sprintf("status %d, NOT WHOLE, %d bytes of the body, after %.2f s: %v", o.status, len(o.body), o.took.Seconds(), o.err)
}

// exchange sends a request and reads its answer. pause, if not nil, is called before the answer is read.
func (c *conn) exchange(r request, pause func()) outcome {
	began := time.Now()
	o := outcome{}
	defer func() { o.took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(time.Duration(r.budgetMs)*time.Millisecond + time.Second))
	if _, o.err = io.WriteString(c, r.text()); o.err != nil {
		return o
	}
	if pause != nil {
		pause()
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		o.err, o.took = err, time.Since(began)
		return o
	}
	raw, err := io.ReadAll(resp.Body)
	o.status, o.seal, o.body, o.err, o.whole, o.took = resp.StatusCode, resp.Header.Get("X-Response-Seal"), string(raw), err, err == nil, time.Since(began)
	return o
}
