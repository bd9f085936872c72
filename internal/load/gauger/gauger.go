// Package gauger learns how fast each server is beside the others of its service, from the time between the
// events of its streams. A server whose hardware is slow, or that is slowed for a while, isn't ill: it is only
// expected to take longer.
//
// Samples are sums, so that those of several instances add up.
package gauger

import (
	"math"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// meanWeight is the weight of a new sample in the moving mean of a model's samples on all servers.
	meanWeight = 0.02
	// warmSamples is the number of samples from which on a mean is used.
	warmSamples = 8
	// maxDeviation bounds a sample: a stream that stood still once tells little about speed.
	maxDeviation = 1.5
	// halfLife is the half-life of samples, so that a server is found slow, and found fast again, within seconds.
	halfLife = 6 * clock.Second
	// priorSamples is how many samples of average speed each server starts with; they keep the noise of
	// few samples from counting as a difference in speed.
	priorSamples = 4.0
	// minSlowness and maxSlowness bound what is believed.
	minSlowness, maxSlowness = 0.5, 4.0
)

// Mean is the mean of the samples of one model on all servers of a service. Its zero value is ready.
type Mean struct {
	log float64
	n   int
}

// Deviation adds a sample, the time between two events, and returns how far it is from the mean, as a natural logarithm. It
// returns false while there are too few samples.
func (m *Mean) Deviation(interval float64) (deviation float64, known bool) {
	if interval <= 0 {
		return 0, false
	}
	sample := math.Log(interval)
	m.n++
	deviation = min(max(sample-m.log, -maxDeviation), maxDeviation)
	if m.n <= warmSamples {
		m.log += (sample - m.log) / float64(m.n)
		return 0, false
	}
	m.log += meanWeight * deviation
	return deviation, true
}

// Samples is the decaying sum of a server's samples. Its zero value holds none.
type Samples struct {
	sum, count float64
	at         clock.Millis
}

// Add adds a deviation from the mean.
func (s *Samples) Add(deviation float64, now clock.Millis) {
	sum, count := s.At(now)
	s.sum, s.count, s.at = sum+deviation, count+1, now
}

// At returns the sum of the deviations and their number, both decayed until now.
func (s *Samples) At(now clock.Millis) (sum, count float64) {
	if s.count == 0 {
		return 0, 0
	}
	left := math.Exp2(-float64(now-s.at) / float64(halfLife))
	return s.sum * left, s.count * left
}

// Slowness returns how many times as long as the average server a server with these samples takes.
func Slowness(sum, count float64) float64 {
	return min(max(math.Exp(sum/(count+priorSamples)), minSlowness), maxSlowness)
}
