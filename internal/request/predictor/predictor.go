// Package predictor learns, for each model, how long servers take to process prompts
// (prefill) and to generate events (decode), and predicts both times.
package predictor

import (
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// initialPrefillMsPerToken is the prefill time of one prompt token before the first
	// sample: that of a medium-sized model.
	initialPrefillMsPerToken = 0.03
	// minPrefillMs is the least predicted prefill time of a sample. The times of shorter
	// prompts say nothing about the time per token.
	minPrefillMs = 5.0
	// windowSamples is the number of recent samples kept for each model. The estimate is their
	// prefillQuantile, a low one, because the times of queued requests include the wait.
	windowSamples   = 16
	prefillQuantile = 0.2
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

// window holds the newest samples of a model's prefill time per token.
type window struct {
	samples    []float64
	next       int
	msPerToken float64
}

func (w *window) add(sample float64) {
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next%windowSamples] = sample
	}
	w.next++
	sorted := slices.Sorted(slices.Values(w.samples))
	w.msPerToken = sorted[int(prefillQuantile*float64(len(sorted)))]
}

func (s *Predictor) prefillMsPerToken(model declaration.ModelName) float64 {
	if w := s.prefill[model]; w != nil {
		return w.msPerToken
	}
	return initialPrefillMsPerToken
}

// ObservePrefill adds a sample: the prefill of a prompt took the given time, where predicted
// milliseconds were expected.
func (s *Predictor) ObservePrefill(model declaration.ModelName, predicted float64, took clock.Millis) {
	if predicted < minPrefillMs || took <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.prefillMsPerToken(model) * float64(took) / predicted
	w := s.prefill[model]
	if w == nil {
		if s.prefill == nil {
			s.prefill = map[declaration.ModelName]*window{}
		}
		w = &window{}
		s.prefill[model] = w
	}
	w.add(sample)
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
