package tallier

import (
	"math"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// RatingBins is the number of equal bins of ratings from 0 to 1.
	RatingBins = 40
	// DelayBins is the number of bins of delays, four to an octave.
	DelayBins = 56
	// firstDelay is the lower edge of the first bin but one, in milliseconds.
	firstDelay = 4.0
	// BinsPerOctave is the number of delay bins in which the delay doubles.
	BinsPerOctave = 4
)

// Tally counts what was seen of one version in one class. Every field only grows,
// so the larger of two states of one tally is the later one.
type Tally struct {
	Answers uint32
	Errors  uint32
	// Ratings counts ratings by bin.
	Ratings [RatingBins]uint32
	// Delays counts delays by bin: times to the first token, or what the subject says.
	Delays [DelayBins]uint32
	// PromptTokens and AnswerTokens are sums over the answers.
	PromptTokens, AnswerTokens uint64
	// Took is the sum of the whole answers' times.
	Took clock.Millis
}

// events orders two states of one tally.
func (t *Tally) events() uint64 {
	total := uint64(t.Answers) + uint64(t.Errors)
	for _, n := range t.Ratings {
		total += uint64(n)
	}
	for _, n := range t.Delays {
		total += uint64(n)
	}
	return total
}

// RatingCount returns the number of ratings.
func (t *Tally) RatingCount() uint32 {
	total := uint32(0)
	for _, n := range t.Ratings {
		total += n
	}
	return total
}

// RatingBin returns the bin of a rating.
func RatingBin(q declaration.Quality) int {
	return min(max(int(float64(q)*RatingBins), 0), RatingBins-1)
}

// RatingMidpoint returns the rating in the middle of a bin.
func RatingMidpoint(bin int) float64 { return (float64(bin) + 0.5) / RatingBins }

// DelayBin returns the bin of a delay.
func DelayBin(d clock.Millis) int {
	if float64(d) < firstDelay {
		return 0
	}
	return min(1+int(BinsPerOctave*math.Log2(float64(d)/firstDelay)), DelayBins-1)
}

// DelayLowerEdge returns the lower edge of a bin, in milliseconds.
func DelayLowerEdge(bin int) float64 {
	if bin == 0 {
		return 0
	}
	return firstDelay * math.Exp2(float64(bin-1)/BinsPerOctave)
}

// Sum is a weighted sum of tallies.
type Sum struct {
	Answers, Errors            float64
	Ratings                    [RatingBins]float64
	Delays                     [DelayBins]float64
	PromptTokens, AnswerTokens float64
	// Took is in milliseconds.
	Took float64
	// Buckets is the number of buckets that a sum of recent tallies spans.
	Buckets int
}

// Add adds a tally with a weight.
func (s *Sum) Add(t *Tally, weight float64) {
	s.Answers += weight * float64(t.Answers)
	s.Errors += weight * float64(t.Errors)
	for i, n := range t.Ratings {
		s.Ratings[i] += weight * float64(n)
	}
	for i, n := range t.Delays {
		s.Delays[i] += weight * float64(n)
	}
	s.PromptTokens += weight * float64(t.PromptTokens)
	s.AnswerTokens += weight * float64(t.AnswerTokens)
	s.Took += weight * float64(t.Took)
}

// AddSum adds another sum.
func (s *Sum) AddSum(other *Sum) {
	s.Answers += other.Answers
	s.Errors += other.Errors
	for i, n := range other.Ratings {
		s.Ratings[i] += n
	}
	for i, n := range other.Delays {
		s.Delays[i] += n
	}
	s.PromptTokens += other.PromptTokens
	s.AnswerTokens += other.AnswerTokens
	s.Took += other.Took
}

// RatingMean returns the number of ratings and their mean; the mean is 0 without any.
func (s *Sum) RatingMean() (n, mean float64) {
	total := 0.0
	for i, c := range s.Ratings {
		n += c
		total += c * RatingMidpoint(i)
	}
	if n == 0 {
		return 0, 0
	}
	return n, total / n
}

// RatingDeviation returns the standard deviation of the ratings around their mean.
func (s *Sum) RatingDeviation(n, mean float64) float64 {
	if n == 0 {
		return 0
	}
	total := 0.0
	for i, c := range s.Ratings {
		d := RatingMidpoint(i) - mean
		total += c * d * d
	}
	return math.Sqrt(total / n)
}

// ShareAtLeast returns the share of ratings at or above target, a bin that target splits
// counting in proportion.
func (s *Sum) ShareAtLeast(target declaration.Quality) float64 {
	n, above := 0.0, 0.0
	for i, c := range s.Ratings {
		n += c
		low := float64(i) / RatingBins
		part := 1 - (float64(target)-low)*RatingBins
		above += c * min(max(part, 0), 1)
	}
	if n == 0 {
		return 0
	}
	return above / n
}

// MedianDelay returns the lower edge of the bin with the median delay, in
// milliseconds, and the number of delays.
func (s *Sum) MedianDelay() (n, median float64) {
	for _, c := range s.Delays {
		n += c
	}
	seen := 0.0
	for i, c := range s.Delays {
		seen += c
		if n > 0 && seen >= n/2 {
			return n, DelayLowerEdge(i)
		}
	}
	return n, 0
}

// NextDelayBin returns the bin that follows the one with the given lower edge.
func NextDelayBin(floor float64) int {
	if floor <= 0 {
		return 1
	}
	return min(int(math.Round(BinsPerOctave*math.Log2(floor/firstDelay)))+2, DelayBins-1)
}
