package retrier_test

import (
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/standin/property"
)

// TestGroupsOfRetries checks that unused retries of earlier requests cover a group of
// failures. At one of many instances, answers of low confidence come in groups, and a budget
// that does not carry over denies their retries.
func TestGroupsOfRetries(t *testing.T) {
	now := clock.Minute
	r := retrier.Budget{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}, Share: 0.7, Reserve: 1}
	for range 20 {
		r.CountRequest()
		now += 200
	}
	for i := range 6 {
		r.CountRequest()
		if !r.TryRetry() || !r.TryRetry() {
			t.Fatalf("request %d of a group is denied a retry: 26 requests allow 19", i)
		}
		now += 100
	}
	now += 11 * clock.Second
	if !r.TryRetry() {
		t.Error("a new window has no reserve")
	}
	if r.TryRetry() {
		t.Error("a window without requests allows more than its reserve")
	}
}

// TestReserveOfAGrowingFleet checks that the reserve follows ReserveFunc. An instance that
// has just started does not know its peers; its part of the reserve shrinks once it does.
func TestReserveOfAGrowingFleet(t *testing.T) {
	instances := 1
	r := retrier.Budget{
		Clock:       &clock.Clock{NowFunc: func() clock.Millis { return clock.Minute }},
		ReserveFunc: func() float64 { return 100 / float64(instances) },
	}
	if !r.TryRetry() {
		t.Fatal("a full reserve gives nothing")
	}
	instances = 50
	if !r.TryRetry() || r.TryRetry() {
		t.Error("one of 50 instances may use 2 of 100 retries")
	}
}

// TestBound checks the bound for random arrivals: each window that ends with a retry has at
// most as many retries as the reserve plus the share of the requests in the window and one
// bucket before. A window that ends later may hold fewer requests, so the bound does not
// apply to it: the operators count the requests of the previous window.
func TestBound(t *testing.T) {
	const window, share, reserve = 10 * clock.Second, 0.5, 3.0
	const early = window / 20 // one bucket: the counts may reach back this much further than a window
	property.Check(t, 400, func(t *rapid.T) {
		now := rapid.Int64Range(0, int64(clock.Hour)).Draw(t, "start")
		r := retrier.Budget{
			Clock: &clock.Clock{NowFunc: func() clock.Millis { return clock.Millis(now) }},
			Share: share, Reserve: reserve, Window: window,
		}
		var requests, retries []clock.Millis
		within := func(at []clock.Millis, span clock.Millis) (n int) {
			for _, when := range at {
				if when > clock.Millis(now)-span {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.SampledFrom([]clock.Millis{0, 1, 50, 700, 4000, 9999, 30000}).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "request") {
				r.CountRequest()
				requests = append(requests, clock.Millis(now))
			}
			if !r.TryRetry() {
				continue
			}
			retries = append(retries, clock.Millis(now))
			if got, bound := float64(within(retries, window)), share*float64(within(requests, window+early))+reserve; got > bound {
				t.Fatalf("%v retries within a window, bound %v", got, bound)
			}
		}
	})
}
