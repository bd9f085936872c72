package stager

import (
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/tallier"
)

// DelayKind tells which delay of an answer was measured.
type DelayKind string

// Kinds of delays.
const (
	// DelayFirstByte is the time to an answer's first byte.
	DelayFirstByte DelayKind = "first-byte"
	// DelayPrompt is that time where the server had a prompt to read first. It depends on
	// what the server has in memory, which is little at servers that are new.
	DelayPrompt DelayKind = "prompt"
	// DelayPace is the mean time between two events of a stream.
	DelayPace DelayKind = "pace"
)

// outcomeClass is the class of evidence that counts answers and failures by route.
const outcomeClass = "outcome"

// subject names the evidence of one kind about a release, in a route's requests for a
// model.
func subject(service declaration.ServiceName, release backend.Release, kind string, route string, model declaration.ModelName) tallier.Subject {
	return tallier.Subject{
		Class:   declaration.ClassName(kind + ":" + route + "/" + string(model)),
		Version: declaration.Ref{Model: declaration.ModelName(service), Version: declaration.VersionName(release)},
	}
}

// alike reports whether the distributions of a class's delays can be compared.
func alike(class declaration.ClassName) bool {
	kind, _, _ := strings.Cut(string(class), ":")
	return kind != string(DelayPrompt)
}

// RecordAnswer counts an answer of a release, and Failed one that failed.
func (s *Stager) RecordAnswer(service declaration.ServiceName, release backend.Release, route string) {
	s.Tallier.RecordSuccess(subject(service, release, outcomeClass, route, ""))
}

// RecordFailure counts a failure of a release.
func (s *Stager) RecordFailure(service declaration.ServiceName, release backend.Release, route string) {
	s.Tallier.RecordFailure(subject(service, release, outcomeClass, route, ""))
}

// RecordDelay counts a delay of a release. Delays are compared for each model by itself,
// because models differ more than releases.
func (s *Stager) RecordDelay(service declaration.ServiceName, release backend.Release, kind DelayKind, route string, model declaration.ModelName, delay clock.Millis) {
	s.Tallier.RecordDelay(subject(service, release, string(kind), route, model), delay)
}

const (
	// overdueAfter is the least wait for a first byte that counts as a delay before it
	// ends: a release that got slow must not hide behind the answers that it owes.
	overdueAfter = 2 * clock.Second
	// overdueFactor is the least such wait as a multiple of the median of all releases, so
	// that what is counted is a long delay by any comparison.
	overdueFactor = 4
)

// wait is the wait for one answer's first byte.
type wait struct {
	subject tallier.Subject
	since   clock.Millis
	counted bool
}

// TrackFirstByte notes that a release is asked for an answer. The function that it returns must
// be told of the time to the first byte, or that there is none.
func (s *Stager) TrackFirstByte(service declaration.ServiceName, release backend.Release, kind DelayKind, route string, model declaration.ModelName) (heard func(firstByte clock.Millis, found bool)) {
	w := &wait{subject: subject(service, release, string(kind), route, model), since: s.Clock.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits == nil {
		s.waits = map[*wait]bool{}
	}
	s.waits[w] = true
	return func(firstByte clock.Millis, found bool) {
		s.mu.Lock()
		delete(s.waits, w)
		counted := w.counted
		s.mu.Unlock()
		if found && !counted {
			s.Tallier.RecordDelay(w.subject, firstByte)
		}
	}
}

// countOverdue counts the waits that are long already.
func (s *Stager) countOverdue() {
	now := s.Clock.Now()
	usual := map[tallier.Subject]float64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waits {
		waited := now - w.since
		if w.counted || waited < overdueAfter {
			continue
		}
		delay, known := usual[w.subject]
		if !known {
			delay = s.usualDelay(w.subject)
			usual[w.subject] = delay
		}
		if float64(waited) < overdueFactor*delay {
			continue
		}
		w.counted = true
		s.Tallier.RecordDelay(w.subject, waited)
	}
}

// usualDelay returns the median delay over all releases, in milliseconds.
func (s *Stager) usualDelay(of tallier.Subject) float64 {
	var all tallier.Sum
	for _, sub := range s.Tallier.Subjects() {
		if sub.Class == of.Class && sub.Version.Model == of.Version.Model {
			sum := s.Tallier.Sum(sub, 0)
			all.AddSum(&sum)
		}
	}
	_, median := all.MedianDelay()
	return median
}

// weigh compares the new release with the older ones by the evidence at hand, which is
// that of all instances where collects is set.
func (s *Stager) weigh(order backend.Rollout, collects bool) judge.Finding {
	model := declaration.ModelName(order.Service)
	classes := map[declaration.ClassName]*judge.ClassEvidence{}
	for _, sub := range s.Tallier.Subjects() {
		if sub.Version.Model != model {
			continue
		}
		p := classes[sub.Class]
		if p == nil {
			p = &judge.ClassEvidence{ComparableDelays: alike(sub.Class)}
			classes[sub.Class] = p
		}
		sum := s.Tallier.Sum(sub, 0)
		if sub.Version.Version == declaration.VersionName(order.Target) {
			p.New.AddSum(&sum)
			continue
		}
		p.Old.AddSum(&sum)
	}
	pairs := make([]judge.ClassEvidence, 0, len(classes))
	for _, p := range classes {
		pairs = append(pairs, *p)
	}
	alarm := falseAlarm
	if !collects {
		alarm = ownAlarm
	}
	return judge.Compare(pairs, guard, alarm)
}
