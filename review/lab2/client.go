package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a client's request.
type request struct {
	method, path, id string
	header           map[string]string
	body             string
}

func (q *request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: office.example\r\nX-Attempt-Id: %s\r\n", q.method, q.path, q.id)
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// kept is a client's connection, which it keeps for many requests.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string, d *net.Dialer) (*kept, error) {
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, reader: bufio.NewReaderSize(conn, 1024)}, nil
}

// send sends a request and reads the head of the answer.
func (k *kept) send(q *request, within time.Duration) (*http.Response, error) {
	_ = k.conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(k.conn, q.encode()); err != nil {
		return nil, err
	}
	return http.ReadResponse(k.reader, &http.Request{Method: q.method})
}

func (k *kept) close() { _ = k.conn.Close() }
