// Package enroller tracks the membership of the fleet's entry instances: which of them the
// platform lists, which have been in contact lately, and which of them holds a duty.
//
// A duty is work that one instance does for all. Its holder is chosen by rendezvous
// hashing among the instances that the platform lists as live. For most duties the choice
// is only a hint that avoids duplicate work. A guarded duty is stricter: this instance
// holds it only while its process has run without a pause and its list is up to date.
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
	// maxTickGap is the time between two calls of Tick above which this process counts
	// as having been paused.
	maxTickGap = 2 * clock.Second
	// MaxListAge is the age up to which the last answer of the instance list, or of a
	// peer, proves that this process is not partitioned from the fleet.
	MaxListAge = 5 * clock.Second
	// historyRetention is how long earlier sets of live instances are kept.
	historyRetention = 60 * clock.Second
	// presenceTimeout is the time without contact or presence update after which a
	// process counts as gone. In large fleets it is six presence intervals, if longer.
	presenceTimeout = 30 * clock.Second
	// instancesPerPresenceSecond is the number of instances for each second of the
	// presence interval: below twice this number the interval is one second.
	instancesPerPresenceSecond = 20
)

// Peer is another entry instance.
type Peer struct {
	Instance ident.Instance
	Address  ident.Address
	Zone     declaration.ZoneName
	Region   declaration.RegionName
	Leaving  bool
}

// Presence is the heartbeat of an instance's process, which instances gossip.
type Presence struct {
	Incarnation ident.Incarnation
	// At is when the process last announced its presence, by its own clock.
	At clock.Millis
}

// Newer reports whether next supersedes held.
func Newer(held, next Presence) bool { return next.At > held.At }

// Enroller tracks the members of the fleet. Set the exported fields before use.
type Enroller struct {
	Clock       *clock.Clock
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Zone        declaration.ZoneName
	// OnPaused, when set, is called after a pause of this process with its length.
	OnPaused func(gap clock.Millis)

	mu         sync.Mutex
	firstTick  clock.Millis
	lastTick   clock.Millis
	lastListAt clock.Millis // when the instance list was last read
	stale      bool         // set by a pause until the list is read again
	peers      map[ident.Instance]Peer
	selfLive   bool
	history    []memberSet
	// duties caches the choices of duty holders until history changes.
	duties        map[string]duty
	contacts      map[ident.Instance]contact
	byIncarnation map[ident.Incarnation]ident.Instance
}

// duty is a cached choice: the present holder, and the time since which this instance has
// been the holder without interruption; zero when it is not the holder.
type duty struct {
	holder string
	since  clock.Millis
}

// maxDuties bounds the cached choices; a full cache is emptied.
const maxDuties = 16384

// memberSet is the set of live instances as it was from a time on.
type memberSet struct {
	from clock.Millis
	live []string
}

// contact is the last contact with an instance's process.
type contact struct {
	presence Presence
	// lastDirect and lastUpdate are when the instance last exchanged a message with this
	// one, and when an update of its presence last came directly or through other
	// instances, by this process's clock.
	lastDirect, lastUpdate clock.Millis
}

// Apply applies changes of the platform's instance list and records that the list has been
// read. The first call after a pause restarts the time since which duties are held.
func (e *Enroller) Apply(instances []lister.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = map[ident.Instance]Peer{}
	}
	for _, i := range instances {
		if i.Role == lister.RoleEntry || i.State == lister.StateGone {
			e.applyInstance(i)
		}
	}
	e.lastListAt = e.Clock.Now()
	if e.stale {
		e.history = nil
		e.duties = nil
		e.stale = false
	}
	e.recordHistory()
}

func (e *Enroller) applyInstance(i lister.Instance) {
	id := ident.Instance(i.ID)
	if id == e.Instance {
		e.selfLive = i.State == lister.StateLive
		return
	}
	if i.State == lister.StateGone {
		delete(e.peers, id)
		return
	}
	e.peers[id] = Peer{Instance: id, Address: i.PeerAddress, Zone: i.Zone, Region: i.Region, Leaving: i.State == lister.StateLeaving}
}

// recordHistory adds the set of live instances to the history if it has changed.
func (e *Enroller) recordHistory() {
	live := e.liveLocked()
	now := e.Clock.Now()
	if n := len(e.history); n == 0 || !slices.Equal(e.history[n-1].live, live) {
		e.history = append(e.history, memberSet{from: now, live: live})
		e.duties = nil
	}
	for len(e.history) > 1 && e.history[1].from < now-historyRetention {
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
	if e.selfLive {
		live = append(live, string(e.Instance))
	}
	slices.Sort(live)
	return live
}

// Tick detects pauses of this process. It must be called several times a second.
func (e *Enroller) Tick() {
	e.mu.Lock()
	now := e.Clock.Now()
	if e.firstTick == 0 {
		e.firstTick = now
	}
	gap := now - e.lastTick
	paused := e.lastTick > 0 && gap > maxTickGap
	e.lastTick = now
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

// RecordContact records a message received directly from a peer's process.
func (e *Enroller) RecordContact(id ident.Instance, incarnation ident.Incarnation) {
	e.recordPresence(id, Presence{Incarnation: incarnation}, true)
}

// MergePresence records a presence update that came through other instances.
func (e *Enroller) MergePresence(id ident.Instance, p Presence) { e.recordPresence(id, p, false) }

func (e *Enroller) recordPresence(id ident.Instance, p Presence, direct bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.contacts == nil {
		e.contacts = map[ident.Instance]contact{}
		e.byIncarnation = map[ident.Incarnation]ident.Instance{}
	}
	now := e.Clock.Now()
	h := e.contacts[id]
	h.lastUpdate = now
	if direct {
		h.lastDirect = now
		p.At = h.presence.At
	}
	h.presence = p
	e.contacts[id] = h
	e.byIncarnation[p.Incarnation] = id
}

// PresenceInterval returns the time between two announcements of this process's presence.
func (e *Enroller) PresenceInterval() clock.Millis {
	n := clock.Millis(len(e.Live()))
	return max(1, n/instancesPerPresenceSecond) * clock.Second
}

// InstanceOf returns the instance of a process of which a message or an update has come.
func (e *Enroller) InstanceOf(owner ident.Incarnation) (ident.Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, found := e.byIncarnation[owner]
	return id, found
}

// Alive reports whether the process is this one, or a message or update of it came within
// the presence timeout and its instance has not restarted since. Within that timeout after
// the first tick, an unknown process counts as alive.
func (e *Enroller) Alive(owner ident.Incarnation) bool {
	if owner == e.Incarnation {
		return true
	}
	timeout := max(presenceTimeout, 6*e.PresenceInterval())
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	id, known := e.byIncarnation[owner]
	if !known {
		return now-e.firstTick < timeout // its presence may not have reached this process yet
	}
	h := e.contacts[id]
	return h.presence.Incarnation == owner && now-h.lastUpdate < timeout
}

// dutyHash chooses the holders of duties.
var dutyHash = hasher.Hasher{Salt: "duty"}

// Holder returns the live instance that holds the duty for item, and whether it is
// this one. It is a hint: two instances may both believe that they hold a duty.
func (e *Enroller) Holder(item string) (ident.Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	holder := ident.Instance(e.dutyOf(item).holder)
	return holder, holder == e.Instance
}

// dutyOf returns the duty for item, from the cache or the history. The lock must be held.
func (e *Enroller) dutyOf(item string) duty {
	if d, found := e.duties[item]; found {
		return d
	}
	d := duty{}
	for i := len(e.history) - 1; i >= 0; i-- {
		holder := dutyHash.Best(item, e.history[i].live)
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

// IsZoneHolder reports whether this instance is one of the n holders, chosen among the
// instances of its zone, of the duty for item.
func (e *Enroller) IsZoneHolder(item string, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	local := []string{string(e.Instance)}
	for id, p := range e.peers {
		if p.Zone == e.Zone && !p.Leaving {
			local = append(local, string(id))
		}
	}
	return dutyHash.InTop(item, string(e.Instance), local, n)
}

// HoldsGuarded reports whether this instance holds the guarded duty for item, so that it may
// act on a limit that all instances share, and since when. The caller must wait some time
// after since before it acts: two instances can then both act only if one learns of a
// change of the list later than the other by more than this time.
func (e *Enroller) HoldsGuarded(item string) (held bool, since clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listCurrent() {
		return false, 0
	}
	d := e.dutyOf(item)
	return d.holder == string(e.Instance), d.since
}

// ListCurrent reports whether this process has run without a pause and its list is up to
// date, so that it may rely on who holds a guarded duty.
func (e *Enroller) ListCurrent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listCurrent()
}

func (e *Enroller) listCurrent() bool {
	now := e.Clock.Now()
	return !e.stale && now-e.lastTick <= maxTickGap && e.connected(now)
}

// connected reports whether the list has been read within MaxListAge, or else whether most
// of the listed instances, this one included, have been in direct contact within it.
func (e *Enroller) connected(now clock.Millis) bool {
	if now-e.lastListAt <= MaxListAge {
		return true
	}
	inContact := 1
	for id := range e.peers {
		if h := e.contacts[id]; h.lastDirect > 0 && now-h.lastDirect <= MaxListAge {
			inContact++
		}
	}
	return 2*inContact > len(e.peers)+1
}

// LastPeerContact returns when a message last came directly from any peer; zero for never.
func (e *Enroller) LastPeerContact() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := clock.Millis(0)
	for _, h := range e.contacts {
		last = max(last, h.lastDirect)
	}
	return last
}

// Responsive reports whether a message came directly from an instance within MaxListAge.
func (e *Enroller) Responsive(id ident.Instance) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.contacts[id]
	return h.lastDirect > 0 && e.Clock.Now()-h.lastDirect <= MaxListAge
}
