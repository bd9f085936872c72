// Package deskservice stands in for a plain service that keeps registrations or disbursements.
//
// The fault point is call, with the effects refuse, hang, slow, cut (runs, answers
// with half a body), lose-answer (runs, closes the connection), cross and fail.
package deskservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/faulter"
)

// PointCall is the fault point of every call but look-ups.
const PointCall faulter.Point = "call"

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 1 << 20

// Service is the stand-in. It runs every call that it receives, repeated or not.
type Service struct {
	// Faults spoils calls.
	Faults faulter.Table
	// Delay is how long a call runs.
	Delay time.Duration

	mu   sync.Mutex
	runs map[ident.Key]int
	told map[ident.Request]forwarder.LookupResult
}

// Receipt is the answer to a call.
type Receipt struct {
	Key  ident.Key `json:"key"`
	Run  int       `json:"run"`
	Path string    `json:"path"`
	Echo string    `json:"echo"`
}

// Runs returns how often each key has run.
func (s *Service) Runs() map[ident.Key]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[ident.Key]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

// Ran reports whether the request has run.
func (s *Service) Ran(request ident.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[request].Ran
}

// Handler serves calls under /services/ and look-ups under /requests/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /requests/{id}", s.serveLookup)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	report := s.told[ident.Request(r.PathValue("id"))]
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report) // the client has left when this fails
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rule, _ := s.Faults.Next(PointCall)
	switch rule.Effect {
	case faulter.EffectRefuse:
		w.Header().Set(chat.HeaderNotRun, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case faulter.EffectHang:
		<-r.Context().Done()
		return
	case faulter.EffectSlow:
		time.Sleep(rule.Delay.Duration())
	}
	receipt := s.run(r, body)
	reply(w, r, rule, receipt)
}

func (s *Service) run(r *http.Request, body []byte) []byte {
	if s.Delay > 0 {
		time.Sleep(s.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[ident.Key]int{}
		s.told = map[ident.Request]forwarder.LookupResult{}
	}
	key := ident.Key(r.Header.Get(chat.HeaderIdempotencyKey))
	if key != "" {
		s.runs[key]++
	}
	receipt, _ := json.Marshal(Receipt{Key: key, Run: s.runs[key], Path: r.URL.RequestURI(), Echo: string(body)}) // strings always encode
	request := ident.Request(r.Header.Get(chat.HeaderRequestID))
	s.told[request] = forwarder.LookupResult{Ran: true, Status: http.StatusOK, Body: receipt}
	return receipt
}

func reply(w http.ResponseWriter, r *http.Request, rule faulter.Rule, receipt []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(chat.HeaderRequestID, r.Header.Get(chat.HeaderRequestID))
	switch rule.Effect {
	case faulter.EffectLoseAnswer:
		panic(http.ErrAbortHandler)
	case faulter.EffectCut:
		_, _ = w.Write(receipt[:len(receipt)/2]) // the connection ends here
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case faulter.EffectCross:
		w.Header().Set(chat.HeaderRequestID, "req-of-another-caller")
	case faulter.EffectFail:
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(receipt) // the client has left when this fails
}
