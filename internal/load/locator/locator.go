// Package locator tells which servers are expected to keep a part of a prompt for a model: its
// homes, which follow from the list of servers alone, and the servers to which the part was sent.
package locator

import (
	"slices"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// Retention is how long a server is expected to keep a part after its last use.
	Retention = 10 * clock.Second
	// maxParts bounds the parts of one generation. It is far above what one instance learns of within
	// Retention.
	maxParts = 1 << 14
	// maxPlacements bounds the placements of one part in a generation; the one that was ready first yields.
	maxPlacements = 8
)

// Part is the hash of a part's name and of the model that reads it.
type Part uint32

// Holder is the hash of one incarnation of a server: a server that restarts keeps nothing.
type Holder uint32

// Placement tells that a server was sent a part. It is expected to keep the part from ReadyAt on.
type Placement struct {
	Holder  Holder
	ReadyAt clock.Millis
}

// Locator holds the placements of parts. They live in two generations; rotation drops the older
// one. The zero value is ready to use.
type Locator struct {
	current, previous map[Part][]Placement
	rotatedAt         clock.Millis
	// news holds the placements that others are told, the oldest first.
	news []news
}

// Record records a placement, of this instance or one heard of. A server that has the part already or is reading it
// is not made to read it again.
func (l *Locator) Record(part Part, placed Placement, now clock.Millis) {
	if l.current == nil || now-l.rotatedAt >= Retention || len(l.current) >= maxParts {
		l.previous, l.current, l.rotatedAt = l.current, l.previous, now
		clear(l.current)
		if l.current == nil {
			l.current = map[Part][]Placement{}
		}
	}
	held := l.current[part]
	if i := slices.IndexFunc(held, func(p Placement) bool { return p.Holder == placed.Holder }); i >= 0 {
		switch ready := held[i].ReadyAt; {
		case ready <= now && placed.ReadyAt <= now:
			held[i].ReadyAt = max(ready, placed.ReadyAt)
		case ready <= now:
			held[i].ReadyAt = now // used again
		default:
			held[i].ReadyAt = min(ready, placed.ReadyAt)
		}
		return
	}
	if len(held) >= maxPlacements {
		oldest := 0
		for i := range held {
			if held[i].ReadyAt < held[oldest].ReadyAt {
				oldest = i
			}
		}
		held[oldest] = placed
		return
	}
	l.current[part] = append(held, placed)
}

// Append appends the placements of a part that still hold to found; a server may be among them twice.
func (l *Locator) Append(found []Placement, part Part, now clock.Millis) []Placement {
	for _, generation := range [...]map[Part][]Placement{l.current, l.previous} {
		for _, p := range generation[part] {
			if now-p.ReadyAt < Retention {
				found = append(found, p)
			}
		}
	}
	return found
}
