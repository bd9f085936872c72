package locator

import (
	"encoding/binary"
	"slices"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// maxNews bounds the placements in one message, and newsRetention is how long one is passed on: some rounds of
	// messages, after which it has reached the instances that are in contact.
	maxNews       = 48
	newsRetention = 3 * clock.Second
	// entryBytes is the size of a placement in a digest: part, holder, and when it is ready in milliseconds
	// from now.
	entryBytes = 4 + 4 + 2
	maxOffset  = 1<<15 - 1
)

// news is a placement that others are told.
type news struct {
	part    Part
	placed  Placement
	learned clock.Millis
}

// Tell has the next digests hold a placement that others can't work out from the list of servers. Of too many the
// newest are told.
func (l *Locator) Tell(part Part, placed Placement, now clock.Millis) {
	if i := slices.IndexFunc(l.news, func(n news) bool { return n.part == part && n.placed.Holder == placed.Holder }); i >= 0 {
		return
	}
	if len(l.news) == maxNews {
		l.news = slices.Delete(l.news, 0, 1)
	}
	l.news = append(l.news, news{part: part, placed: placed, learned: now})
}

// Digest returns the placements that were lately told by this instance or heard of, or nil.
func (l *Locator) Digest(now clock.Millis) []byte {
	l.news = slices.DeleteFunc(l.news, func(n news) bool { return now-n.learned >= newsRetention })
	var digest []byte
	for _, n := range l.news {
		offset := min(max(n.placed.ReadyAt-now, -maxOffset), maxOffset)
		digest = binary.LittleEndian.AppendUint32(digest, uint32(n.part))
		digest = binary.LittleEndian.AppendUint32(digest, uint32(n.placed.Holder))
		digest = binary.LittleEndian.AppendUint16(digest, uint16(int16(offset)))
	}
	return digest
}

// Merge records the placements of another instance's digest, and passes on those that are new here. A digest that
// is lost is made up for by the next ones; one that is heard twice changes nothing.
func (l *Locator) Merge(digest []byte, now clock.Millis) (merged int) {
	for ; len(digest) >= entryBytes && merged < maxNews; digest = digest[entryBytes:] {
		part := Part(binary.LittleEndian.Uint32(digest))
		placed := Placement{
			Holder:  Holder(binary.LittleEndian.Uint32(digest[4:])),
			ReadyAt: now + clock.Millis(int16(binary.LittleEndian.Uint16(digest[8:]))),
		}
		merged++
		if part == 0 || l.knows(part, placed.Holder) {
			continue
		}
		l.Record(part, placed, now)
		l.Tell(part, placed, now)
	}
	return merged
}

// knows reports whether a placement is recorded.
func (l *Locator) knows(part Part, holder Holder) bool {
	is := func(p Placement) bool { return p.Holder == holder }
	return slices.ContainsFunc(l.current[part], is) || slices.ContainsFunc(l.previous[part], is)
}
