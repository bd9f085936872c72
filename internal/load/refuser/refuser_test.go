package refuser_test

import (
	"testing"

	"example.com/dotterelwell/internal/load/refuser"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestRetryStorm guards against refused requests that come back together. Load: callers repeat at once and three times as
// often, with what is left of their time; servers let three of four requests wait for 700 ms, and half of them for 1.2 s.
func TestRetryStorm(t *testing.T) {
	waits := refuser.Waits{Low: 700, Median: 1200}
	const callers, bucket = 3000, 100
	returning := map[clock.Millis]int{}
	for caller := range uint64(callers) {
		if left := clock.Millis(caller % 700); !refuser.MustRefuse(left, 100, waits) {
			t.Fatalf("a repeat with %d ms left is sent to servers that start on it after its deadline", left)
		}
		after := refuser.RetryAfter(waits, caller*0x9e3779b97f4a7c15>>20)
		if after < 1200 {
			t.Fatalf("a caller is told to come back after %d ms, before there is room", after)
		}
		returning[after/bucket]++
	}
	for at, n := range returning {
		if n > callers/6 {
			t.Errorf("%d of %d callers come back within the same %d ms, at %d", n, callers, bucket, at*bucket)
		}
	}
	if refuser.MustRefuse(8000, 900, waits) {
		t.Error("a request with 8 s left is refused")
	}
}

// TestRoomInCalm checks that nothing is refused while servers have room, however little time a request has.
func TestRoomInCalm(t *testing.T) {
	for _, left := range []clock.Millis{-5, 1, 50, 1000} {
		if refuser.MustRefuse(left, 400, refuser.Waits{Median: 90}) {
			t.Errorf("a request with %d ms left is refused while a quarter of the requests finds no wait", left)
		}
	}
}
