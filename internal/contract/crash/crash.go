// Package crash defines what instances tell each other about crashed backend servers and the
// requests that the servers were working on.
//
// Points in time are sent as the time that has passed since, because the clocks of the
// instances differ.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strconv"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
)

// Suspect is something that may make servers crash: the hash of a prompt part's identifier, or the
// fingerprint of a request. Callers choose both, so their length and number have no bound.
type Suspect uint64

var partHash = hasher.Hasher{Salt: "prompt part"}

// PartOf returns the hash of a prompt part's identifier.
func PartOf(id string) Suspect { return Suspect(partHash.HashName(id)) }

// Fingerprint identifies a request. Repeats of a request have the same fingerprint, although their
// headers differ. Its hash is cryptographic, so that a caller can't give a request the fingerprint of
// another caller's.
func Fingerprint(method, host, target, caller string, body []byte) Suspect {
	digest := sha256.New()
	var size [8]byte
	for _, field := range []string{method, host, target, caller} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = digest.Write(size[:]) // a hash.Hash never returns an error
		_, _ = io.WriteString(digest, field)
	}
	_, _ = digest.Write(body)
	return Suspect(binary.LittleEndian.Uint64(digest.Sum(nil)))
}

// String formats the hash as 16 hexadecimal digits.
func (s Suspect) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// MarshalText encodes the hash as String does: not all decoders of JSON keep 64 bits of a number.
func (s Suspect) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes what MarshalText has encoded.
func (s *Suspect) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*s = Suspect(n)
	return err
}

// Progress is how far a server had got with an attempt when it crashed.
type Progress int

const (
	// Waiting means that the answer had not begun.
	Waiting Progress = iota
	// Starting means that the answer had begun shortly before the crash.
	Starting
)

// Victim is an attempt that a server held when it crashed. Attempts whose answers had been under
// way for longer are not reported: a part or request that crashes servers does so as an answer begins.
type Victim struct {
	// Parts holds the prompt parts that other requests may share, in the order of the prompt.
	Parts []Suspect
	// Fingerprint identifies the request; zero from an instance that does not report it.
	Fingerprint Suspect
	Progress    Progress
	// SentBefore is the time from the send to the crash.
	SentBefore clock.Millis
	// Stale is set if the crash was noticed on a kept connection that ended at once: the server may have
	// crashed some time before.
	Stale bool
}

// Suspects returns what may have caused the crash: the prompt parts and the request itself.
func (v Victim) Suspects() []Suspect {
	if v.Fingerprint == 0 {
		return v.Parts
	}
	return append(slices.Clip(v.Parts), v.Fingerprint)
}

// Report is what one instance lost by the crash of a server.
type Report struct {
	Server  backend.Incarnation
	Ago     clock.Millis
	Victims []Victim
}

// IsStale reports whether the crash may have happened some time before it was noticed.
func (r Report) IsStale() bool {
	return !slices.ContainsFunc(r.Victims, func(v Victim) bool { return !v.Stale })
}

// Ended is a server's crash without its victims.
type Ended struct {
	Server backend.Incarnation
	Ago    clock.Millis
	Stale  bool // as in Victim
}

// Inquiry asks all instances for their victims of crashes that they have not noticed, and for
// the suspects with which answers got past their beginning.
type Inquiry struct {
	Servers []Ended
	Parts   []Suspect // prompt parts and requests
}

// Clearing says that an answer to a request with the suspect got past its beginning.
type Clearing struct {
	Part Suspect // a prompt part or a request
	// BegunAgo is the time since that answer began.
	BegunAgo clock.Millis
}
