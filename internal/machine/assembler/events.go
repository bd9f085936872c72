package assembler

import (
	"fmt"
	"math/rand/v2"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/dispatcher"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// billHash chooses the peer that holds an instance's bills.
var billHash = hasher.Hasher{Salt: "bills"}

// raterRest is how long the rating service is taken to be down after a failure.
const raterRest = 2 * clock.Second

// rejected reports an invalid configuration object.
func (n *Node) rejected(r keeper.Rejection) {
	n.Meter.ConfigRejected.Inc()
	n.Chronicler.Record(chronicler.KindConfigRejected, "", r.Name, r.Err.Error())
	klog.ErrorS(r.Err, "Configuration object is invalid; the last valid one stays in force", "object", r.Name, "version", r.Version)
}

// applied notes a new configuration, and treats servers of a zone that comes back as cold.
func (n *Node) applied(v *keeper.View) {
	n.Chronicler.Record(chronicler.KindConfigApplied, "", "", fmt.Sprintf("version %d", v.Version))
	klog.V(1).InfoS("Configuration is in force", "version", v.Version)
	if n.watches(1) {
		n.nudge()
	}
	n.mu.Lock()
	back := n.zonesBack(v)
	n.mu.Unlock()
	for _, zone := range back {
		n.coolZone(zone)
	}
	n.Admitter.Wake()
}

// zonesBack returns the zones that were out and are in again. The lock must be held.
func (n *Node) zonesBack(v *keeper.View) []declaration.ZoneName {
	var back []declaration.ZoneName
	for zone := range n.zonesOut {
		if !v.ZoneOut(zone) {
			back = append(back, zone)
			delete(n.zonesOut, zone)
		}
	}
	for _, z := range v.Zones() {
		if v.ZoneOut(z.Name) {
			n.zonesOut[z.Name] = true
		}
	}
	return back
}

// coolZone marks every server of a zone cold.
func (n *Node) coolZone(zone declaration.ZoneName) {
	for _, row := range n.Registrar.Rows() {
		if row.Zone == zone {
			n.Warmer.MarkCold(row.Server)
		}
	}
}

func (n *Node) storeAnswered(err error) {
	if err != nil {
		n.Meter.StoreErrors.Inc()
		klog.V(1).InfoS("The object API did not answer", "err", err)
	}
}

func (n *Node) resumed(server ident.Server, cause error) {
	n.Meter.Resumes.Inc()
	n.Chronicler.Record(chronicler.KindResumed, "", string(server), cause.Error())
}

func (n *Node) begun(request ident.Request, workspace declaration.WorkspaceName, route string) {
	n.Chronicler.Record(chronicler.KindRequestBegun, request, string(workspace)+"/"+route, "")
}

func (n *Node) finished(f handler.RequestSummary) {
	n.Meter.Requests.WithLabelValues(string(f.Workspace), f.Route, string(f.Outcome), string(f.Refusal)).Inc()
	n.Meter.Seconds.WithLabelValues(f.Route).Observe(f.Elapsed.Duration().Seconds())
	if f.Refusal == "" {
		n.Meter.Cost.WithLabelValues(string(f.Workspace)).Add(float64(f.Cost))
	}
	if f.Version.Model != "" {
		n.Meter.Answers.WithLabelValues(f.Version.String()).Inc()
	}
	if f.Route == "" {
		return // refused before it was known what it asked for
	}
	n.Chronicler.Record(chronicler.KindRequestFinished, f.Request, string(f.Workspace)+"/"+f.Route, string(f.Outcome)+" "+string(f.Refusal))
	if f.Refusal != "" {
		klog.V(1).InfoS("Request refused", "request", f.Request, "workspace", f.Workspace, "route", f.Route, "problem", f.Refusal, "outcome", f.Outcome)
	}
}

func (n *Node) dispatched(ask *conductor.ChatRequest, version declaration.Ref, slot *registrar.Slot) {
	n.Meter.Dispatches.WithLabelValues(version.String()).Inc()
	n.Chronicler.Record(chronicler.KindDispatched, ask.Request, version.String(), string(slot.Server))
}

func (n *Node) dispatchedCall(call *dispatcher.Call, slot *registrar.Slot) {
	n.Meter.Dispatches.WithLabelValues("service." + string(call.Service.Name)).Inc()
	n.Chronicler.Record(chronicler.KindDispatched, call.Request, string(call.Service.Name), string(slot.Server))
}

func (n *Node) claimDecided(call *dispatcher.Call, won bool, took clock.Millis) {
	result := "lost"
	if won {
		result = "won"
	}
	n.Meter.Claims.WithLabelValues(result).Inc()
	n.Meter.ClaimSeconds.Observe(took.Duration().Seconds())
	n.Chronicler.Record(chronicler.KindClaimDecided, call.Request, string(call.Key), result)
}

func (n *Node) learnResult(r conductor.Result) {
	if r.Failed {
		n.Tallier.RecordFailure(r.Subject)
	} else {
		n.Tallier.RecordAnswer(r.Subject, r.Answer)
	}
	n.Judge.Check(r.Subject.Version)
}

func (n *Node) learnRating(s tallier.Subject, q declaration.Quality) {
	n.Tallier.RecordRating(s, q)
	n.Judge.Check(s.Version)
}

// raterAnswered keeps requests from waiting for a rating service that is down.
func (n *Node) raterAnswered(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.raterBad = 0
	if err != nil {
		n.raterBad = n.Clock.Now()
	}
}

// rates reports whether the rating service is taken to answer.
func (n *Node) rates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outside.Rater != nil && (n.raterBad == 0 || n.Clock.Now()-n.raterBad > raterRest)
}

// sample decides whether a streamed answer is rated afterwards: always while its
// model is rolled out or little is known of the version, and for the settings' share
// otherwise.
func (n *Node) sample(ask *conductor.ChatRequest, version declaration.Ref) bool {
	view := n.Keeper.View()
	model, _ := view.Model(version.Model)
	if p, found := view.Progress(version.Model); found && model.Rollout != nil && p.Phase == order.PhaseRunning {
		return true
	}
	if v := view.VersionOf(version); v != nil {
		subject := tallier.Subject{Class: ask.Route.Class, Version: version}
		if n.Estimator.Estimate(subject, v.Quality).NeedsRatings() {
			return true
		}
	}
	return rand.Float64()*100 < float64(n.Settings.Limits.RatingSample)
}

// progressVersion returns the store version of a model's progress as it is held.
func (n *Node) progressVersion(model declaration.ModelName) ident.StoreVersion {
	o, found := n.Keeper.Object(order.SortProgress, string(model))
	if !found || o.Deleted {
		return 0
	}
	return o.Version
}

// wireMetrics registers the values that are read when metrics are.
func (n *Node) wireMetrics() {
	n.Meter.Gauge("in_flight", "Requests being served.", func() float64 { return float64(n.Handler.InFlight()) })
	n.Meter.Gauge("waiting_prompt", "Prompt requests that wait for a server.", func() float64 { p, _ := n.Admitter.Waiting(); return float64(p) })
	n.Meter.Gauge("waiting_patient", "Patient requests that wait for a server.", func() float64 { _, p := n.Admitter.Waiting(); return float64(p) })
	n.Meter.Gauge("held_bytes", "Bytes held for callers.", func() float64 { held, _ := n.Budget.Held(); return float64(held) })
	n.Meter.Gauge("held_bytes_peak", "Most bytes held for callers at once.", func() float64 { _, peak := n.Budget.Held(); return float64(peak) })
	n.Meter.Gauge("bill_backlog_records", "Bill records that wait for the store.", func() float64 { r, _ := n.Biller.Backlog(); return float64(r) })
	n.Meter.Gauge("bill_backlog_bytes", "Bytes of bills that wait for the store.", func() float64 { _, b := n.Biller.Backlog(); return float64(b) })
	n.Meter.Gauge("bills_held", "Bill records held for peers.", func() float64 { return float64(n.Billholder.Held()) })
	n.Meter.Gauge("claims_pending", "Claims and outcomes that wait for the store.", func() float64 { return float64(n.Claimer.Pending()) })
	n.Meter.Gauge("config_version", "Store version of the configuration in force.", func() float64 { return float64(n.Keeper.CompleteVersion()) })
	n.Meter.Gauge("config_age_seconds", "Time since the store confirmed the configuration to this instance or a peer.", func() float64 {
		return n.Keeper.Age().Duration().Seconds()
	})
	n.Meter.Gauge("ready", "1 while the balancer should send requests.", func() float64 {
		if n.refusal(true) == nil {
			return 1
		}
		return 0
	})
	n.Meter.Gauge("peers", "Instances that have answered lately.", func() float64 { return float64(n.answeringPeers()) })
	n.Meter.Gauge("peer_bytes_in", "Bytes received from peers.", func() float64 { return float64(n.Connector.Traffic.In.Load()) })
	n.Meter.Gauge("peer_bytes_out", "Bytes sent to peers.", func() float64 { return float64(n.Connector.Traffic.Out.Load()) })
}

func (n *Node) answeringPeers() int {
	count := 0
	for _, p := range n.Enroller.Peers() {
		if n.Enroller.Responsive(p.Instance) {
			count++
		}
	}
	return count
}
