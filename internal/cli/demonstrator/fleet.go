package demonstrator

import (
	"context"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/submitter"
	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/platform"
)

const (
	// CallerKey is the key of the sample workspace.
	CallerKey = "demo-key-of-kirakatjel"
	region    = declaration.RegionName("hu-central")
	desk      = declaration.ServiceName("timer-desk")
)

var (
	fast    = declaration.Ref{Model: "bora", Version: "1"}
	fastNew = declaration.Ref{Model: "bora", Version: "2"}
	best    = declaration.Ref{Model: "mistral-wind", Version: "1"}
)

var zones = []declaration.ZoneName{"hu-central-1", "hu-central-2"}

// Sample returns the configuration of the demonstration.
func Sample() *declaration.Fleet {
	return &declaration.Fleet{
		Zones: []declaration.Zone{{Name: zones[0], Region: region}, {Name: zones[1], Region: region}},
		Models: []declaration.Model{
			{Name: "bora", Versions: []declaration.Version{
				{Name: "1", PromptPrice: 100, AnswerPrice: 400, Quality: 0.80, ColdLimit: 2},
				{Name: "2", PromptPrice: 80, AnswerPrice: 300, Quality: 0.80, ColdLimit: 2},
			}},
			{Name: "mistral-wind", Versions: []declaration.Version{
				{Name: "1", PromptPrice: 1000, AnswerPrice: 4000, Quality: 0.95, ColdLimit: 2},
			}},
		},
		Services: []declaration.Service{{Name: desk, OnceMethods: []string{"POST"}, CanTell: true, Price: 50}},
		SessionKeys: []declaration.SessionKey{
			{Name: "2026-12", Secret: "demo-secret-of-december-2026", Since: 1},
		},
		Workspaces: []declaration.Workspace{{
			Name: "kirakatjel", KeyDigests: []string{handler.KeyDigest(CallerKey)},
			Allow:    []declaration.Ref{{Model: "bora"}, best},
			Services: []declaration.ServiceName{desk},
			Routes: []declaration.Route{
				{Name: "rulings", Class: "ruling", Priority: declaration.PriorityPatient, Models: []declaration.Ref{{Model: "bora"}, best}, Quality: 0.7},
				{Name: "lookups", Class: "lookup", Models: []declaration.Ref{{Model: "bora"}}, Quality: 0.6},
				{Name: "appeals", Class: "appeal", Priority: declaration.PriorityPatient, Models: []declaration.Ref{{Model: "bora"}, best}, Quality: 0.85, Answer: declaration.AnswerRated},
			},
		}},
	}
}

// fleet is the running demonstration.
type fleet struct {
	platform *platform.Platform
	engines  []*engine.Engine
	desk     *deskservice.Service
	nodes    []*assembler.Node
	urls     []string
	settled  sync.WaitGroup
	stop     context.CancelFunc
	cleanUps []func()
	errs     chan error
}

// start brings up the stand-ins and two instances. The returned function stops all.
func (d *Demonstrator) start(ctx context.Context) (*fleet, func(), error) {
	p, closePlatform, err := platform.New()
	if err != nil {
		return nil, nil, err
	}
	running, stop := context.WithCancel(ctx)
	f := &fleet{platform: p, stop: stop, cleanUps: []func(){closePlatform}, errs: make(chan error, 2)}
	if err := f.startServers(); err != nil {
		f.close()
		return nil, nil, err
	}
	for i := range 2 {
		if err := f.startNode(running, d, i); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func (f *fleet) startServers() error {
	for i, zone := range zones {
		e := &engine.Engine{
			Versions: []declaration.Ref{fast, fastNew, best}, FirstToken: 5, TokenGap: 1, Limit: 64, ColdLimit: 2, WarmAfter: 3,
		}
		f.engines = append(f.engines, e)
		id := []string{"engine-1", "engine-2"}[i]
		if _, err := f.platform.AddEngine(id, platform.Place{Zone: zone, Region: region}, e); err != nil {
			return err
		}
	}
	f.platform.Rating.SetQuality(fast, 0.82)
	f.platform.Rating.SetQuality(fastNew, 0.8)
	f.platform.Rating.SetQuality(best, 0.95)
	f.desk = &deskservice.Service{}
	_, err := f.platform.AddService("desk-1", platform.Place{Zone: zones[0], Region: region}, desk, f.desk)
	return err
}

func (f *fleet) startNode(ctx context.Context, d *Demonstrator, i int) error {
	id := []ident.Instance{"entry-1", "entry-2"}[i]
	settings, l, err := f.platform.AddEntry(id, platform.Place{Zone: zones[i], Region: region})
	if err != nil {
		return err
	}
	settings.Limits.Settle = 500
	settings.Limits.DrainTimeout = 10 * clock.Second
	node, closeNode, err := assembler.New(settings, assembler.Outside{Caller: l.Caller, Peer: l.Peer, Operator: l.Operator})
	if err != nil {
		return err
	}
	if d.Sabotage != nil {
		d.Sabotage(node)
	}
	f.nodes = append(f.nodes, node)
	f.urls = append(f.urls, "http://"+string(settings.CallerAddress))
	f.settled.Go(func() {
		defer closeNode()
		f.errs <- node.Run(ctx)
	})
	return nil
}

func (f *fleet) close() {
	f.stop()
	f.settled.Wait()
	for _, clean := range f.cleanUps {
		clean()
	}
}

func (f *fleet) submitter() *submitter.Submitter {
	return &submitter.Submitter{Store: f.platform.Store.Storer(), Clock: &clock.Clock{}}
}

// submit brings the sample configuration into the store.
func (f *fleet) submit(ctx context.Context) error {
	s := f.submitter()
	changes, err := s.Diff(ctx, Sample(), false)
	if err != nil {
		return err
	}
	_, _, err = s.Submit(ctx, changes, 0)
	return err
}

// readyPoll is how often awaitReady looks.
const readyPoll clock.Millis = 50

// awaitReady waits until every instance is ready and every server warm.
func (f *fleet) awaitReady(ctx context.Context) error {
	c := &clock.Clock{}
	for !f.ready() {
		if err := c.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) ready() bool {
	for _, n := range f.nodes {
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
