package runner

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/predictor"
	"example.com/dotterelwell/internal/zone/curator"
)

// TestRepeatsWithoutTime checks which requests are refused before they are sent. Load: a retry storm while engines let
// requests wait for 900 ms; the repeats have what the first requests left of their time.
func TestRepeatsWithoutTime(t *testing.T) {
	route := routing.Route{Name: "digest", FirstByteTarget: 2000, Timeout: 8000, Delivery: routing.DeliveryStream, Shares: []routing.Share{{Service: "engines", Weight: 1}}}
	config := &routing.Config{Routes: []routing.Route{route}, Services: map[declaration.ServiceName]*routing.Service{"engines": {Name: "engines", Engine: &routing.Engine{EventTokens: 7}}}}
	r := &Runner{Clock: &clock.Clock{NowFunc: func() clock.Millis { return 100_000 }}, Predictor: &predictor.Predictor{}}
	refused := func(left clock.Millis, change func(x *execution)) *message.Refusal {
		x := &execution{Runner: r, req: &message.Request{PromptTokens: 9000}, view: &curator.View{Config: config}, route: &config.Routes[0], service: "engines", deadline: r.Clock.Now() + left}
		if change != nil {
			change(x)
		}
		return x.refuseTooLate()
	}
	if refused(300, nil) != nil {
		t.Error("a request is refused though no engine lets requests wait")
	}
	for range 15 {
		r.waits.Observe("engines", 900, r.Clock.Now())
	}
	refusal := refused(300, nil)
	if refusal == nil || refusal.Kind != message.KindTooLate || refusal.RetryAfter < 900 {
		t.Errorf("a repeat with 300 ms left gets %+v, want a refusal as too late for as long as requests wait", refusal)
	}
	if refused(7000, func(x *execution) { x.req.AnswerHint, x.req.AnswerTokens = 20_000, 20_000 }) != nil {
		t.Error("a request with 7 s left is refused, for a hint of an answer of 20,000 tokens")
	}
	if refused(300, func(x *execution) { x.sends, x.mayHaveRun = 1, true }) != nil {
		t.Error("a request that an engine may have run is refused as one that has not run")
	}
	if refused(300, func(x *execution) { x.req.After = "12" }) != nil {
		t.Error("a stream that goes on after an event is refused")
	}
}
