// Package backend is the vocabulary of backend servers and of the orders that
// operators give about them.
package backend

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that an entry names no usable server or order.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Release is the version of the software that a server runs.
type Release string

// Server is one run of a backend server.
type Server struct {
	ID      ident.Server
	Service declaration.ServiceName
	Address ident.Address
	Zone    declaration.ZoneName
	Release Release
	// Slots is the number of requests that the server works on at once.
	Slots int
	// Leaving servers take no new work.
	Leaving bool
	// ColdFor is how long the server stays cold from when the entry was written.
	ColdFor clock.Millis
	// Born is when the server started; it tells two runs with one identifier apart.
	Born clock.Millis
}

// Incarnation names one run of a server. A server that starts again at its address, also
// under the identifier that it had, is another incarnation.
type Incarnation struct {
	ID      ident.Server
	Address ident.Address
	Born    clock.Millis
}

// Incarnation names this run of the server.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Address: s.Address, Born: s.Born}
}

// Rollout orders that a service's requests move to servers of another release.
type Rollout struct {
	Service declaration.ServiceName
	Target  Release
	// Within is the time that the roll-out may take.
	Within clock.Millis
	// Outcome tells how it ended; empty while it goes on.
	Outcome Outcome
}

// Outcome tells how a roll-out ended.
type Outcome string

// Outcomes. At OutcomeCompleted the platform stops the servers of older releases.
const (
	OutcomeOpen       Outcome = ""
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)
