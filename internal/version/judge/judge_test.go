package judge_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/property"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

const begun = 10 * clock.Hour

func view(t testing.TB, c *clock.Clock, begunAt clock.Millis) *keeper.View {
	t.Helper()
	model := declaration.Model{Name: "m", Versions: []declaration.Version{{Name: "1", Quality: 0.9}, {Name: "2", Quality: 0.9}}, Rollout: &declaration.Rollout{
		From: "1", To: "2", Steps: []declaration.Percent{10, 100}, Guard: declaration.Guard{MaxErrorRise: 1, MaxQualityDrop: 0.03, MaxLatencyFactor: 1.5},
	}}
	progress := order.Progress{From: "1", To: "2", Begun: begunAt, Since: begunAt, Phase: order.PhaseRunning}
	k := &keeper.Keeper{Clock: c}
	var objects []storer.Object
	for name, value := range map[string]any{"model.m": model, "progress.m": progress} {
		raw, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, storer.Object{Name: name, Version: 1, Value: raw})
	}
	k.Apply(storer.Changes{Version: 1, Objects: objects})
	return k.View()
}

func subject(version declaration.VersionName) tallier.Subject {
	return tallier.Subject{Class: "c", Version: declaration.Ref{Model: "m", Version: version}}
}

// TestOrderProof merges the tallies of several processes in random order, with repetitions, and
// checks that the evidence does not depend on the order.
func TestOrderProof(t *testing.T) {
	property.Check(t, 60, func(rt *rapid.T) {
		now := begun + clock.Minute
		c := &clock.Clock{NowFunc: func() clock.Millis { return now }}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		var states []tallier.Entry
		final := &tallier.Tallier{Clock: c, Owner: "final"}
		for p := range 3 {
			source := &tallier.Tallier{Clock: c, Owner: ident.Incarnation(fmt.Sprint(p))}
			for range 30 {
				for _, version := range []declaration.VersionName{"1", "2"} {
					source.RecordAnswer(subject(version), tallier.Answer{FirstToken: clock.Millis(100 + rng.IntN(300))})
					source.RecordRating(subject(version), declaration.Quality(rng.Float64()))
				}
				entries, _ := source.ChangesSince(0, 100, nil)
				states = append(states, entries...)
			}
			entries, _ := source.ChangesSince(0, 100, nil)
			for _, e := range entries {
				final.Merge(e)
			}
		}
		mixed := &tallier.Tallier{Clock: c, Owner: "mixed"}
		for range 2 {
			rng.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
			for _, e := range states {
				mixed.Merge(e)
			}
		}
		v := view(t, c, begun)
		model, _ := v.Model("m")
		progress, _ := v.Progress("m")
		evaluate := func(tally *tallier.Tallier) judge.Finding {
			return (&judge.Judge{Clock: c, Tallier: tally, ViewFunc: func() *keeper.View { return v }}).Evaluate(v, model, progress)
		}
		if a, b := evaluate(final), evaluate(mixed); a != b {
			rt.Fatalf("evidence %+v in one order, %+v in another", a, b)
		}
	})
}

// TestRestartedRollout checks that a bad version is blocked, and that it is evaluated without the
// earlier observations after an operator starts its roll-out again.
func TestRestartedRollout(t *testing.T) {
	now := begun
	c := &clock.Clock{NowFunc: func() clock.Millis { return now }}
	tally := &tallier.Tallier{Clock: c, Owner: "a"}
	current := view(t, c, begun)
	bad := 0
	j := &judge.Judge{Clock: c, Tallier: tally, ViewFunc: func() *keeper.View { return current }, OnBad: func(declaration.Ref, string) { bad++ }}
	ref := declaration.Ref{Model: "m", Version: "2"}
	for range 50 {
		now += 200
		tally.RecordRating(subject("1"), 0.9)
		tally.RecordRating(subject("2"), 0.2)
		j.Check(ref)
	}
	if bad != 1 || !j.Blocked(ref) {
		t.Fatalf("OnBad called %d times, blocked %v", bad, j.Blocked(ref))
	}
	now += 2 * clock.Minute
	current = view(t, c, now)
	if j.Blocked(ref) {
		t.Error("the version is still blocked after its roll-out was started again")
	}
	for range 50 {
		now += 200
		tally.RecordRating(subject("1"), 0.9)
		tally.RecordRating(subject("2"), 0.9)
		j.Check(ref)
	}
	if bad != 1 {
		t.Errorf("evidence from before the restart stopped the new roll-out")
	}
}

// TestTallyCodec encodes and decodes tallies with gob.
func TestTallyCodec(t *testing.T) {
	property.Check(t, 100, func(rt *rapid.T) {
		var in, out tallier.Tally
		in.Answers, in.Errors = rapid.Uint32().Draw(rt, "answers"), rapid.Uint32().Draw(rt, "errors")
		for i := range in.Ratings {
			in.Ratings[i] = rapid.Uint32Range(0, 3).Draw(rt, "rating")
		}
		in.Delays[rapid.IntRange(0, tallier.DelayBins-1).Draw(rt, "bin")] = 7
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(&in); err != nil {
			rt.Fatal(err)
		}
		if err := gob.NewDecoder(&wire).Decode(&out); err != nil || in != out {
			rt.Fatalf("%+v came back as %+v, error %v", in, out, err)
		}
	})
}

// FuzzTally decodes arbitrary bytes.
func FuzzTally(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 1, 2, 3, 0})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var tally tallier.Tally
		_ = tally.GobDecode(raw) // an error is a valid result; only a panic fails
	})
}
