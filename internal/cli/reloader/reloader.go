// Package reloader receives the signal by which the settings are reloaded (SIGHUP). It receives it
// from the initialization of the process to its end, because the signal's default action ends the
// process: while it starts, reads its settings, drains, or exits.
//
// The package imports little and its path sorts early, so that it is among the first packages to be
// initialized.
package reloader

import (
	"os"
	"os/signal"
	"syscall"
)

// Reloader receives the signal.
type Reloader struct{ requests chan os.Signal }

// Process is the Reloader of this process.
var Process = receive()

func receive() *Reloader {
	r := &Reloader{requests: make(chan os.Signal, 1)}
	signal.Notify(r.requests, syscall.SIGHUP)
	return r
}

// Requests returns the channel of signals. One that comes while another waits to be read is dropped.
func (r *Reloader) Requests() <-chan os.Signal { return r.requests }

// Release gives the signal its default action back, for commands that have no settings to reload and end with
// their terminal.
func (*Reloader) Release() { signal.Reset(syscall.SIGHUP) }
