package transporter_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// TestResetDuringUploadIsNoAnswer guards against a part of an answer passing for the whole, when the server answers at once and resets the
// connection while the body of the request is still being written.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\n\r\n", "with a length": "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n", "in chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n",
	} {
		for _, bodyBytes := range []int{32 << 10, 256 << 10, 4 << 20} { // the first is written before the reset, the last is not
			t.Run(name, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
							if err == nil {
								_, _ = io.WriteString(c, head+"data: part") // fails only if the client has disconnected
								_, _ = io.CopyN(io.Discard, r.Body, 16<<10) // the upload goes on
							}
							_ = c.(*net.TCPConn).SetLinger(0)
							_ = c.Close()
						}()
					}
				}()
				tr := &transporter.Transporter{Clock: &clock.Clock{}}
				defer tr.Close()
				whole := 0
				const tries = 100
				for range tries {
					req := &http.Request{
						Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "x", ContentLength: int64(bodyBytes),
						Body: io.NopCloser(bytes.NewReader(make([]byte, bodyBytes))),
					}
					answer, err := tr.Send(context.Background(), transporter.Call{Address: ident.Address(l.Addr().String()), Request: req})
					if err != nil {
						continue
					}
					if _, err := io.ReadAll(answer); err == nil {
						whole++
					}
					answer.Close()
				}
				if whole > 0 {
					t.Errorf("body of %d bytes: %d of %d parts passed for whole answers", bodyBytes, whole, tries)
				}
			})
		}
	}
}
