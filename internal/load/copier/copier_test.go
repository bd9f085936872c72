package copier_test

import (
	"testing"

	"example.com/dotterelwell/internal/load/copier"
)

// TestCopies checks that a part is copied when that is sooner than to read it and others wait, and not when servers
// can't copy, the part is short, the link is slow or the servers are idle: copies are charged.
func TestCopies(t *testing.T) {
	for name, c := range map[string]struct {
		choice copier.Choice
		want   bool
	}{
		"long part, busy servers":   {copier.Choice{Reading: 200, Copying: 20, Wait: 300}, true},
		"servers can't copy":        {copier.Choice{Reading: 200, Wait: 300}, false},
		"short part":                {copier.Choice{Reading: 20, Copying: 2, Wait: 300}, false},
		"slow link":                 {copier.Choice{Reading: 200, Copying: 150, Wait: 300}, false},
		"a server that just began":  {copier.Choice{Reading: 200, Copying: 20}, false},
		"little work at the others": {copier.Choice{Reading: 600, Copying: 20, Wait: 40}, false},
	} {
		if got := c.choice.Copies(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
