package roster

import (
	"math"
	"slices"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/load/locator"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/apportioner"
	"example.com/dotterelwell/internal/zone/rationer"
)

const (
	// initialBackoff is how long a server is avoided after a first failure; maxBackoff bounds
	// the doubling with each further failure in a row.
	initialBackoff clock.Millis = 250
	maxBackoff                  = 4 * clock.Second
	// failureWeight is the weight of the newest result in the moving failure share.
	failureWeight = 0.2
	// failingShare is the failure share at or above which other servers are preferred.
	failingShare = 0.3
	// failureHalfLife is the half-life of the failure share of a server that gets no requests.
	// A disturbance lasts some seconds, and a server that failed every request is tried again
	// after half a minute.
	failureHalfLife = 15 * clock.Second
	// fullBackoff is how long a server that rejected a request as full is avoided.
	fullBackoff clock.Millis = 100
	// coldWindow is the window in which requests to a cold server are counted. It is longer
	// than the second of the configured rate, to allow for the varying delay of requests on
	// their way to the server.
	coldWindow clock.Millis = 1100
)

// row is the state of one incarnation of a server.
type row struct {
	info backend.Server
	// releaseSeen is when this instance first saw the server's release in its service.
	releaseSeen clock.Millis
	// idHash is the hash of the server's identifier, for rendezvous hashing of prompt parts, and holder that
	// of its incarnation.
	idHash   uint64
	holder   locator.Holder
	inFlight int
	// pending is the estimated server time, in milliseconds, of this instance's requests to
	// which the server has not begun to answer.
	pending float64
	// peers is the load that other instances last reported for the server, as of peersAt.
	peers   Load
	peersAt clock.Millis
	// locatedIn is the last decision whose shared prompt part the server was sent before, and homeIn the last one of whose
	// part it is a home.
	locatedIn, homeIn uint64
	backoffUntil      clock.Millis
	backoff           clock.Millis
	fullUntil         clock.Millis
	// failures is the moving share of failed requests as of failedAt.
	failures float64
	failedAt clock.Millis
	// unreachable is set after a failed connection, until a request succeeds. The server may
	// be restarting and then be cold before its entry says so.
	unreachable bool
	coldUntil   clock.Millis
	// recentStarts holds when requests were sent to the server within coldWindow. Requests
	// sent before the server was known to be cold count as well.
	recentStarts []clock.Millis
	// expiresAt is when the server is removed unless its entry comes back; zero while it has
	// an entry.
	expiresAt clock.Millis
	// vanishedAt is when the server's entry was deleted; set for rows in Roster.vanished.
	vanishedAt clock.Millis
	// departing is set when the server said in an answer, to this instance or to a peer, that
	// it is leaving.
	departing bool
	// pausedUntil is the end of the pause that the server asked for; it returns to zero when
	// the server accepts a request after the pause. trial is set while the first request after
	// the pause is in flight.
	pausedUntil clock.Millis
	trial       bool
	// peersPaused is set when the server asked for its pause in an answer that came through a peer.
	peersPaused bool
	// rationer holds the rate limit that the server names, and this instance's part of it; nil
	// for a server that never named one. permitsHeld is the number of its permits at the last
	// request that the server could have taken. limitedSince is when the server began to name one, and
	// sentWhileLimited is how many requests this instance has sent it since.
	rationer         *rationer.Rationer
	permitsHeld      int
	limitedSince     clock.Millis
	sentWhileLimited int
	// apportioner holds this instance's part of what may be outstanding at the server while its service is brittle; nil
	// if it never was.
	apportioner *apportioner.Apportioner
}

// leaving reports whether the server takes no new work.
func (w *row) leaving() bool { return w.info.Leaving || w.departing }

// Result tells how a request ended at a server.
type Result string

// Results.
const (
	ResultOK Result = "ok"
	// ResultNotRun means that the server rejected the request as full and did not run it.
	ResultNotRun Result = "not-run"
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable Result = "unreachable"
	// ResultLost means that the answer broke off before its end.
	ResultLost Result = "lost"
	// ResultError means that the server answered with an error of its own.
	ResultError Result = "error"
	// ResultAbandoned means that the caller or this instance gave the request up; it says
	// nothing about the server.
	ResultAbandoned Result = "abandoned"
)

// recordResult updates the row with the result of a request. warmup is the declared duration
// of a cold start.
func (w *row) recordResult(result Result, now, warmup clock.Millis) {
	failed := 0.0
	switch result {
	case ResultOK:
		if w.unreachable {
			w.coldUntil = max(w.coldUntil, now+warmup)
		}
		w.backoff, w.backoffUntil, w.unreachable = 0, 0, false
	case ResultNotRun:
		w.fullUntil = now + fullBackoff
		return
	case ResultUnreachable:
		w.unreachable = true
		w.backOff(now)
		failed = 1
	case ResultLost:
		w.backOff(now)
		failed = 1
	case ResultError:
		failed = 1
	case ResultAbandoned:
		return
	}
	w.failures = w.failureShare(now) + failureWeight*(failed-w.failureShare(now))
	w.failedAt = now
}

// failureShare returns the moving share of failed requests at now. It decays while the
// server gets no requests, so that the server is tried again.
func (w *row) failureShare(now clock.Millis) float64 {
	if w.failures == 0 {
		return 0
	}
	return w.failures * math.Exp2(-float64(now-w.failedAt)/float64(failureHalfLife))
}

func (w *row) backOff(now clock.Millis) {
	w.backoff = min(max(2*w.backoff, initialBackoff), maxBackoff)
	w.backoffUntil = now + w.backoff
}

// Load is the load that an instance puts on a server.
type Load struct {
	Requests int
	// Pending is the estimated server time of those requests to which the server has not begun
	// to answer.
	Pending clock.Millis
}

// estimatedWait estimates, in milliseconds, how long the server works on earlier prompts
// before it can start another one. The load reported by other instances shrinks with its
// age, because the server has been working on it meanwhile.
func (w *row) estimatedWait(now clock.Millis) float64 {
	return w.pending + float64(max(w.peers.Pending-(now-w.peersAt), 0))
}

// cold reports whether the server is or may be in its cold start.
func (w *row) cold(now clock.Millis) bool { return w.unreachable || now < w.coldUntil }

// withinColdQuota reports whether this instance may send another request to the cold server,
// given quota requests per coldWindow.
func (w *row) withinColdQuota(now clock.Millis, quota int) bool {
	if len(w.recentStarts) < quota {
		return true
	}
	return quota > 0 && now-w.recentStarts[len(w.recentStarts)-quota] >= coldWindow
}

// recordStart records that a request is sent, and drops the times older than coldWindow.
func (w *row) recordStart(now clock.Millis) {
	old := 0
	for old < len(w.recentStarts) && now-w.recentStarts[old] >= coldWindow {
		old++
	}
	w.recentStarts = append(slices.Delete(w.recentStarts, 0, old), now)
}
