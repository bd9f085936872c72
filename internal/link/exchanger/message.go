package exchanger

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/link/spreader"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/warmer"
)

// Sender identifies the process that sent a message.
type Sender struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Stamp       chronicler.Stamp
}

// Cursor holds the serials up to which an instance has read a peer's tables.
type Cursor struct {
	// Of is the incarnation of the peer that assigned the serials.
	Of                              ident.Incarnation
	Warmth, Usage, Blocks, Presence uint64
	// Urgent is the serial for tallies of versions in a roll-out, and Calm that for tallies of
	// all other versions.
	Urgent, Calm uint64
}

// PullArgs are the arguments of Service.Pull, which asks for changes after a cursor.
type PullArgs struct {
	From   Sender
	Cursor Cursor
	// Config is the store version up to which the sender's configuration is complete.
	Config ident.StoreVersion
	// Calm requests also the tallies of versions that are in no roll-out.
	Calm bool
}

// Usage is the number of requests that an instance has at a cold server.
type Usage struct {
	InFlight int
	// At orders the reports of one instance about one server.
	At clock.Millis
}

// UsageKey identifies a Usage.
type UsageKey struct {
	Server   ident.Server
	Instance ident.Instance
}

// Block marks a version that was found bad. It gets no new requests until it is withdrawn in the
// configuration or an operator restarts its roll-out.
type Block struct {
	Reason string
	// By is the instance that found the version bad, and At when.
	By ident.Instance
	At clock.Millis
}

// PullReply is the reply of Service.Pull. Its Cursor is the one for the caller's next pull.
type PullReply struct {
	From     Sender
	Cursor   Cursor
	Config   storer.Changes
	Warmth   []spreader.Entry[ident.Server, warmer.Warmth]
	Usage    []spreader.Entry[UsageKey, Usage]
	Blocks   []spreader.Entry[declaration.Ref, Block]
	Presence []spreader.Entry[ident.Instance, enroller.Presence]
	Tallies  []tallier.Entry
	// ConfigAge is the time since the store last confirmed Config to any instance. Builds that do not
	// tell it leave it zero, so that contact with them passes for contact with the store.
	ConfigAge clock.Millis
}

// ClaimArgs are the arguments of Service.Claim: claim entries for the holder of a shard.
type ClaimArgs struct {
	From    Sender
	Shard   int
	Entries []claim.Entry
}

// ClaimReply is the reply of Service.Claim.
type ClaimReply struct {
	From     Sender
	Verdicts []claimer.Verdict
}

// OutcomeArgs are the arguments of Service.Outcome. Held is the claim whose outcome is wanted.
type OutcomeArgs struct {
	From Sender
	Held claim.Entry
}

// OutcomeReply is the reply of Service.Outcome. Found is not set while the claimed request runs,
// nor after its outcome has been written to the store.
type OutcomeReply struct {
	From  Sender
	Entry claim.Entry
	Found bool
}

// HoldArgs are the arguments of Service.Hold: bill records of which the peer keeps copies.
type HoldArgs struct {
	From  Sender
	Batch biller.Batch
}

// LendArgs are the arguments of Service.Lend, which leases the caller a slot at a cold server or,
// if GiveBack is set, takes back a leased slot.
type LendArgs struct {
	From     Sender
	Server   ident.Server
	GiveBack bool
}

// LendReply is the reply of Service.Lend.
type LendReply struct {
	From    Sender
	Granted bool
}

// EventsArgs are the arguments of Service.Events.
type EventsArgs struct {
	From   Sender
	Filter chronicler.Filter
}

// EventsReply is the reply of Service.Events.
type EventsReply struct {
	From   Sender
	Events []chronicler.Event
}

// Status is the status that an instance reports about itself.
type Status struct {
	Instance    ident.Instance       `json:"instance"`
	Incarnation ident.Incarnation    `json:"incarnation"`
	Zone        declaration.ZoneName `json:"zone"`
	Ready       bool                 `json:"ready"`
	Reason      string               `json:"reason,omitempty"`
	Config      ident.StoreVersion   `json:"config-version"`
	ConfigAge   clock.Millis         `json:"config-age-ms"`
	InFlight    int                  `json:"in-flight"`
	Waiting     int                  `json:"waiting"`
	BillBacklog int                  `json:"bill-backlog"`
}

// StatusReply is the reply of Service.Status.
type StatusReply struct {
	From   Sender
	Status Status
}
