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

// Cursor tells how much of a peer's tables has been read.
type Cursor struct {
	// Of is the process whose serials these are.
	Of                              ident.Incarnation
	Warmth, Usage, Blocks, Presence uint64
	// Urgent and Calm are for tallies of versions in a roll-out and of all others.
	Urgent, Calm uint64
}

// PullArgs asks a peer for news.
type PullArgs struct {
	From   Sender
	Cursor Cursor
	// Config is the store version up to which the sender's configuration is complete.
	Config ident.StoreVersion
	// Calm asks for the tallies of versions that are in no roll-out, too.
	Calm bool
}

// Usage is the number of requests that an instance has at a cold server.
type Usage struct {
	InFlight int
	// At orders the instance's own statements.
	At clock.Millis
}

// UsageKey names a Usage.
type UsageKey struct {
	Server   ident.Server
	Instance ident.Instance
}

// Block says that a version was found bad and must get no new work, until it is
// withdrawn in the configuration or an operator restarts its roll-out.
type Block struct {
	Reason string
	By     ident.Instance
	At     clock.Millis
}

// PullReply answers a Pull.
type PullReply struct {
	From     Sender
	Cursor   Cursor
	Config   storer.Changes
	Warmth   []spreader.Entry[ident.Server, warmer.Warmth]
	Usage    []spreader.Entry[UsageKey, Usage]
	Blocks   []spreader.Entry[declaration.Ref, Block]
	Presence []spreader.Entry[ident.Instance, enroller.Presence]
	Tallies  []tallier.Entry
}

// ClaimArgs forwards entries to a shard's holder.
type ClaimArgs struct {
	From    Sender
	Shard   int
	Entries []claim.Entry
}

// ClaimReply answers ClaimArgs.
type ClaimReply struct {
	From     Sender
	Verdicts []claimer.Verdict
}

// OutcomeArgs asks for the outcome of a claim.
type OutcomeArgs struct {
	From Sender
	Held claim.Entry
}

// OutcomeReply answers OutcomeArgs. Found is not set while the call runs, and after
// its outcome was written.
type OutcomeReply struct {
	From  Sender
	Entry claim.Entry
	Found bool
}

// HoldArgs asks a peer to hold bill records.
type HoldArgs struct {
	From  Sender
	Batch biller.Batch
}

// LendArgs asks a server's duty holder for a place, or gives one back.
type LendArgs struct {
	From     Sender
	Server   ident.Server
	GiveBack bool
}

// LendReply answers LendArgs.
type LendReply struct {
	From    Sender
	Granted bool
}

// EventsArgs asks for a peer's events.
type EventsArgs struct {
	From   Sender
	Filter chronicler.Filter
}

// EventsReply answers EventsArgs.
type EventsReply struct {
	From   Sender
	Events []chronicler.Event
}

// Status is what an instance tells of itself.
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

// StatusReply answers a question for the status.
type StatusReply struct {
	From   Sender
	Status Status
}
