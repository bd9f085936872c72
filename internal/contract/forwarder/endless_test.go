package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/request/bufferer"
)

// TestEndlessBodiesTogether guards against the answers of a faulty service that sends without end filling the memory, when many calls read
// them at the same time and each is below its own bound.
func TestEndlessBodiesTogether(t *testing.T) {
	const calls, sentBytes, maxHeapBytes = 40, 7 << 20, 96 << 20
	var settled sync.WaitGroup // each call has returned, or its body was read as far as it was sent
	settled.Add(calls)
	address := serveRaw(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))           // the request is the test's own
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")   // fails only if the client has disconnected
		_, _ = io.Copy(c, io.LimitReader(zeros{}, sentBytes)) // the client may have given up
		_, _ = io.Copy(io.Discard, c)                         // until the client gives up
	})
	ctx, giveUp := context.WithCancel(context.Background())
	clients, closeClients := dialer.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.Dial(ctx, network, address)
		return &watchedConn{Conn: c, enough: sentBytes, settle: settled.Done}, err
	})
	defer closeClients()
	service := forwarder.New(clients, (&bufferer.Bufferer{}).Read)
	var returned sync.WaitGroup
	for range calls {
		returned.Go(func() {
			_, err := service.Forward(ctx, forwarder.Call{Address: address, Request: "r-1", Method: http.MethodGet, Path: "/", AtMostOnce: true})
			if forwarder.KindOf(err) != forwarder.KindLost {
				t.Errorf("error %v, want one of kind %s", err, forwarder.KindLost)
			}
		})
	}
	settled.Wait()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	if memory.HeapAlloc > maxHeapBytes {
		t.Errorf("%d bytes are held for %d answers, want at most %d", memory.HeapAlloc, calls, maxHeapBytes)
	}
	giveUp()
	returned.Wait()
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// watchedConn calls settle once, when it has read enough bytes or is closed.
type watchedConn struct {
	net.Conn

	enough int64
	read   atomic.Int64
	once   sync.Once
	settle func()
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.read.Add(int64(n)) >= c.enough {
		c.once.Do(c.settle)
	}
	return n, err
}

func (c *watchedConn) Close() error {
	c.once.Do(c.settle)
	return c.Conn.Close()
}
