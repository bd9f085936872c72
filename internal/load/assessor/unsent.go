package assessor

import "example.com/dotterelwell/internal/machine/clock"

const (
	// minUnsent is the number of attempts that fail before any byte is sent which a request makes in any case.
	minUnsent = 4
	// maxUnsent bounds them while each fails at once: with two thirds of the servers gone, fewer than one request
	// in a hundred meet so many in a row.
	maxUnsent = 12
	// unsentDivisor is the divisor of a request's target that gives the time which they may take together.
	unsentDivisor = 4
)

// Unsent counts the attempts of a request that failed before any byte was sent, such as by a refused connection.
// Its zero value is ready.
type Unsent struct {
	count int
	took  clock.Millis
}

// Add adds an attempt that took the given time, and reports whether the request may try another server.
// A request that was refused connections by lost servers for a few milliseconds has nearly all of its time left.
func (u *Unsent) Add(took, target clock.Millis) (again bool) {
	u.count++
	u.took += took
	return u.count < minUnsent || u.count < maxUnsent && u.took < target/unsentDivisor
}
