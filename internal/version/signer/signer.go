// Package signer makes and checks session tokens. A token names the version that a
// session keeps, so that every instance can read it and none has to remember it.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindForged means that no valid key signed the token.
	KindForged Kind = "forged"
	// KindExpired means that the token is too old.
	KindExpired Kind = "expired"
	// KindForeign means that the token belongs to another workspace or route.
	KindForeign Kind = "foreign"
	// KindNoKey means that the configuration holds no key.
	KindNoKey Kind = "no-key"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// validKeys is the number of keys, from the newest, that verify a token.
	validKeys = 2
	// DefaultLifetime is how long a token is valid when no span is set.
	DefaultLifetime = 24 * clock.Hour
	// maxTokenBytes bounds a token from outside.
	maxTokenBytes = 1024
)

// Session is what a token says.
type Session struct {
	Workspace declaration.WorkspaceName `json:"workspace"`
	Route     declaration.RouteName     `json:"route"`
	Version   declaration.Ref           `json:"version"`
	Key       declaration.KeyName       `json:"key"`
	Issued    clock.Millis              `json:"issued-ms"`
}

// Signer makes and checks tokens. Its zero value uses the system's clock and the
// default lifetime.
type Signer struct {
	Clock    *clock.Clock
	Lifetime clock.Millis
}

// Sign returns a token for a session with the newest of keys.
func (s *Signer) Sign(keys []declaration.SessionKey, session Session) (string, error) {
	const op = "sign session"
	if len(keys) == 0 {
		return "", fault.New(op, KindNoKey, nil)
	}
	session.Key = keys[0].Name
	session.Issued = s.Clock.Now()
	payload, err := json.Marshal(session)
	if err != nil {
		return "", fault.New(op, KindForged, err)
	}
	head := base64.RawURLEncoding.EncodeToString(payload)
	return head + "." + base64.RawURLEncoding.EncodeToString(mac(keys[0], head)), nil
}

// Verify reads a token that must belong to the workspace and route. keys are sorted
// from the newest; the two newest are valid.
func (s *Signer) Verify(keys []declaration.SessionKey, token string, workspace declaration.WorkspaceName, route declaration.RouteName) (Session, error) {
	const op = "verify session"
	session, err := open(keys, token)
	if err != nil {
		return Session{}, fault.New(op, KindForged, err)
	}
	if session.Workspace != workspace || session.Route != route {
		return Session{}, fault.Newf(op, KindForeign, "the token is for route %q of workspace %q", session.Route, session.Workspace)
	}
	lifetime := s.Lifetime
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	if age := s.Clock.Now() - session.Issued; age > lifetime {
		return Session{}, fault.Newf(op, KindExpired, "the token is %d ms old", age)
	}
	return session, nil
}

// open decodes a token whose signature is valid.
func open(keys []declaration.SessionKey, token string) (Session, error) {
	head, tail, found := strings.Cut(token, ".")
	if !found || len(token) > maxTokenBytes {
		return Session{}, errors.New("the token is malformed")
	}
	sum, err := base64.RawURLEncoding.DecodeString(tail)
	if err != nil {
		return Session{}, errors.New("the token's signature is malformed")
	}
	payload, err := base64.RawURLEncoding.DecodeString(head)
	if err != nil {
		return Session{}, errors.New("the token's payload is malformed")
	}
	for _, key := range keys[:min(len(keys), validKeys)] {
		if !hmac.Equal(sum, mac(key, head)) {
			continue
		}
		var session Session
		if err := json.Unmarshal(payload, &session); err != nil {
			return Session{}, err
		}
		return session, nil
	}
	return Session{}, errors.New("no valid key signed the token")
}

func mac(key declaration.SessionKey, head string) []byte {
	h := hmac.New(sha256.New, []byte(key.Secret))
	_, _ = h.Write([]byte(head)) // a hash never fails to take bytes
	return h.Sum(nil)
}
