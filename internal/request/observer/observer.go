// Package observer watches the attempts at backend servers for crashes: which requests a server was
// working on when it crashed, and which requests and prompt parts had answers that got past their
// beginning.
package observer

import (
	"context"
	"net"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/pathfinder"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// settleTime and settleEvents are how long ago an answer must have begun, and how many events
	// of it must have arrived unless it is complete, until its prompt is clear.
	settleTime   clock.Millis = 500
	settleEvents              = 3
	// staleTime is within what time an attempt ends whose kept connection had ended before.
	staleTime clock.Millis = 50
	// endedWindow is how long before a crash an attempt may have ended and still be a victim:
	// an answer that the router has dropped may go on at the server.
	endedWindow = 1 * clock.Second
	// noticeTime is how much later than by a broken attempt of this instance a peer may notice the crash.
	noticeTime clock.Millis = 500
	// attemptRetention is how long ended attempts are kept for crashes that other instances
	// report, and reportRetention how long crashes are reported.
	attemptRetention = 10 * clock.Second
	reportRetention  = 10 * clock.Second
	// clearRetention is how long clear suspects are remembered.
	clearRetention = 10 * clock.Minute
	// sameCrashWindow is the span in which broken connections to one incarnation of a server
	// belong to one crash.
	sameCrashWindow = 2 * clock.Second
	// inquiryRetention is how long clear suspects are reported after an inquiry.
	inquiryRetention = 2 * clock.Second
	// confirmTimeout bounds the connection that confirms a crash.
	confirmTimeout clock.Millis = 500

	// Bounds of the memory that callers can make an instance use.
	maxEndedAttempts = 1024
	maxAttemptParts  = 256
	maxReportParts   = 1024
	maxMessageParts  = 2048
	maxClear         = 8192 // each, prompt parts and requests
	maxReports       = 32
)

// Observer watches attempts. Set the exported fields before use.
type Observer struct {
	Clock *clock.Clock
	// DialFunc opens the connection that confirms a crash: it is refused while the server is down. An error of
	// package pathfinder tells whether peers reach the server.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// ReachesOthersFunc, when set, reports whether this instance has reached another server since the
	// given time. A server that refuses connections has not crashed if all servers do.
	ReachesOthersFunc func(ctx context.Context, server ident.Address, since clock.Millis) bool
	// OnCrash, when set, is called after a crash that this instance has noticed.
	OnCrash func()
	// OnClear, when set, is called with the prompt parts and the fingerprint of a request whose answer
	// got past its beginning.
	OnClear func(suspects []crash.Suspect, begunAt clock.Millis)

	mu       sync.Mutex
	inFlight map[backend.Incarnation]map[*Attempt]bool
	ended    []*Attempt
	// crashes holds when incarnations of servers crashed, as far as this instance knows. breaks
	// holds when a connection to a server last ended without a known crash.
	crashes, breaks map[backend.Incarnation]clock.Millis
	reports         []report
	// clearParts and clearRequests hold when the last answer began that got past its beginning.
	clearParts, clearRequests clearings
	asked                     []crash.Suspect
	askedAt                   clock.Millis
}

// report is a crash.Report with its time by this instance's clock.
type report struct {
	crash.Report
	at clock.Millis
}

// isCrashed reports whether a crash of the server is known that happened within sameCrashWindow.
// The lock must be held.
func (o *Observer) isCrashed(server backend.Incarnation, now clock.Millis) bool {
	at, found := o.crashes[server]
	return found && now-at < sameCrashWindow
}

// confirm reports a crash if the server refuses a new connection.
func (o *Observer) confirm(server backend.Incarnation, at clock.Millis, victims []crash.Victim) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout.Duration())
	defer cancel()
	c, err := o.DialFunc(ctx, "tcp", string(server.Address))
	if err == nil {
		_ = c.Close() // it has served its purpose
		klog.InfoS("Connection to a server ended, and the server is up", "server", server.ID, "victims", len(victims))
		return
	}
	if !isRefused(err) || !o.reachesOthers(server, at) {
		klog.InfoS("Connection to a server ended, and the server is not reached", "server", server.ID, "victims", len(victims), "err", err)
		return
	}
	o.mu.Lock()
	o.crashes[server] = at
	if o.brokeAt(server, at) {
		for i := range victims {
			victims[i].Stale = false
		}
	}
	o.addReport(report{Report: crash.Report{Server: server, Victims: victims}, at: at})
	o.mu.Unlock()
	klog.InfoS("Server crashed", "server", server.ID, "born", server.Born, "ago-ms", o.Clock.Now()-at, "victims", len(victims), "starting", countStarting(victims), "err", err)
	if o.OnCrash != nil {
		o.OnCrash()
	}
}

func (o *Observer) reachesOthers(server backend.Incarnation, since clock.Millis) bool {
	if o.ReachesOthersFunc == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout.Duration())
	defer cancel()
	return o.ReachesOthersFunc(ctx, server.Address, since)
}

// brokeAt reports whether the server was working on an attempt of this instance when its connections
// ended. The lock must be held.
func (o *Observer) brokeAt(server backend.Incarnation, at clock.Millis) bool {
	return slices.ContainsFunc(o.ended, func(a *Attempt) bool {
		return a.server == server && a.broken && max(a.endedAt-at, at-a.endedAt) < staleTime
	})
}

// isRefused reports whether the server has refused a connection, of this instance or of a peer.
func isRefused(err error) bool {
	switch pathfinder.KindOf(err) {
	case pathfinder.KindNoPath, pathfinder.KindSilent:
		return false
	case pathfinder.KindRefused:
		return true
	}
	return !dialer.IsTimeout(err)
}

func countStarting(victims []crash.Victim) int {
	n := 0
	for _, v := range victims {
		if v.Progress == crash.Starting {
			n++
		}
	}
	return n
}

// addReport adds a report. The lock must be held.
func (o *Observer) addReport(r report) {
	if len(o.reports) >= maxReports {
		o.reports = o.reports[1:]
	}
	o.reports = append(o.reports, r)
}

// victimsAt returns the attempts at a server that a crash at the given time may have been caused
// by, those whose answers had begun first. stale is set if the time may be too late. The lock must be
// held.
func (o *Observer) victimsAt(server backend.Incarnation, at clock.Millis, stale bool) []crash.Victim {
	var starting, waiting []crash.Victim
	add := func(a *Attempt) {
		v, possible := a.victimAt(at)
		v.Stale = stale
		switch {
		case !possible:
		case v.Progress == crash.Starting:
			starting = append(starting, v)
		default:
			waiting = append(waiting, v)
		}
	}
	for a := range o.inFlight[server] {
		add(a)
	}
	for _, a := range o.ended {
		if a.server == server {
			add(a)
		}
	}
	victims, parts := append(starting, waiting...), 0
	for n, v := range victims {
		if parts += len(v.Parts) + 1; parts > maxReportParts {
			return victims[:n]
		}
	}
	return victims
}

// Reports returns the crashes of the last seconds, with what this instance lost by them: the last
// ones if they are too many for a message.
func (o *Observer) Reports() []crash.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	var reports []crash.Report
	parts := 0
	for _, r := range slices.Backward(o.reports) {
		if now-r.at > reportRetention {
			continue
		}
		for _, v := range r.Victims {
			parts += len(v.Parts) + 1
		}
		if parts > maxMessageParts {
			break
		}
		r.Ago = now - r.at
		reports = append(reports, r.Report)
	}
	return reports
}

// Inquire takes in another instance's inquiry. Reports and Cleared return the answer.
func (o *Observer) Inquire(inquiry crash.Inquiry) {
	if len(inquiry.Servers) == 0 && len(inquiry.Parts) == 0 {
		return
	}
	o.Settle()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	for _, ended := range inquiry.Servers {
		at := now - ended.Ago
		if known, found := o.crashes[ended.Server]; found && max(at-known, known-at) < sameCrashWindow {
			continue
		}
		victims := o.victimsAt(ended.Server, at, ended.Stale)
		if o.crashes != nil {
			o.crashes[ended.Server] = at
		}
		if len(victims) > 0 {
			o.addReport(report{Report: crash.Report{Server: ended.Server, Victims: victims}, at: at})
			klog.InfoS("Server crashed, by a peer", "server", ended.Server.ID, "ago-ms", ended.Ago, "victims", len(victims), "starting", countStarting(victims))
		}
	}
	o.asked, o.askedAt = inquiry.Parts, now
}

// Cleared returns the suspects of the last inquiry that are clear.
func (o *Observer) Cleared() []crash.Clearing {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if now-o.askedAt > inquiryRetention {
		return nil
	}
	var cleared []crash.Clearing
	for _, suspect := range o.asked {
		if at, found := o.clearAt(suspect); found {
			cleared = append(cleared, crash.Clearing{Part: suspect, BegunAgo: now - at})
		}
	}
	return cleared
}

// ClearedAt returns when the last answer began to a request with the suspect that got past its beginning.
func (o *Observer) ClearedAt(suspect crash.Suspect) (begunAt clock.Millis, found bool) {
	o.Settle()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clearAt(suspect)
}

// IsClear reports whether an answer to a prompt with the part has got past its beginning.
func (o *Observer) IsClear(part crash.Suspect) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, found := o.clearParts[part]
	return found
}

// clearAt is ClearedAt for callers that hold the lock.
func (o *Observer) clearAt(suspect crash.Suspect) (begunAt clock.Millis, found bool) {
	if begunAt, found = o.clearParts[suspect]; found {
		return begunAt, true
	}
	begunAt, found = o.clearRequests[suspect]
	return begunAt, found
}

// CancelWaiting gives up the attempts with a cause of crashes whose answers have not begun.
func (o *Observer) CancelWaiting(cause crash.Cause) {
	o.mu.Lock()
	var cancels []func()
	for _, attempts := range o.inFlight {
		for a := range attempts {
			if a.begunAt == 0 && a.cancel != nil && a.has(cause) {
				cancels = append(cancels, a.cancel)
			}
		}
	}
	o.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// Settle clears the requests and prompt parts of answers that got past their beginning, and forgets what is old. Call
// it several times a second.
func (o *Observer) Settle() {
	o.mu.Lock()
	now := o.Clock.Now()
	var settled []*Attempt
	settle := func(a *Attempt) {
		if !a.settled && a.getsPastBeginning(now) && !o.crashedAfter(a) {
			a.settled = true
			settled = append(settled, a)
		}
	}
	for _, attempts := range o.inFlight {
		for a := range attempts {
			settle(a)
		}
	}
	kept := o.ended[:0]
	for _, a := range o.ended {
		settle(a)
		if now-a.endedAt <= attemptRetention {
			kept = append(kept, a)
		}
	}
	clear(o.ended[len(kept):])
	o.ended = kept
	for _, a := range settled {
		for _, part := range a.Parts {
			o.clearParts.record(part, a.begunAt, now)
		}
		o.clearRequests.record(a.Fingerprint, a.begunAt, now)
	}
	for _, times := range []map[backend.Incarnation]clock.Millis{o.crashes, o.breaks} {
		for server, at := range times {
			if now-at > attemptRetention {
				delete(times, server)
			}
		}
	}
	o.mu.Unlock()
	if o.OnClear == nil {
		return
	}
	for _, a := range settled {
		o.OnClear(append(slices.Clip(a.Parts), a.Fingerprint), a.begunAt)
	}
}

// crashedAfter reports whether the server is known to have crashed within settleTime after the
// answer began. The lock must be held.
func (o *Observer) crashedAfter(a *Attempt) bool {
	at, found := o.crashes[a.server]
	return found && at >= a.begunAt && at-a.begunAt <= settleTime
}
