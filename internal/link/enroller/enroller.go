// Package enroller keeps the entry instances of the fleet: which the platform lists,
// which have been heard of, and which of them holds a duty.
//
// A duty is the rendezvous choice among the instances that the platform lists as
// live. For most duties it is only a hint that avoids wasted work. A guarded duty is
// stricter: it is held only while this process is sure to have an up-to-date list.
package enroller

import (
	"maps"
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// pauseLimit is the time without a tick after which this process takes itself
	// to have been paused.
	pauseLimit = 2 * clock.Second
	// MaxListAge is the age up to which the list, or a peer's news, proves that this
	// process is not cut off.
	MaxListAge = 5 * clock.Second
	// historySpan is how long earlier lists are remembered.
	historySpan = 60 * clock.Second
	// goneAfter is the silence after which a process counts as gone.
	goneAfter = 30 * clock.Second
	// slowPresence is the number of instances from which presence is told less often.
	slowPresence = 20
)

// Peer is another entry instance.
type Peer struct {
	Instance ident.Instance
	Address  ident.Address
	Zone     declaration.ZoneName
	Region   declaration.RegionName
	Leaving  bool
}

// Presence is what instances tell one another of a process.
type Presence struct {
	Incarnation ident.Incarnation
	// At is when the process last spoke, by its own clock.
	At clock.Millis
}

// Newer reports whether next supersedes held.
func Newer(held, next Presence) bool { return next.At > held.At }

// Enroller keeps the members. Set the exported fields before use.
type Enroller struct {
	Clock       *clock.Clock
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Zone        declaration.ZoneName
	// OnPaused, when set, is told of a pause of this process.
	OnPaused func(gap clock.Millis)

	mu      sync.Mutex
	started clock.Millis
	ticked  clock.Millis
	listed  clock.Millis // when the list last answered
	stale   bool         // set by a pause until the list answers
	peers   map[ident.Instance]Peer
	self    bool
	history []members
	// duties remembers choices until the history changes.
	duties  map[string]duty
	heard   map[ident.Instance]heard
	byOwner map[ident.Incarnation]ident.Instance
}

// duty is a remembered choice: the holder now, and since when this instance has been
// the choice without a break; zero when it is not.
type duty struct {
	holder string
	since  clock.Millis
}

// maxDuties bounds the remembered choices.
const maxDuties = 16384

// members is the set of live instances from a time on.
type members struct {
	from clock.Millis
	live []string
}

// heard is what is known of an instance's process.
type heard struct {
	presence Presence
	// direct and told are when it last answered, and when news of it last came, by
	// this process's clock.
	direct, told clock.Millis
}

// Apply takes in changes of the instance list.
func (e *Enroller) Apply(instances []lister.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = map[ident.Instance]Peer{}
	}
	for _, i := range instances {
		if i.Role == lister.RoleEntry || i.State == lister.StateGone {
			e.applyEntry(i)
		}
	}
	e.listed = e.Clock.Now()
	if e.stale {
		e.history = nil
		e.duties = nil
		e.stale = false
	}
	e.remember()
}

func (e *Enroller) applyEntry(i lister.Instance) {
	id := ident.Instance(i.ID)
	if id == e.Instance {
		e.self = i.State == lister.StateLive
		return
	}
	if i.State == lister.StateGone {
		delete(e.peers, id)
		return
	}
	e.peers[id] = Peer{Instance: id, Address: i.PeerAddress, Zone: i.Zone, Region: i.Region, Leaving: i.State == lister.StateLeaving}
}

// remember notes the set of live instances when it has changed.
func (e *Enroller) remember() {
	live := e.liveLocked()
	now := e.Clock.Now()
	if n := len(e.history); n == 0 || !slices.Equal(e.history[n-1].live, live) {
		e.history = append(e.history, members{from: now, live: live})
		e.duties = nil
	}
	for len(e.history) > 1 && e.history[1].from < now-historySpan {
		e.history = e.history[1:]
	}
}

func (e *Enroller) liveLocked() []string {
	var live []string
	for id, p := range e.peers {
		if !p.Leaving {
			live = append(live, string(id))
		}
	}
	if e.self {
		live = append(live, string(e.Instance))
	}
	slices.Sort(live)
	return live
}

// Tick must be called several times a second. It notices pauses of this process.
func (e *Enroller) Tick() {
	e.mu.Lock()
	now := e.Clock.Now()
	if e.started == 0 {
		e.started = now
	}
	gap := now - e.ticked
	paused := e.ticked > 0 && gap > pauseLimit
	e.ticked = now
	if paused {
		e.stale = true
	}
	e.mu.Unlock()
	if paused && e.OnPaused != nil {
		e.OnPaused(gap)
	}
}

// Live returns the instances that the platform lists as live, this one included
// when it is listed, sorted.
func (e *Enroller) Live() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.history); n > 0 {
		return e.history[n-1].live
	}
	return nil
}

// Peers returns the other listed instances, sorted.
func (e *Enroller) Peers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := make([]Peer, 0, len(e.peers))
	for _, id := range slices.Sorted(maps.Keys(e.peers)) {
		peers = append(peers, e.peers[id])
	}
	return peers
}

// Peer returns a listed instance.
func (e *Enroller) Peer(id ident.Instance) (Peer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, found := e.peers[id]
	return p, found
}

// RecordContact notes that a peer's process has answered directly.
func (e *Enroller) RecordContact(id ident.Instance, incarnation ident.Incarnation) {
	e.note(id, Presence{Incarnation: incarnation}, true)
}

// MergePresence notes news of a process that came by way of others.
func (e *Enroller) MergePresence(id ident.Instance, p Presence) { e.note(id, p, false) }

func (e *Enroller) note(id ident.Instance, p Presence, direct bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard == nil {
		e.heard = map[ident.Instance]heard{}
		e.byOwner = map[ident.Incarnation]ident.Instance{}
	}
	now := e.Clock.Now()
	h := e.heard[id]
	h.told = now
	if direct {
		h.direct = now
		p.At = h.presence.At
	}
	h.presence = p
	e.heard[id] = h
	e.byOwner[p.Incarnation] = id
}

// PresenceInterval returns how often this process tells of its presence.
func (e *Enroller) PresenceInterval() clock.Millis {
	n := clock.Millis(len(e.Live()))
	return max(1, n/slowPresence) * clock.Second
}

// InstanceOf returns the instance of a process that was heard of.
func (e *Enroller) InstanceOf(owner ident.Incarnation) (ident.Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, found := e.byOwner[owner]
	return id, found
}

// Alive reports whether the process is this one or has been heard of lately and not
// been replaced since.
func (e *Enroller) Alive(owner ident.Incarnation) bool {
	if owner == e.Incarnation {
		return true
	}
	patience := max(goneAfter, 6*e.PresenceInterval())
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	id, known := e.byOwner[owner]
	if !known {
		return now-e.started < patience // it may be about to speak
	}
	h := e.heard[id]
	return h.presence.Incarnation == owner && now-h.told < patience
}

// hash makes the choices of duty holders.
var hash = hasher.Hasher{Salt: "duty"}

// Holder returns the live instance that holds the duty for item, and whether it is
// this one. It is a hint: two instances may both believe that they hold a duty.
func (e *Enroller) Holder(item string) (ident.Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder := ident.Instance(e.duty(item).holder)
	return holder, holder == e.Instance
}

// duty returns the choice for item among the lists of the history. The lock must be held.
func (e *Enroller) duty(item string) duty {
	if d, found := e.duties[item]; found {
		return d
	}
	d := duty{}
	for i := len(e.history) - 1; i >= 0; i-- {
		holder := hash.Best(item, e.history[i].live)
		if i == len(e.history)-1 {
			d.holder = holder
		}
		if holder != string(e.Instance) {
			break
		}
		d.since = e.history[i].from
	}
	if e.duties == nil || len(e.duties) >= maxDuties {
		e.duties = map[string]duty{}
	}
	e.duties[item] = d
	return d
}

// IsZoneHolder reports whether this instance is one of the n holders of a duty of its zone.
func (e *Enroller) IsZoneHolder(item string, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	local := []string{string(e.Instance)}
	for id, p := range e.peers {
		if p.Zone == e.Zone && !p.Leaving {
			local = append(local, string(id))
		}
	}
	return hash.InTop(item, string(e.Instance), local, n)
}

// HoldsGuarded reports whether this instance holds the duty for item for certain enough
// to act on a limit that all instances share, and since when. Two instances can both
// be sure only while their lists differ by more than the time that the caller waits
// after since.
func (e *Enroller) HoldsGuarded(item string) (held bool, since clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.sure() {
		return false, 0
	}
	d := e.duty(item)
	return d.holder == string(e.Instance), d.since
}

// ListCurrent reports whether this process has run without a pause and with an up-to-date
// list, so that it may rely on who holds a guarded duty.
func (e *Enroller) ListCurrent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sure()
}

func (e *Enroller) sure() bool {
	now := e.Clock.Now()
	return !e.stale && now-e.ticked <= pauseLimit && e.connected(now)
}

// connected reports whether the list has answered lately, or else most of the
// listed instances have.
func (e *Enroller) connected(now clock.Millis) bool {
	if now-e.listed <= MaxListAge {
		return true
	}
	fresh := 1
	for id := range e.peers {
		if h := e.heard[id]; h.direct > 0 && now-h.direct <= MaxListAge {
			fresh++
		}
	}
	return 2*fresh > len(e.peers)+1
}

// LastPeerContact returns when any peer last answered directly; zero for never.
func (e *Enroller) LastPeerContact() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := clock.Millis(0)
	for _, h := range e.heard {
		last = max(last, h.direct)
	}
	return last
}

// Responsive reports whether an instance has answered directly lately.
func (e *Enroller) Responsive(id ident.Instance) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.heard[id]
	return h.direct > 0 && e.Clock.Now()-h.direct <= MaxListAge
}
