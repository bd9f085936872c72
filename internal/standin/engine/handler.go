package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/faulter"
)

// Handler serves the engine's HTTP contract.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	return mux
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chat.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := declaration.ParseRef(req.Model)
	if err != nil || !e.serves(version) {
		refuse(w, "version not loaded")
		return
	}
	id := ident.Request(r.Header.Get(chat.HeaderRequestID))
	rule, spoilt := e.Faults.Next(PointChat)
	if spoilt && e.spoilBefore(w, r, rule) {
		return
	}
	prompt := req.Messages[len(req.Messages)-1].Content
	s, reason := e.start(newAnswer(id, version, prompt))
	if s == nil {
		e.stateLoad(w)
		refuse(w, reason)
		return
	}
	if spoilt && rule.Effect == faulter.EffectFail {
		e.cancel(id)
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	e.send(w, r, s, 0, rule)
}

// spoilBefore applies faults that act before the request starts.
func (e *Engine) spoilBefore(w http.ResponseWriter, r *http.Request, rule faulter.Rule) bool {
	switch rule.Effect {
	case faulter.EffectRefuse:
		refuse(w, "injected fault")
		return true
	case faulter.EffectHang:
		<-r.Context().Done()
		return true
	case faulter.EffectSlow:
		time.Sleep(rule.Delay.Duration())
	case faulter.EffectCold:
		e.SetCold()
	}
	return false
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(chat.HeaderNotRun, "true")
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(r.PathValue("id"))
	s := e.find(id)
	rule, spoilt := e.Faults.Next(PointResume)
	if s == nil || spoilt && rule.Effect == faulter.EffectRefuse {
		http.NotFound(w, r)
		return
	}
	if spoilt && rule.Effect == faulter.EffectHang {
		<-r.Context().Done()
		return
	}
	from := 0
	if last := r.Header.Get(chat.HeaderLastEventID); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
			return
		}
		from = n + 1
	}
	e.send(w, r, s, from, rule)
}

// send streams the frames from offset from, each when it is due.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, from int, rule faulter.Rule) {
	w.Header().Set("Content-Type", chat.ContentTypeStream)
	w.Header().Set(chat.HeaderRequestID, string(s.request))
	e.stateLoad(w)
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush() // a failure shows at the next write
	for i := from; i < s.frames(); i++ {
		due := s.started.Add((e.FirstToken + clock.Millis(i)*e.TokenGap).Duration())
		if !sleepUntil(r, due) {
			e.forget(s)
			return
		}
		if i >= rule.Frame && e.spoilFrame(w, r, s, i, rule) {
			e.forget(s)
			return
		}
		if i == s.frames()-1 {
			e.finish(s) // a reader of the last frame may send the next request at once
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, s.frame(i)); err != nil {
			e.forget(s)
			return
		}
		_ = out.Flush() // a failure shows at the next write
	}
}

// stateLoad puts the engine's load into a response's headers.
func (e *Engine) stateLoad(w http.ResponseWriter) {
	load, _ := json.Marshal(e.Load()) // a load has no value that fails to encode
	w.Header().Set(chat.HeaderEngineLoad, string(load))
}

// spoilFrame applies faults that act part way through an answer.
func (e *Engine) spoilFrame(w http.ResponseWriter, r *http.Request, s *stream, i int, rule faulter.Rule) bool {
	out := http.NewResponseController(w)
	switch rule.Effect {
	case faulter.EffectCut:
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s", i, s.frame(i)[:len(s.frame(i))/2]) // the connection ends here
		_ = out.Flush()
		e.forget(s)
		panic(http.ErrAbortHandler)
	case faulter.EffectSilent:
		<-r.Context().Done()
		return true
	case faulter.EffectCross:
		other := newAnswer("req-of-another-caller", declaration.Ref{Model: "other", Version: "1"}, "other")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, other.frame(0)) // the router must drop this frame
	}
	return false
}

func sleepUntil(r *http.Request, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// forget drops a stream whose connection ended, when the engine cannot resume.
func (e *Engine) forget(s *stream) {
	if e.CannotResume {
		e.cancel(s.request)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.cancel(ident.Request(r.PathValue("id"))) {
		http.NotFound(w, r)
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if rule, spoilt := e.Faults.Next(PointLoad); spoilt && rule.Effect == faulter.EffectHang {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.Load()) // the client has left when this fails
}
