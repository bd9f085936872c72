package quarantiner

import (
	"encoding/json"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Entry is the state of one cause of crashes.
type Entry struct {
	// Part names the cause: a request, or one of its prompt parts.
	Part crash.Suspect `json:"part"`
	// Round is odd while the cause is in quarantine, and even after its release.
	Round int `json:"round"`
	// Probes is the number of probes that have been allowed in this round.
	Probes int `json:"probes"`
	// Idle is the time since a request was last refused for the entry. It is not stored.
	Idle clock.Millis `json:"-"`
	// With holds the further parts of the cause. Only requests that hold Part and all of these are known
	// to crash servers.
	With []crash.Suspect `json:"with,omitempty"`
	// Joint is set by builds that know With. Others pass an entry on without it.
	Joint bool `json:"joint,omitempty"`
	// Returned is the number of probes that crashed no server.
	Returned int `json:"returned,omitempty"`
}

func (e *Entry) quarantined() bool { return e.Round%2 == 1 }

func (e *Entry) cause() crash.Cause { return crash.CauseOf(e.Part, e.With...) }

// spent is the number of probes that may have crashed a server.
func (e *Entry) spent() int { return max(e.Probes-e.Returned, 0) }

// newerThan reports whether the entry says more than another one of the same name.
func (e *Entry) newerThan(other *Entry) bool {
	if e.Round != other.Round {
		return e.Round > other.Round
	}
	if e.Probes > other.Probes || e.Returned > other.Returned || e.Joint && !other.Joint {
		return true
	}
	return e.Joint && len(other.cause().Without(e.cause())) > 0
}

// merged returns what two entries of one name say together. In one round a cause only loses parts.
func (e *Entry) merged(other *Entry) Entry {
	m := *e
	switch {
	case other.Round > e.Round:
		m = *other
	case other.Round == e.Round:
		m.Probes, m.Returned = max(e.Probes, other.Probes), max(e.Returned, other.Returned)
		switch {
		case e.Joint && other.Joint:
			m.With = e.cause().In(other.cause())[1:]
		case other.Joint:
			m.With, m.Joint = other.With, true
		}
	}
	return m
}

// check returns an error for an entry that no instance writes.
func (e *Entry) check() error {
	const op = "check entry"
	switch {
	case e.Round < 1 || e.Probes < 0 || e.Returned < 0:
		return fault.Newf(op, KindInvalid, "round %d, number of probes %d or of returned ones %d is too low", e.Round, e.Probes, e.Returned)
	case len(e.With) >= crash.MaxCause:
		return fault.Newf(op, KindInvalid, "a cause of %d suspects is too large", len(e.With)+1)
	}
	return nil
}

// entryFields has Entry's fields without its UnmarshalJSON, which would recurse.
type entryFields Entry

// UnmarshalJSON decodes and checks an entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	var fields entryFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return fault.New("decode entry", KindInvalid, err)
	}
	*e = Entry(fields)
	return e.check()
}
