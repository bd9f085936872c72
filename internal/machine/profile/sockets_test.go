package profile_test

import (
	"testing"

	"example.com/dotterelwell/internal/machine/profile"
)

// TestSockets guards against settings that allow more connections than the system does.
func TestSockets(t *testing.T) {
	for _, c := range []struct{ settings, system, want int }{
		{0, 0, 0}, {4096, 0, 3896}, {0, 1024, 984}, {4096, 120, 80}, {400, 20000, 200}, {100, 20, 1},
	} {
		if got := (profile.Profile{Descriptors: c.settings, OpenFiles: c.system}).Sockets(); got != c.want {
			t.Errorf("%d by the settings and %d by the system: %d sockets, want %d", c.settings, c.system, got, c.want)
		}
	}
}
