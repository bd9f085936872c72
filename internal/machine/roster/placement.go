package roster

import "example.com/dotterelwell/internal/machine/clock"

const (
	// keptSpan is how long a prompt part is expected to be kept after its last use.
	keptSpan = 10 * clock.Second
	// maxPlacements bounds the parts that are remembered at once. It is far above what one
	// instance sends within keptSpan.
	maxPlacements = 1 << 14
)

// placement is when a prompt part was last sent to a server.
type placement struct {
	row *row
	at  clock.Millis
}

// placements holds where this instance sent each shared part of prompts, by the hash of
// its name. Old ones go in two generations. Its zero value is ready.
type placements struct {
	young, old map[uint64][]placement
	turned     clock.Millis
}

// note remembers that a part is sent to a server.
func (p *placements) note(part uint64, w *row, now clock.Millis) {
	if p.young == nil || now-p.turned >= keptSpan || len(p.young) >= maxPlacements {
		p.old, p.young, p.turned = p.young, map[uint64][]placement{}, now
	}
	held := p.young[part]
	for i := range held {
		if held[i].row == w {
			held[i].at = now
			return
		}
	}
	p.young[part] = append(held, placement{row: w, at: now})
}

// mark notes the decision in the rows that are expected to keep a part.
func (p *placements) mark(part, decision uint64, now clock.Millis) {
	for _, generation := range [...]map[uint64][]placement{p.young, p.old} {
		for _, held := range generation[part] {
			if now-held.at < keptSpan {
				held.row.keptIn = decision
			}
		}
	}
}
