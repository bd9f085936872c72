package signer_test

import (
	"strings"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/signer"
)

var (
	oldKey = declaration.SessionKey{Name: "k1", Secret: "first-secret-of-sixteen", Since: 1}
	midKey = declaration.SessionKey{Name: "k2", Secret: "second-secret-of-sixteen", Since: 2}
	newKey = declaration.SessionKey{Name: "k3", Secret: "third-secret-of-sixteen", Since: 3}
)

// TestTokens accepts a token of the two newest keys and refuses all others.
func TestTokens(t *testing.T) {
	now := clock.Hour
	s := &signer.Signer{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}}
	session := signer.Session{Workspace: "w", Route: "r", Version: declaration.Ref{Model: "m", Version: "1"}}
	token, err := s.Sign([]declaration.SessionKey{oldKey}, session)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name             string
		keys             []declaration.SessionKey
		token            string
		workspace, route string
		age              clock.Millis
		kind             signer.Kind
	}{
		{"valid", []declaration.SessionKey{oldKey}, token, "w", "r", 0, ""},
		{"one rotation later", []declaration.SessionKey{midKey, oldKey}, token, "w", "r", 0, ""},
		{"two rotations later", []declaration.SessionKey{newKey, midKey, oldKey}, token, "w", "r", 0, signer.KindForged},
		{"changed", []declaration.SessionKey{oldKey}, "A" + token[1:], "w", "r", 0, signer.KindForged},
		{"cut", []declaration.SessionKey{oldKey}, token[:len(token)-3], "w", "r", 0, signer.KindForged},
		{"no signature", []declaration.SessionKey{oldKey}, strings.Split(token, ".")[0], "w", "r", 0, signer.KindForged},
		{"another workspace's", []declaration.SessionKey{oldKey}, token, "other", "r", 0, signer.KindForeign},
		{"another route's", []declaration.SessionKey{oldKey}, token, "w", "other", 0, signer.KindForeign},
		{"expired", []declaration.SessionKey{oldKey}, token, "w", "r", signer.DefaultLifetime + 1, signer.KindExpired},
	} {
		now = clock.Hour + tt.age
		got, err := s.Verify(tt.keys, tt.token, declaration.WorkspaceName(tt.workspace), declaration.RouteName(tt.route))
		if signer.KindOf(err) != tt.kind || tt.kind == "" && got.Version != session.Version {
			t.Errorf("%s: session %+v, error %v, want kind %q", tt.name, got, err, tt.kind)
		}
	}
}

// FuzzVerify feeds arbitrary tokens; none may pass.
func FuzzVerify(f *testing.F) {
	f.Add("e30.AAAA")
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := (&signer.Signer{}).Verify([]declaration.SessionKey{oldKey}, token, "w", "r"); err == nil {
			t.Errorf("token %q passed", token)
		}
	})
}
