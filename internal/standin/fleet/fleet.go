// Package fleet runs entry instances and stand-ins in one process over the stand-in
// network, for tests in virtual time.
package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/submitter"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/contract/rater"
	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/instancelist"
	"example.com/dotterelwell/internal/standin/objectstore"
	"example.com/dotterelwell/internal/standin/wire"
)

// Key is the key of the workspace office.
const Key = "key-of-the-office"

// Region is the region of everything in a fleet.
const Region = declaration.RegionName("north")

// Fleet is a set of instances with their stand-ins. Use New to make one.
type Fleet struct {
	Network wire.Network
	Store   *objectstore.Store
	List    instancelist.List
	Zones   []declaration.ZoneName
	Nodes   []*assembler.Node
	Engines []*engine.Engine
	Desks   []*deskservice.Service
	// Settings, when set, changes the settings of each instance.
	Settings func(*loader.Settings)
	// RateFunc replaces the rating service; nil rates every answer 0.9.
	RateFunc func(ctx context.Context, q rater.Query) (declaration.Quality, error)

	client  *http.Client
	mu      sync.Mutex
	stops   map[ident.Instance]context.CancelFunc
	gates   map[ident.Instance]*gate
	running sync.WaitGroup
	servers []*http.Server
	serial  int
	turn    int
}

// New returns a fleet without instances, in the given number of zones. The returned
// function stops everything.
func New(zones int) (*Fleet, func()) {
	c := &clock.Clock{}
	f := &Fleet{Store: &objectstore.Store{Clock: c, Latency: 5}, stops: map[ident.Instance]context.CancelFunc{}, gates: map[ident.Instance]*gate{}}
	f.List.Clock = c
	for i := range zones {
		f.Zones = append(f.Zones, declaration.ZoneName(fmt.Sprintf("north-%d", i+1)))
	}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.Network.Dialer("caller"), DisableCompression: true}}
	return f, f.close
}

func (f *Fleet) close() {
	f.mu.Lock()
	for _, stop := range f.stops {
		stop()
	}
	f.mu.Unlock()
	f.client.CloseIdleConnections()
	f.running.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		_ = s.Close() // there is nothing left to lose
	}
}

func (f *Fleet) zone(i int) declaration.ZoneName { return f.Zones[i%len(f.Zones)] }

// AddNodes starts n more instances, spread over the zones.
func (f *Fleet) AddNodes(n int) error {
	for range n {
		if err := f.addNode(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addNode() error {
	f.mu.Lock()
	f.serial++
	serial := f.serial
	f.mu.Unlock()
	id := ident.Instance(fmt.Sprintf("entry-%d", serial))
	host := fmt.Sprintf("10.1.0.%d", serial)
	s := loader.Defaults()
	s.Instance, s.Zone, s.Region = id, f.zone(serial-1), Region
	s.CallerAddress, s.PeerAddress, s.OperatorAddress = ident.Address(host+":80"), ident.Address(host+":81"), ident.Address(host+":82")
	s.Limits.BalancerDelay = clock.Second
	if f.Settings != nil {
		f.Settings(&s)
	}
	g := &gate{}
	f.mu.Lock()
	f.gates[id] = g
	f.mu.Unlock()
	outside := assembler.Outside{
		Store: g.store(f.Store), Lister: g.list(&f.List), Rater: &rater.Rater{RateFunc: f.rate},
		DialFunc: f.Network.Dialer(string(id)),
	}
	var err error
	if outside.Caller, err = f.Network.Listen(string(s.CallerAddress)); err != nil {
		return err
	}
	if outside.Peer, err = f.Network.Listen(string(s.PeerAddress)); err != nil {
		return err
	}
	if outside.Operator, err = f.Network.Listen(string(s.OperatorAddress)); err != nil {
		return err
	}
	node, closeNode, err := assembler.New(s, outside)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	f.mu.Lock()
	f.stops[id] = stop
	f.Nodes = append(f.Nodes, node)
	f.mu.Unlock()
	f.List.Set(lister.Instance{
		ID: string(id), State: lister.StateLive, Role: lister.RoleEntry, Zone: s.Zone, Region: s.Region,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress,
	})
	f.running.Go(func() {
		defer closeNode()
		_ = node.Run(ctx) // work left over shows in the tests' own checks
	})
	return nil
}

func (f *Fleet) rate(ctx context.Context, q rater.Query) (declaration.Quality, error) {
	if f.RateFunc == nil {
		return 0.9, nil
	}
	return f.RateFunc(ctx, q)
}

// Stop begins a planned stop of an instance: the platform lists it as leaving.
func (f *Fleet) Stop(n *assembler.Node) {
	f.List.SetState(string(n.Settings.Instance), lister.StateLeaving)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[n.Settings.Instance]()
}

// Kill cuts an instance off from everything for good, as a crash does, and has the
// platform list it as gone.
func (f *Fleet) Kill(n *assembler.Node) {
	id := n.Settings.Instance
	f.CutPlatform(n, true)
	f.Network.Isolate(string(id), host(n))
	f.mu.Lock()
	f.stops[id]()
	f.Nodes = slices.DeleteFunc(slices.Clone(f.Nodes), func(other *assembler.Node) bool { return other == n })
	f.mu.Unlock()
	f.List.SetState(string(id), lister.StateGone)
}

// Running returns the instances that were started and not killed.
func (f *Fleet) Running() []*assembler.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Nodes)
}

// CutPlatform cuts an instance off from the object API and the instance list, or
// ends the cut.
func (f *Fleet) CutPlatform(n *assembler.Node, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gates[n.Settings.Instance].cut.Store(cut)
}

// host returns the address of an instance without the port.
func host(n *assembler.Node) string {
	name, _, _ := strings.Cut(string(n.Settings.CallerAddress), ":")
	return name
}

// PartZones cuts the links between instances of different zones.
func (f *Fleet) PartZones() {
	zoneOf := map[string]declaration.ZoneName{}
	for _, n := range f.Running() {
		zoneOf[string(n.Settings.Instance)] = n.Settings.Zone
		zoneOf[host(n)] = n.Settings.Zone
	}
	f.Network.Part(func(from, to string) bool {
		name, _, _ := strings.Cut(to, ":")
		a, b := zoneOf[from], zoneOf[name]
		return a != "" && b != "" && a != b
	})
}

// AddEngine starts an engine in the i-th zone.
func (f *Fleet) AddEngine(i int, e *engine.Engine) error {
	id := fmt.Sprintf("engine-%d", len(f.Engines)+1)
	address := fmt.Sprintf("10.2.0.%d:80", len(f.Engines)+1)
	if err := f.serve(address, e.Handler()); err != nil {
		return err
	}
	f.Engines = append(f.Engines, e)
	f.List.Set(lister.Instance{
		ID: id, State: lister.StateLive, Role: lister.RoleEngine, Zone: f.zone(i), Region: Region,
		Address: ident.Address(address), Versions: e.Versions,
	})
	return nil
}

// AddDesk starts a plain service named desk in the i-th zone.
func (f *Fleet) AddDesk(i int, s *deskservice.Service) error { return f.AddService(i, "desk", s) }

// AddService starts a plain service in the i-th zone.
func (f *Fleet) AddService(i int, name declaration.ServiceName, s *deskservice.Service) error {
	address := fmt.Sprintf("10.3.0.%d:80", len(f.Desks)+1)
	if err := f.serve(address, s.Handler()); err != nil {
		return err
	}
	f.Desks = append(f.Desks, s)
	f.List.Set(lister.Instance{
		ID: fmt.Sprintf("desk-%d", len(f.Desks)), State: lister.StateLive, Role: lister.RoleService, Zone: f.zone(i), Region: Region,
		Address: ident.Address(address), Service: name,
	})
	return nil
}

func (f *Fleet) serve(address string, h http.Handler) error {
	listener, err := f.Network.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // it ends with an error when it is closed
	return nil
}

// Configuration returns a document with one workspace, a cheap and a good model, and
// the service desk.
func (f *Fleet) Configuration() *declaration.Fleet {
	doc := &declaration.Fleet{
		Models: []declaration.Model{
			{Name: "cheap", Versions: []declaration.Version{
				{Name: "1", PromptPrice: 100, AnswerPrice: 400, Quality: 0.9, ColdLimit: 2},
				{Name: "2", PromptPrice: 100, AnswerPrice: 400, Quality: 0.9, ColdLimit: 2},
			}},
			{Name: "good", Versions: []declaration.Version{{Name: "1", PromptPrice: 1000, AnswerPrice: 4000, Quality: 0.97, ColdLimit: 2}}},
		},
		Services:    []declaration.Service{{Name: "desk", OnceMethods: []string{"POST"}, CanTell: true, Price: 50}},
		SessionKeys: []declaration.SessionKey{{Name: "k1", Secret: "a-secret-of-the-fleet", Since: 1}},
		Workspaces: []declaration.Workspace{{
			Name: "office", KeyDigests: []string{handler.KeyDigest(Key)},
			Allow:    []declaration.Ref{{Model: "cheap"}, {Model: "good"}},
			Services: []declaration.ServiceName{"desk"},
			Routes: []declaration.Route{
				{Name: "lookups", Class: "lookup", Models: []declaration.Ref{{Model: "cheap"}}, Quality: 0.7},
				{Name: "rulings", Class: "ruling", Priority: declaration.PriorityPatient, Models: []declaration.Ref{{Model: "cheap"}}, Quality: 0.7},
				{Name: "appeals", Class: "appeal", Models: []declaration.Ref{{Model: "cheap"}, {Model: "good"}}, Quality: 0.8, Answer: declaration.AnswerRated},
			},
		}},
	}
	for _, z := range f.Zones {
		doc.Zones = append(doc.Zones, declaration.Zone{Name: z, Region: Region})
	}
	return doc
}

// Submitter returns a submitter to the fleet's store.
func (f *Fleet) Submitter() *submitter.Submitter {
	return &submitter.Submitter{Store: f.Store.Storer(), Clock: &clock.Clock{}}
}

// Submit brings a document into the store.
func (f *Fleet) Submit(ctx context.Context, doc *declaration.Fleet) error {
	s := f.Submitter()
	changes, err := s.Diff(ctx, doc, false)
	if err != nil {
		return err
	}
	_, _, err = s.Submit(ctx, changes, 0)
	return err
}

// Client returns the callers' HTTP client.
func (f *Fleet) Client() *http.Client { return f.client }

// Reply is a whole response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Trailer holds the trailers of a stream.
	Trailer http.Header
}

// Ask is a request of a caller.
type Ask struct {
	Method, Path string
	Header       map[string]string
	Body         []byte
}

// Send sends a request to one instance and reads the whole response.
func (f *Fleet) Send(ctx context.Context, n *assembler.Node, ask Ask) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, ask.Method, "http://"+string(n.Settings.CallerAddress)+ask.Path, bytes.NewReader(ask.Body))
	if err != nil {
		return Reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	for name, value := range ask.Header {
		req.Header.Set(name, value)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Trailer: resp.Trailer}, err
}

// Next returns the next ready instance, as a balancer would.
func (f *Fleet) Next() *assembler.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.Nodes {
		f.turn++
		n := f.Nodes[f.turn%len(f.Nodes)]
		if n.Status().Ready {
			return n
		}
	}
	return f.Nodes[f.turn%len(f.Nodes)]
}

// AwaitReady waits until every instance is ready and every engine is warm.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	c := &clock.Clock{}
	for !f.ready() {
		if err := c.Sleep(ctx, 50); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	f.mu.Lock()
	nodes := f.Nodes
	f.mu.Unlock()
	for _, n := range nodes {
		if !n.Status().Ready {
			return false
		}
		for _, row := range n.Registrar.Rows() {
			if len(row.Versions) > 0 && !row.Warm {
				return false
			}
		}
	}
	return true
}

// Chat returns a chat request for a route.
func Chat(route, prompt string, stream bool) Ask {
	body, _ := chat.Request{Model: route, Stream: stream, Messages: []chat.Message{{Role: "user", Content: prompt}}}.MarshalJSON() // strings always encode
	return Ask{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Header: map[string]string{}}
}

// Register returns a registration with a key.
func Register(key, body string) Ask {
	return Ask{
		Method: http.MethodPost, Path: "/services/desk/register", Body: []byte(body),
		Header: map[string]string{chat.HeaderIdempotencyKey: key},
	}
}
