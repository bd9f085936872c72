// Package predictor learns, for each model, how long servers take to process prompts
// (prefill) and to generate events (decode), and predicts both times.
package predictor

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// initialPrefillMsPerToken is the prefill time of one prompt token before the first
	// sample: that of a medium-sized model.
	initialPrefillMsPerToken = 0.03
	// minPrefillMsPerToken is the least estimate of the prefill time of one token.
	minPrefillMsPerToken = 0.0005
	// windowSamples is the number of recent samples kept for each model. The estimate comes from their
	// prefillQuantile, a low one, because the times of queued requests include the wait.
	windowSamples   = 32
	prefillQuantile = 0.2
	// minSpreadSamples is the number of samples from which the time per token is taken from the difference between
	// long and short prompts, if the long ones are spreadFactor times as long; rateWeight is the weight of a new
	// difference in their moving average.
	minSpreadSamples = 12
	spreadFactor     = 2.0
	rateWeight       = 0.1
	// initialEventMs is the time between two events before the first sample, in
	// milliseconds.
	initialEventMs = 20.0
	// eventWeight is the weight of a new sample in the moving average of the time between a
	// model's events, and minEvents the least number of events of a sample.
	eventWeight = 0.1
	minEvents   = 4
)

// Predictor holds the estimates of all models. Its zero value is ready.
type Predictor struct {
	mu      sync.Mutex
	prefill map[declaration.ModelName]*window
	// eventMs holds the mean time between two events, in milliseconds.
	eventMs map[declaration.ModelName]float64
}

// PrefillTime returns how long an otherwise idle server takes to process this many prompt
// tokens, in milliseconds.
func (s *Predictor) PrefillTime(model declaration.ModelName, tokens int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillMsPerToken(model) * float64(tokens)
}

// sample is the time until an answer began, for a prompt of which the server had to read this many tokens.
type sample struct{ tokens, took float64 }

// window holds the newest samples of a model's prefill time.
type window struct {
	samples    []sample
	next       int
	msPerToken float64
}

func (w *window) add(s sample) {
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, s)
	} else {
		w.samples[w.next%windowSamples] = s
	}
	w.next++
	rate := w.rate()
	if w.next == 1 || !w.spread() {
		w.msPerToken = rate
		return
	}
	w.msPerToken += rateWeight * (rate - w.msPerToken)
}

// fixed returns the time that every request takes, of whatever size.
func (w *window) fixed() float64 {
	least := math.Inf(1)
	for _, s := range w.samples {
		least = min(least, s.took-w.msPerToken*s.tokens)
	}
	return max(least, 0)
}

// spread reports whether the samples differ enough in size to tell the time per token from the time that every
// request takes.
func (w *window) spread() bool {
	short, long := w.halves()
	return len(w.samples) >= minSpreadSamples && meanTokens(long) >= spreadFactor*meanTokens(short)
}

// halves returns the samples of the shorter and of the longer prompts.
func (w *window) halves() (short, long []sample) {
	sorted := slices.SortedFunc(slices.Values(w.samples), func(a, b sample) int { return cmp.Compare(a.tokens, b.tokens) })
	return sorted[:len(sorted)/2], sorted[len(sorted)/2:]
}

// rate returns the time per token. Waits at the server and what every request takes are in the times of long and
// short prompts alike, and their difference is without them.
func (w *window) rate() float64 {
	if w.spread() {
		short, long := w.halves()
		return (quantile(long, sample.time) - quantile(short, sample.time)) / (meanTokens(long) - meanTokens(short))
	}
	return quantile(w.samples, sample.perToken)
}

func (s sample) time() float64     { return s.took }
func (s sample) perToken() float64 { return s.took / s.tokens }

// quantile returns the prefillQuantile of a value of the samples.
func quantile(samples []sample, value func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[int(prefillQuantile*float64(len(values)))]
}

func meanTokens(samples []sample) float64 {
	total := 0.0
	for _, s := range samples {
		total += s.tokens
	}
	return total / float64(len(samples))
}

func (s *Predictor) prefillMsPerToken(model declaration.ModelName) float64 {
	if w := s.prefill[model]; w != nil {
		return max(w.msPerToken, minPrefillMsPerToken)
	}
	return initialPrefillMsPerToken
}

// ObservePrefill adds a sample: the prefill of a prompt took the given time, where predicted
// milliseconds were expected. It returns the part of the time that was a wait: neither for the prompt nor what
// every request takes.
func (s *Predictor) ObservePrefill(model declaration.ModelName, predicted float64, took clock.Millis) (waited float64) {
	if predicted <= 0 || took <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := sample{tokens: predicted / s.prefillMsPerToken(model), took: float64(took)}
	w := s.prefill[model]
	if w == nil {
		if s.prefill == nil {
			s.prefill = map[declaration.ModelName]*window{}
		}
		w = &window{}
		s.prefill[model] = w
	}
	w.add(observed)
	return max(float64(took)-w.msPerToken*observed.tokens-w.fixed(), 0)
}

// DecodeTime returns how long a server takes on average to generate this many events.
func (s *Predictor) DecodeTime(model declaration.ModelName, events int) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Millis(s.eventInterval(model) * float64(events))
}

func (s *Predictor) eventInterval(model declaration.ModelName) float64 {
	if interval, found := s.eventMs[model]; found {
		return interval
	}
	return initialEventMs
}

// ObserveEvents adds a sample: a stream brought this many events in the given time.
func (s *Predictor) ObserveEvents(model declaration.ModelName, events int, took clock.Millis) {
	if events < minEvents {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.eventInterval(model)
	if s.eventMs == nil {
		s.eventMs = map[declaration.ModelName]float64{}
	}
	s.eventMs[model] = interval + eventWeight*(float64(took)/float64(events)-interval)
}
