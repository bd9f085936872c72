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

// role is part of each end's HMAC, so that an attacker can't reflect one end's HMAC back to
// it as that of the other.
type role string

const (
	roleClient role = "client"
	roleServer role = "server"
)

// challengeBytes is the length of each end's random challenge.
const challengeBytes = 32

// authenticate runs a mutual challenge-response handshake: it proves to the peer that this
// end holds the shared key, and checks that the peer holds it. Each end sends a random
// challenge and then an HMAC over its own role and both challenges.
func authenticate(conn net.Conn, key []byte, own role) error {
	if len(key) == 0 {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration())); err != nil {
		return err
	}
	ownChallenge := make([]byte, challengeBytes)
	_, _ = rand.Read(ownChallenge) // crypto/rand.Read never returns an error
	if _, err := conn.Write(ownChallenge); err != nil {
		return err
	}
	peerChallenge := make([]byte, challengeBytes)
	if _, err := io.ReadFull(conn, peerChallenge); err != nil {
		return err
	}
	other := roleServer
	client, server := ownChallenge, peerChallenge
	if own == roleServer {
		other = roleClient
		client, server = peerChallenge, ownChallenge
	}
	if _, err := conn.Write(roleMAC(key, own, client, server)); err != nil {
		return err
	}
	peerMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerMAC); err != nil {
		return err
	}
	if !hmac.Equal(peerMAC, roleMAC(key, other, client, server)) {
		return errors.New("the other end does not hold the peer key")
	}
	return conn.SetDeadline(time.Time{})
}

func roleMAC(key []byte, sender role, client, server []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(sender), client, server} {
		_, _ = h.Write(part) // hash.Hash.Write never returns an error
	}
	return h.Sum(nil)
}
