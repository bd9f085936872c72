package dialer

import (
	"testing"

	"example.com/dotterelwell/internal/machine/clock"
)

// TestOptionsBearSilence guards against socket options by which the kernel takes an end for gone that was silent for two
// seconds: one of its keep-alive probes, and one of its retransmissions, must come after that.
func TestOptionsBearSilence(t *testing.T) {
	const silence = 2 * clock.Second
	// The silence begins just before the first probe. Without TCP_USER_TIMEOUT the connection is closed in place of the
	// probe after probeCount ones, with it in place of the first one that is due when the time has passed.
	last := probeInterval
	for last+probeInterval < unackedTimeout {
		last += probeInterval
	}
	if last < probeInterval+silence {
		t.Errorf("TCP_USER_TIMEOUT of %d ms: the last probe is sent after %d ms of silence", unackedTimeout, last-probeInterval)
	}
	if last := probeCount * probeInterval; last < probeInterval+silence {
		t.Errorf("%d probes: the last one is sent after %d ms of silence", probeCount, last-probeInterval)
	}
	// Linux retransmits after 200 ms at the earliest, and doubles the time.
	last = 0
	for wait := clock.Millis(200); last+wait < unackedTimeout; wait *= 2 {
		last += wait
	}
	if last < silence {
		t.Errorf("TCP_USER_TIMEOUT of %d ms: the last retransmission is sent after %d ms of silence", unackedTimeout, last)
	}
}

// TestDialBearsLoss guards against connections to servers that fail because the first packet was lost: TCP repeats it after a
// second, and the answer takes some time.
func TestDialBearsLoss(t *testing.T) {
	const retransmission, path = clock.Second, 100
	if dialTimeout < retransmission+path {
		t.Errorf("a dial ends after %d ms, and its first packet is repeated after %d ms", dialTimeout, retransmission)
	}
}
