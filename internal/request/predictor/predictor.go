// Package speedometer learns how long servers take to read prompts and to make events
// with each model.
package predictor

import (
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// firstPace is the time for one prompt token before anything is known, in
	// milliseconds: that of a medium model.
	firstPace = 0.03
	// minWork is the least estimated work, in milliseconds, from which an answer says
	// something about the pace.
	minWork = 5.0
	// samples is the number of answers of a model that count, and lowQuantile the part of
	// them below its pace: answers that had to wait take longer than their prompts.
	samples     = 16
	lowQuantile = 0.2
	// firstEventPace is the time between two events before anything is known, in
	// milliseconds.
	firstEventPace = 20.0
	// eventWeight is the weight of a stream in the mean time between its model's events,
	// and minEvents the least number of events of a stream that counts.
	eventWeight = 0.1
	minEvents   = 4
)

// Predictor holds the estimates. Its zero value is ready.
type Predictor struct {
	mu    sync.Mutex
	paces map[declaration.ModelName]*window
	// events holds the mean time between two events, in milliseconds.
	events map[declaration.ModelName]float64
}

// PrefillTime returns how long a server that does nothing else reads so many tokens, in
// milliseconds.
func (s *Predictor) PrefillTime(model declaration.ModelName, tokens int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace(model) * float64(tokens)
}

// window holds the newest samples of a model's pace.
type window struct {
	held []float64
	next int
	pace float64
}

func (w *window) add(sample float64) {
	if len(w.held) < samples {
		w.held = append(w.held, sample)
	} else {
		w.held[w.next%samples] = sample
	}
	w.next++
	sorted := slices.Sorted(slices.Values(w.held))
	w.pace = sorted[int(lowQuantile*float64(len(sorted)))]
}

func (s *Predictor) pace(model declaration.ModelName) float64 {
	if w := s.paces[model]; w != nil {
		return w.pace
	}
	return firstPace
}

// ObservePrefill takes in that a prompt of the given estimated work was read after took.
func (s *Predictor) ObservePrefill(model declaration.ModelName, work float64, took clock.Millis) {
	if work < minWork || took <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.pace(model) * float64(took) / work
	w := s.paces[model]
	if w == nil {
		if s.paces == nil {
			s.paces = map[declaration.ModelName]*window{}
		}
		w = &window{}
		s.paces[model] = w
	}
	w.add(sample)
}

// DecodeTime returns how long a server usually takes to make so many events.
func (s *Predictor) DecodeTime(model declaration.ModelName, events int) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Millis(s.eventPace(model) * float64(events))
}

func (s *Predictor) eventPace(model declaration.ModelName) float64 {
	if pace, found := s.events[model]; found {
		return pace
	}
	return firstEventPace
}

// ObserveEvents takes in that a stream's events were made in the given time.
func (s *Predictor) ObserveEvents(model declaration.ModelName, events int, took clock.Millis) {
	if events < minEvents {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.eventPace(model)
	if s.events == nil {
		s.events = map[declaration.ModelName]float64{}
	}
	s.events[model] = pace + eventWeight*(float64(took)/float64(events)-pace)
}
