// Package logger writes log lines without ever making the caller wait.
package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// backlog is the number of lines that may wait to be written. At about 300 bytes a
// line it bounds the memory at a megabyte.
const backlog = 4096

// closeTimeout bounds the wait for the last lines to be written. A reader that has stopped would
// otherwise keep the process from ending.
const closeTimeout = 200 * time.Millisecond

// Logger is a writer that drops lines when they come faster than they can be written.
// Use New to make one.
type Logger struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed when the logger is to end, and done when it has.
	closing, done chan struct{}
}

// New returns a Logger that writes to out, and a function that writes what waits and
// ends it. Lines that are written afterwards are dropped: requests that are cut at the end
// of a stop still log.
func New(out io.Writer) (*Logger, func()) {
	l := &Logger{out: out, lines: make(chan []byte, backlog), closing: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l, func() {
		close(l.closing)
		select {
		case <-l.done:
		case <-time.After(closeTimeout):
		}
	}
}

// Write queues a line. It never fails and never blocks.
func (l *Logger) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

func (l *Logger) run() {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.print(line)
		case <-l.closing:
			l.printWaiting()
			return
		}
	}
}

// printWaiting prints the lines that wait now.
func (l *Logger) printWaiting() {
	for range len(l.lines) {
		l.print(<-l.lines)
	}
}

func (l *Logger) print(line []byte) {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, "I \"Log lines were dropped\" count=%d\n", n) // there is nowhere else to report to
	}
	_, _ = l.out.Write(line) // there is nowhere else to report to
}
