package workload

import (
	"encoding/json"
	"math/rand/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Badness is how a new version differs from the one that it replaces.
type Badness struct {
	Name        string
	QualityDrop float64
	ErrorRise   float64
	Slower      float64
}

// Spread is how instances share what they find.
type Spread string

// Ways to share.
const (
	// SpreadExchange is the product's: tallies in every round, findings at once.
	SpreadExchange Spread = "exchange"
	// SpreadNone lets each instance judge alone.
	SpreadNone Spread = "alone"
	// SpreadWindow lets each instance alone compare windows of fixed length.
	SpreadWindow Spread = "fixed-window"
)

// Conditions of a roll-out.
const (
	perInstance  = 80 // requests a second
	newShare     = 0.1
	roundSpan    = 1 * clock.Second
	nudgePeers   = 8
	baseErrors   = 0.005
	baseQuality  = 0.88
	baseDelay    = 300.0
	windowLength = 200
	warmAnswers  = 2000

	nudgeSpan clock.Millis = 50
	stepSpan  clock.Millis = 50
)

var (
	fromRef = declaration.Ref{Model: "m", Version: "1"}
	toRef   = declaration.Ref{Model: "m", Version: "2"}
	subject = tallier.Subject{Class: "c", Version: fromRef}
)

// rollout is one simulated roll-out.
type rollout struct {
	rng       *rand.Rand
	now       clock.Millis
	bad       Badness
	spread    Spread
	instances []*judging
}

// judging is one instance's share of a roll-out.
type judging struct {
	tallier *tallier.Tallier
	judge   *judge.Judge
	serials []uint64
	blocked bool
	// hears is when a finding of a peer arrives; zero for none under way.
	hears  clock.Millis
	window window
}

// window is the fixed-window rule's memory.
type window struct {
	n, errors, slow int
	quality         float64
}

// rolloutView returns a view with a roll-out from version 1 to 2 that began at a time.
func rolloutView(c *clock.Clock, begun clock.Millis) *keeper.View {
	model := declaration.Model{Name: "m", Versions: []declaration.Version{
		{Name: "1", Quality: baseQuality, AnswerPrice: 1}, {Name: "2", Quality: baseQuality, AnswerPrice: 1},
	}, Rollout: &declaration.Rollout{
		From: "1", To: "2", Steps: []declaration.Percent{newShare * 100, 100}, Hold: 60_000,
		Guard: declaration.Guard{MaxErrorRise: 1, MaxQualityDrop: 0.03, MaxLatencyFactor: 1.5},
	}}
	progress := order.Progress{From: "1", To: "2", Begun: begun, Since: begun, Phase: order.PhaseRunning}
	rawModel, _ := json.Marshal(model)       // strings and numbers always encode
	rawProgress, _ := json.Marshal(progress) // strings and numbers always encode
	k := &keeper.Keeper{Clock: c}
	k.Apply(storer.Changes{Version: 2, Objects: []storer.Object{
		{Name: order.Name(order.SortModel, "m"), Version: 1, Value: rawModel},
		{Name: order.Name(order.SortProgress, "m"), Version: 2, Value: rawProgress},
	}})
	return k.View()
}

func newRollout(seed uint64, instances int, bad Badness, spread Spread) *rollout {
	r := &rollout{rng: rand.New(rand.NewPCG(seed, 3)), now: 3 * clock.Hour, bad: bad, spread: spread}
	c := &clock.Clock{NowFunc: func() clock.Millis { return r.now }}
	view := rolloutView(c, r.now)
	for i := range instances {
		t := &tallier.Tallier{Clock: c, Owner: ident.Incarnation(rune('A'+i%26)) + ident.Incarnation(string(rune('0'+i/26)))}
		j := &judging{tallier: t, serials: make([]uint64, instances)}
		j.judge = &judge.Judge{
			Clock: c, Tallier: t, ViewFunc: func() *keeper.View { return view },
			OnBad: func(declaration.Ref, string) { r.found(j) },
		}
		r.instances = append(r.instances, j)
		for range warmAnswers / instances {
			r.answer(j, fromRef, Badness{})
		}
	}
	return r
}

// found blocks the version at an instance and nudges some peers.
func (r *rollout) found(j *judging) {
	j.blocked = true
	if r.spread != SpreadExchange {
		return
	}
	for i, peer := range r.instances {
		near := len(r.instances) <= nudgePeers || i%27 == 0 || r.rng.Float64() < float64(2*nudgePeers)/float64(len(r.instances))
		if near && !peer.blocked && peer.hears == 0 {
			peer.hears = r.now + nudgeSpan
		}
	}
}

// answer plays one answer of a version and accounts for it.
func (r *rollout) answer(j *judging, version declaration.Ref, bad Badness) {
	s := subject
	s.Version = version
	w := &window{} // only the new version's answers count in the window
	if version == toRef {
		w = &j.window
	}
	w.n++
	if r.rng.Float64() < baseErrors+bad.ErrorRise {
		j.tallier.RecordFailure(s)
		w.errors++
	} else {
		delay := baseDelay * (0.6 + 0.8*r.rng.Float64()) * max(bad.Slower, 1)
		quality := min(max(baseQuality-bad.QualityDrop+r.rng.NormFloat64()*0.1, 0), 1)
		j.tallier.RecordAnswer(s, tallier.Answer{FirstToken: clock.Millis(delay), AnswerTokens: 100})
		j.tallier.RecordRating(s, declaration.Quality(quality))
		w.quality += quality
		if delay > 2*baseDelay {
			w.slow++
		}
	}
}

// exposure plays the roll-out until every instance has stopped new work on the new
// version, or most answers have come from it, and returns those answers.
func (r *rollout) exposure(most int) int {
	exposed, nextRound := 0, r.now+roundSpan
	for exposed < most && !r.over() {
		r.now += stepSpan
		for _, j := range r.instances {
			if j.hears > 0 && r.now >= j.hears && !j.blocked {
				j.judge.Block(toRef, "heard", r.now)
				r.found(j)
			}
			exposed += r.serve(j)
		}
		if r.now >= nextRound && r.spread == SpreadExchange {
			nextRound += roundSpan
			r.exchange()
		}
	}
	return exposed
}

func (r *rollout) over() bool {
	for _, j := range r.instances {
		if !j.blocked {
			return false
		}
	}
	return true
}

// serve plays one step of an instance's requests.
func (r *rollout) serve(j *judging) int {
	exposed := 0
	for range perInstance * int(stepSpan) / 1000 {
		if j.blocked || r.rng.Float64() >= newShare {
			r.answer(j, fromRef, Badness{})
			continue
		}
		exposed++
		r.answer(j, toRef, r.bad)
		if r.spread == SpreadWindow {
			j.checkWindow()
			continue
		}
		j.judge.Check(toRef)
	}
	return exposed
}

// checkWindow compares a full window with fixed limits.
func (j *judging) checkWindow() {
	w := j.window
	if w.n < windowLength {
		return
	}
	answered := float64(w.n - w.errors)
	j.blocked = float64(w.errors)/float64(w.n) > baseErrors+0.02 ||
		w.quality/max(answered, 1) < baseQuality-0.05 || float64(w.slow) > answered/2
	j.window = window{}
}

// exchange lets every instance pull from its peers of one round.
func (r *rollout) exchange() {
	const fanOut, meshTallies, passedTallies = 2, 256, 12
	n := len(r.instances)
	for i, j := range r.instances {
		pulls, most := n-1, meshTallies
		if n > nudgePeers {
			pulls, most = fanOut, passedTallies
		}
		for p := range pulls {
			peer := (i + 1 + p) % n
			if n > nudgePeers {
				peer = r.rng.IntN(n)
			}
			entries, serial := r.instances[peer].tallier.ChangesSince(j.serials[peer], most, nil)
			j.serials[peer] = serial
			for _, e := range entries {
				j.tallier.Merge(e)
			}
			if r.instances[peer].blocked && !j.blocked && j.hears == 0 {
				j.hears = r.now
			}
		}
		j.judge.Check(toRef)
	}
}

// Exposure plays a roll-out of a bad version and returns the answers that it gave
// before all instances had stopped it, at most most.
func Exposure(seed uint64, instances int, bad Badness, spread Spread, most int) int {
	return newRollout(seed, instances, bad, spread).exposure(most)
}

// FalseStop plays a good roll-out of the given number of answers of the new version
// and reports whether it was stopped.
func FalseStop(seed uint64, answers int) bool {
	r := newRollout(seed, 1, Badness{}, SpreadNone)
	j := r.instances[0]
	for i := 0; i < answers && !j.blocked; i++ {
		r.now += 125
		r.answer(j, toRef, Badness{})
		for range 9 {
			r.answer(j, fromRef, Badness{})
		}
		j.judge.Check(toRef)
	}
	return j.blocked
}
