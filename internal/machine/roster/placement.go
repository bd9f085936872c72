package roster

import "example.com/dotterelwell/internal/machine/clock"

const (
	// cacheLifetime is how long a server is expected to cache a prompt part after its last use.
	cacheLifetime = 10 * clock.Second
	// maxPlacements bounds the parts of one generation. It is far above what one instance
	// sends within cacheLifetime.
	maxPlacements = 1 << 14
)

// placement records when a prompt part was last sent to a server.
type placement struct {
	row *row
	at  clock.Millis
}

// placements records to which servers this instance sent each shared prompt part, by the hash
// of the part's name. Entries live in two generations; rotation drops the older one. The zero
// value is ready to use.
type placements struct {
	current, previous map[uint64][]placement
	rotatedAt         clock.Millis
}

// record records that a part is sent to a server.
func (p *placements) record(part uint64, w *row, now clock.Millis) {
	if p.current == nil || now-p.rotatedAt >= cacheLifetime || len(p.current) >= maxPlacements {
		p.previous, p.current, p.rotatedAt = p.current, map[uint64][]placement{}, now
	}
	held := p.current[part]
	for i := range held {
		if held[i].row == w {
			held[i].at = now
			return
		}
	}
	p.current[part] = append(held, placement{row: w, at: now})
}

// mark sets cachedInDecision of the rows that are expected to have the part cached.
func (p *placements) mark(part, decision uint64, now clock.Millis) {
	for _, generation := range [...]map[uint64][]placement{p.current, p.previous} {
		for _, held := range generation[part] {
			if now-held.at < cacheLifetime {
				held.row.cachedInDecision = decision
			}
		}
	}
}
