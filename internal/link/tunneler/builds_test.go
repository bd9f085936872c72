package tunneler_test

import (
	"context"
	"encoding/base64"
	"io"
	"testing"

	"example.com/dotterelwell/internal/machine/ident"
)

// The two directions of a tunnel as the build of e311602 wrote them: a call and "request", a reply, "answer" and the end.
const (
	olderOpener = "Ln8DAQEHUmVxdWVzdAH/gAABAgENU2VydmljZU1ldGhvZAEMAAEDU2VxAQYAAAAS/4ABC3R1bm5lbC5PcGVuAQEAM/+BAwEBCE9wZW5BcmdzAf+CAAEDAQRG" +
		"cm9tAQwAAQZTZXJ2ZXIBDAABBExlZnQBBAAAABz/ggEGb3BlbmVyAQsxMC45LjAuMTo4MAH+B9AAAAAAB3JlcXVlc3Q="
	olderPeer = "Ov+DAwEBCFJlc3BvbnNlAf+EAAEDAQ1TZXJ2aWNlTWV0aG9kAQwAAQNTZXEBBgABBUVycm9yAQwAAAAS/4QBC3R1bm5lbC5PcGVuAQEASf+FAwEBCU9wZW5S" +
		"ZXBseQH/hgABBAEHRmFpbHVyZQEMAAEGUmVhc29uAQwAAQhDYXJyaWVycwH/iAABCFN0b3BwaW5nAQIAAAAe/4cCAQEQW11pZGVudC5JbnN0YW5jZQH/iAAB" +
		"DAAAA/+GAAAAAAZhbnN3ZXIAAAAA"
)

// TestTunnelsOfOlderBuild guards against tunnels that fail where the other instance is of an older build.
func TestTunnelsOfOlderBuild(t *testing.T) {
	run(t, func(t *testing.T, p *pair) {
		conn, err := p.network.Dialer("10.0.0.3")(context.Background(), "tcp", string(peerAddress))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		writeBase64(t, conn, olderOpener)
		server, err := p.server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		request := make([]byte, len("request"))
		if _, err := io.ReadFull(server, request); err != nil || string(request) != "request" {
			t.Errorf("the server got %q, error %v", request, err)
		}
	})
	run(t, func(t *testing.T, p *pair) {
		const older ident.Address = "10.0.0.9:81"
		listener, err := p.network.Listen(string(older))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if conn, err := listener.Accept(); err == nil {
				writeBase64(t, conn, olderPeer)
			}
		}()
		tunnel, _, err := p.opener.Open(context.Background(), "older", older, serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer tunnel.Close()
		if answer, err := io.ReadAll(tunnel); err != nil || string(answer) != "answer" {
			t.Errorf("the opener got %q, error %v", answer, err)
		}
	})
}

func writeBase64(t *testing.T, w io.Writer, text string) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err != nil {
		t.Error(err)
	}
}
