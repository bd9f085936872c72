package assembler

import (
	"net/http"

	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/exchanger"
	"example.com/dotterelwell/internal/machine/clock"
)

// gateRetry is when a refused caller should ask again; the balancer will have
// chosen another instance by then.
const gateRetry = 1 * clock.Second

// gate refuses new work that this instance must not take on. A draining instance
// still serves what reaches it.
func (n *Node) gate() *problem.Document { return n.refusal(false) }

// refusal returns why the instance takes no work. For the balancer it also counts
// reasons to send new callers elsewhere that do not forbid serving those who come.
func (n *Node) refusal(forBalancer bool) *problem.Document {
	view := n.Keeper.View()
	switch {
	case view.Empty():
		return unavailable(problem.TypeNoConfig, "no configuration has arrived")
	case n.alone():
		return unavailable(problem.TypeNoConfig, "neither the store nor any instance has answered for %d ms", n.Settings.Limits.MaxConfigAge)
	case n.Biller.BacklogFull():
		return unavailable(problem.TypeBillBacklog, "too many bills wait for the store")
	}
	if !forBalancer {
		return nil
	}
	switch {
	case n.Draining():
		return unavailable(problem.TypeStopping, "the instance is stopping")
	case view.ZoneOut(n.Settings.Zone):
		return unavailable(problem.TypeStopping, "zone %q is taken out", n.Settings.Zone)
	}
	return nil
}

func unavailable(t problem.Type, format string, args ...any) *problem.Document {
	return problem.New(t, http.StatusServiceUnavailable, problem.OutcomeNotRun, format, args...).After(gateRetry)
}

// alone reports whether this instance may have missed changes of the configuration
// that others have: it has heard from nobody for too long. While peers answer, an
// unreachable store is an outage for all, and service goes on.
func (n *Node) alone() bool {
	if len(n.Enroller.Peers()) == 0 {
		return false
	}
	last := max(n.Keeper.LastContact(), n.Enroller.LastPeerContact())
	return n.Clock.Now()-last > n.Settings.Limits.MaxConfigAge
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining
}

// noteReadiness writes a change of readiness to the time line.
func (n *Node) noteReadiness() {
	refusal := n.refusal(true)
	n.mu.Lock()
	changed := n.ready != (refusal == nil)
	n.ready = refusal == nil
	n.mu.Unlock()
	if !changed {
		return
	}
	detail := "ready"
	if refusal != nil {
		detail = "unready: " + refusal.Detail
	}
	n.Chronicler.Record(chronicler.KindReadiness, "", "", detail)
}

// Status describes the instance.
func (n *Node) Status() exchanger.Status {
	prompt, patient := n.Admitter.Waiting()
	records, _ := n.Biller.Backlog()
	s := exchanger.Status{
		Instance: n.Settings.Instance, Incarnation: n.Incarnation, Zone: n.Settings.Zone,
		Config: n.Keeper.CompleteVersion(), ConfigAge: n.Keeper.Age(),
		InFlight: n.Handler.InFlight(), Waiting: prompt + patient, BillBacklog: records, Ready: true,
	}
	if refusal := n.refusal(true); refusal != nil {
		s.Ready, s.Reason = false, refusal.Detail
	}
	return s
}
