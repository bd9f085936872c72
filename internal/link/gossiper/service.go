package gossiper

import (
	"context"
	"net"
	"net/rpc"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// serviceName is the net/rpc name of Service.
const serviceName = "gossip"

// Service provides the net/rpc methods that peers call.
type Service struct{ gossiper *Gossiper }

// Exchange merges the caller's message and replies with this instance's message.
func (s *Service) Exchange(args Message, reply *Message) error {
	g := s.gossiper
	g.merge(args)
	*reply = g.message()
	for _, p := range g.PeersFunc() {
		if p.Instance == args.From {
			if g.UsageFunc != nil {
				reply.Usage = g.UsageFunc(p, true)
			}
			if g.DemandFunc != nil {
				reply.Demand, reply.ZoneDemands = g.DemandFunc(p, true)
			}
			go g.catchUp(context.Background(), p, args.Copies)
		}
	}
	return nil
}

// Pull replies with the changes of a kind of objects after a store version.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	i := s.gossiper.Informers[args.Kind]
	if i == nil {
		return nil
	}
	reply.Update, reply.Found = i.ChangesSince(ident.StorePoint{Era: args.Era, Version: args.After})
	packed, err := s.gossiper.packer.Pack(reply.Update)
	if err != nil {
		klog.ErrorS(err, "Failed to compress changes; sending them uncompressed", "kind", args.Kind)
	}
	if packed != nil {
		reply.Packed, reply.Update.Objects = packed, nil
	}
	return nil
}

// Serve serves the calls of peers on a listener until the connector is closed.
func (g *Gossiper) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{gossiper: g}); err != nil {
		return err
	}
	return g.Connector.Serve(listener, server)
}

func (g *Gossiper) call(ctx context.Context, p Peer, method string, args, reply any) error {
	return g.callWithTimeout(ctx, callTimeout, p, method, args, reply)
}

func (g *Gossiper) callWithTimeout(ctx context.Context, timeout clock.Millis, p Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return g.Connector.Call(ctx, p.Address, serviceName+"."+method, args, reply)
}
