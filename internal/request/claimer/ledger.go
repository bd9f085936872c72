package claimer

import (
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// ledger is the state of every key of one shard, folded from the shard's log. The
// fold depends only on the order of the entries, which is the same for all readers.
type ledger struct {
	records map[ident.Key]claim.Entry
}

// apply folds one entry in and reports whether it changed anything.
func (l *ledger) apply(e claim.Entry) bool {
	if l.records == nil {
		l.records = map[ident.Key]claim.Entry{}
	}
	held, found := l.records[e.Key]
	switch e.State {
	case claim.StateClaimed:
		free := !found || held.State == claim.StateReleased && held.Nonce != e.Nonce
		if !free {
			return false
		}
	case claim.StateRan:
		if !found || held.Nonce != e.Nonce || held.State != claim.StateClaimed {
			return false
		}
		e = merge(held, e)
	case claim.StateReleased:
		if found && (held.Nonce != e.Nonce || held.State != claim.StateClaimed) {
			return false
		}
		if found {
			e = merge(held, e)
		}
	}
	l.records[e.Key] = e
	return true
}

// merge completes a later entry with what the claim said.
func merge(held, later claim.Entry) claim.Entry {
	later.Owner = held.Owner
	later.Request = held.Request
	later.Service = held.Service
	later.Digest = held.Digest
	return later
}

// verdict tells what became of an entry that has been applied or skipped.
func (l *ledger) verdict(e claim.Entry) Verdict {
	held := l.records[e.Key]
	won := held.Nonce == e.Nonce && held.State == e.State
	return Verdict{Won: won, Record: held}
}

// trim forgets keys that were last heard of before the given time.
func (l *ledger) trim(before clock.Millis) {
	for key, e := range l.records {
		if e.At < before {
			delete(l.records, key)
		}
	}
}

func (l *ledger) put(e claim.Entry) {
	if l.records == nil {
		l.records = map[ident.Key]claim.Entry{}
	}
	l.records[e.Key] = e
}

// unsettled returns the claims without an outcome.
func (l *ledger) unsettled() []claim.Entry {
	var open []claim.Entry
	for _, e := range l.records {
		if e.State == claim.StateClaimed {
			open = append(open, e)
		}
	}
	return open
}
