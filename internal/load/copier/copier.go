// Package copier decides whether a server that lacks a part of a prompt copies it from another server
// or reads it.
package copier

const (
	// minSaved is how much sooner the part must be there by a copy than by reading it, in milliseconds, and
	// minGain how many times as long reading must take.
	minSaved = 30.0
	minGain  = 2.0
)

// Choice describes one server that lacks the part. All times are in milliseconds.
type Choice struct {
	// Reading is how long the server takes to read the part, and Copying how long the copy takes; zero if the
	// servers can't copy.
	Reading, Copying float64
	// Wait is how much work the average server of the service has before it. Copies cost something, and where
	// nothing waits they save little.
	Wait float64
}

// Copies reports whether the server is to copy the part.
func (c Choice) Copies() bool {
	saved := c.Reading - c.Copying
	return c.Copying > 0 && saved >= minSaved && c.Reading >= minGain*c.Copying && c.Wait >= saved*waitShare
}

// waitShare is the work before the average server, as a share of what the copy saves, from which on it is copied.
const waitShare = 0.25
