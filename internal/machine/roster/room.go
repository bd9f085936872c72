package roster

import (
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// checkRoom returns an error if the server has more work before it than the request may find there.
func (w *row) checkRoom(want Want, now clock.Millis) error {
	if want.Room <= 0 {
		return nil
	}
	if wait := clock.Millis(w.estimatedWait(now)); wait > want.Room {
		return fault.Newf("acquire slot", KindNoRoom, "%s has %d ms of work before it", w.info.ID, wait)
	}
	return nil
}
