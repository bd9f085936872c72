// Package settler reports the usage of each period to the platform.
//
// The counts of a period are fixed in the store before the first report, by an object that is
// created only if it does not exist. Whoever holds the duty reports exactly these, in order, until
// the platform has acknowledged them.
package settler

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// ObjectKind is the kind of the objects that hold the counts of periods.
const ObjectKind storer.ObjectKind = "usage"

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that a stored object holds no counts of a period.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// stepEvery is the interval at which the holder looks for work.
	stepEvery clock.Millis = 200
	// fixDelay is how long after the end of a period its counts are fixed. Those of all
	// instances have arrived by then.
	fixDelay clock.Millis = 2800
	// lonelyDelay is the same for an instance that misses many peers.
	lonelyDelay clock.Millis = 7000
	// enoughTouch is the share of instances that must be in touch for fixDelay to apply.
	enoughTouch = 0.75
	// retryPause is the pause after a failed call of the store or the platform.
	retryPause clock.Millis = 600
	// keptPeriods is the number of acknowledged periods that stay in the store, so that a late
	// write finds the object of its period.
	keptPeriods = 12
	// maxBacklog bounds the periods that wait to be reported. Older ones are dropped.
	maxBacklog = 720
	// maxRejections is the number of refusals after which a period is given up.
	maxRejections = 3
)

// Settler fixes and reports the usage of periods while this instance holds the duty. Set the
// exported fields before use.
type Settler struct {
	Clock    *clock.Clock
	Store    *storer.Storer
	Platform *duty.Platform
	// HeldFunc returns the authority and whether this instance may act on it now.
	HeldFunc func() (duty.Authority, bool)
	// OnSuperseded is called when the platform has refused a term.
	OnSuperseded func(duty.Term)
	// OnStoreError is called when a call of the store failed.
	OnStoreError func()
	// NowFunc returns the true time.
	NowFunc func() clock.Millis
	// EndFunc returns when a period ends, and PeriodFunc the period of a point in true time.
	EndFunc    func(duty.Period) clock.Millis
	PeriodFunc func(clock.Millis) duty.Period
	// TotalFunc returns the counts of all instances in a period.
	TotalFunc func(duty.Period) map[declaration.WorkspaceName]int
	// FirstFunc returns the earliest period with counts, and false if there is none.
	FirstFunc func() (duty.Period, bool)
	// ProgressFunc returns the newest periods that peers told to be fixed and sent, and
	// OnProgress tells them.
	ProgressFunc func() (fixed, sent duty.Period)
	OnProgress   func(fixed, sent duty.Period)
	// KeepSpan is how long counts that are not fixed are known.
	KeepSpan clock.Millis
	// TouchFunc returns the share of the instances that this one reaches.
	TouchFunc func() float64
	// LateFunc returns how long after its end a period's report is late.
	LateFunc func() clock.Millis

	// The state belongs to Run, and mu guards what the metrics read.
	term       duty.Term
	listed     bool
	fixed      map[duty.Period]entry
	newest     duty.Period
	pauseUntil clock.Millis
	rejections int

	mu    sync.Mutex
	stats Stats
}

// record is the object that holds the usage of a period. Sent is the newest period that was known to
// be acknowledged when it was written.
type record struct {
	duty.Usage
	Sent duty.Period `json:"sent,omitempty"`
}

// entry is the fixed usage of a period.
type entry struct {
	usage  duty.Usage
	object storer.Object
	sent   bool
}

// Stats describes what a settler has done.
type Stats struct{ Sent, Late, Lost, Backlog int }

// Stats returns what the settler has done so far.
func (s *Settler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run reports usage while this instance holds the duty, until ctx ends.
func (s *Settler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.Step(ctx)
		_ = s.Clock.Sleep(ctx, stepEvery) // the loop ends when ctx is done
	}
	return nil
}

// Step does what is due: it fixes the next period and reports the oldest one that is fixed.
func (s *Settler) Step(ctx context.Context) {
	authority, held := s.HeldFunc()
	if !held || s.Clock.Now() < s.pauseUntil {
		return
	}
	if authority.Term != s.term || !s.listed {
		s.term = authority.Term
		if s.listed = s.load(ctx); !s.listed {
			return
		}
	}
	s.fixNext(ctx)
	s.reportOldest(ctx)
	s.removeOld(ctx)
	s.mu.Lock()
	s.stats.Backlog = len(s.unsent())
	s.mu.Unlock()
}

func (s *Settler) pause() { s.pauseUntil = s.Clock.Now() + retryPause }

// load reads what earlier holders fixed. What this instance itself fixed stands also where a
// restored store has lost it.
func (s *Settler) load(ctx context.Context) bool {
	changes, err := s.Store.List(ctx, ObjectKind, 0, 0)
	if err != nil {
		klog.InfoS("Fixed usage cannot be read", "err", err)
		s.OnStoreError()
		s.pause()
		return false
	}
	if s.fixed == nil {
		s.fixed = map[duty.Period]entry{}
	}
	toldFixed, toldSent := s.ProgressFunc()
	for _, o := range changes.Objects {
		if r, err := decode(o); err == nil {
			toldSent = max(toldSent, r.Sent)
		}
	}
	for _, o := range changes.Objects {
		r, err := decode(o)
		usage := r.Usage
		if err != nil {
			klog.InfoS("Ignored an invalid usage object", "object", o.Name, "err", err)
			s.newest = max(s.newest, periodOf(o.Name))
			continue
		}
		o.Era = changes.Era
		if _, found := s.fixed[usage.Period]; !found {
			s.fixed[usage.Period] = entry{usage: usage, object: o, sent: usage.Period <= toldSent}
		}
		s.newest = max(s.newest, usage.Period)
	}
	s.newest = max(s.newest, toldFixed, toldSent)
	klog.InfoS("Fixed usage is read", "term", s.term, "periods", len(s.fixed), "unsent", len(s.unsent()), "newest", s.newest)
	return true
}

func objectName(p duty.Period) string { return strconv.FormatInt(int64(p), 10) }

// periodOf returns the period that an object's name tells, or zero.
func periodOf(name string) duty.Period {
	p, err := strconv.ParseInt(name, 10, 64)
	if err != nil {
		return 0
	}
	return duty.Period(p)
}

func decode(o storer.Object) (record, error) {
	const op = "decode usage"
	var usage record
	if err := json.Unmarshal(o.Value, &usage); err != nil {
		return record{}, fault.New(op, KindInvalid, err)
	}
	if usage.Period <= 0 || objectName(usage.Period) != o.Name {
		return record{}, fault.Newf(op, KindInvalid, "object %s holds period %d", o.Name, usage.Period)
	}
	for workspace, n := range usage.Counts {
		if n < 0 || workspace == "" {
			return record{}, fault.Newf(op, KindInvalid, "object %s counts %d of workspace %q", o.Name, n, workspace)
		}
	}
	return usage, nil
}

// unsent returns the periods that are fixed and not acknowledged, the oldest first.
func (s *Settler) unsent() []duty.Period {
	var periods []duty.Period
	for p, e := range s.fixed {
		if !e.sent {
			periods = append(periods, p)
		}
	}
	slices.Sort(periods)
	return periods
}

// nextPeriod returns the next period to fix.
func (s *Settler) nextPeriod() (duty.Period, bool) {
	first, found := s.FirstFunc()
	if !found {
		return 0, false
	}
	if s.newest == 0 {
		return first, true
	}
	if kept := s.PeriodFunc(s.NowFunc() - s.KeepSpan); s.newest < kept {
		klog.InfoS("Usage of periods is lost, they were not fixed in time", "from", s.newest+1, "to", kept)
		s.note(func(stats *Stats) { stats.Lost += int(kept - s.newest) })
		s.newest = kept
	}
	return s.newest + 1, true
}

// fixNext fixes the counts of the next period if it is due.
func (s *Settler) fixNext(ctx context.Context) {
	period, found := s.nextPeriod()
	if !found {
		return
	}
	delay := fixDelay
	if s.TouchFunc() < enoughTouch {
		delay = lonelyDelay
	}
	if s.NowFunc() < s.EndFunc(period)+delay {
		return
	}
	usage := duty.Usage{Period: period, Counts: s.TotalFunc(period)}
	_, sent := s.ProgressFunc()
	value, err := json.Marshal(record{Usage: usage, Sent: sent})
	if err != nil {
		klog.ErrorS(err, "Usage cannot be encoded", "period", period)
		return
	}
	if _, held := s.HeldFunc(); !held {
		return
	}
	version, err := s.Store.Put(ctx, ObjectKind, objectName(period), value, storer.Precondition{Absent: true})
	if err != nil {
		// Another holder, or an earlier write without an answer, may have fixed the period.
		s.adopt(ctx, period, err)
		return
	}
	s.take(usage, storer.Object{Name: objectName(period), Version: version})
}

// take notes the fixed counts of a period.
func (s *Settler) take(usage duty.Usage, o storer.Object) {
	total := 0
	for _, n := range usage.Counts {
		total += n
	}
	klog.InfoS("Usage is fixed", "period", usage.Period, "term", s.term, "workspaces", len(usage.Counts), "requests", total, "age-ms", s.NowFunc()-s.EndFunc(usage.Period))
	s.fixed[usage.Period] = entry{usage: usage, object: o}
	s.newest = max(s.newest, usage.Period)
	s.OnProgress(s.newest, 0)
}

// adopt reads the counts of a period that this instance could not fix.
func (s *Settler) adopt(ctx context.Context, period duty.Period, cause error) {
	o, err := s.Store.Get(ctx, ObjectKind, objectName(period))
	if err != nil {
		klog.InfoS("Usage is not fixed", "period", period, "err", cause, "read-err", err)
		s.OnStoreError()
		s.pause()
		return
	}
	r, err := decode(o)
	if err != nil {
		klog.InfoS("Usage of a period is lost, its object is invalid", "period", period, "err", err)
		s.newest = max(s.newest, period)
		s.note(func(stats *Stats) { stats.Lost++ })
		return
	}
	s.take(r.Usage, o)
}

func (s *Settler) note(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// reportOldest reports the oldest period that is fixed and not acknowledged.
func (s *Settler) reportOldest(ctx context.Context) {
	waiting := s.unsent()
	if len(waiting) == 0 {
		return
	}
	period := waiting[0]
	e := s.fixed[period]
	authority, held := s.HeldFunc()
	if !held || authority.Term != s.term {
		return
	}
	err := s.Platform.Report(ctx, authority, e.usage)
	age := s.NowFunc() - s.EndFunc(period)
	switch duty.KindOf(err) {
	case "":
		if err == nil {
			klog.InfoS("Usage is reported", "period", period, "term", s.term, "age-ms", age, "backlog", len(waiting)-1)
			s.settle(period, age)
			return
		}
	case duty.KindPaced:
		return // not a failure; the next step may make the call
	case duty.KindSuperseded:
		klog.InfoS("Usage report is refused for a higher term", "period", period, "term", s.term, "age-ms", age)
		s.listed = false
		s.OnSuperseded(authority.Term)
		return
	case duty.KindRejected:
		if s.rejections++; s.rejections >= maxRejections {
			klog.ErrorS(err, "Usage of a period is lost, the platform rejects it", "period", period, "term", s.term)
			s.note(func(stats *Stats) { stats.Lost++ })
			s.finish(period)
			return
		}
	}
	klog.InfoS("Usage is not reported, will retry", "period", period, "term", s.term, "age-ms", age, "backlog", len(waiting), "err", err)
	s.pause()
}

// settle notes that the platform has acknowledged a period.
func (s *Settler) settle(period duty.Period, age clock.Millis) {
	late := age > s.LateFunc()
	if late {
		klog.InfoS("Usage was reported late", "period", period, "term", s.term, "age-ms", age)
	}
	s.note(func(stats *Stats) {
		stats.Sent++
		if late {
			stats.Late++
		}
	})
	s.finish(period)
}

func (s *Settler) finish(period duty.Period) {
	e := s.fixed[period]
	e.sent = true
	s.fixed[period] = e
	s.rejections = 0
	s.OnProgress(s.newest, period)
}

// removeOld deletes the object of one period that is long acknowledged, or too old to be reported.
func (s *Settler) removeOld(ctx context.Context) {
	if len(s.fixed) <= keptPeriods {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(s.fixed)))
	e := s.fixed[oldest]
	if !e.sent && len(s.fixed) <= maxBacklog {
		return
	}
	if !e.sent {
		klog.InfoS("Usage of a period is dropped, too many wait", "period", oldest, "waiting", len(s.fixed))
		s.note(func(stats *Stats) { stats.Lost++ })
	}
	delete(s.fixed, oldest)
	err := s.Store.Delete(ctx, ObjectKind, objectName(oldest), storer.Precondition{})
	if err != nil && storer.KindOf(err) != storer.KindNotFound {
		klog.InfoS("Old usage is not removed", "period", oldest, "err", err)
	}
}
