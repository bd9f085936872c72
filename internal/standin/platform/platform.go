// Package platform starts the stand-ins for all outside systems on loopback
// addresses, in this process.
package platform

import (
	"fmt"
	"net"
	"net/http"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/instancelist"
	"example.com/dotterelwell/internal/standin/objectstore"
	"example.com/dotterelwell/internal/standin/ratingservice"
)

// Platform holds the stand-ins and their addresses.
type Platform struct {
	Store  objectstore.Store
	List   instancelist.List
	Rating ratingservice.Service

	StoreURL, ListURL, RatingURL string

	servers []*http.Server
	engines []*engine.Engine
}

// New starts the object API, the instance list and the rating service. The returned
// function stops everything that the platform has started.
func New() (*Platform, func(), error) {
	p := &Platform{}
	p.Store.Clock = &clock.Clock{}
	p.List.Clock = &clock.Clock{}
	for _, start := range []struct {
		handler http.Handler
		url     *string
	}{{p.Store.Handler(), &p.StoreURL}, {p.List.Handler(), &p.ListURL}, {p.Rating.Handler(), &p.RatingURL}} {
		address, err := p.serve(start.handler)
		if err != nil {
			p.close()
			return nil, nil, err
		}
		*start.url = "http://" + string(address)
	}
	return p, p.close, nil
}

func (p *Platform) serve(h http.Handler) (ident.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }() // it ends with an error when it is closed
	return ident.Address(listener.Addr().String()), nil
}

func (p *Platform) close() {
	for _, e := range p.engines {
		e.Close()
	}
	for _, s := range p.servers {
		_ = s.Close() // there is nothing left to lose
	}
}

// Place says where an instance or backend server runs.
type Place struct {
	Zone   declaration.ZoneName
	Region declaration.RegionName
}

// AddEngine starts an engine and lists it.
func (p *Platform) AddEngine(id string, at Place, e *engine.Engine) (ident.Address, error) {
	address, err := p.serve(e.Handler())
	if err != nil {
		return "", err
	}
	p.engines = append(p.engines, e)
	p.List.Set(lister.Instance{
		ID: id, State: lister.StateLive, Role: lister.RoleEngine, Zone: at.Zone, Region: at.Region,
		Address: address, Versions: e.Versions,
	})
	return address, nil
}

// AddService starts a plain service and lists it.
func (p *Platform) AddService(id string, at Place, name declaration.ServiceName, s *deskservice.Service) (ident.Address, error) {
	address, err := p.serve(s.Handler())
	if err != nil {
		return "", err
	}
	p.List.Set(lister.Instance{
		ID: id, State: lister.StateLive, Role: lister.RoleService, Zone: at.Zone, Region: at.Region,
		Address: address, Service: name,
	})
	return address, nil
}

// Listeners are the open listeners of an entry instance.
type Listeners struct{ Caller, Peer, Operator net.Listener }

// AddEntry opens listeners for an entry instance, lists it and returns its settings.
func (p *Platform) AddEntry(id ident.Instance, at Place) (loader.Settings, Listeners, error) {
	var l Listeners
	for _, open := range []*net.Listener{&l.Caller, &l.Peer, &l.Operator} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return loader.Settings{}, l, fmt.Errorf("listen for %s: %w", id, err)
		}
		*open = listener
	}
	s := loader.Defaults()
	s.Instance, s.Zone, s.Region = id, at.Zone, at.Region
	s.CallerAddress = ident.Address(l.Caller.Addr().String())
	s.PeerAddress = ident.Address(l.Peer.Addr().String())
	s.OperatorAddress = ident.Address(l.Operator.Addr().String())
	s.Platform.ObjectAPI, s.Platform.InstanceList, s.Platform.RatingService = p.StoreURL, p.ListURL, p.RatingURL
	s.Limits.BalancerDelay = 0
	p.List.Set(lister.Instance{
		ID: string(id), State: lister.StateLive, Role: lister.RoleEntry, Zone: at.Zone, Region: at.Region,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress,
	})
	return s, l, nil
}
