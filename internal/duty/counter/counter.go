// Package counter counts, by workspace and period of true time, the requests that began to run.
//
// Each instance tells its counts with the messages to its peers. In a large fleet the watcher of a
// zone sums those of the zone and passes the sums on to the other watchers and to the holder of the
// duty. Counts only rise, so merging takes the greater one and is idempotent; what an instance
// counted survives it at all that have heard of it.
package counter

import (
	"maps"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// tellSpan is how long after the end of a period its counts are told to peers.
	tellSpan = 12 * clock.Second
	// KeepSpan is how long after the end of a period its counts are kept, for a store that is
	// away.
	KeepSpan = 120 * clock.Second
	// hearSpan is the time within which all instances hear that a period was reported.
	hearSpan = 2 * clock.Second
)

// Counts holds the requests of each workspace.
type Counts map[declaration.WorkspaceName]int

// Sum holds the counts of all instances of an availability zone in one period.
type Sum struct {
	Zone   declaration.ZoneName
	Period duty.Period
	Counts Counts
}

// Report is what an instance tells a peer.
type Report struct {
	Zone declaration.ZoneName
	// Own holds the sender's counts of the latest periods.
	Own  map[duty.Period]Counts
	Sums []Sum
	// Fixed and Sent are the newest periods whose counts are known to be fixed and to have been
	// reported to the platform.
	Fixed, Sent duty.Period
}

// Counter holds the counts of this instance and those that peers told. Set the exported fields
// before use.
type Counter struct {
	// NowFunc returns the true time.
	NowFunc     func() clock.Millis
	LengthFunc  func() clock.Millis
	Incarnation ident.Incarnation
	Zone        declaration.ZoneName

	mu sync.Mutex
	// heard holds the counts of single instances, this one included, by zone.
	heard       map[duty.Period]map[ident.Incarnation]zoneCounts
	sums        map[duty.Period]map[declaration.ZoneName]Counts
	fixed, sent duty.Period
}

type zoneCounts struct {
	zone   declaration.ZoneName
	counts Counts
}

// PeriodAt returns the period of a point in true time.
func (c *Counter) PeriodAt(now clock.Millis) duty.Period { return duty.Period(now / c.LengthFunc()) }

// End returns when a period ends, in true time.
func (c *Counter) End(p duty.Period) clock.Millis { return clock.Millis(p+1) * c.LengthFunc() }

// Count counts a request that begins to run now.
func (c *Counter) Count(workspace declaration.WorkspaceName) {
	period := c.PeriodAt(c.NowFunc())
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.countsOf(period, c.Incarnation, c.Zone)
	counts[workspace]++
}

// countsOf returns the counts of an instance in a period. The lock must be held.
func (c *Counter) countsOf(period duty.Period, incarnation ident.Incarnation, zone declaration.ZoneName) Counts {
	if c.heard == nil {
		c.heard = map[duty.Period]map[ident.Incarnation]zoneCounts{}
	}
	if c.heard[period] == nil {
		c.heard[period] = map[ident.Incarnation]zoneCounts{}
		c.expire()
	}
	if c.heard[period][incarnation].counts == nil {
		c.heard[period][incarnation] = zoneCounts{zone: zone, counts: Counts{}}
	}
	return c.heard[period][incarnation].counts
}

// expire forgets periods that ended long ago. The lock must be held.
func (c *Counter) expire() {
	now := c.NowFunc()
	old := func(p duty.Period) bool { return c.End(p)+KeepSpan < now }
	maps.DeleteFunc(c.heard, func(p duty.Period, _ map[ident.Incarnation]zoneCounts) bool { return old(p) })
	maps.DeleteFunc(c.sums, func(p duty.Period, _ map[declaration.ZoneName]Counts) bool { return old(p) })
}

// told reports whether the counts of a period are still told, and merged if a peer tells them.
func (c *Counter) told(p duty.Period, now clock.Millis, span clock.Millis) bool {
	return c.End(p)+span >= now && c.End(p) <= now+c.LengthFunc()+span
}

// Own returns this instance's counts of the latest periods, for a message.
func (c *Counter) Own() map[duty.Period]Counts {
	now := c.NowFunc()
	c.mu.Lock()
	defer c.mu.Unlock()
	own := map[duty.Period]Counts{}
	for p, all := range c.heard {
		if counts := all[c.Incarnation].counts; len(counts) > 0 && c.told(p, now, tellSpan) {
			own[p] = maps.Clone(counts)
		}
	}
	return own
}

// Sums returns the sums of the latest periods of the zones that a peer wants: of this instance's
// zone, or of all zones for periods that have ended.
func (c *Counter) Sums(all bool) []Sum {
	now := c.NowFunc()
	c.mu.Lock()
	defer c.mu.Unlock()
	var sums []Sum
	for p := c.PeriodAt(now - tellSpan); p <= c.PeriodAt(now); p++ {
		if all && c.End(p) > now {
			continue
		}
		for zone, counts := range c.byZone(p) {
			if (all || zone == c.Zone) && len(counts) > 0 {
				sums = append(sums, Sum{Zone: zone, Period: p, Counts: counts})
			}
		}
	}
	return sums
}

// byZone returns the counts of each zone in a period. The lock must be held.
func (c *Counter) byZone(p duty.Period) map[declaration.ZoneName]Counts {
	zones := map[declaration.ZoneName]Counts{}
	for _, one := range c.heard[p] {
		if zones[one.zone] == nil {
			zones[one.zone] = Counts{}
		}
		for workspace, n := range one.counts {
			zones[one.zone][workspace] += n
		}
	}
	for zone, counts := range c.sums[p] {
		if zones[zone] == nil {
			zones[zone] = Counts{}
		}
		zones[zone].raise(counts)
	}
	return zones
}

// raise raises each count to the other's where that is greater.
func (c Counts) raise(other Counts) {
	for workspace, n := range other {
		c[workspace] = max(c[workspace], n)
	}
}

// Merge takes in what one incarnation of a peer tells.
func (c *Counter) Merge(from ident.Incarnation, r Report) {
	now := c.NowFunc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixed, c.sent = max(c.fixed, r.Fixed), max(c.sent, r.Sent)
	for p, counts := range r.Own {
		if c.told(p, now, KeepSpan) {
			c.countsOf(p, from, r.Zone).raise(counts)
		}
	}
	for _, s := range r.Sums {
		if !c.told(s.Period, now, KeepSpan) {
			continue
		}
		if c.sums == nil {
			c.sums = map[duty.Period]map[declaration.ZoneName]Counts{}
		}
		if c.sums[s.Period] == nil {
			c.sums[s.Period] = map[declaration.ZoneName]Counts{}
		}
		if c.sums[s.Period][s.Zone] == nil {
			c.sums[s.Period][s.Zone] = Counts{}
		}
		c.sums[s.Period][s.Zone].raise(s.Counts)
	}
}

// Total returns the counts of all instances in a period.
func (c *Counter) Total(p duty.Period) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := Counts{}
	for _, counts := range c.byZone(p) {
		for workspace, n := range counts {
			total[workspace] += n
		}
	}
	return total
}

// First returns the earliest period with counts that are still kept, and false if there is none.
func (c *Counter) First() (duty.Period, bool) {
	now := c.NowFunc()
	c.mu.Lock()
	defer c.mu.Unlock()
	first, found := duty.Period(0), false
	note := func(p duty.Period) {
		if c.told(p, now, KeepSpan) && (!found || p < first) {
			first, found = p, true
		}
	}
	for p := range c.heard {
		note(p)
	}
	for p := range c.sums {
		note(p)
	}
	return first, found
}

// Progress returns the newest periods that are known to be fixed and sent.
func (c *Counter) Progress() (fixed, sent duty.Period) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fixed, c.sent
}

// NoteProgress records that the counts up to a period are fixed, and sent up to another.
func (c *Counter) NoteProgress(fixed, sent duty.Period) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fixed, c.sent = max(c.fixed, fixed), max(c.sent, sent)
}

// Overdue returns the oldest period that is not known to be reported although its report is late, and
// how long ago it was due: late after the end of the period. Any instance can tell, also if none holds
// the duty.
func (c *Counter) Overdue(late clock.Millis) (period duty.Period, since clock.Millis, found bool) {
	if _, sent := c.Progress(); sent > 0 {
		period = sent + 1
	} else if period, found = c.First(); !found {
		return 0, 0, false
	}
	since = c.NowFunc() - c.End(period) - late
	return period, since, since > hearSpan
}
