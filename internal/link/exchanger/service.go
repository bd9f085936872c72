package exchanger

import (
	"context"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/spreader"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/tallier"
)

// serviceName is the net/rpc name of Service.
const serviceName = "peer"

const (
	// serveTimeout bounds the work that a peer's call causes at this instance.
	serveTimeout = 3 * clock.Second
	// maxConfigBytes bounds the configuration in one reply.
	maxConfigBytes = 1 << 20
)

// Service provides the net/rpc methods that peers call.
type Service struct{ exchanger *Exchanger }

// Pull replies with the changes since the caller's cursor.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	x := s.exchanger
	x.recordSender(args.From)
	cursor := args.Cursor
	if cursor.Of != x.Incarnation {
		cursor = Cursor{Of: x.Incarnation}
	}
	reply.From = x.sender()
	reply.ConfigAge = x.Keeper.Age()
	reply.Config = truncateConfig(x.Keeper.ChangesSince(args.Config))
	var serial spreader.Serial
	reply.Warmth, serial = x.Warmth.ChangesSince(spreader.Serial(cursor.Warmth), maxEntries)
	cursor.Warmth = uint64(serial)
	reply.Usage, serial = x.Usage.ChangesSince(spreader.Serial(cursor.Usage), maxEntries)
	cursor.Usage = uint64(serial)
	reply.Blocks, serial = x.Blocks.ChangesSince(spreader.Serial(cursor.Blocks), maxEntries)
	cursor.Blocks = uint64(serial)
	reply.Presence, serial = x.Presence.ChangesSince(spreader.Serial(cursor.Presence), maxEntries)
	cursor.Presence = uint64(serial)
	s.addTallies(args.Calm, &cursor, reply)
	reply.Cursor = cursor
	if args.Config > x.Keeper.CompleteVersion() {
		s.pullFromCaller(args.From)
	}
	return nil
}

// addTallies adds the tallies of versions in a roll-out to the reply and, if calm is set, those of
// all other versions. If every instance pulls from every other (a full mesh), each sends only its
// own tallies.
func (s *Service) addTallies(calm bool, cursor *Cursor, reply *PullReply) {
	x := s.exchanger
	fullMesh := len(x.Enroller.Peers()) <= maxFullMeshPeers
	included := func(key tallier.Key) bool { return !fullMesh || key.Owner == x.Incarnation }
	urgent := func(key tallier.Key) bool { return x.UrgentFunc != nil && x.UrgentFunc(key.Subject.Version) }
	limit := maxTallies
	if !fullMesh {
		limit = maxForwardedTallies
	}
	reply.Tallies, cursor.Urgent = x.Tallier.ChangesSince(cursor.Urgent, limit, func(key tallier.Key) bool { return included(key) && urgent(key) })
	if !calm {
		return
	}
	calmTallies, serial := x.Tallier.ChangesSince(cursor.Calm, limit, func(key tallier.Key) bool { return included(key) && !urgent(key) })
	reply.Tallies = append(reply.Tallies, calmTallies...)
	cursor.Calm = serial
}

// truncateConfig truncates changes to maxConfigBytes, but not to less than one object, and sets
// the version up to which the rest is complete.
func truncateConfig(c storer.Changes) storer.Changes {
	size := 0
	for i, o := range c.Objects {
		size += len(o.Value) + len(o.Name)
		if size > maxConfigBytes && i > 0 {
			return storer.Changes{Version: c.Objects[i-1].Version, Objects: c.Objects[:i]}
		}
	}
	return c
}

// pullFromCaller starts a pull from the caller, which has changes that this instance lacks.
func (s *Service) pullFromCaller(from Sender) {
	p, found := s.exchanger.Enroller.Peer(from.Instance)
	if !found {
		return
	}
	go s.exchanger.Pull(context.Background(), p)
}

// Nudge makes this instance pull from the caller.
func (s *Service) Nudge(args Sender, _ *struct{}) error {
	s.exchanger.recordSender(args)
	s.pullFromCaller(args)
	return nil
}

// Claim handles claim entries that the caller forwards for a shard of this instance.
func (s *Service) Claim(args ClaimArgs, reply *ClaimReply) error {
	s.exchanger.recordSender(args.From)
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout.Duration())
	defer cancel()
	verdicts, err := s.exchanger.ClaimFunc(ctx, args.Shard, args.Entries)
	reply.From = s.exchanger.sender()
	reply.Verdicts = verdicts
	return err
}

// Outcome returns an outcome that this instance has not yet written to the store.
func (s *Service) Outcome(args OutcomeArgs, reply *OutcomeReply) error {
	s.exchanger.recordSender(args.From)
	reply.From = s.exchanger.sender()
	reply.Entry, reply.Found = s.exchanger.OutcomeFunc(args.Held)
	return nil
}

// Hold keeps copies of bill records for the caller.
func (s *Service) Hold(args HoldArgs, reply *Sender) error {
	s.exchanger.recordSender(args.From)
	*reply = s.exchanger.sender()
	return s.exchanger.HoldFunc(args.Batch)
}

// Events returns the events of this instance that match the filter.
func (s *Service) Events(args EventsArgs, reply *EventsReply) error {
	s.exchanger.recordSender(args.From)
	reply.From = s.exchanger.sender()
	reply.Events = s.exchanger.Chronicler.Events(args.Filter)
	return nil
}

// Status returns this instance's status.
func (s *Service) Status(args Sender, reply *StatusReply) error {
	s.exchanger.recordSender(args)
	reply.From = s.exchanger.sender()
	reply.Status = s.exchanger.StatusFunc()
	return nil
}

// Lend leases the caller a slot at a cold server, or takes a leased slot back.
func (s *Service) Lend(args LendArgs, reply *LendReply) error {
	s.exchanger.recordSender(args.From)
	reply.From = s.exchanger.sender()
	reply.Granted = s.exchanger.LendFunc != nil && s.exchanger.LendFunc(args.Server, args.From.Instance, args.GiveBack)
	return nil
}
