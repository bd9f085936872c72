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
	// DelayPrompt is the time to first byte on routes with cache affinity, where the server first
	// processes a prompt. It depends on the server's prefix cache, which is almost empty on new
	// servers.
	DelayPrompt DelayKind = "prompt"
	// DelayPace is the mean time between two events of a stream (inter-token latency).
	DelayPace DelayKind = "pace"
)

// outcomeClass is the kind of evidence that counts answers and failures by route.
const outcomeClass = "outcome"

// subject returns the tally subject for one kind of evidence about a release, from a route's
// requests for a model. Its fields Model and Version hold the service and the release.
func subject(service declaration.ServiceName, release backend.Release, kind string, route string, model declaration.ModelName) tallier.Subject {
	return tallier.Subject{
		Class:   declaration.ClassName(kind + ":" + route + "/" + string(model)),
		Version: declaration.Ref{Model: declaration.ModelName(service), Version: declaration.VersionName(release)},
	}
}

// comparableDelays reports whether the delay distributions of a class can be compared between
// releases. Those of DelayPrompt cannot: they depend on the prefix caches of the servers.
func comparableDelays(class declaration.ClassName) bool {
	kind, _, _ := strings.Cut(string(class), ":")
	return kind != string(DelayPrompt)
}

// RecordAnswer counts an answer of a release.
func (s *Stager) RecordAnswer(service declaration.ServiceName, release backend.Release, route string) {
	s.Tallier.RecordSuccess(subject(service, release, outcomeClass, route, ""))
}

// RecordFailure counts a failed request to a release.
func (s *Stager) RecordFailure(service declaration.ServiceName, release backend.Release, route string) {
	s.Tallier.RecordFailure(subject(service, release, outcomeClass, route, ""))
}

// RecordDelay counts a delay of a release. Delays are compared separately for each model,
// because they differ more between models than between releases.
func (s *Stager) RecordDelay(service declaration.ServiceName, release backend.Release, kind DelayKind, route string, model declaration.ModelName, delay clock.Millis) {
	s.Tallier.RecordDelay(subject(service, release, string(kind), route, model), delay)
}

const (
	// minOverdueWait is the least wait for a first byte that counts as a delay before it ends.
	// Otherwise a release that became slow would stay undetected until its answers arrive.
	minOverdueWait = 2 * clock.Second
	// overdueFactor is the least wait that counts before it ends, as a multiple of the median
	// delay of all releases, so that only clearly long waits count.
	overdueFactor = 4
)

// pendingFirstByte is a request that waits for the first byte of its answer.
type pendingFirstByte struct {
	subject tallier.Subject
	sentAt  clock.Millis
	counted bool // as overdue
	reached func() bool
}

// TrackFirstByte records that a request was sent to a release. The caller must call done when the
// wait ends, with the time to first byte, or with found false if there was no first byte. A wait for a
// server that is not reached, by reached, says nothing about the release; nil means that it is.
func (s *Stager) TrackFirstByte(service declaration.ServiceName, release backend.Release, kind DelayKind, route string, model declaration.ModelName, reached func() bool) (done func(firstByte clock.Millis, found bool)) {
	wait := &pendingFirstByte{subject: subject(service, release, string(kind), route, model), sentAt: s.Clock.Now(), reached: reached}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[*pendingFirstByte]bool{}
	}
	s.pending[wait] = true
	return func(firstByte clock.Millis, found bool) {
		s.mu.Lock()
		delete(s.pending, wait)
		counted := wait.counted
		s.mu.Unlock()
		if found && !counted {
			s.Tallier.RecordDelay(wait.subject, firstByte)
		}
	}
}

// recordOverdue counts the waits that have not ended but are already long, each of them once.
func (s *Stager) recordOverdue() {
	now := s.Clock.Now()
	medians := map[tallier.Subject]float64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for wait := range s.pending {
		waited := now - wait.sentAt
		if wait.counted || waited < minOverdueWait || wait.reached != nil && !wait.reached() {
			continue
		}
		median, known := medians[wait.subject]
		if !known {
			median = s.medianDelay(wait.subject)
			medians[wait.subject] = median
		}
		if float64(waited) < overdueFactor*median {
			continue
		}
		wait.counted = true
		s.Tallier.RecordDelay(wait.subject, waited)
	}
}

// medianDelay returns the median delay of a subject's class over all releases of its service, in
// milliseconds.
func (s *Stager) medianDelay(like tallier.Subject) float64 {
	var total tallier.Sum
	for _, sub := range s.Tallier.Subjects() {
		if sub.Class == like.Class && sub.Version.Model == like.Version.Model {
			sum := s.Tallier.Sum(sub, 0)
			total.AddSum(&sum)
		}
	}
	_, median := total.MedianDelay()
	return median
}

// compareReleases tests the new release against the older ones with the tallies of this instance.
// hasAll tells whether these include the tallies of all instances.
func (s *Stager) compareReleases(order backend.Rollout, hasAll bool) judge.Finding {
	model := declaration.ModelName(order.Service)
	classes := map[declaration.ClassName]*judge.ClassEvidence{}
	for _, sub := range s.Tallier.Subjects() {
		if sub.Version.Model != model {
			continue
		}
		class := classes[sub.Class]
		if class == nil {
			class = &judge.ClassEvidence{ComparableDelays: comparableDelays(sub.Class)}
			classes[sub.Class] = class
		}
		sum := s.Tallier.Sum(sub, 0)
		if sub.Version.Version == declaration.VersionName(order.Target) {
			class.New.AddSum(&sum)
			continue
		}
		class.Old.AddSum(&sum)
	}
	evidence := make([]judge.ClassEvidence, 0, len(classes))
	for _, class := range classes {
		evidence = append(evidence, *class)
	}
	falseAlarm := falseAlarmProbability
	if !hasAll {
		falseAlarm = ownFalseAlarmProbability
	}
	return judge.Compare(evidence, guard, falseAlarm)
}
