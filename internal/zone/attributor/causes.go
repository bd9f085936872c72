package attributor

import (
	"cmp"
	"maps"
	"slices"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
)

// causes holds known causes of crashes by the suspects that name them.
type causes map[crash.Suspect][]crash.Cause

// known returns the known causes.
func (a *Attributor) known() causes {
	known := causes{}
	if a.CausesFunc == nil {
		return known
	}
	for _, cause := range a.CausesFunc() {
		known.add(cause)
	}
	return known
}

func (c causes) add(cause crash.Cause) { c[cause[0]] = append(c[cause[0]], cause) }

// has reports whether a suspect is known to crash servers whatever else a request holds.
func (c causes) has(suspect crash.Suspect) bool {
	return slices.ContainsFunc(c[suspect], func(cause crash.Cause) bool { return len(cause) == 1 })
}

// at reports whether a known request, or a prompt with a known cause, was at a crash.
func (c causes) at(crashed *crashed) (request, part bool) {
	if len(c) == 0 {
		return false, false
	}
	for _, victims := range crashed.victims {
		for _, v := range victims {
			request = request || v.Fingerprint != 0 && c.has(v.Fingerprint)
			part = part || slices.ContainsFunc(v.Parts, func(p crash.Suspect) bool {
				return slices.ContainsFunc(c[p], func(cause crash.Cause) bool { return cause.HeldBy(v.Parts) })
			})
		}
	}
	return request, part
}

// joint returns the causes of several parts.
func (c causes) joint() []crash.Cause {
	var joint []crash.Cause
	for _, held := range c {
		for _, cause := range held {
			if len(cause) > 1 {
				joint = append(joint, cause)
			}
		}
	}
	return joint
}

// mostHeld returns how many parts of one cause a prompt has at most.
func mostHeld(causes []crash.Cause, parts []crash.Suspect) int {
	most := 0
	for _, cause := range causes {
		most = max(most, len(cause.In(parts)))
	}
	return most
}

// causesWith returns the causes of a guilty part's crashes: the part and those that were in one prompt with it at
// nearly all of its crashes, and are not in nearly all prompts. Where it came in few different companies, each
// of them is a cause. The lock must be held.
func (a *Attributor) causesWith(guilty crash.Suspect, all map[crash.Suspect]*tally, victims int) []crash.Cause {
	t := all[guilty]
	var prompts [][]prompt // of each crash
	for _, c := range slices.SortedFunc(maps.Keys(t.evidence), func(x, y *crashed) int { return cmp.Compare(x.at, y.at) }) {
		at := a.promptsWith(guilty, c, t.evidence[c].progress)
		for i := range at {
			at[i].parts = slices.DeleteFunc(at[i].parts, func(part crash.Suspect) bool {
				return part != guilty && all[part] != nil && all[part].isCommon(victims) && !t.isCommon(victims)
			})
		}
		if len(at) > 0 {
			prompts = append(prompts, at)
		}
	}
	requests, ever := requestsOf(prompts, guilty), countCrashes(prompts)
	var found []crash.Cause
	rest, most := prompts, (1-togetherShare)*float64(len(prompts))
	for len(found) < maxCompanies && float64(len(rest)) > most {
		counts := countCrashes(rest)
		others := slices.SortedFunc(maps.Keys(counts), func(x, y crash.Suspect) int { return cmp.Or(cmp.Compare(counts[y], counts[x]), cmp.Compare(x, y)) })
		others = slices.DeleteFunc(others, func(part crash.Suspect) bool {
			return part == guilty || counts[part] < min(startingCrashes, len(prompts)) || requests > 1 && requestsOf(rest, part) == 1
		})
		if len(others) == 0 {
			break
		}
		with := promptsHolding(rest, others[0])
		cause := crash.Cause{guilty, others[0]}
		least := togetherShare * float64(len(with))
		for _, part := range others[1:min(len(others), maxOptions)] {
			if and := promptsHolding(with, part); len(cause) < crash.MaxCause && float64(len(and)) >= least {
				cause, with = append(cause, part), and
			}
		}
		found = append(found, crash.CauseOf(rarestOf(cause, with[0][0].parts, ever), cause...))
		rest = slices.DeleteFunc(slices.Clone(rest), func(at []prompt) bool {
			return slices.ContainsFunc(at, func(p prompt) bool { return cause.HeldBy(p.parts) })
		})
	}
	if float64(len(rest)) > most {
		return []crash.Cause{{guilty}} // in so many companies that these don't matter
	}
	return found
}

// prompt holds the parts of a prompt and the request that it belongs to.
type prompt struct {
	parts   []crash.Suspect
	request crash.Suspect
}

// countCrashes returns at how many crashes each part was.
func countCrashes(prompts [][]prompt) map[crash.Suspect]int {
	counts := map[crash.Suspect]int{}
	for _, at := range prompts {
		seen := map[crash.Suspect]bool{}
		for _, p := range at {
			for _, part := range p.parts {
				if !seen[part] {
					seen[part] = true
					counts[part]++
				}
			}
		}
	}
	return counts
}

// requestsOf returns the number of requests with a part, 2 for any larger number. A single request may be at
// several crashes, with the parts that no other one has.
func requestsOf(prompts [][]prompt, part crash.Suspect) int {
	first, n := crash.Suspect(0), 0
	for _, at := range prompts {
		for _, p := range at {
			switch {
			case !slices.Contains(p.parts, part):
			case n == 0:
				first, n = p.request, 1
			case p.request != first:
				return 2
			}
		}
	}
	return n
}

// rarestOf returns the part of a cause that was at the fewest crashes, the last one in a prompt with all of it
// if there are several. It names the cause: builds that don't know the others refuse all requests with it.
func rarestOf(cause crash.Cause, prompt []crash.Suspect, counts map[crash.Suspect]int) crash.Suspect {
	rarest := cause[0]
	for _, part := range prompt {
		if slices.Contains(cause, part) && counts[part] <= counts[rarest] {
			rarest = part
		}
	}
	return rarest
}

// promptsHolding returns the prompts with a part, of the crashes that have any.
func promptsHolding(prompts [][]prompt, part crash.Suspect) [][]prompt {
	var with [][]prompt
	for _, at := range prompts {
		holding := slices.DeleteFunc(slices.Clone(at), func(p prompt) bool { return !slices.Contains(p.parts, part) })
		if len(holding) > 0 {
			with = append(with, holding)
		}
	}
	return with
}

// promptsWith returns the prompts with a part that a server held as it crashed, of those that had got as far as
// the given progress, without the parts that have been clear since. The lock must be held.
func (a *Attributor) promptsWith(part crash.Suspect, c *crashed, progress crash.Progress) []prompt {
	var prompts []prompt
	for _, from := range slices.Sorted(maps.Keys(c.victims)) {
		for _, v := range c.victims[from] {
			if len(prompts) == maxOptions || v.Progress != progress || !slices.Contains(v.Parts, part) {
				continue
			}
			parts := slices.DeleteFunc(slices.Clone(v.Parts), func(p crash.Suspect) bool { return a.clearSince(p, c.at) })
			prompts = append(prompts, prompt{parts: parts, request: v.Fingerprint})
		}
	}
	return prompts
}

// Narrowed returns the known causes of several parts of which only some were at a crash, with those parts, by
// the suspects that name the causes.
func (a *Attributor) Narrowed() map[crash.Suspect]crash.Cause {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	known := a.known()
	joint := known.joint()
	foundAt := map[crash.Suspect]clock.Millis{}
	earliest := now
	for _, cause := range joint {
		at, found := a.foundAt[cause[0]]
		if !found {
			at = now
		}
		foundAt[cause[0]], earliest = at, min(earliest, at)
	}
	a.foundAt = foundAt
	narrowed := map[crash.Suspect]crash.Cause{}
	if len(joint) == 0 || now-a.askedAt < answerTime {
		return narrowed
	}
	var unexplained []*crashed
	for _, c := range a.crashes {
		if request, part := known.at(c); c.at > earliest-rackSpan && !request && !part {
			unexplained = append(unexplained, c)
		}
	}
	for _, cause := range joint {
		if rest := a.partAtCrash(cause, unexplained, joint); len(rest) > 0 {
			narrowed[cause[0]] = rest
		}
	}
	return narrowed
}

// partAtCrash returns the part of a cause that was at one of the crashes, if it is the same for all requests
// there, and no server without it crashed at the same time. Crashes from before the cause was found have been
// judged. The lock must be held.
func (a *Attributor) partAtCrash(cause crash.Cause, crashes []*crashed, joint []crash.Cause) crash.Cause {
	var without []clock.Millis // when servers without any of the cause crashed
	shared := map[*crashed]crash.Cause{}
	for _, c := range crashes {
		part, same := a.sharedAt(c, cause, joint)
		switch {
		case len(part) == 0 && same:
			without = append(without, c.at)
		case same && c.exact && c.at > a.foundAt[cause[0]] && c.at <= a.askedAt:
			shared[c] = part
		}
	}
	for _, c := range crashes {
		inRack := slices.ContainsFunc(without, func(at clock.Millis) bool { return max(c.at-at, at-c.at) < rackSpan })
		if part := shared[c]; len(part) > 0 && !inRack {
			return part
		}
	}
	return nil
}

// sharedAt returns the part of a cause that requests at a crash had, and whether all of them that had any had the
// same. Requests that had more of another cause are left out. The lock must be held.
func (a *Attributor) sharedAt(c *crashed, cause crash.Cause, joint []crash.Cause) (shared crash.Cause, same bool) {
	for _, victims := range c.victims {
		for _, v := range victims {
			held := cause.In(v.Parts)
			if len(held) == 0 || mostHeld(joint, v.Parts) > len(held) {
				continue
			}
			part := slices.DeleteFunc(held, func(s crash.Suspect) bool { return a.clearSince(s, c.at) })
			if len(part) > 0 && len(shared) > 0 && !slices.Equal(part, shared) {
				return nil, false
			}
			if len(part) > 0 {
				shared = part
			}
		}
	}
	return shared, true
}
