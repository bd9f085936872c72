// Package ident names the identifiers that processes exchange.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"

	"example.com/dotterelwell/internal/machine/clock"
)

// Identifiers of the machines and of the work that they do.
type (
	// Instance names one entry instance for as long as the platform keeps it.
	Instance string
	// Server names one backend server in the platform's instance list.
	Server string
	// Request names one caller's request.
	Request string
	// Incarnation names one run of an instance's process; it is never reused.
	Incarnation string
	// Nonce names one attempt to obtain the right to run a request.
	Nonce string
	// Key is a caller's idempotency key.
	Key string
	// Address is an IP address with a port.
	Address string
	// StoreEra counts how often the platform's object API has been restored from a copy. It is
	// zero for an API that tells no era.
	StoreEra uint64
	// StoreVersion counts the changes of the platform's object API.
	StoreVersion uint64
)

// randomBytes is the entropy of generated identifiers, in bytes.
const randomBytes = 12

// NewRequest returns a random request identifier.
func NewRequest() Request { return Request("req-" + randomHex()) }

// NewNonce returns a random nonce.
func NewNonce() Nonce { return Nonce(randomHex()) }

// NewIncarnation returns an identifier for a process of instance that started at now.
func NewIncarnation(instance Instance, now clock.Millis) Incarnation {
	return Incarnation(string(instance) + "." + strconv.FormatInt(int64(now), 36) + "." + randomHex()[:6])
}

func randomHex() string {
	var b [randomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}

// StorePoint is a version within an era.
type StorePoint struct {
	Era     StoreEra
	Version StoreVersion
}

// Before reports whether the point is earlier than another one. A later era comes after all
// versions of the eras before it.
func (p StorePoint) Before(other StorePoint) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Version < other.Version
}
