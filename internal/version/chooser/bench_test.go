package chooser_test

import (
	"fmt"
	"testing"

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

var digest = fmt.Sprintf("%064x", 1)

// newChooser returns a chooser over ten versions and a keeper whose workspace has a streamed
// and a rated route.
func newChooser(t testing.TB) (*chooser.Chooser, *keeper.Keeper) {
	t.Helper()
	doc := &declaration.Fleet{}
	space := declaration.Workspace{Name: "w", KeyDigests: []string{digest}}
	for i := range 10 {
		name := declaration.ModelName(fmt.Sprintf("m%d", i))
		doc.Models = append(doc.Models, declaration.Model{Name: name, Versions: []declaration.Version{
			{Name: "1", PromptPrice: declaration.MicroCost(100 * (i + 1)), AnswerPrice: 400, Quality: declaration.Quality(0.6 + 0.035*float64(i))},
		}})
		space.Allow = append(space.Allow, declaration.Ref{Model: name})
	}
	space.Routes = []declaration.Route{
		{Name: "streamed", Class: "s", Models: space.Allow, Quality: 0.7, Explore: 2},
		{Name: "rated", Class: "r", Models: space.Allow, Quality: 0.8, Answer: declaration.AnswerRated},
	}
	doc.Workspaces = []declaration.Workspace{space}
	objects, err := submitter.Objects(doc)
	if err != nil {
		t.Fatal(err)
	}
	c := &clock.Clock{}
	k := &keeper.Keeper{Clock: c}
	changes := storer.Changes{Version: 1}
	for name, raw := range objects {
		changes.Objects = append(changes.Objects, storer.Object{Name: name, Version: 1, Value: raw})
	}
	k.Apply(changes)
	tally := &tallier.Tallier{Clock: c, Owner: "a"}
	return &chooser.Chooser{Clock: c, ViewFunc: k.View, Estimator: &estimator.Estimator{Clock: c, Tallier: tally}}, k
}

// BenchmarkStart measures one choice among ten versions.
func BenchmarkStart(b *testing.B) {
	for _, name := range []declaration.RouteName{"streamed", "rated"} {
		b.Run(string(name), func(b *testing.B) {
			c, k := newChooser(b)
			q := &chooser.Query{Route: k.View().WorkspaceByDigest(digest).Route(name), Request: ident.Request("r")}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.ChooseFirst(q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
