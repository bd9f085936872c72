package tallier

import (
	"math"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// RatingBins is the number of bins of equal width for ratings from 0 to 1.
	RatingBins = 40
	// DelayBins is the number of delay bins. Their width is logarithmic: four bins per doubling.
	DelayBins = 56
	// firstEdgeMillis is the lower edge of bin 1, in milliseconds. Bin 0 holds shorter delays.
	firstEdgeMillis = 4.0
	// BinsPerOctave is the number of delay bins per doubling of the delay.
	BinsPerOctave = 4
)

// Tally holds one process's counts of one subject in one time bucket. Every field only grows, so
// of two copies of a tally the one with the larger counts is the newer one.
type Tally struct {
	// Answers counts complete answers.
	Answers uint32
	// Errors counts failed requests.
	Errors uint32
	// Ratings counts ratings by bin.
	Ratings [RatingBins]uint32
	// Delays counts delays by bin: the time to first token, or the kind of delay that the class of
	// the subject names.
	Delays [DelayBins]uint32
	// PromptTokens and AnswerTokens are the token counts of all answers together.
	PromptTokens, AnswerTokens uint64
	// Took is the total time of all answers, each up to its last token.
	Took clock.Millis
}

// eventCount returns the number of counted events. Of two copies of a tally the one with the
// higher event count is newer.
func (t *Tally) eventCount() uint64 {
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

// RatingBin returns the index of a rating's bin.
func RatingBin(q declaration.Quality) int {
	return min(max(int(float64(q)*RatingBins), 0), RatingBins-1)
}

// RatingMidpoint returns the rating in the middle of a bin.
func RatingMidpoint(bin int) float64 { return (float64(bin) + 0.5) / RatingBins }

// DelayBin returns the index of a delay's bin.
func DelayBin(d clock.Millis) int {
	if float64(d) < firstEdgeMillis {
		return 0
	}
	return min(1+int(BinsPerOctave*math.Log2(float64(d)/firstEdgeMillis)), DelayBins-1)
}

// DelayLowerEdge returns the lower edge of a delay bin, in milliseconds.
func DelayLowerEdge(bin int) float64 {
	if bin == 0 {
		return 0
	}
	return firstEdgeMillis * math.Exp2(float64(bin-1)/BinsPerOctave)
}

// Sum is a weighted sum of tallies.
type Sum struct {
	Answers, Errors            float64
	Ratings                    [RatingBins]float64
	Delays                     [DelayBins]float64
	PromptTokens, AnswerTokens float64
	// Took is the total time of the answers in milliseconds.
	Took float64
	// Buckets is the number of time buckets that Tallier.Recent added up.
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

// AddSum adds another sum, except for its Buckets.
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

// RatingMean returns the number of ratings and their mean, which is 0 if there are none.
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

// RatingDeviation returns the standard deviation of the ratings. n and mean are the results of
// RatingMean.
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

// ShareAtLeast returns the share of ratings at or above target. The ratings of the bin that
// contains target count in proportion to the part of the bin above it.
func (s *Sum) ShareAtLeast(target declaration.Quality) float64 {
	n, atLeast := 0.0, 0.0
	for i, c := range s.Ratings {
		n += c
		low := float64(i) / RatingBins
		aboveInBin := 1 - (float64(target)-low)*RatingBins
		atLeast += c * min(max(aboveInBin, 0), 1)
	}
	if n == 0 {
		return 0
	}
	return atLeast / n
}

// MedianDelay returns the number of delays and the lower edge of the bin that contains their
// median, in milliseconds.
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

// NextDelayBin returns the index of the delay bin after the one with the given lower edge, in
// milliseconds.
func NextDelayBin(floor float64) int {
	if floor <= 0 {
		return 1
	}
	return min(int(math.Round(BinsPerOctave*math.Log2(floor/firstEdgeMillis)))+2, DelayBins-1)
}
