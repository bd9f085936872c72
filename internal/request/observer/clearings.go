package observer

import (
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
)

// clearings holds when the last answer with a suspect began that got past its beginning.
type clearings map[crash.Suspect]clock.Millis

// record remembers a suspect as clear. It forgets others where there are too many.
func (c *clearings) record(suspect crash.Suspect, begunAt, now clock.Millis) {
	if *c == nil {
		*c = clearings{}
	}
	if len(*c) >= maxClear {
		c.forget(now)
	}
	(*c)[suspect] = max((*c)[suspect], begunAt)
}

// forget forgets the suspects that were clear longer than clearRetention ago, and half of the others if
// there are still too many.
func (c *clearings) forget(now clock.Millis) {
	for suspect, at := range *c {
		if now-at > clearRetention {
			delete(*c, suspect)
		}
	}
	for suspect := range *c {
		if len(*c) <= maxClear/2 {
			return
		}
		delete(*c, suspect)
	}
}
