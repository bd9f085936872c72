package runner

import (
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// notifier wakes all goroutines that wait on it. Its zero value is ready.
type notifier struct {
	mu      sync.Mutex
	channel chan struct{}
}

// wait returns a channel that is closed at the next notify.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.channel == nil {
		n.channel = make(chan struct{})
	}
	return n.channel
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.channel != nil {
		close(n.channel)
		n.channel = nil
	}
}

// hashOf returns a hash that is uniformly distributed over requests and equal for all
// requests of a session.
func hashOf(req *message.Request) uint64 {
	if req.Session != "" {
		return xxhash.Sum64String(req.Session)
	}
	return xxhash.Sum64String(string(req.ID))
}

// attemptLog collects the results of a request's attempts for its log line.
type attemptLog struct{ attempts []attemptRecord }

type attemptRecord struct {
	server      ident.Server
	model       declaration.ModelName
	result      roster.Result
	detail      string
	via         ident.Instance
	headLatency clock.Millis // from the send to the head of the answer
	took        clock.Millis
}

func (l *attemptLog) add(a attemptRecord) { l.attempts = append(l.attempts, a) }

// String formats the attempts as server/model@peer:result(detail)/first/took, where first and
// took are the milliseconds to the answer's head and to its end. The peer is left out for a direct
// connection.
func (l *attemptLog) String() string {
	var b strings.Builder
	for i, a := range l.attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(a.server))
		if a.model != "" {
			b.WriteString("/" + string(a.model))
		}
		if a.via != "" {
			b.WriteString("@" + string(a.via))
		}
		b.WriteString(":" + string(a.result))
		if a.detail != "" {
			b.WriteString("(" + a.detail + ")")
		}
		b.WriteString("/" + strconv.FormatInt(int64(a.headLatency), 10) + "/" + strconv.FormatInt(int64(a.took), 10))
	}
	return b.String()
}
