// Package workload is a small seeded model of requests, versions and ratings, which
// drives the real decision code in virtual time.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/submitter"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/chooser"
	"example.com/dotterelwell/internal/version/estimator"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Policy is a way to choose versions.
type Policy string

// Policies. All but PolicyReal are yardsticks.
const (
	// PolicyReal is the product's own code.
	PolicyReal Policy = "dotterelwell"
	// PolicyBest always uses the best declared version.
	PolicyBest Policy = "always-best"
	// PolicyCheapest starts with the cheapest version, rates every answer and goes
	// up the prices until one meets the target.
	PolicyCheapest Policy = "cheapest-then-rate"
	// PolicyStatic uses the cheapest version whose declared quality meets the target.
	PolicyStatic Policy = "static-threshold"
	// PolicyOracle knows the true qualities.
	PolicyOracle Policy = "oracle"
)

// Shape of the model.
const (
	requestsPerSecond = 8
	span              = 2 * clock.Hour
	difficultySpread  = 0.06
	answerSpread      = 0.06
	ratingNoise       = 0.03
	declaredError     = 0.04
	ratingSample      = 0.1
	promptTokens      = 300
	answerTokens      = 200
)

// class is a kind of request.
type class struct {
	name     declaration.ClassName
	share    float64
	target   declaration.Quality
	rated    bool
	hardness float64
}

var classes = []class{
	{"lookup", 0.5, 0.70, false, 0.00},
	{"ruling", 0.3, 0.80, false, 0.05},
	{"appeal", 0.2, 0.85, true, 0.10},
}

// versions are the declared versions with the centre of their quality.
var versions = []struct {
	model   declaration.ModelName
	price   declaration.MicroCost
	quality float64
}{{"breeze", 100, 0.74}, {"bora", 300, 0.83}, {"mistral", 800, 0.90}, {"sirocco", 2000, 0.95}, {"zephyr", 4000, 0.99}}

// World is one seeded instance of the model.
type World struct {
	rng *rand.Rand
	now clock.Millis
	// truth is the mean quality of each version in each class.
	truth map[tallier.Subject]float64
	doc   *declaration.Fleet
}

// NewWorld returns the world of a seed.
func NewWorld(seed uint64) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 99)), now: clock.Hour, truth: map[tallier.Subject]float64{}}
	w.doc = &declaration.Fleet{}
	space := declaration.Workspace{Name: "w", KeyDigests: []string{fmt.Sprintf("%064x", 1)}}
	var refs []declaration.Ref
	for _, v := range versions {
		ref := declaration.Ref{Model: v.model, Version: "1"}
		refs = append(refs, ref)
		for _, c := range classes {
			w.truth[tallier.Subject{Class: c.name, Version: ref}] = v.quality - c.hardness + w.rng.NormFloat64()*0.03
		}
		declared := declaration.Quality(min(max(v.quality-0.04+w.rng.NormFloat64()*declaredError, 0), 1))
		w.doc.Models = append(w.doc.Models, declaration.Model{Name: v.model, Versions: []declaration.Version{
			{Name: "1", PromptPrice: v.price, AnswerPrice: 4 * v.price, Quality: declared},
		}})
	}
	space.Allow = refs
	for _, c := range classes {
		r := declaration.Route{Name: declaration.RouteName(c.name), Class: c.name, Models: refs, Quality: c.target, Explore: 5}
		if c.rated {
			r.Answer = declaration.AnswerRated
		}
		space.Routes = append(space.Routes, r)
	}
	w.doc.Workspaces = []declaration.Workspace{space}
	return w
}

// drift changes the cheapest version for the worse and the next for the better.
func (w *World) drift() {
	for s := range w.truth {
		switch s.Version.Model {
		case "breeze":
			w.truth[s] -= 0.06
		case "bora":
			w.truth[s] += 0.03
		}
	}
}

// Outcome is what a policy achieved in one world.
type Outcome struct {
	// Cost is the mean cost of a request in micros.
	Cost float64
	// Costs is the mean cost of a request by class.
	Costs map[declaration.ClassName]float64
	// Short is how far the worst class's mean quality lies below its target; 0 when
	// every class meets it.
	Short float64
}

// Run plays a policy in the world of a seed.
func Run(policy Policy, seed uint64) (Outcome, error) {
	w := NewWorld(seed)
	c := &clock.Clock{NowFunc: func() clock.Millis { return w.now }}
	k := &keeper.Keeper{Clock: c}
	objects, err := submitter.Objects(w.doc)
	if err != nil {
		return Outcome{}, err
	}
	changes := storer.Changes{Version: ident.StoreVersion(len(objects))}
	for name, raw := range objects {
		changes.Objects = append(changes.Objects, storer.Object{Name: name, Version: 1, Value: raw})
	}
	k.Apply(changes)
	t := &tallier.Tallier{Clock: c, Owner: "sim"}
	p := &player{
		World: w, policy: policy, tallier: t, view: k.View(),
		chooser: &chooser.Chooser{
			Clock: c, ViewFunc: k.View, Estimator: &estimator.Estimator{Clock: c, Tallier: t},
			Float64Func: w.rng.Float64,
		},
	}
	return p.run(), nil
}

// player plays one policy.
type player struct {
	*World
	policy  Policy
	tallier *tallier.Tallier
	chooser *chooser.Chooser
	view    *keeper.View
	cost    float64
	quality map[declaration.ClassName]float64
	count   map[declaration.ClassName]float64
	costs   map[declaration.ClassName]float64
}

func (p *player) run() Outcome {
	p.quality, p.count = map[declaration.ClassName]float64{}, map[declaration.ClassName]float64{}
	p.costs = map[declaration.ClassName]float64{}
	total := int(span/clock.Second) * requestsPerSecond
	for i := range total {
		p.now += clock.Second / requestsPerSecond
		if i == total/2 {
			p.drift()
		}
		p.request(ident.Request(fmt.Sprintf("r%d", i)))
	}
	out := Outcome{Cost: p.cost / float64(total), Costs: map[declaration.ClassName]float64{}}
	for _, c := range classes {
		out.Costs[c.name] = p.costs[c.name] / p.count[c.name]
		out.Short = max(out.Short, float64(c.target)-p.quality[c.name]/p.count[c.name])
	}
	return out
}

func (p *player) request(id ident.Request) {
	c := p.drawClass()
	difficulty := p.rng.NormFloat64() * difficultySpread
	route := p.view.WorkspaceByDigest(fmt.Sprintf("%064x", 1)).Route(declaration.RouteName(c.name))
	q := &chooser.Query{Route: route, Request: id}
	best := -1.0
	var tries []chooser.Attempt
	version := p.start(c, q)
	for {
		quality := p.truth[tallier.Subject{Class: c.name, Version: version}] + difficulty + p.rng.NormFloat64()*answerSpread
		rating := declaration.Quality(min(max(quality+p.rng.NormFloat64()*ratingNoise, 0), 1))
		p.cost += answerCost(p.view.VersionOf(version).Version)
		p.costs[c.name] += answerCost(p.view.VersionOf(version).Version)
		subject := tallier.Subject{Class: c.name, Version: version}
		if len(tries) > 0 {
			subject.Depth = tallier.DepthLater
		}
		p.tallier.RecordAnswer(subject, tallier.Answer{FirstToken: 300, Took: 3000, PromptTokens: promptTokens, AnswerTokens: answerTokens})
		estimate := p.chooser.Estimator.Estimate(subject, p.view.VersionOf(version).Quality)
		rates := c.rated || p.policy == PolicyCheapest || p.rng.Float64() < ratingSample || estimate.NeedsRatings()
		if rates {
			p.tallier.RecordRating(subject, rating)
		}
		tries = append(tries, chooser.Attempt{Version: version, Rated: rates, Rating: rating})
		best = max(best, quality)
		next, again := p.next(c, q, tries)
		if !again {
			break
		}
		version = next
	}
	p.quality[c.name] += best
	p.count[c.name]++
}

func (p *player) drawClass() class {
	x := p.rng.Float64()
	for _, c := range classes {
		if x < c.share {
			return c
		}
		x -= c.share
	}
	return classes[len(classes)-1]
}

func answerCost(v declaration.Version) float64 {
	return (promptTokens*float64(v.PromptPrice) + answerTokens*float64(v.AnswerPrice)) / 1000
}

func (p *player) start(c class, q *chooser.Query) declaration.Ref {
	switch p.policy {
	case PolicyBest:
		return ref(len(versions) - 1)
	case PolicyCheapest:
		return ref(0)
	case PolicyStatic:
		for i := range versions {
			if p.view.VersionOf(ref(i)).Quality >= c.target {
				return ref(i)
			}
		}
		return ref(len(versions) - 1)
	case PolicyOracle:
		return p.oracle(c)
	}
	version, err := p.chooser.ChooseFirst(q)
	if err != nil {
		return ref(len(versions) - 1)
	}
	return version
}

func ref(i int) declaration.Ref { return declaration.Ref{Model: versions[i].model, Version: "1"} }

// oracle returns the cheapest version that truly meets the target, or for a rated
// class the one that starts the truly cheapest cascade.
func (p *player) oracle(c class) declaration.Ref {
	if !c.rated {
		for i := range versions {
			if p.truth[tallier.Subject{Class: c.name, Version: ref(i)}] >= float64(c.target) {
				return ref(i)
			}
		}
		return ref(len(versions) - 1)
	}
	best, bestCost := 0, math.Inf(1)
	for i := range versions {
		cost, reach := 0.0, 1.0
		for j := i; j < len(versions); j++ {
			cost += reach * answerCost(p.view.VersionOf(ref(j)).Version)
			reach *= 1 - p.truePass(c, j)
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return ref(best)
}

// truePass returns the true probability that an answer is rated at or above the target.
func (p *player) truePass(c class, i int) float64 {
	mean := p.truth[tallier.Subject{Class: c.name, Version: ref(i)}]
	spread := math.Sqrt(difficultySpread*difficultySpread + answerSpread*answerSpread + ratingNoise*ratingNoise)
	return 0.5 * math.Erfc((float64(c.target)-mean)/(spread*math.Sqrt2))
}

func (p *player) next(c class, q *chooser.Query, tries []chooser.Attempt) (declaration.Ref, bool) {
	last := tries[len(tries)-1]
	switch p.policy {
	case PolicyReal:
		if !c.rated {
			return declaration.Ref{}, false
		}
		accept, next := p.chooser.ChooseNext(q, tries)
		return next, !accept
	case PolicyBest, PolicyStatic:
		return declaration.Ref{}, false
	case PolicyOracle:
		if !c.rated {
			return declaration.Ref{}, false
		}
	}
	if last.Rating >= c.target {
		return declaration.Ref{}, false
	}
	for i := range versions {
		if ref(i) == last.Version && i+1 < len(versions) {
			return ref(i + 1), true
		}
	}
	return declaration.Ref{}, false
}
