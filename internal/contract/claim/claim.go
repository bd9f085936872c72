// Package claim defines the durable record of requests that may not be repeated.
//
// Claims live in the platform's object API. Each shard is a log of chunks, one object
// of kind Kind(shard) each, which only ever grow: the last chunk is extended by
// conditional writes until it is sealed, and the next is created only after that.
// The order of entries is therefore the same for every reader, and the first claim
// of a key wins.
package claim

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// State is the state that an entry gives to its key.
type State string

// States of a claim.
const (
	// StateClaimed gives the nonce's owner the right to run the request once.
	StateClaimed State = "claimed"
	// StateRan records that the request ran, with its answer.
	StateRan State = "ran"
	// StateReleased records that the owner has not run the request and never will.
	StateReleased State = "released"
)

// Entry is one line of a shard's log.
type Entry struct {
	// Key is the workspace's name, a slash and the caller's idempotency key.
	Key   ident.Key         `json:"key"`
	Nonce ident.Nonce       `json:"nonce"`
	State State             `json:"state"`
	Owner ident.Incarnation `json:"owner,omitempty"`
	// Request identifies the call at the service.
	Request ident.Request `json:"request,omitempty"`
	Service string        `json:"service,omitempty"`
	// Digest identifies the call's method, path and body.
	Digest string       `json:"digest,omitempty"`
	At     clock.Millis `json:"at-ms"`
	// Status, Type and Body are the answer. Body is absent when it was too large.
	Status int    `json:"status,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Partial is set when Body was left out.
	Partial bool `json:"partial,omitempty"`
	// By names the operator who settled the claim by hand.
	By string `json:"by,omitempty"`
}

// Chunk is the value of one object of a shard's log.
type Chunk struct {
	Sealed  bool    `json:"sealed,omitempty"`
	Entries []Entry `json:"entries"`
}

// chunkFields avoids recursion in Chunk's own decoder.
type chunkFields Chunk

// UnmarshalJSON decodes and checks a chunk.
func (c *Chunk) UnmarshalJSON(raw []byte) error {
	var fields chunkFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	for i, e := range fields.Entries {
		if e.Key == "" || e.Nonce == "" {
			return errors.Newf("entry %d lacks key or nonce", i)
		}
		switch e.State {
		case StateClaimed, StateRan, StateReleased:
		default:
			return errors.Newf("entry %d: state %q is unknown", i, e.State)
		}
	}
	*c = Chunk(fields)
	return nil
}

// Kind returns the kind of a shard's objects.
func Kind(shard int) storer.ObjectKind { return storer.ObjectKind(fmt.Sprintf("claim-%d", shard)) }

// ChunkName returns the name of a shard's n-th chunk; names sort like numbers.
func ChunkName(n int) string { return fmt.Sprintf("%09d", n) }

// ParseChunkName undoes ChunkName.
func ParseChunkName(name string) (int, error) {
	var n int
	if _, err := fmt.Sscanf(name, "%d", &n); err != nil {
		return 0, errors.Newf("chunk name %q is not a number", name)
	}
	return n, nil
}
