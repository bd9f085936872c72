package connector

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// role makes the two ends' proofs differ, so that one cannot be sent back as the other.
type role string

const (
	roleClient role = "client"
	roleServer role = "server"
)

// challengeBytes is the length of each end's random challenge.
const challengeBytes = 32

// prove shows the other end that this one holds the shared key, and checks that the
// other does. Each end sends a challenge and answers the other's by an HMAC over
// both challenges and its own role.
func prove(conn net.Conn, key []byte, own role) error {
	if len(key) == 0 {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration())); err != nil {
		return err
	}
	mine := make([]byte, challengeBytes)
	_, _ = rand.Read(mine) // crypto/rand.Read never returns an error
	if _, err := conn.Write(mine); err != nil {
		return err
	}
	theirs := make([]byte, challengeBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	other := roleServer
	client, server := mine, theirs
	if own == roleServer {
		other = roleClient
		client, server = theirs, mine
	}
	if _, err := conn.Write(proof(key, own, client, server)); err != nil {
		return err
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if !hmac.Equal(got, proof(key, other, client, server)) {
		return errors.New("the other end does not hold the peer key")
	}
	return conn.SetDeadline(time.Time{})
}

func proof(key []byte, of role, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(of), client, server} {
		_, _ = h.Write(part) // a hash never fails to take bytes
	}
	return h.Sum(nil)
}
