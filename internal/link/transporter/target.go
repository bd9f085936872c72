package transporter

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// writeRequest writes a request with its target exactly as URL.Opaque has it. net/http writes a target that
// begins with two slashes in absolute form, which names another host and path.
func writeRequest(w *bufio.Writer, r *http.Request) error {
	if !strings.HasPrefix(r.URL.Opaque, "//") {
		return r.Write(w)
	}
	return r.Write(&originForm{Writer: w, scheme: []byte(" " + r.URL.Scheme + ":")})
}

// originForm removes the scheme from the request line, which net/http writes in one call before all else.
type originForm struct {
	*bufio.Writer
	scheme  []byte
	written bool
}

// Write writes p, without the scheme if it is the request line.
func (o *originForm) Write(p []byte) (int, error) {
	if o.written {
		return o.Writer.Write(p)
	}
	o.written = true
	if _, err := o.Writer.Write(bytes.Replace(p, o.scheme, []byte(" "), 1)); err != nil {
		return 0, err
	}
	return len(p), nil
}
