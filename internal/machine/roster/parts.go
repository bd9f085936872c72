package roster

import (
	"strconv"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/load/copier"
	"example.com/dotterelwell/internal/load/locator"
	"example.com/dotterelwell/internal/machine/clock"
)

// PartUse is what a server is expected to do about a request's shared part.
type PartUse string

// Uses of a shared part.
const (
	// PartSent means that the server was sent the part before, and PartHome that it is the part's home, to which other
	// instances send it.
	PartSent PartUse = "sent-before"
	PartHome PartUse = "home"
	// PartCopied means that the server is to copy the part from another one, and PartRead that it is to read it.
	PartCopied PartUse = "copied"
	PartRead   PartUse = "read"
)

// keptShare is the share of a shared prompt part that a server is expected to keep still after the
// part was sent there.
const keptShare = 0.9

const (
	// displacedShare is how much work is done again, as a share of a part's, because the part takes the
	// place of others at a server that lacked it.
	displacedShare = 1.0
	// maxDelayed bounds how many requests count as waiting behind a request's work.
	maxDelayed = 6.0
)

var affinityHash = hasher.Hasher{Salt: "prompt"}

// partOf returns the hash of the request's shared part, or 0 if it has none.
func partOf(want Want) locator.Part {
	if want.SharedPart == "" {
		return 0
	}
	return locator.Part(affinityHash.HashName(want.SharedPart) | 1) // truncated; never 0
}

// holderOf returns the hash of one incarnation of a server.
func holderOf(i backend.Incarnation) locator.Holder {
	return locator.Holder(affinityHash.Score(string(i.ID)+"/"+string(i.Address), strconv.FormatInt(int64(i.Born), 36)))
}

// locate starts a new decision, marks the homes of the shared part and the rows that were sent it, and returns
// the home that may take the request: the best one of those in scratch. It returns nil without a shared part.
func (r *Roster) locate(want Want, now clock.Millis) *row {
	r.decision++
	part := partOf(want)
	if part == 0 {
		return nil
	}
	r.located = r.locator.Append(r.located[:0], part, now)
	for _, p := range r.located {
		if w := r.holders[p.Holder]; w != nil {
			w.locatedIn = r.decision
		}
	}
	for _, w := range r.homes.Servers() {
		w.homeIn = r.decision
	}
	var home *row
	score := uint64(0)
	for _, w := range r.scratch {
		if s := affinityHash.ScoreHashes(uint64(part), w.idHash); home == nil || s > score {
			home, score = w, s
		}
	}
	return home
}

// workAt returns the estimated work of the request at a server, in milliseconds, and the server from which it
// is to copy the shared part, or nil. home is the home that may take the request.
func (r *Roster) workAt(w, home *row, want Want, now clock.Millis) (work float64, source *row) {
	reading := want.SharedWork
	switch {
	case home == nil:
	case w.locatedIn == r.decision:
		reading -= keptShare * want.SharedWork
	default:
		source = r.sourceFor(w, want, now)
		if w == home {
			reading -= keptShare * want.SharedWork // other instances sent the part there
		} else if source != nil {
			reading -= keptShare * (want.SharedWork - want.CopyWork)
		}
	}
	return want.OwnWork + reading, source
}

// delayOfOthers returns by how many milliseconds the requests that wait at the average server are delayed
// together for each millisecond of work that is put before them.
func (r *Roster) delayOfOthers(want Want) float64 {
	if want.SharedWork <= 0 {
		return 0
	}
	return min(r.meanWait/(want.OwnWork+want.SharedWork), maxDelayed)
}

// loadOf returns the work that a request brings to the servers, in milliseconds: its own, and the reading again of
// what the shared part displaces at a server that lacks it.
func (r *Roster) loadOf(w, home *row, work float64, want Want) float64 {
	if home == nil || w == home || w.locatedIn == r.decision {
		return work
	}
	return work + displacedShare*want.SharedWork
}

// sourceFor returns the server from which a server is to copy the shared part of the current choice, or nil: one
// that was sent the part, or else the best home, in the same zone if there is one.
func (r *Roster) sourceFor(w *row, want Want, now clock.Millis) *row {
	if len(want.Exclude) > 0 || !(copier.Choice{Reading: want.SharedWork, Copying: want.CopyWork, Wait: r.meanWait}).Copies() {
		return nil
	}
	var source *row
	for _, p := range r.located {
		other := r.holders[p.Holder]
		if other == nil || other == w || p.ReadyAt > now || !r.maySource(other, w, now) {
			continue
		}
		if source == nil || source.info.Zone != w.info.Zone && other.info.Zone == w.info.Zone {
			source = other
		}
	}
	if source != nil {
		return source
	}
	for _, other := range r.homes.Servers() {
		if other != w && r.maySource(other, w, now) {
			return other
		}
	}
	return nil
}

// maySource reports whether a server may be asked for what it keeps: it is up as far as this instance
// knows, and its models are those of the server that asks.
func (r *Roster) maySource(source, w *row, now clock.Millis) bool {
	return source.info.Release == w.info.Release && !source.leaving() && source.expiresAt == 0 && !r.ViewFunc().EvacuatedZones[source.info.Zone] && !source.cold(now) &&
		now >= source.backoffUntil && source.failureShare(now) < failingShare && (r.LostFunc == nil || !r.LostFunc(source.info.Address))
}

// recordPlacement records that the chosen server gets the shared part. Other instances are told if it isn't the
// part's home and may be the first to read it.
func (r *Roster) recordPlacement(want Want, chosen choice, now clock.Millis) {
	if part := partOf(want); part != 0 {
		readyAt := now + clock.Millis(chosen.row.estimatedWait(now)+chosen.work)
		if r.OnPart != nil {
			r.OnPart(chosen.row.info.Service, r.useOf(chosen))
		}
		placed := locator.Placement{Holder: chosen.row.holder, ReadyAt: readyAt}
		r.locator.Record(part, placed, now)
		if chosen.row.locatedIn != r.decision && chosen.row != r.homes.Servers()[0] && (chosen.source == nil || chosen.source.locatedIn != r.decision) {
			r.locator.Tell(part, placed, now)
		}
	}
}

// useOf returns what the chosen server is expected to do about the shared part.
func (r *Roster) useOf(chosen choice) PartUse {
	switch {
	case chosen.row.locatedIn == r.decision:
		return PartSent
	case chosen.source != nil:
		return PartCopied
	case chosen.row == r.homes.Servers()[0]:
		return PartHome
	}
	return PartRead
}

// PartDigest returns what other instances are told of the servers that shared parts were sent to.
func (r *Roster) PartDigest() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.locator.Digest(r.Clock.Now())
}

// MergeParts takes over what another instance tells of the servers that shared parts were sent to.
func (r *Roster) MergeParts(digest []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.locator.Merge(digest, r.Clock.Now())
}
