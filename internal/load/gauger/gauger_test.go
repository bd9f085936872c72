package gauger_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"example.com/dotterelwell/internal/load/gauger"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestUnevenServers plays 72 instances that each see a few streams of 30 servers whose speeds differ by 2.4 and whose
// streams are noisy: the sums of all instances must tell the slow servers from the fast ones, and one instance alone,
// with a sample or two of a server, must not take noise for speed.
func TestUnevenServers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	const instances, servers = 72, 30
	var means [instances]gauger.Mean
	var samples [instances][servers]gauger.Samples
	slowness := func(server int) float64 {
		if server%3 == 0 {
			return 2.4
		}
		return 1
	}
	now := clock.Millis(0)
	for range 6000 {
		now += 5
		i, s := random.IntN(instances), random.IntN(servers)
		took := 30 * slowness(s) * math.Exp(0.4*random.NormFloat64())
		if d, known := means[i].Deviation(took); known {
			samples[i][s].Add(d, now)
		}
	}
	for s := range servers {
		sum, count := 0.0, 0.0
		for i := range instances {
			ownSum, ownCount := samples[i][s].At(now)
			sum, count = sum+ownSum, count+ownCount
		}
		got := gauger.Slowness(sum, count)
		if slow := slowness(s) > 1; slow && got < 1.3 || !slow && got > 1 {
			t.Errorf("server %d: %.2f of %.0f samples, is slow: %v", s, got, count, slow)
		}
	}
}

// TestFewSamples checks that a server without samples, or with one odd stream, counts as average or close to it, and that a server
// that was slow for a while counts as average again afterwards.
func TestFewSamples(t *testing.T) {
	var mean gauger.Mean
	for range 50 {
		mean.Deviation(30)
	}
	var s gauger.Samples
	d, _ := mean.Deviation(30_000) // stood still
	s.Add(d, 1000)
	if got := gauger.Slowness(s.At(1000)); got > 1.5 {
		t.Errorf("one odd stream makes a server %.1f times as slow", got)
	}
	for i := range 40 {
		d, _ := mean.Deviation(90)
		s.Add(d, clock.Millis(1000+50*i))
	}
	if got := gauger.Slowness(s.At(3000)); got < 1.4 {
		t.Errorf("a slow server counts as %.2f", got)
	}
	if got := gauger.Slowness(s.At(63_000)); got > 1.1 {
		t.Errorf("a minute later it still counts as %.2f", got)
	}
	if got := gauger.Slowness(0, 0); got != 1 {
		t.Errorf("a server without samples counts as %.2f", got)
	}
}
