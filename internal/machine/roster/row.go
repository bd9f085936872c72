package roster

import (
	"math"
	"slices"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// firstAvoidSpan is how long a server that failed is avoided at first, and
	// maxAvoidSpan bounds the doubling with each further failure in a row.
	firstAvoidSpan clock.Millis = 250
	maxAvoidSpan                = 4 * clock.Second
	// failureWeight is the weight of the newest outcome in a server's failure share.
	failureWeight = 0.2
	// failingShare is the failure share from which other servers are preferred.
	failingShare = 0.3
	// failureHalfLife is the time in which the failure share of a server without requests
	// halves: trouble lasts some seconds, and a server that fails all is tried again after half
	// a minute.
	failureHalfLife = 15 * clock.Second
	// fullSpan is how long a server that refused a request as full is left alone.
	fullSpan clock.Millis = 100
	// coldWindow is the span in which requests to a cold server are counted. It exceeds
	// the operators' second by what requests may be delayed on their way.
	coldWindow clock.Millis = 1100
)

// row is what is known of one run of a server.
type row struct {
	info backend.Server
	// releaseSeen is when the first server of its service's release was seen.
	releaseSeen clock.Millis
	// sum is the hash of the server's identifier, for the homes of prompt parts.
	sum      uint64
	inFlight int
	// pending is the work, in milliseconds of the server's time, of this instance's
	// requests that have not begun to be answered.
	pending float64
	// peers is what other instances last said to have at the server, at peersAt.
	peers   Load
	peersAt clock.Millis
	// keptIn is the last decision whose prompt part the server is expected to keep.
	keptIn     uint64
	avoidUntil clock.Millis
	avoidSpan  clock.Millis
	fullUntil  clock.Millis
	// failures is the moving share of requests that the server had failed at failedAt.
	failures float64
	failedAt clock.Millis
	// unreachable is set after a failed connection, until a request succeeds. The
	// server may be starting again, which makes it cold before its entry says so.
	unreachable bool
	coldUntil   clock.Millis
	// sentCold holds when requests were sent to the server within coldWindow: those sent
	// before it was known to be cold count as well.
	sentCold []clock.Millis
	lapsesAt clock.Millis
	// vanishedAt is when the entry of a server that is not in the table was removed.
	vanishedAt clock.Millis
	// departing is set when the server has said, here or to a peer, that it is leaving.
	departing bool
	// closedUntil is until when the server wants no requests; zero once it has taken one
	// after that. trial is set while the first one after that is on its way.
	closedUntil clock.Millis
	trial       bool
}

// leaving reports whether the server takes no new work.
func (w *row) leaving() bool { return w.info.Leaving || w.departing }

// Result tells how a request ended at a server.
type Result string

// Results.
const (
	ResultOK Result = "ok"
	// ResultNotRun means that the server had no room for the request.
	ResultNotRun Result = "not-run"
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable Result = "unreachable"
	// ResultLost means that the answer did not come whole.
	ResultLost Result = "lost"
	// ResultError means that the server answered with its own failure.
	ResultError Result = "error"
	// ResultAbandoned says nothing about the server.
	ResultAbandoned Result = "abandoned"
)

// learn updates the row by the end of a request.
func (w *row) learn(result Result, now, warmup clock.Millis) {
	failed := 0.0
	switch result {
	case ResultOK:
		if w.unreachable {
			w.coldUntil = max(w.coldUntil, now+warmup)
		}
		w.avoidSpan, w.avoidUntil, w.unreachable = 0, 0, false
	case ResultNotRun:
		w.fullUntil = now + fullSpan
		return
	case ResultUnreachable:
		w.unreachable = true
		w.avoid(now)
		failed = 1
	case ResultLost:
		w.avoid(now)
		failed = 1
	case ResultError:
		failed = 1
	case ResultAbandoned:
		return
	}
	w.failures = w.failureShare(now) + failureWeight*(failed-w.failureShare(now))
	w.failedAt = now
}

// failureShare is the moving share of requests that the server failed. It fades when the
// server gets none, so that it is tried again.
func (w *row) failureShare(now clock.Millis) float64 {
	if w.failures == 0 {
		return 0
	}
	return w.failures * math.Exp2(-float64(now-w.failedAt)/float64(failureHalfLife))
}

func (w *row) avoid(now clock.Millis) {
	w.avoidSpan = min(max(2*w.avoidSpan, firstAvoidSpan), maxAvoidSpan)
	w.avoidUntil = now + w.avoidSpan
}

// Load is what an instance has at a server.
type Load struct {
	Requests int
	// Pending is the work of those requests that have not begun to be answered.
	Pending clock.Millis
}

// waiting estimates how long the server works until it can begin with one more request.
// What other instances told of has been worked on since.
func (w *row) waiting(now clock.Millis) float64 {
	return w.pending + float64(max(w.peers.Pending-(now-w.peersAt), 0))
}

// cold reports whether the server is or may be in its cold start.
func (w *row) cold(now clock.Millis) bool { return w.unreachable || now < w.coldUntil }

// mayStartCold reports whether one more request may be sent to the cold server, of
// quota requests in coldWindow.
func (w *row) mayStartCold(now clock.Millis, quota int) bool {
	if len(w.sentCold) < quota {
		return true
	}
	return quota > 0 && now-w.sentCold[len(w.sentCold)-quota] >= coldWindow
}

// noteStart keeps the times of the requests that still count.
func (w *row) noteStart(now clock.Millis) {
	old := 0
	for old < len(w.sentCold) && now-w.sentCold[old] >= coldWindow {
		old++
	}
	w.sentCold = append(slices.Delete(w.sentCold, 0, old), now)
}
