package claimer

import (
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// ledger is the current state of every key of one shard, computed by applying the
// entries of the shard's log in order. All readers see the same order and so compute
// the same state.
type ledger struct {
	records map[ident.Key]claim.Entry
}

// apply applies one entry and reports whether it changed the ledger.
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

// merge returns the later entry with the owner, request, service and digest of the
// entry held before.
func merge(held, later claim.Entry) claim.Entry {
	later.Owner = held.Owner
	later.Request = held.Request
	later.Service = held.Service
	later.Digest = held.Digest
	return later
}

// verdict returns the verdict on an entry after it has been applied or ignored.
func (l *ledger) verdict(e claim.Entry) Verdict {
	held := l.records[e.Key]
	won := held.Nonce == e.Nonce && held.State == e.State
	return Verdict{Won: won, Record: held}
}

// trim removes keys whose last entry is older than the given time.
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

// unsettled returns the claims that have neither an outcome nor a release.
func (l *ledger) unsettled() []claim.Entry {
	var claims []claim.Entry
	for _, e := range l.records {
		if e.State == claim.StateClaimed {
			claims = append(claims, e)
		}
	}
	return claims
}
