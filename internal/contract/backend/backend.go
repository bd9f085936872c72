// Package backend defines the store's entries for backend servers and for the
// roll-out orders that operators give for a service.
package backend

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that an entry does not describe a usable server or roll-out order.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Release is the version of the software that a server runs.
type Release string

// Server describes one incarnation of a backend server: one run of its process.
type Server struct {
	ID      ident.Server
	Service declaration.ServiceName
	Address ident.Address
	Zone    declaration.ZoneName
	Release Release
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set when the server is about to stop and accepts no new requests.
	Leaving bool
	// ColdFor is how long the server stays cold after the entry was written.
	ColdFor clock.Millis
	// Born is when the server started; it distinguishes incarnations with the same identifier.
	Born clock.Millis
}

// RateLimit is the number of requests per second that a server accepts from all instances
// together. Its zero value is no limit.
type RateLimit struct {
	// Named is set if the server names a limit, which may be 0.
	Named     bool
	PerSecond float64
}

// Brittleness is what a server says that falls over if it rejects too many requests. Its zero value is a server
// that doesn't.
type Brittleness struct {
	// Named is set if the server says that it is brittle.
	Named bool
	// RejectionsPerSecond is the largest number of rejections in a second that the server bears, which may be 0.
	RejectionsPerSecond int
}

// StricterThan reports whether a server bears less than one that says other.
func (b Brittleness) StricterThan(other Brittleness) bool {
	return b.Named && (!other.Named || b.RejectionsPerSecond < other.RejectionsPerSecond)
}

// Incarnation identifies one run of a server's process. A server that restarts at the
// same address is another incarnation, even if it keeps its identifier.
type Incarnation struct {
	ID      ident.Server
	Address ident.Address
	Born    clock.Millis
}

// Incarnation returns the incarnation that the entry describes.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Address: s.Address, Born: s.Born}
}

// Rollout is an order to move a service's requests to servers of another release.
type Rollout struct {
	Service declaration.ServiceName
	Target  Release
	// Within bounds the duration of the roll-out.
	Within clock.Millis
	// Outcome is how the roll-out ended; empty while it is in progress.
	Outcome Outcome
	// RolledBack is the release of an earlier order that the stored status still names as rolled back.
	RolledBack Release
}

// Outcome is how a roll-out ended.
type Outcome string

// Outcomes of roll-outs. After OutcomeCompleted the platform stops the servers of
// older releases.
const (
	OutcomeOpen       Outcome = ""
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)
