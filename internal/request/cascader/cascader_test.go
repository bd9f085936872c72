package cascader_test

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/cascader"
)

// TestEscalateUnderLoad checks that the confidence needed to keep an answer falls as load
// rises. With a fixed threshold, a burst of long prompts overloads the larger models with
// requests whose first answer was nearly good enough.
func TestEscalateUnderLoad(t *testing.T) {
	var c cascader.Cascader
	for _, tt := range []struct {
		name       string
		confidence int
		wait, work float64
		left       clock.Millis
		want       bool
	}{
		{"idle, sure", 80, 0, 300, 2000, false},
		{"idle, doubtful", 40, 0, 300, 2000, true},
		{"busy, doubtful", 40, 900, 300, 2000, false},
		{"busy, hopeless", 20, 900, 300, 2000, true},
		{"too late, hopeless", 20, 5000, 300, 2000, false},
		{"too late, worthless", 5, 5000, 300, 2000, true},
		{"time is up already", 20, 0, 0, -100, false},
		{"no opinion", message.NoConfidence, 0, 0, 2000, false},
	} {
		if got := c.ShouldEscalate(tt.confidence, cascader.Pressure(tt.wait, tt.work, tt.left)); got != tt.want {
			t.Errorf("%s: escalates %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestPressure checks that the pressure grows with the wait and never exceeds 1.
func TestPressure(t *testing.T) {
	before := 0.0
	for wait := 0.0; wait < 3000; wait += 100 {
		p := cascader.Pressure(wait, 500, 2000)
		if p < before || p > 1 {
			t.Fatalf("pressure %v at a wait of %v, after %v", p, wait, before)
		}
		before = p
	}
}

// TestContinuedStream checks that resumed streams start with the small model. After a crash
// of the whole fleet all streams are resumed at once and would overload the largest model.
func TestContinuedStream(t *testing.T) {
	var c cascader.Cascader
	route := &routing.Route{Models: []declaration.ModelName{"small", "large"}}
	for _, after := range []string{"", "17"} {
		if got := c.FirstModel(route, &message.Request{OpenModel: true, After: after}); got != "small" {
			t.Errorf("after event %q the first model is %q, want the smallest", after, got)
		}
	}
}
