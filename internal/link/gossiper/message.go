package gossiper

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/duty/counter"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/duty/leaser"
	"example.com/dotterelwell/internal/link/packer"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/version/stager"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/accountant"
	"example.com/dotterelwell/internal/zone/informer"
	"example.com/dotterelwell/internal/zone/quarantiner"
)

// Peer is another instance.
type Peer struct {
	Instance ident.Instance
	Address  ident.Address
	Zone     declaration.ZoneName
	// Strength is the instance's capacity for serving its peers (processor and link), relative
	// to other instances.
	Strength float64
}

// CopyStatus describes an instance's copy of the store's objects of one kind.
type CopyStatus struct {
	// Position is the store version of the copy, in Era.
	Position ident.StoreVersion
	Era      ident.StoreEra
	// Kept identifies the objects that the sender keeps although the store, restored from a copy,
	// lacks them; zero for none.
	Kept uint64
	// Age is the time since the store confirmed that it had no newer changes.
	Age clock.Millis
	// Lost is set while the sender cannot reach the store to read this kind.
	Lost bool
	// SteadyFor is for how long the store's confirmations have come to any instance without an outage, until Age ago;
	// zero from builds that do not tell it.
	SteadyFor clock.Millis
}

// Message is the state that one instance sends to another.
type Message struct {
	From        ident.Instance
	Incarnation ident.Incarnation
	// Copies describes the sender's copies of the store's objects.
	Copies map[storer.ObjectKind]CopyStatus
	// Loads holds the sender's load at each server; servers without load are omitted.
	Loads accountant.Loads
	// Sums holds the load sums of zones. Only store watchers of large fleets set it.
	Sums map[declaration.ZoneName]accountant.Sum
	// Demand is the demand for servers that the sender sees, and ZoneDemands holds the sums of zones,
	// which only store watchers of large fleets send. Builds that order no servers leave both nil.
	Demand      *demander.Report
	ZoneDemands map[declaration.ZoneName]demander.Report
	// Stages holds the states of the open roll-outs by service.
	Stages map[declaration.ServiceName]stager.Stage
	// Departing holds the servers that announced in an answer that they are leaving, and
	// whose entries in the store do not say so.
	Departing []backend.Incarnation
	// Limits holds what the sender knows of the rate limits that servers name.
	Limits []roster.LimitReport
	// Brittle holds what the sender knows of brittle servers.
	Brittle []roster.BrittleReport
	// Tunnels tells whether the sender carries connections to servers for its peers. Builds without
	// tunnels leave it zero.
	Tunnels tunneler.Report
	// Pauses holds the pauses that servers asked for in answers which came through peers.
	Pauses []roster.PauseReport
	// Crashes holds the crashes of servers that the sender has noticed lately.
	Crashes []crash.Report
	// Inquiry asks the recipient about crashes of servers. Only instances that collect the reports
	// of all instances set it.
	Inquiry crash.Inquiry
	// Cleared answers the last inquiry.
	Cleared []crash.Clearing
	// Quarantine holds the prompt parts and requests under which servers crash.
	Quarantine []quarantiner.Entry
	// Parts tells to which servers shared prompt parts were sent. Builds without it leave it empty.
	Parts []byte
	// Tallies holds the sender's evidence that the recipient collects.
	Tallies []tallier.Entry
	// Clock is the sender's clock, for a recipient that knows the length of the call; zero from
	// builds without it.
	Clock clock.Millis
	// Duties tells who holds the duties towards the platform.
	Duties []leaser.Claim
	// Usage holds the counts of requests that the sender knows of.
	Usage counter.Report
}

// PullArgs are the arguments of Service.Pull: the kind of objects, and the store version after
// which the changes are wanted.
type PullArgs struct {
	Kind  storer.ObjectKind
	After ident.StoreVersion
	Era   ident.StoreEra // of After
}

// PullReply is the reply of Service.Pull.
type PullReply struct {
	// Found is set if the called instance has newer changes, which Update then holds.
	Found  bool
	Update informer.Update
	// Packed holds the objects of Update in compressed form if they are large. Update.Objects is
	// empty then.
	Packed []byte
}

// unpack decompresses Packed into Update.Objects.
func (r *PullReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	objects, err := packer.Unpack(r.Packed)
	r.Update.Objects, r.Packed = objects, nil
	return err
}
