// Package attributor finds the prompt parts that crash backend servers, from the reports of all
// instances.
//
// A part is guilty if it was in the prompts that several crashed servers were just beginning to
// answer, and no answer to a prompt with it has got past its beginning since. Servers that
// crash at the same moment, for example with their rack, count once.
package attributor

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// startingCrashes and anyCrashes are the numbers of crashes that make a part guilty: those just
	// after the beginning of an answer to it, and those with its prompt at the server at all.
	startingCrashes = 3
	anyCrashes      = 5
	// suspectCrashes is the number of crashes from which the instances are asked about a part.
	suspectCrashes = 2
	// commonShare is the share of the prompts at crashed servers above which a part is the last to
	// be suspected.
	commonShare = 0.9
	// momentSpan is the span in which crashes count as one, unless the prompt was sent to the
	// second server after the crash of the first.
	momentSpan clock.Millis = 100
	// sameCrashWindow is the span in which reports on one incarnation of a server are about the same crash.
	sameCrashWindow = 2 * clock.Second
	// hearingTime is how long after its first crash a part is found guilty at the earliest, so
	// that answers begun since can clear it.
	hearingTime clock.Millis = 1500
	// inquiryInterval is the time between two inquiries, and answerTime the time that an inquiry
	// takes to be answered.
	inquiryInterval clock.Millis = 400
	answerTime      clock.Millis = 200
	// inquirySpan is how long after the last crash inquiries are made.
	inquirySpan = 5 * clock.Second
	// crashRetention is how long crashes are remembered.
	crashRetention = 10 * clock.Minute

	// Bounds of memory and messages.
	maxCrashes      = 128
	maxParts        = 1 << 16
	maxCrashParts   = 4096
	maxInquiryParts = 64
	maxInquiryEnded = 16
	maxCleared      = 4096
)

// Attributor collects reports. Set the exported fields before use.
type Attributor struct {
	Clock *clock.Clock
	// QuarantinedFunc reports whether a part is known to crash servers. Nil means that none is.
	QuarantinedFunc func(part crash.Part) bool

	mu      sync.Mutex
	crashes []*crashed // in the order of their times
	cleared map[crash.Part]clock.Millis
	// askedAt is when the last inquiry was made, and asked what it contained.
	askedAt clock.Millis
	asked   map[crash.Part]bool
}

// crashed is one crash of a server.
type crashed struct {
	server  backend.Incarnation
	at      clock.Millis
	victims map[ident.Instance][]crash.Victim
	parts   int
}

// Merge takes in an instance's reports. Repeated reports have no effect.
func (a *Attributor) Merge(from ident.Instance, reports []crash.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for _, r := range reports {
		a.mergeOne(from, r, now-r.Ago)
	}
	a.forget(now)
}

func (a *Attributor) mergeOne(from ident.Instance, r crash.Report, at clock.Millis) {
	i := slices.IndexFunc(a.crashes, func(c *crashed) bool {
		return c.server == r.Server && max(c.at-at, at-c.at) < sameCrashWindow
	})
	if i < 0 {
		a.crashes = append(a.crashes, &crashed{server: r.Server, at: at, victims: map[ident.Instance][]crash.Victim{}})
		slices.SortFunc(a.crashes, func(x, y *crashed) int { return cmp.Compare(x.at, y.at) })
		i = slices.IndexFunc(a.crashes, func(c *crashed) bool { return c.server == r.Server && c.at == at })
	}
	c := a.crashes[i]
	if c.victims[from] != nil {
		return
	}
	kept := []crash.Victim{}
	for _, v := range r.Victims {
		if c.parts+len(v.Parts) <= maxCrashParts {
			c.parts += len(v.Parts)
			kept = append(kept, v)
		}
	}
	c.victims[from] = kept
}

// forget removes old crashes, and the oldest ones while there are too many. The lock must be held.
func (a *Attributor) forget(now clock.Millis) {
	parts := 0
	for _, c := range a.crashes {
		parts += c.parts
	}
	for len(a.crashes) > 0 && (now-a.crashes[0].at > crashRetention || len(a.crashes) > maxCrashes || parts > maxParts) {
		parts -= a.crashes[0].parts
		a.crashes = a.crashes[1:]
	}
	for part, at := range a.cleared {
		if now-at > crashRetention {
			delete(a.cleared, part)
		}
	}
}

// MergeCleared takes in which parts an instance has seen in answers past their beginning.
func (a *Attributor) MergeCleared(cleared []crash.Clearing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if a.cleared == nil {
		a.cleared = map[crash.Part]clock.Millis{}
	}
	for _, c := range cleared {
		if _, found := a.cleared[c.Part]; found || len(a.cleared) < maxCleared {
			a.cleared[c.Part] = max(a.cleared[c.Part], now-c.BegunAgo)
		}
	}
}

// tally counts the crashes of one part.
type tally struct {
	all, starting         int
	victims               int // prompts with the part that servers held as they crashed
	first                 clock.Millis
	lastAll, lastStarting clock.Millis
}

// add counts a crash at a time for a prompt that was sent at sentAt.
func (t *tally) add(at, sentAt clock.Millis, progress crash.Progress) {
	distinct := func(n int, last clock.Millis) bool { return n == 0 || at-last >= momentSpan || sentAt > last }
	if t.all == 0 {
		t.first = at
	}
	if distinct(t.all, t.lastAll) {
		t.all++
		t.lastAll = at
	}
	if progress == crash.Starting && distinct(t.starting, t.lastStarting) {
		t.starting++
		t.lastStarting = at
	}
}

// compare orders tallies by the crashes that the part explains. Of two parts in as many crashes the
// one with more prompts comes first: all prompts with the guilty part end with a crash.
func (t *tally) compare(other *tally) int {
	return cmp.Or(cmp.Compare(t.starting, other.starting), cmp.Compare(t.all, other.all), cmp.Compare(t.victims, other.victims))
}

// enough reports whether the crashes make the part guilty.
func (t *tally) enough() bool { return t.starting >= startingCrashes || t.all >= anyCrashes }

// tallies counts the crashes of each part since it was last clear, without the crashes that a part
// of explained has caused. blamed returns the parts of a victim's prompt to count. The lock must
// be held.
func (a *Attributor) tallies(explained map[crash.Part]bool, blamed func(v crash.Victim) []crash.Part) map[crash.Part]*tally {
	tallies := map[crash.Part]*tally{}
	for _, c := range a.crashes {
		if a.isExplained(c, explained) {
			continue
		}
		for part, e := range a.evidence(c, blamed) {
			if tallies[part] == nil {
				tallies[part] = &tally{}
			}
			tallies[part].add(c.at, e.sentAt, e.progress)
			tallies[part].victims += e.victims
		}
	}
	return tallies
}

// isExplained reports whether a server held a prompt with a part that is known to crash servers.
// The lock must be held.
func (a *Attributor) isExplained(c *crashed, explained map[crash.Part]bool) bool {
	for _, victims := range c.victims {
		for _, v := range victims {
			for _, part := range v.Parts {
				if explained[part] || a.QuarantinedFunc != nil && a.QuarantinedFunc(part) {
					return true
				}
			}
		}
	}
	return false
}

// evidence is what one crash says against a part: the last send of a prompt with it before the
// crash, the furthest progress and the number of prompts.
type evidence struct {
	sentAt   clock.Millis
	progress crash.Progress
	victims  int
}

func (a *Attributor) evidence(c *crashed, blamed func(v crash.Victim) []crash.Part) map[crash.Part]evidence {
	all := map[crash.Part]evidence{}
	for _, victims := range c.victims {
		for _, v := range victims {
			for _, part := range blamed(v) {
				if at, found := a.cleared[part]; found && at >= c.at {
					continue
				}
				e := all[part]
				all[part] = evidence{sentAt: max(e.sentAt, c.at-v.SentBefore), progress: max(e.progress, v.Progress), victims: e.victims + 1}
			}
		}
	}
	return all
}

func allParts(v crash.Victim) []crash.Part { return v.Parts }

// Inquiry returns what to ask all instances, and whether it is time to ask.
func (a *Attributor) Inquiry() (inquiry crash.Inquiry, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.forget(now)
	if len(a.crashes) < suspectCrashes || now-a.crashes[len(a.crashes)-1].at > inquirySpan {
		return crash.Inquiry{}, false
	}
	tallies := a.tallies(nil, allParts)
	suspects := slices.DeleteFunc(slices.Collect(maps.Keys(tallies)), func(p crash.Part) bool { return tallies[p].all < suspectCrashes })
	slices.SortFunc(suspects, func(x, y crash.Part) int {
		return cmp.Or(tallies[y].compare(tallies[x]), cmp.Compare(x, y))
	})
	inquiry.Parts = suspects[:min(len(suspects), maxInquiryParts)]
	for _, c := range slices.Backward(a.crashes) {
		if now-c.at <= inquirySpan && len(inquiry.Servers) < maxInquiryEnded {
			inquiry.Servers = append(inquiry.Servers, crash.Ended{Server: c.server, Ago: now - c.at})
		}
	}
	if now-a.askedAt < inquiryInterval {
		return inquiry, false
	}
	a.askedAt, a.asked = now, map[crash.Part]bool{}
	for _, part := range inquiry.Parts {
		a.asked[part] = true
	}
	return inquiry, true
}

// Guilty returns the parts that are found guilty now. They stay guilty until QuarantinedFunc
// reports them or an answer clears them.
func (a *Attributor) Guilty() []crash.Part {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if now-a.askedAt < answerTime {
		return nil
	}
	var guilty []crash.Part
	explained := map[crash.Part]bool{}
	for {
		part, found := a.mostGuilty(explained, now)
		if !found {
			return guilty
		}
		guilty, explained[part] = append(guilty, part), true
	}
}

// mostGuilty returns the part that best explains the crashes that no explained part has caused, if
// they are enough. The lock must be held.
func (a *Attributor) mostGuilty(explained map[crash.Part]bool, now clock.Millis) (most crash.Part, found bool) {
	candidates := a.tallies(explained, allParts)
	maps.DeleteFunc(candidates, func(part crash.Part, t *tally) bool {
		return !t.enough() || !a.asked[part] || a.askedAt < t.first+hearingTime-answerTime
	})
	if len(candidates) == 0 {
		return 0, false
	}
	prompts := a.prompts(explained)
	tallies := a.tallies(explained, func(v crash.Victim) []crash.Part { return a.blame(v, candidates) })
	for part, t := range tallies {
		if !t.enough() {
			continue
		}
		if !found || cmp.Or(compareCommon(candidates[most], candidates[part], prompts), t.compare(tallies[most]), cmp.Compare(most, part)) > 0 {
			most, found = part, true
		}
	}
	if found {
		t := tallies[most]
		klog.InfoS("Prompt part crashes servers", "part", most, "starting", t.starting, "all", t.all, "prompts", t.victims, "crashes", len(a.crashes), "first-ago-ms", now-t.first)
	}
	return most, found
}

// prompts returns the number of prompts that servers held as they crashed. The lock must be held.
func (a *Attributor) prompts(explained map[crash.Part]bool) int {
	n := 0
	for _, c := range a.crashes {
		if a.isExplained(c, explained) {
			continue
		}
		for _, victims := range c.victims {
			n += len(victims)
		}
	}
	return n
}

// compareCommon orders two parts by whether nearly all prompts have them: such a part is in every
// crash, whatever its cause.
func compareCommon(x, y *tally, prompts int) int {
	common := func(t *tally) int {
		if float64(t.victims) > commonShare*float64(prompts) {
			return 1
		}
		return 0
	}
	return cmp.Compare(common(x), common(y))
}

// blame returns the one part of a victim's prompt that explains the crash: of the candidates the
// part that has not been clear lately, and of these the last in the prompt. The parts before it
// are in the same prompts and, more often than it, in sound ones. The lock must be held.
func (a *Attributor) blame(v crash.Victim, candidates map[crash.Part]*tally) []crash.Part {
	best, bestClear := -1, false
	for i, part := range v.Parts {
		if candidates[part] == nil {
			continue
		}
		_, wasClear := a.cleared[part]
		if best < 0 || !wasClear || bestClear {
			best, bestClear = i, wasClear
		}
	}
	if best < 0 {
		return nil
	}
	return v.Parts[best : best+1]
}
