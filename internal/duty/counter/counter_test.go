package counter_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/duty/counter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/property"
)

const length = 5 * clock.Second

type fleet struct{ now clock.Millis }

func (f *fleet) counter(name string, zone declaration.ZoneName) *counter.Counter {
	return &counter.Counter{
		NowFunc: func() clock.Millis { return f.now }, LengthFunc: func() clock.Millis { return length },
		Incarnation: ident.Incarnation(name), Zone: zone,
	}
}

func tell(from, to *counter.Counter) {
	to.Merge(from.Incarnation, counter.Report{Zone: from.Zone, Own: from.Own()})
}

func tellSums(from, to *counter.Counter, all bool) {
	to.Merge(from.Incarnation, counter.Report{Zone: from.Zone, Sums: from.Sums(all)})
}

// TestWatchersPassOn guards against counts that don't reach a holder through the watchers of three zones, or reach it twice,
// and against those of an instance that died after it told them, and of a watcher that was replaced.
func TestWatchersPassOn(t *testing.T) {
	f := &fleet{now: 1000 * length}
	var watchers []*counter.Counter
	want := 0
	for z := range 3 {
		zone := declaration.ZoneName(fmt.Sprintf("zone-%d", z))
		watcher, second := f.counter(fmt.Sprintf("watcher-%d", z), zone), f.counter(fmt.Sprintf("second-%d", z), zone)
		for i := range 10 {
			c := f.counter(fmt.Sprintf("front-%d-%d", z, i), zone)
			for range i + 1 {
				c.Count("acme")
				want++
			}
			tell(c, watcher)
			tell(c, watcher) // twice
			if i > 0 {       // one dies before the watcher is replaced
				tell(c, second)
			}
		}
		watchers = append(watchers, watcher, second)
	}
	for _, from := range watchers {
		for _, to := range watchers {
			tellSums(from, to, false)
		}
	}
	f.now += length
	holder := f.counter("holder", "zone-0")
	tellSums(watchers[0], holder, true)
	tellSums(watchers[1], holder, true)
	if got := holder.Total(1000)["acme"]; got != want {
		t.Errorf("%d requests, want %d", got, want)
	}
}

// TestPeriods guards against counts in a wrong period, and against periods that are kept for ever or taken in from an instance
// whose clock is hours off.
func TestPeriods(t *testing.T) {
	f := &fleet{now: 1000*length + length - 1}
	c := f.counter("a", "zone")
	c.Count("acme")
	f.now++
	c.Count("acme")
	if a, b := c.Total(1000)["acme"], c.Total(1001)["acme"]; a != 1 || b != 1 {
		t.Errorf("%d and %d", a, b)
	}
	c.Merge("b", counter.Report{Zone: "zone", Own: map[duty.Period]counter.Counts{2000: {"acme": 5}, 3: {"acme": 5}}})
	if first, _ := c.First(); first != 1000 || len(c.Total(2000)) > 0 {
		t.Errorf("first period %d, %v", first, c.Total(2000))
	}
	f.now += counter.KeepSpan + 2*length
	c.Count("acme")
	if len(c.Total(1000)) > 0 || len(c.Own()) != 1 {
		t.Errorf("%v, own %v", c.Total(1000), c.Own())
	}
}

// TestMerge plays messages in random order, some twice: the total depends only on which were heard.
func TestMerge(t *testing.T) {
	property.Check(t, 100, func(rt *rapid.T) {
		f := &fleet{now: 1000 * length}
		var reports []counter.Report
		var from []ident.Incarnation
		want := 0
		for i := range rapid.IntRange(1, 8).Draw(rt, "instances") {
			c := f.counter(fmt.Sprintf("front-%d", i), declaration.ZoneName(fmt.Sprintf("zone-%d", i%3)))
			for range rapid.IntRange(1, 5).Draw(rt, "messages") {
				for range rapid.IntRange(0, 3).Draw(rt, "requests") {
					c.Count("acme")
					want++
				}
				reports, from = append(reports, counter.Report{Zone: c.Zone, Own: c.Own()}), append(from, c.Incarnation)
			}
		}
		holder := f.counter("holder", "zone-0")
		for _, i := range rapid.Permutation(append(indexes(len(reports)), indexes(len(reports))...)).Draw(rt, "order") {
			holder.Merge(from[i], reports[i])
		}
		if got := holder.Total(1000)["acme"]; got != want {
			rt.Fatalf("%d requests, want %d", got, want)
		}
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestMessageSize guards against messages that exceed the budget of 6 KB/s an instance: 24 workspaces, all with requests in
// all periods told, twice a second.
func TestMessageSize(t *testing.T) {
	f := &fleet{now: 1000 * length}
	c := f.counter("front-hu-central-a-1.mhtn3a.0a1b2c", "hu-central-a")
	for range 12 {
		for w := range 24 {
			for range 400 {
				c.Count(declaration.WorkspaceName(fmt.Sprintf("name%d", 1000+w)))
			}
		}
		f.now += length
	}
	var first, second bytes.Buffer
	encoder := gob.NewEncoder(&first)
	report := counter.Report{Zone: c.Zone, Own: c.Own()}
	if err := encoder.Encode(report); err != nil {
		t.Fatal(err)
	}
	kinds := first.Len()
	if err := encoder.Encode(report); err != nil {
		t.Fatal(err)
	}
	second.Write(first.Bytes()[kinds:])
	if size := second.Len(); 2*size > 6000/2 {
		t.Errorf("%d bytes a message, %d of them a second exceed half of the budget", size, 2)
	}
}

// TestOverdue guards against a late report that only the holder of the duty could notice, and against one that is called late
// before all have heard that it was done.
func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   duty.Period
		counts bool
		age    clock.Millis // since the end of period 1000
		want   duty.Period
	}{
		{name: "no requests yet", age: 60 * clock.Second},
		{name: "in time", counts: true, age: 11 * clock.Second},
		{name: "none reported", counts: true, age: 13 * clock.Second, want: 1000},
		{name: "reported", sent: 1000, counts: true, age: 13 * clock.Second},
		{name: "the next one is late", sent: 1000, age: 18 * clock.Second, want: 1001},
	} {
		f := &fleet{now: 1000 * length}
		a := f.counter("a", "zone")
		if c.counts {
			a.Count("acme")
		}
		a.Merge("holder", counter.Report{Sent: c.sent})
		f.now = a.End(1000) + c.age
		period, since, late := a.Overdue(10 * clock.Second)
		if late != (c.want > 0) || late && (period != c.want || since != f.now-a.End(c.want)-10*clock.Second) {
			t.Errorf("%s: period %d, late for %d ms, %v", c.name, period, since, late)
		}
	}
}
