// Package refuser decides which requests are told at once that they can't be served in time any more, and when
// they may come back. A request that is sent although its time is over takes the place of one that has time, and its
// caller learns nothing until the deadline.
package refuser

import "example.com/dotterelwell/internal/machine/clock"

// Waits is how long servers lately let requests wait, in milliseconds: three of four waited for Low or longer, and
// one of two for Median or longer.
type Waits struct{ Low, Median float64 }

// MustRefuse reports whether a request that was never sent can't get the beginning of an answer in the time that is left until
// its deadline. needed is the time for its prompt without a wait. While a quarter of the requests finds no wait, servers have
// room and nothing is refused.
func MustRefuse(left clock.Millis, needed float64, waits Waits) bool {
	return waits.Low > 0 && needed+waits.Low > float64(left)
}

// RetryAfter returns when a refused request may find room: once the work that is before it at the servers is done, spread
// over as long a time again, so that callers that were refused together don't return together. draw is a hash of the request.
func RetryAfter(waits Waits, draw uint64) clock.Millis {
	return clock.Millis(waits.Median * (1 + float64(draw%1024)/1024))
}
