package attributor

import (
	"cmp"
	"maps"
	"slices"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
)

// series counts crashes at different moments.
type series struct {
	count int
	last  clock.Millis
}

// add counts a crash that something sent at sentAt was at. With stale set, the crash may have happened
// up to staleSpan before at.
func (s *series) add(at, sentAt clock.Millis, stale bool) {
	sentOn := sentAt > s.last || sentAt == s.last && at > s.last
	if s.count == 0 || !stale && (at-s.last >= momentSpan || sentOn) || at-s.last >= staleSpan {
		s.count++
		s.last = at
	}
}

// tally counts the crashes of one suspect.
type tally struct {
	isRequest bool
	// all are the crashes with the suspect at the server, and starting those just after the beginning
	// of an answer. unexplained are those that no other suspect is known to have caused.
	all, starting, unexplained series
	victims                    int // requests with the suspect that servers held as they crashed
	first                      clock.Millis
	evidence                   map[*crashed]*evidence
}

func (t *tally) add(c *crashed, e *evidence) {
	at := c.at
	if t.all.count == 0 {
		t.first = at
	}
	t.evidence[c] = e
	t.all.add(at, e.sentAt, e.stale)
	if e.progress == crash.Starting {
		t.starting.add(at, e.sentAt, e.stale)
	}
	if !e.explained {
		t.unexplained.add(at, e.sentAt, e.stale)
	}
	t.victims += e.victims
}

// enough reports whether the crashes make the suspect guilty. all holds the tallies of all suspects. A part
// is not guilty if one request was at all of its crashes: the request explains as much.
func (t *tally) enough(all map[crash.Suspect]*tally) bool {
	if t.isRequest {
		return t.all.count >= requestCrashes && t.unexplained.count >= unexplainedCrashes
	}
	if t.starting.count < startingCrashes && t.all.count < anyCrashes {
		return false
	}
	for _, other := range all {
		if other.isRequest && len(other.evidence) >= t.all.count && t.without(other) == 0 {
			return false
		}
	}
	return true
}

// without returns the number of crashes, at different moments, that another suspect was not at.
func (t *tally) without(other *tally) int {
	var rest series
	for _, c := range slices.SortedFunc(maps.Keys(t.evidence), func(x, y *crashed) int { return cmp.Compare(x.at, y.at) }) {
		if other.evidence[c] == nil {
			rest.add(c.at, t.evidence[c].sentAt, t.evidence[c].stale)
		}
	}
	return rest.count
}

// compare orders tallies by the crashes that the suspect explains. Of a part and a request that are at as
// many crashes, the request comes first. Of two parts in as many crashes the one with more prompts does:
// all prompts with the guilty part end with a crash.
func (t *tally) compare(other *tally) int {
	switch byAll := cmp.Compare(t.all.count, other.all.count); {
	case byAll != 0 && (t.isRequest || other.isRequest):
		return byAll
	case t.isRequest && !other.isRequest:
		return 1
	case !t.isRequest && other.isRequest:
		return -1
	}
	return cmp.Or(cmp.Compare(t.starting.count, other.starting.count), cmp.Compare(t.all.count, other.all.count), cmp.Compare(t.victims, other.victims))
}

// isCommon reports whether nearly all requests at crashed servers have the part.
func (t *tally) isCommon(victims int) bool {
	return !t.isRequest && float64(t.victims) > commonShare*float64(victims)
}

// isTwin reports whether both are requests that were at the same crashes.
func (t *tally) isTwin(other *tally) bool {
	return t.isRequest && other.isRequest && t.first == other.first && t.all == other.all
}

// evidence is what one crash says against a suspect: the last send of a request with it before the
// crash, the furthest progress and the number of requests.
type evidence struct {
	isRequest bool
	sentAt    clock.Millis
	progress  crash.Progress
	victims   int
	explained bool // another suspect is known to have caused the crash
	stale     bool // the crash may have happened up to staleSpan before
}

// tallies counts the crashes of each suspect since it was last clear. Crashes with a known cause count as
// explained. The lock must be held.
func (a *Attributor) tallies(known causes) map[crash.Suspect]*tally {
	tallies := map[crash.Suspect]*tally{}
	for _, c := range a.crashes {
		for suspect, e := range a.evidence(c, known) {
			if tallies[suspect] == nil {
				tallies[suspect] = &tally{isRequest: e.isRequest, evidence: map[*crashed]*evidence{}}
			}
			tallies[suspect].add(c, e)
		}
	}
	return tallies
}

// evidence returns what a crash says against each suspect. A crash that known parts have caused says
// nothing against other parts.
func (a *Attributor) evidence(c *crashed, known causes) map[crash.Suspect]*evidence {
	byRequest, byPart := known.at(c)
	all := map[crash.Suspect]*evidence{}
	for _, victims := range c.victims {
		for _, v := range victims {
			sentAt := c.at - v.SentBefore
			for _, suspect := range v.Suspects() {
				isRequest := suspect == v.Fingerprint
				if a.clearSince(suspect, c.at) || !isRequest && byPart {
					continue
				}
				e := all[suspect]
				if e == nil {
					e = &evidence{isRequest: isRequest, explained: byRequest || byPart, stale: !c.exact}
					all[suspect] = e
				}
				e.sentAt, e.progress, e.victims = max(e.sentAt, sentAt), max(e.progress, v.Progress), e.victims+1
			}
		}
	}
	return all
}

// victims returns the number of requests that servers held as they crashed for an unknown cause. The
// lock must be held.
func (a *Attributor) victims(known causes) int {
	n := 0
	for _, c := range a.crashes {
		if request, part := known.at(c); request || part {
			continue
		}
		for _, victims := range c.victims {
			n += len(victims)
		}
	}
	return n
}

// clearSince reports whether an answer with the suspect got past its beginning that began after a crash. The
// lock must be held.
func (a *Attributor) clearSince(suspect crash.Suspect, crashedAt clock.Millis) bool {
	at, found := a.cleared[suspect]
	return found && at >= crashedAt
}

// gravest returns the requests, or the prompt parts, with the most crashes.
func gravest(tallies map[crash.Suspect]*tally, requests bool) []crash.Suspect {
	var suspects []crash.Suspect
	for suspect, t := range tallies {
		if t.isRequest == requests && t.all.count >= suspectCrashes {
			suspects = append(suspects, suspect)
		}
	}
	slices.SortFunc(suspects, func(x, y crash.Suspect) int {
		return cmp.Or(tallies[y].compare(tallies[x]), cmp.Compare(x, y))
	})
	return suspects[:min(len(suspects), maxInquiryParts)]
}
