package connector

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/rpc"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Stream is a connection between two instances that begins with one net/rpc call and then carries
// bytes in both directions.
type Stream struct {
	net.Conn
	in      *bufio.Reader
	codec   *codec
	request rpc.Request
}

// Read reads bytes that follow the call.
func (s *Stream) Read(p []byte) (int, error) { return s.in.Read(p) }

// ReadArgs reads the arguments of the call, at the called instance.
func (s *Stream) ReadArgs(args any) error { return s.codec.readBody(args) }

// Reply sends the reply to the call. It must follow ReadArgs and precede all other bytes.
func (s *Stream) Reply(reply any) error {
	s.codec.limited.left = math.MaxInt
	return s.codec.write(&rpc.Response{ServiceMethod: s.request.ServiceMethod, Seq: s.request.Seq}, reply)
}

// OpenStream connects to the peer at address, calls a method on the new connection and waits for
// the reply until ctx ends. A called method that the peer doesn't have gives an error of KindFailed.
func (c *Connector) OpenStream(ctx context.Context, address ident.Address, method string, args, reply any) (*Stream, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the call
	s := &Stream{Conn: conn, codec: newCodec(conn, c)}
	s.in = s.codec.in
	err = s.call(method, args, reply)
	if !stop() && err == nil {
		err = fault.New("call "+method, KindTimeout, ctx.Err())
	}
	if err != nil {
		_ = conn.Close() // it may be closed already
		return nil, err
	}
	s.codec.limited.left = math.MaxInt
	return s, nil
}

func (s *Stream) call(method string, args, reply any) error {
	op := "call " + method
	if err := s.codec.write(&rpc.Request{ServiceMethod: method, Seq: 1}, args); err != nil {
		return fault.New(op, KindTimeout, err)
	}
	var response rpc.Response
	if err := s.codec.readHead(&response); err != nil {
		return fault.New(op, KindTimeout, err)
	}
	if response.Error != "" {
		return fault.New(op, KindFailed, errors.Newf("%s", response.Error))
	}
	if err := s.codec.readBody(reply); err != nil {
		return fault.New(op, KindTimeout, err)
	}
	return nil
}

// serveCalls answers the calls on an accepted connection, or passes it on if its first call opens a
// stream.
func (c *Connector) serveCalls(raw, conn net.Conn, server *rpc.Server) {
	codec := serverCodec{newCodec(conn, c)}
	defer codec.frames.close()
	first := rpc.Request{}
	if err := codec.ReadRequestHeader(&first); err != nil {
		return
	}
	if c.OnFirstCall != nil {
		c.OnFirstCall(raw)
	}
	if serve := c.StreamFuncs[first.ServiceMethod]; serve != nil {
		serve(&Stream{Conn: conn, in: codec.in, codec: codec.codec, request: first})
		return
	}
	server.ServeCodec(&resumedCodec{serverCodec: codec, first: &first})
}

// resumedCodec is a server's codec whose first request header has been read already.
type resumedCodec struct {
	serverCodec
	first *rpc.Request
}

// ReadRequestHeader reads the next request header.
func (c *resumedCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.first != nil {
		*r, c.first = *c.first, nil
		return nil
	}
	return c.serverCodec.ReadRequestHeader(r)
}

var _ rpc.ServerCodec = (*resumedCodec)(nil)

// Reader returns the reader of the bytes that follow the call.
func (s *Stream) Reader() *bufio.Reader { return s.in }
