// Package attributor finds the requests and prompt parts that crash backend servers, from the
// reports of all instances.
//
// A part is guilty if it was in the prompts that several crashed servers were just beginning to
// answer, and no answer to a prompt with it has got past its beginning since. Other parts that were in
// the same prompts each time and have not been answered either are found together with it: nothing
// tells them apart. A request, known by its fingerprint, is guilty if several servers crashed that were
// working on it, and none has answered it since. Servers that crash at the same moment, for example with
// their rack, count once.
package attributor

import (
	"cmp"
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
	// requestCrashes is the number of crashes that make a request guilty, and unexplainedCrashes how many
	// of these must have no known cause.
	requestCrashes     = 3
	unexplainedCrashes = 2
	// suspectCrashes is the number of crashes from which the instances are asked about a suspect.
	suspectCrashes = 2
	// commonShare is the share of the prompts at crashed servers above which a part is the last to
	// be suspected.
	commonShare = 0.9
	// togetherShare is the share of the crashes of a guilty part at which another one must have been in the
	// same prompt to be found with it. The rest may have other causes.
	togetherShare = 0.75
	// momentSpan is the span in which crashes count as one, unless the prompt was sent to the
	// second server after the crash of the first.
	momentSpan clock.Millis = 100
	// staleSpan is how long before it is noticed on a kept connection a server may have crashed. It exceeds
	// the time for which most idle connections are kept.
	staleSpan = 5 * clock.Second
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
	// rackSpan is the span in which servers crash that have a common cause other than a request.
	rackSpan = 1 * clock.Second

	// Bounds of memory and messages.
	maxCrashes      = 128
	maxParts        = 1 << 16
	maxCrashParts   = 4096
	maxInquiryParts = 64 // each, prompt parts and requests
	maxInquiryEnded = 16
	maxCleared      = 4096
	maxOptions      = 32 // prompts of one crash, and parts, that are compared
	maxCompanies    = 3  // causes that are told apart by the company of one part
)

// Attributor collects reports. Set the exported fields before use.
type Attributor struct {
	Clock *clock.Clock
	// CausesFunc returns the known causes of crashes. Nil means that there are none.
	CausesFunc func() []crash.Cause

	mu      sync.Mutex
	crashes []*crashed // in the order of their times
	cleared map[crash.Suspect]clock.Millis
	// askedAt is when the last inquiry was made, and asked what it contained.
	askedAt clock.Millis
	asked   map[crash.Suspect]bool
	// releasedAt is when a suspect was last released: its crashes have no known cause since.
	releasedAt clock.Millis
	// foundAt is when this instance found causes or learned of them, by the suspects that name them.
	foundAt map[crash.Suspect]clock.Millis
}

// crashed is one crash of a server.
type crashed struct {
	server  backend.Incarnation
	at      clock.Millis
	victims map[ident.Instance][]crash.Victim
	parts   int
	// exact is set if an instance has noticed the crash as it happened.
	exact bool
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
	if i < 0 && r.IsStale() && slices.ContainsFunc(a.crashes, func(c *crashed) bool { return c.server == r.Server && c.at < at }) {
		return // an instance has noticed late that the server had crashed
	}
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
		c.exact = c.exact || !v.Stale
		if size := len(v.Suspects()); c.parts+size <= maxCrashParts {
			c.parts += size
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

// MergeCleared takes in which suspects an instance has seen in answers past their beginning.
func (a *Attributor) MergeCleared(cleared []crash.Clearing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if a.cleared == nil {
		a.cleared = map[crash.Suspect]clock.Millis{}
	}
	for _, c := range cleared {
		if _, found := a.cleared[c.Part]; found || len(a.cleared) < maxCleared {
			a.cleared[c.Part] = max(a.cleared[c.Part], now-c.BegunAgo)
		}
	}
}

// Release records that a suspect is not the cause of crashes so far.
func (a *Attributor) Release(suspect crash.Suspect) {
	a.MergeCleared([]crash.Clearing{{Part: suspect}})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releasedAt = a.Clock.Now()
}

// Inquiry returns what to ask all instances, and whether it is time to ask.
func (a *Attributor) Inquiry() (inquiry crash.Inquiry, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.forget(now)
	if len(a.crashes) < suspectCrashes || now-max(a.crashes[len(a.crashes)-1].at, a.releasedAt) > inquirySpan {
		return crash.Inquiry{}, false
	}
	inquiry.Parts = a.suspects()
	for _, c := range slices.Backward(a.crashes) {
		if now-c.at <= inquirySpan && len(inquiry.Servers) < maxInquiryEnded {
			inquiry.Servers = append(inquiry.Servers, crash.Ended{Server: c.server, Ago: now - c.at, Stale: !c.exact})
		}
	}
	if now-a.askedAt < inquiryInterval {
		return inquiry, false
	}
	a.askedAt, a.asked = now, map[crash.Suspect]bool{}
	for _, suspect := range inquiry.Parts {
		a.asked[suspect] = true
	}
	return inquiry, true
}

// suspects returns what instances are asked about: the requests and parts with the most crashes of unknown
// cause, the parts that known causes consist of, and as far as there is room the parts at crashes that these
// explain, which they may do wrongly. The lock must be held.
func (a *Attributor) suspects() []crash.Suspect {
	known := a.known()
	unexplained := a.tallies(known)
	suspects := append(gravest(unexplained, true), gravest(unexplained, false)...)
	seen := map[crash.Suspect]bool{}
	for _, suspect := range suspects {
		seen[suspect] = true
	}
	add := func(suspect crash.Suspect) {
		if len(suspects) < 2*maxInquiryParts && !seen[suspect] {
			seen[suspect] = true
			suspects = append(suspects, suspect)
		}
	}
	for _, suspect := range slices.Concat(known.joint()...) {
		add(suspect)
	}
	if len(known) > 0 {
		for _, suspect := range gravest(a.tallies(nil), false) {
			add(suspect)
		}
	}
	return suspects
}

// Guilty returns the causes that are found now. They stay guilty until CausesFunc returns them or an
// answer clears them.
func (a *Attributor) Guilty() []crash.Cause {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if now-a.askedAt < answerTime {
		return nil
	}
	var guilty []crash.Cause
	known := a.known()
	for {
		most := a.mostGuilty(known, now)
		if len(most) == 0 {
			return guilty
		}
		guilty = append(guilty, most...)
		for _, cause := range most {
			known.add(cause)
		}
	}
}

// mostGuilty returns the suspect that best explains the crashes that no known cause has caused, if they are
// enough, with the parts that nothing tells from it. Requests that were at the same crashes can't be told
// apart, and are returned together. The lock must be held.
func (a *Attributor) mostGuilty(known causes, now clock.Millis) []crash.Cause {
	all := a.tallies(known)
	most, found := crash.Suspect(0), false
	victims := a.victims(known)
	before := func(x, y crash.Suspect) bool {
		doubt := 0
		if !all[x].isRequest && !all[y].isRequest {
			doubt = cmp.Compare(a.doubt(y, all[y], victims), a.doubt(x, all[x], victims))
		}
		return cmp.Or(doubt, all[x].compare(all[y]), cmp.Compare(y, x)) > 0
	}
	for suspect, t := range all {
		if !a.asked[suspect] || known.has(suspect) || a.askedAt < t.first+hearingTime-answerTime || !t.enough(all) {
			continue
		}
		if !found || before(suspect, most) {
			most, found = suspect, true
		}
	}
	if !found {
		return nil
	}
	t := all[most]
	guilty := []crash.Cause{crash.CauseOf(most)}
	if !t.isRequest {
		guilty = a.causesWith(most, all, victims)
	}
	for suspect, other := range all {
		if suspect != most && a.asked[suspect] && !known.has(suspect) && other.enough(all) && other.isTwin(t) {
			guilty = append(guilty, crash.CauseOf(suspect))
		}
	}
	for _, cause := range guilty {
		t := cmp.Or(all[cause[0]], t)
		klog.InfoS("Cause of servers' crashes found", "suspect", cause[0], "with", cause[1:], "whole-request", t.isRequest, "starting", t.starting.count, "all", t.all.count, "requests", t.victims, "crashes", len(a.crashes), "first-ago-ms", now-t.first)
	}
	return guilty
}

// doubt rates the reasons to doubt that a part is guilty. Nearly all requests may have it: it is in every crash, whatever
// its cause. Less than that, answers to it may have got past their beginning before the crashes.
func (a *Attributor) doubt(part crash.Suspect, t *tally, victims int) int {
	doubt := 0
	if t.isCommon(victims) {
		doubt += 2
	}
	if _, wasClear := a.cleared[part]; wasClear {
		doubt++
	}
	return doubt
}
