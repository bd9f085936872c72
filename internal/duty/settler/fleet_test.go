package settler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/duty/settler"
	"example.com/dotterelwell/internal/link/timekeeper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	length      = 5 * clock.Second
	lateAfter   = 10 * clock.Second
	firstPeriod = duty.Period(1000)
	testStep    = clock.Millis(200)
)

// reporter is what *testing.T and *rapid.T share.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet is a store, the platform, and the settlers of some instances, which count differently.
type fleet struct {
	t    reporter
	now  clock.Millis
	term duty.Term
	// holder is the instance that holds the duty, and believers those that believe so with an earlier term.
	members []*member

	down, storeDown   bool
	storeLoses        bool // writes are done, their answers are lost
	objects           map[string]storer.Object
	version           ident.StoreVersion
	storeCalls        int
	late              []func()
	delayWrites       clock.Millis
	mode              string // of the platform: "", "busy", "down", "silent", "late", "reject"
	fence             duty.Term
	reports           map[duty.Period]string
	order             []duty.Period
	calls, duplicates int
	at                map[duty.Period]clock.Millis
	lateAt            []clock.Millis
}

type member struct {
	*settler.Settler
	fleet       *fleet
	offset      int
	term        duty.Term // 0 if it does not believe that it holds the duty
	refused     int
	touch       float64
	noPlatform  bool
	keeper      timekeeper.Timekeeper
	fixed, sent duty.Period
}

func newFleet(t reporter, n int) *fleet {
	f := &fleet{t: t, now: clock.Millis(firstPeriod) * length, objects: map[string]storer.Object{}, reports: map[duty.Period]string{}, at: map[duty.Period]clock.Millis{}}
	for i := range n {
		f.members = append(f.members, f.newMember(i))
	}
	return f
}

// newMember starts an instance, whose counts differ from those of others, on a machine with the right time.
func (f *fleet) newMember(offset int) *member { return f.newMemberAt(offset, 0) }

// newMemberAt starts an instance on a machine whose time of day is ahead.
func (f *fleet) newMemberAt(offset int, ahead clock.Millis) *member {
	m := &member{fleet: f, offset: offset, touch: 1}
	m.keeper.Clock = &clock.Clock{NowFunc: func() clock.Millis { return f.now + ahead }}
	m.Settler = &settler.Settler{
		Clock: &clock.Clock{NowFunc: func() clock.Millis { return f.now }},
		Store: &storer.Storer{
			GetFunc: f.get, PutFunc: f.put, ListFunc: f.list,
			DeleteFunc: func(_ context.Context, _ storer.ObjectKind, name string, _ storer.Precondition) error {
				f.storeCalls++
				if f.storeDown {
					return fault.Newf("delete", storer.KindUnavailable, "down")
				}
				delete(f.objects, name)
				return nil
			},
		},
		Platform: &duty.Platform{ReportFunc: func(_ context.Context, authority duty.Authority, usage duty.Usage) error {
			if m.noPlatform {
				return fault.Newf("report", duty.KindUnavailable, "cut off")
			}
			return f.report(authority, usage)
		}},
		HeldFunc: func() (duty.Authority, bool) {
			return duty.Authority{Holder: ident.Instance(rune('a' + offset)), Term: m.term}, m.term > 0
		},
		OnSuperseded: func(term duty.Term) {
			m.refused++
			if m.term == term {
				m.term = 0
			}
		},
		OnStoreError: func() {},
		NowFunc:      m.keeper.Now,
		EndFunc:      func(p duty.Period) clock.Millis { return clock.Millis(p+1) * length },
		PeriodFunc:   func(at clock.Millis) duty.Period { return duty.Period(at / length) },
		TotalFunc: func(p duty.Period) map[declaration.WorkspaceName]int {
			return map[declaration.WorkspaceName]int{"acme": int(p)*10 + offset}
		},
		FirstFunc:    func() (duty.Period, bool) { return firstPeriod, f.now >= clock.Millis(firstPeriod)*length },
		ProgressFunc: func() (fixed, sent duty.Period) { return m.fixed, m.sent },
		OnProgress: func(fixed, sent duty.Period) {
			for _, other := range f.members { // peers are told
				other.fixed, other.sent = max(other.fixed, fixed), max(other.sent, sent)
			}
		},
		KeepSpan: 120 * clock.Second, TouchFunc: func() float64 { return m.touch }, LateFunc: func() clock.Millis { return lateAfter },
	}
	return m
}

func (f *fleet) get(_ context.Context, _ storer.ObjectKind, name string) (storer.Object, error) {
	f.storeCalls++
	o, found := f.objects[name]
	switch {
	case f.storeDown:
		return storer.Object{}, fault.Newf("get", storer.KindUnavailable, "down")
	case !found:
		return storer.Object{}, fault.Newf("get", storer.KindNotFound, "%s", name)
	}
	return o, nil
}

func (f *fleet) list(context.Context, storer.ObjectKind, ident.StoreVersion, clock.Millis) (storer.Changes, error) {
	f.storeCalls++
	if f.storeDown {
		return storer.Changes{}, fault.Newf("list", storer.KindUnavailable, "down")
	}
	return storer.Changes{Version: f.version, Objects: slices.Collect(maps.Values(f.objects))}, nil
}

func (f *fleet) put(_ context.Context, _ storer.ObjectKind, name string, value []byte, pre storer.Precondition) (ident.StoreVersion, error) {
	f.storeCalls++
	write := func() (ident.StoreVersion, error) {
		if _, found := f.objects[name]; found && pre.Absent {
			return 0, fault.Newf("put", storer.KindConflict, "%s", name)
		}
		f.version++
		f.objects[name] = storer.Object{Name: name, Version: f.version, Value: value}
		return f.version, nil
	}
	switch {
	case f.storeDown:
		return 0, fault.Newf("put", storer.KindUnavailable, "down")
	case f.delayWrites > 0:
		f.later(f.delayWrites, func() { _, _ = write() })
		return 0, fault.Newf("put", storer.KindUnavailable, "no answer")
	}
	version, err := write()
	if f.storeLoses {
		return 0, fault.Newf("put", storer.KindUnavailable, "no answer")
	}
	return version, err
}

func (f *fleet) later(delay clock.Millis, run func()) {
	f.lateAt, f.late = append(f.lateAt, f.now+delay), append(f.late, run)
}

// report is the platform's call.
func (f *fleet) report(authority duty.Authority, usage duty.Usage) error {
	f.calls++
	switch f.mode {
	case "busy":
		return fault.Newf("report", duty.KindBusy, "429")
	case "down":
		return fault.Newf("report", duty.KindUnavailable, "down")
	case "reject":
		return fault.Newf("report", duty.KindRejected, "400")
	case "late":
		f.later(12*clock.Second, func() { f.accept(authority.Term, usage) })
		return fault.Newf("report", duty.KindUnavailable, "no answer")
	}
	if !f.accept(authority.Term, usage) {
		return fault.Newf("report", duty.KindSuperseded, "409")
	}
	if f.mode == "silent" {
		return fault.Newf("report", duty.KindUnavailable, "no answer")
	}
	return nil
}

// accept does a call, and checks that a period has one set of counts.
func (f *fleet) accept(term duty.Term, usage duty.Usage) bool {
	if term < f.fence {
		return false
	}
	f.fence = term
	raw, err := json.Marshal(usage.Counts)
	if err != nil {
		f.t.Fatalf("%v", err)
	}
	before, found := f.reports[usage.Period]
	switch {
	case !found:
		f.reports[usage.Period], f.at[usage.Period] = string(raw), f.now
		f.order = append(f.order, usage.Period)
	case before != string(raw):
		f.t.Fatalf("period %d is reported as %s and as %s", usage.Period, before, raw)
	default:
		f.duplicates++
	}
	return true
}

// run lets time pass. All that believe that they hold the duty work.
func (f *fleet) run(span clock.Millis) {
	for end := f.now + span; f.now < end; f.now += testStep {
		for i := 0; i < len(f.late); i++ {
			if f.now >= f.lateAt[i] {
				f.late[i]()
				f.late, f.lateAt = slices.Delete(f.late, i, i+1), slices.Delete(f.lateAt, i, i+1)
				i--
			}
		}
		for _, m := range f.members {
			m.Step(context.Background())
		}
	}
}

// tellTime lets an instance hear the clocks of all others.
func (f *fleet) tellTime(m *member) {
	for i, other := range f.members {
		if other != m {
			m.keeper.Record(ident.Instance(fmt.Sprint(i)), ident.Incarnation(fmt.Sprint(other.offset)), other.keeper.Clock.Now(), m.keeper.Clock.Now(), m.keeper.Clock.Now())
		}
	}
}

// stepped returns the number of instances whose own clock is wrong.
func (f *fleet) stepped() int {
	n := 0
	for _, m := range f.members {
		if m.keeper.Clock.Now() != f.now {
			n++
		}
	}
	return n
}

// give gives the duty to a member with a higher term; the one before goes on if it is not told.
func (f *fleet) give(i int, told bool) {
	f.term++
	for _, m := range f.members {
		if told {
			m.term = 0
		}
	}
	f.members[i].term = f.term
}

// want checks that all periods up to now that are due were reported, in order, n of them late at most.
func (f *fleet) want(late int) {
	f.t.Helper()
	for p := firstPeriod; clock.Millis(p+1)*length+lateAfter <= f.now; p++ {
		at, found := f.at[p]
		if !found {
			f.t.Fatalf("period %d, %d s ago, is not reported", p, (f.now-clock.Millis(p+1)*length)/clock.Second)
		}
		if at > clock.Millis(p+1)*length+lateAfter {
			late--
		}
	}
	if late < 0 {
		f.t.Fatalf("%d reports more are late than allowed", -late)
	}
	if !slices.IsSorted(f.order) {
		f.t.Fatalf("reported in the order %v", f.order)
	}
}
