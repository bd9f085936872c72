// Package engine stands in for a model engine.
//
// Its answers depend only on the version and the last message, so that a test
// can tell whether an answer arrived whole. Fault points are chat, resume and
// load; the effects are refuse, hang, cut, silent, slow, go-cold, cross and fail.
package engine

import (
	"strings"
	"sync"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/faulter"
)

// Fault points.
const (
	PointChat   faulter.Point = "chat"
	PointResume faulter.Point = "resume"
	PointLoad   faulter.Point = "load"
)

// collapseSpan is how long an overloaded cold engine refuses everything.
const collapseSpan = 2 * clock.Second

// defaultTokens is the length of an answer whose prompt does not name one.
const defaultTokens = 24

// Engine is the stand-in. Its zero value is a warm engine without delays or limits.
type Engine struct {
	// Versions are those that the engine serves.
	Versions []declaration.Ref
	// FirstToken and TokenGap pace the answers.
	FirstToken, TokenGap clock.Millis
	// Limit is the number of requests at once that a warm engine takes; zero for no limit.
	Limit int
	// ColdLimit is the number that a cold engine bears without collapsing.
	ColdLimit int
	// WarmAfter is the number of finished requests that warm a cold engine.
	WarmAfter int
	// CannotResume makes the engine forget a stream when its connection ends.
	CannotResume bool
	// Faults spoils calls.
	Faults faulter.Table

	mu           sync.Mutex
	cold         bool
	warmth       int
	running      int
	collapsedTil time.Time
	stats        Stats
	streams      map[ident.Request]*stream
}

// Stats is what the engine has seen.
type Stats struct {
	// Runs counts the starts of each request.
	Runs map[ident.Request]int
	// Versions counts the starts on each version.
	Versions map[declaration.Ref]int
	// PeakCold is the highest number of requests at once while cold.
	PeakCold int
	// Collapses counts how often a cold engine was given too much.
	Collapses int
	// Cancelled counts the streams that were cancelled.
	Cancelled int
	// LastStart is when the last request started.
	LastStart time.Time
}

// stream is one running or finished answer.
type stream struct {
	answer
	started time.Time
	done    bool
	stop    *time.Timer
}

// Text returns the answer that version gives to the prompt. The prompt may ask
// for its length with a word such as tokens=12.
func Text(version declaration.Ref, prompt string) string {
	a := newAnswer("", version, prompt)
	var text strings.Builder
	for i := range a.words {
		text.WriteString(a.word(i))
	}
	return text.String()
}

// SetCold turns the engine cold at once.
func (e *Engine) SetCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.warmth = 0
}

// Stats returns a copy of what the engine has seen.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs = make(map[ident.Request]int, len(e.stats.Runs))
	for r, n := range e.stats.Runs {
		s.Runs[r] = n
	}
	s.Versions = make(map[declaration.Ref]int, len(e.stats.Versions))
	for v, n := range e.stats.Versions {
		s.Versions[v] = n
	}
	return s
}

// Ran reports whether an attempt of the caller's request was started.
func (e *Engine) Ran(request ident.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for attempt := range e.stats.Runs {
		if strings.HasPrefix(string(attempt), string(request)+".") {
			return true
		}
	}
	return false
}

// Load returns the engine's current load.
func (e *Engine) Load() chat.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load()
}

func (e *Engine) load() chat.Load {
	load := chat.Load{State: chat.LoadWarm, Running: e.running, Limit: e.Limit}
	if e.cold {
		load.State = chat.LoadCold
		load.Limit = e.ColdLimit
	}
	return load
}

// start accepts a request or returns why it does not.
func (e *Engine) start(a answer) (*stream, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.collapsedTil) {
		return nil, "collapsed"
	}
	if e.cold {
		e.stats.PeakCold = max(e.stats.PeakCold, e.running+1)
		if e.ColdLimit > 0 && e.running >= e.ColdLimit {
			e.stats.Collapses++
			e.warmth = 0
			e.collapsedTil = now.Add(collapseSpan.Duration())
			return nil, "collapsed"
		}
	}
	if e.Limit > 0 && e.running >= e.Limit {
		return nil, "full"
	}
	return e.admit(a, now), ""
}

func (e *Engine) admit(a answer, now time.Time) *stream {
	if e.streams == nil {
		e.streams = map[ident.Request]*stream{}
		e.stats.Runs = map[ident.Request]int{}
		e.stats.Versions = map[declaration.Ref]int{}
	}
	e.running++
	e.stats.Runs[a.request]++
	e.stats.Versions[a.version]++
	e.stats.LastStart = now
	s := &stream{answer: a, started: now}
	e.streams[a.request] = s
	total := e.FirstToken + clock.Millis(a.frames()-1)*e.TokenGap
	s.stop = time.AfterFunc(total.Duration(), func() { e.finish(s) })
	return s
}

func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	e.running--
	e.warmth++
	if e.cold && e.warmth >= e.WarmAfter {
		e.cold = false
	}
}

func (e *Engine) find(id ident.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) cancel(id ident.Request) bool {
	s := e.find(id)
	if s == nil {
		return false
	}
	s.stop.Stop()
	e.finish(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
	delete(e.streams, id)
	return true
}

// Close ends all timers.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stop.Stop()
	}
}

func (e *Engine) serves(version declaration.Ref) bool {
	for _, v := range e.Versions {
		if v == version {
			return true
		}
	}
	return false
}
