package connector_test

import (
	"context"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/standin/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Echo is an rpc service for tests.
type Echo struct{}

// Say returns its argument.
func (Echo) Say(in string, out *string) error {
	*out = in
	return nil
}

// start serves Echo with serverKey and returns a client that uses clientKey.
func start(t *testing.T, network *wire.Network, serverKey, clientKey string) *connector.Connector {
	t.Helper()
	listener, err := network.Listen("10.0.0.1:81")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.Register(Echo{}); err != nil {
		t.Fatal(err)
	}
	serving := &connector.Connector{Key: []byte(serverKey)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serving.Serve(listener, server) // it ends when the listener closes
	}()
	client := &connector.Connector{Key: []byte(clientKey), DialFunc: network.Dialer("10.0.0.2")}
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close() // it ends Serve
		serving.Close()
		<-done
	})
	return client
}

func say(c *connector.Connector, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var out string
	err := c.Call(ctx, "10.0.0.1:81", "Echo.Say", text, &out)
	return out, err
}

// TestKeys checks that only a client with the server's key can make calls.
func TestKeys(t *testing.T) {
	for _, tt := range []struct {
		name, server, client string
		authorized           bool
	}{
		{"same key", "secret", "secret", true},
		{"no key on either side", "", "", true},
		{"wrong key", "secret", "guess", false},
		{"client without a key", "secret", "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := start(t, &wire.Network{}, tt.server, tt.client)
				out, err := say(c, "hello")
				if tt.authorized != (err == nil && out == "hello") {
					t.Errorf("answer %q, error %v, want authorized %v", out, err, tt.authorized)
				}
			})
		})
	}
}

// TestSilentConnection checks that a call on a connection without any answer fails after
// the timeout, and that the next call succeeds on a new connection.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &wire.Network{}
		c := start(t, network, "k", "k")
		if _, err := say(c, "one"); err != nil {
			t.Fatal(err)
		}
		network.Silence(func(string, string) bool { return true })
		if _, err := say(c, "two"); fault.KindOf[connector.Kind](err) != connector.KindTimeout {
			t.Errorf("error %v, want kind %q", err, connector.KindTimeout)
		}
		if out, err := say(c, "three"); err != nil || out != "three" {
			t.Errorf("over a new connection: %q, error %v", out, err)
		}
	})
}

// TestMessageBound checks that a call with a message above MaxMessageBytes fails.
func TestMessageBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, &wire.Network{}, "k", "k")
		if _, err := say(c, strings.Repeat("x", connector.MaxMessageBytes+1)); err == nil {
			t.Error("a message above MaxMessageBytes was answered")
		}
	})
}

// TestStream guards against bytes of a stream that are lost between the call that opens it and its first read, and against a method that
// the called end doesn't have doing harm to it.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &wire.Network{}
		listener, err := network.Listen("10.0.0.3:81")
		if err != nil {
			t.Fatal(err)
		}
		serving := &connector.Connector{StreamFuncs: map[string]func(*connector.Stream){"Test.Open": func(s *connector.Stream) {
			var name string
			if err := s.ReadArgs(&name); err != nil {
				t.Error(err)
			}
			if err := s.Reply("hello " + name); err != nil {
				t.Error(err)
			}
			_, _ = s.Write([]byte("first bytes")) // the other end shows what arrived
		}}}
		server := rpc.NewServer()
		if err := server.Register(Echo{}); err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = serving.Serve(listener, server) // it ends when the listener closes
		}()
		client := &connector.Connector{DialFunc: network.Dialer("10.0.0.2")}
		var reply string
		stream, err := client.OpenStream(context.Background(), "10.0.0.3:81", "Test.Open", "there", &reply)
		if err != nil || reply != "hello there" {
			t.Fatalf("reply %q, error %v", reply, err)
		}
		got := make([]byte, 11)
		if _, err := stream.Read(got); err != nil || string(got) != "first bytes" {
			t.Errorf("read %q, error %v", got, err)
		}
		_ = stream.Close()
		if _, err := client.OpenStream(context.Background(), "10.0.0.3:81", "Test.Unknown", "there", &reply); fault.KindOf[connector.Kind](err) != connector.KindFailed {
			t.Errorf("error %v, want one of kind %s", err, connector.KindFailed)
		}
		if err := client.Call(context.Background(), "10.0.0.3:81", "Echo.Say", "still here", &reply); err != nil || reply != "still here" {
			t.Errorf("reply %q, error %v", reply, err)
		}
		client.Close()
		_ = listener.Close() // it ends Serve
		serving.Close()
		<-done
	})
}
