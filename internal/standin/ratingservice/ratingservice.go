// Package ratingservice stands in for the platform's rating service.
//
// It reads the version from the head of an answer of the stand-in engine and
// draws a rating around that version's quality. The fault point is rate, with
// the effects refuse, hang and slow.
package ratingservice

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/rater"
	"example.com/dotterelwell/internal/standin/faulter"
)

// PointRate is the fault point.
const PointRate faulter.Point = "rate"

// spread is the largest distance of a rating from the version's quality.
const spread = 0.1

// Service is the stand-in. A version without a quality is rated zero.
type Service struct {
	// Faults spoils calls.
	Faults faulter.Table

	mu        sync.Mutex
	qualities map[declaration.Ref]declaration.Quality
}

// SetQuality sets the true quality of a version.
func (s *Service) SetQuality(version declaration.Ref, q declaration.Quality) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.qualities == nil {
		s.qualities = map[declaration.Ref]declaration.Quality{}
	}
	s.qualities[version] = q
}

// Handler serves the rating contract.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rate", s.serveRate)
	return mux
}

func (s *Service) serveRate(w http.ResponseWriter, r *http.Request) {
	var q rater.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rule, _ := s.Faults.Next(PointRate)
	switch rule.Effect {
	case faulter.EffectRefuse:
		http.Error(w, "injected fault", http.StatusServiceUnavailable)
		return
	case faulter.EffectHang:
		<-r.Context().Done()
		return
	case faulter.EffectSlow:
		time.Sleep(rule.Delay.Duration())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rater.Rating{Rating: s.rate(q)}) // the client has left when this fails
}

func (s *Service) rate(q rater.Query) declaration.Quality {
	head, _, _ := strings.Cut(strings.TrimPrefix(q.Answer, "<"), ">")
	ref, err := declaration.ParseRef(head)
	if err != nil {
		return 0
	}
	s.mu.Lock()
	quality := s.qualities[ref]
	s.mu.Unlock()
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.Request + q.Answer))
	noise := declaration.Quality(float64(h.Sum32())/float64(1<<32)*2-1) * spread
	return min(max(quality+noise, 0), 1)
}
