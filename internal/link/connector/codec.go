package connector

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/cockroachdb/errors"
)

// MaxMessageBytes bounds one received message, its net/rpc header included.
const MaxMessageBytes = 4 << 20

var errTooLarge = errors.Newf("a message exceeds %d bytes", MaxMessageBytes)

// boundedReader fails a read once left bytes have been read. The codec sets left to
// MaxMessageBytes before each message.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// codec is a gob codec like that of net/rpc, for client and server, which bounds the size
// of received messages.
type codec struct {
	conn    io.ReadWriteCloser
	limited *boundedReader
	in      *bufio.Reader
	frames  *frameReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	out     *bufio.Writer
}

// newCodec returns the codec of a connection whose received messages take from the message memory of c.
func newCodec(conn io.ReadWriteCloser, c *Connector) *codec {
	limited := &boundedReader{r: conn, left: MaxMessageBytes}
	in, out := bufio.NewReader(limited), bufio.NewWriter(conn)
	frames := &frameReader{in: in, connector: c}
	return &codec{conn: conn, limited: limited, in: in, frames: frames, dec: gob.NewDecoder(frames), enc: gob.NewEncoder(out), out: out}
}

func (c *codec) readHead(head any) error {
	c.limited.left = MaxMessageBytes
	return c.dec.Decode(head)
}

func (c *codec) readBody(body any) error { return c.dec.Decode(body) }

func (c *codec) write(head, body any) error {
	if err := c.enc.Encode(head); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

func (c *codec) Close() error {
	c.frames.close()
	return c.conn.Close()
}

type serverCodec struct{ *codec }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHead(r) }

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHead(r) }

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
