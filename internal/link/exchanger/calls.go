package exchanger

import (
	"context"
	"sync"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/claimer"
)

// Forward sends claim entries to the instance that holds their shard.
func (x *Exchanger) Forward(ctx context.Context, holder ident.Instance, shard int, entries []claim.Entry) ([]claimer.Verdict, error) {
	p, found := x.Enroller.Peer(holder)
	if !found {
		return nil, fault.Newf("forward claims", KindUnknownPeer, "%s is not listed", holder)
	}
	var reply ClaimReply
	if err := x.Connector.Call(ctx, p.Address, serviceName+".Claim", ClaimArgs{From: x.sender(), Shard: shard, Entries: entries}, &reply); err != nil {
		return nil, err
	}
	x.recordSender(reply.From)
	return reply.Verdicts, nil
}

// Outcome asks the owner of a claim for an outcome that the owner has not yet written to the
// store.
func (x *Exchanger) Outcome(ctx context.Context, owner ident.Incarnation, held claim.Entry) (claim.Entry, bool, error) {
	const op = "ask for outcome"
	id, known := x.Enroller.InstanceOf(owner)
	if !known {
		return claim.Entry{}, false, fault.Newf(op, KindUnknownPeer, "no known instance has incarnation %s", owner)
	}
	p, found := x.Enroller.Peer(id)
	if !found {
		return claim.Entry{}, false, fault.Newf(op, KindUnknownPeer, "%s is not listed", id)
	}
	var reply OutcomeReply
	if err := x.call(ctx, p.Address, "Outcome", OutcomeArgs{From: x.sender(), Held: held}, &reply); err != nil {
		return claim.Entry{}, false, err
	}
	x.recordSender(reply.From)
	return reply.Entry, reply.Found, nil
}

// Hold asks a peer to keep copies of bill records.
func (x *Exchanger) Hold(ctx context.Context, holder ident.Instance, b biller.Batch) error {
	p, found := x.Enroller.Peer(holder)
	if !found {
		return fault.Newf("hold bills", KindUnknownPeer, "%s is not listed", holder)
	}
	var from Sender
	if err := x.call(ctx, p.Address, "Hold", HoldArgs{From: x.sender(), Batch: b}, &from); err != nil {
		return err
	}
	x.recordSender(from)
	return nil
}

// Borrow asks the duty holder of a cold server to lease this instance a slot at the server, or
// returns a leased slot. It reports whether the duty holder granted the request.
func (x *Exchanger) Borrow(ctx context.Context, holder ident.Instance, server ident.Server, giveBack bool) bool {
	p, found := x.Enroller.Peer(holder)
	if !found {
		return false
	}
	var reply LendReply
	if err := x.call(ctx, p.Address, "Lend", LendArgs{From: x.sender(), Server: server, GiveBack: giveBack}, &reply); err != nil {
		return false // a slot leased by a call whose reply was lost counts until its lease expires
	}
	x.recordSender(reply.From)
	return reply.Granted
}

// Events returns the events of this instance and of every peer that answers, in
// causal order, and the peers that did not answer.
func (x *Exchanger) Events(ctx context.Context, f chronicler.Filter) ([]chronicler.Event, []ident.Instance) {
	peers := x.Enroller.Peers()
	lists := make([][]chronicler.Event, len(peers)+1)
	unreachable := x.callAll(peers, func(i int, p enroller.Peer) error {
		var reply EventsReply
		err := x.call(ctx, p.Address, "Events", EventsArgs{From: x.sender(), Filter: f}, &reply)
		lists[i] = reply.Events
		return err
	})
	lists[len(peers)] = x.Chronicler.Events(f)
	return chronicler.Merge(lists...), unreachable
}

// Statuses returns the status of this instance and of every peer that answers, and
// the peers that did not answer.
func (x *Exchanger) Statuses(ctx context.Context) ([]Status, []ident.Instance) {
	peers := x.Enroller.Peers()
	replies := make([]*StatusReply, len(peers))
	unreachable := x.callAll(peers, func(i int, p enroller.Peer) error {
		var reply StatusReply
		err := x.call(ctx, p.Address, "Status", x.sender(), &reply)
		if err == nil {
			replies[i] = &reply
		}
		return err
	})
	statuses := []Status{x.StatusFunc()}
	for _, r := range replies {
		if r != nil {
			statuses = append(statuses, r.Status)
		}
	}
	return statuses, unreachable
}

// callAll calls f for all peers concurrently and returns the peers for which it failed.
func (x *Exchanger) callAll(peers []enroller.Peer, f func(i int, p enroller.Peer) error) []ident.Instance {
	failed := make([]bool, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() { failed[i] = f(i, p) != nil })
	}
	calls.Wait()
	var unreachable []ident.Instance
	for i, p := range peers {
		if failed[i] {
			unreachable = append(unreachable, p.Instance)
		}
	}
	return unreachable
}
