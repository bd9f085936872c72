// Package reporter serves operators over HTTP: metrics, status, time line, and why
// versions are chosen.
package reporter

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/exchanger"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/version/estimator"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// askTimeout bounds questions to peers and to the store.
const askTimeout = 3 * clock.Second

// Reporter answers operators. Set the exported fields, then use Mux.
type Reporter struct {
	Clock *clock.Clock
	// KeyDigest is the digest of the key that operators present; empty lets everyone in.
	KeyDigest string
	Metrics   http.Handler
	Exchanger *exchanger.Exchanger
	Registrar *registrar.Registrar
	Keeper    *keeper.Keeper
	Estimator *estimator.Estimator
	Tallier   *tallier.Tallier
	Judge     *judge.Judge
	Claimer   *claimer.Claimer
}

// Mux returns the operators' API. Metrics need no key.
func (r *Reporter) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.Metrics)
	mux.HandleFunc("GET /operator/status", r.guard(r.status))
	mux.HandleFunc("GET /operator/timeline", r.guard(r.timeline))
	mux.HandleFunc("GET /operator/quality", r.guard(r.quality))
	mux.HandleFunc("GET /operator/rollouts", r.guard(r.rollouts))
	mux.HandleFunc("GET /operator/unknown", r.guard(r.unknown))
	mux.HandleFunc("GET /operator/find", r.guard(r.find))
	mux.HandleFunc("POST /operator/settle", r.guard(r.settle))
	return mux
}

func (r *Reporter) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		key := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
		if r.KeyDigest != "" && handler.KeyDigest(key) != r.KeyDigest {
			http.Error(w, "the operator key is wrong", http.StatusUnauthorized)
			return
		}
		next(w, req)
	}
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the operator has left when this fails
}

// FleetStatus is the answer to /operator/status.
type FleetStatus struct {
	Instances []exchanger.Status `json:"instances"`
	Silent    []ident.Instance   `json:"silent,omitempty"`
	Zones     []ZoneStatus       `json:"zones"`
	Servers   []registrar.Row    `json:"servers"`
}

// ZoneStatus tells whether a zone is in service.
type ZoneStatus struct {
	Name declaration.ZoneName `json:"name"`
	Out  bool                 `json:"out"`
}

func (r *Reporter) status(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), askTimeout.Duration())
	defer cancel()
	var s FleetStatus
	s.Instances, s.Silent = r.Exchanger.Statuses(ctx)
	view := r.Keeper.View()
	for _, z := range view.Zones() {
		s.Zones = append(s.Zones, ZoneStatus{Name: z.Name, Out: view.ZoneOut(z.Name)})
	}
	s.Servers = r.Registrar.Rows()
	write(w, s)
}

// Timeline is the answer to /operator/timeline.
type Timeline struct {
	Events []chronicler.Event `json:"events"`
	// Silent lists instances whose events are missing.
	Silent []ident.Instance `json:"silent,omitempty"`
}

func (r *Reporter) timeline(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), askTimeout.Duration())
	defer cancel()
	since, _ := strconv.ParseInt(req.FormValue("since-ms"), 10, 64) // absent means from the start
	f := chronicler.Filter{Request: ident.Request(req.FormValue("request")), Since: clock.Millis(since)}
	var t Timeline
	t.Events, t.Silent = r.Exchanger.Events(ctx, f)
	write(w, t)
}

// QualityRow is one row of the answer to /operator/quality.
type QualityRow struct {
	Class    declaration.ClassName `json:"class"`
	Version  declaration.Ref       `json:"version"`
	State    declaration.State     `json:"state"`
	Depth    tallier.Depth         `json:"depth"`
	Declared declaration.Quality   `json:"declared"`
	Cost     float64               `json:"cost-micros"`
	estimator.Estimate
}

func (r *Reporter) quality(w http.ResponseWriter, _ *http.Request) {
	view := r.Keeper.View()
	rows := []QualityRow{}
	for _, s := range r.Tallier.Subjects() {
		v := view.VersionOf(s.Version)
		if v == nil {
			continue
		}
		e := r.Estimator.Estimate(s, v.Quality)
		rows = append(rows, QualityRow{
			Class: s.Class, Version: s.Version, State: v.State, Depth: s.Depth,
			Declared: v.Quality, Cost: e.Cost(v.Version), Estimate: *e,
		})
	}
	write(w, rows)
}

// RolloutRow is one row of the answer to /operator/rollouts.
type RolloutRow struct {
	Model    declaration.ModelName `json:"model"`
	Rollout  declaration.Rollout   `json:"rollout"`
	Phase    string                `json:"phase"`
	Step     int                   `json:"step"`
	Reason   string                `json:"reason,omitempty"`
	Blocked  bool                  `json:"blocked"`
	Evidence judge.Finding         `json:"evidence"`
}

func (r *Reporter) rollouts(w http.ResponseWriter, _ *http.Request) {
	view := r.Keeper.View()
	rows := []RolloutRow{}
	for _, m := range view.Models() {
		if m.Rollout == nil {
			continue
		}
		p, _ := view.Progress(m.Name)
		rows = append(rows, RolloutRow{
			Model: m.Name, Rollout: *m.Rollout, Phase: string(p.Phase), Step: p.Step, Reason: p.Reason,
			Blocked:  r.Judge.Blocked(declaration.Ref{Model: m.Name, Version: m.Rollout.To}),
			Evidence: r.Judge.Evaluate(view, m, p),
		})
	}
	write(w, rows)
}

func (r *Reporter) unknown(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), askTimeout.Duration())
	defer cancel()
	open, err := r.Claimer.Unsettled(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	write(w, append([]claim.Entry{}, open...))
}

func (r *Reporter) find(w http.ResponseWriter, req *http.Request) {
	held, found, err := r.Claimer.Find(req.Context(), ident.Key(req.FormValue("key")))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !found:
		http.Error(w, "no claim has the key within the retention", http.StatusNotFound)
	default:
		write(w, held)
	}
}

// Settlement is the body of /operator/settle.
type Settlement struct {
	Key ident.Key `json:"key"`
	// Ran tells whether the request ran.
	Ran    bool   `json:"ran"`
	Status int    `json:"status,omitempty"`
	By     string `json:"by"`
}

// settle records what an operator has found out about a claim without an outcome.
func (r *Reporter) settle(w http.ResponseWriter, req *http.Request) {
	var s Settlement
	if err := json.NewDecoder(req.Body).Decode(&s); err != nil || s.Key == "" || s.By == "" {
		http.Error(w, "the body must name key and by", http.StatusBadRequest)
		return
	}
	held, found, err := r.Claimer.Find(req.Context(), s.Key)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !found || held.State != claim.StateClaimed {
		http.Error(w, "the key has no claim without an outcome", http.StatusConflict)
		return
	}
	held.By, held.Status = s.By, s.Status
	record := r.Claimer.Release
	if s.Ran {
		held.Partial = true
		record = r.Claimer.Settle
	}
	if err := record(held); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	write(w, held)
}
