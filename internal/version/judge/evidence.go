package judge

import (
	"math"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/version/tallier"
)

// The tests below are e-processes: under the hypothesis that the new version keeps
// its guard, the probability that one ever exceeds 1/a is at most a, however often it
// is looked at (Ville's inequality). Each depends only on counts, so evidence may
// arrive late, repeated and in any order.

// ClassEvidence holds what is known of both versions in one class.
type ClassEvidence struct {
	Old, New tallier.Sum
	// DeclaredQuality is the declared quality of the version that is replaced.
	DeclaredQuality float64
	// ComparableDelays is set when delays depend on the version and the load only, so that whole
	// distributions can be compared, and not medians alone.
	ComparableDelays bool
}

const (
	// caution is the number of standard errors by which the old version's figure is
	// moved in the new one's favour, because it is an estimate itself.
	caution = 1.64
	// priorCount is the number of observations that the declared quality is worth.
	priorCount = 20.0
	// priorVariance is the variance of ratings before any is in.
	priorVariance = 0.0225
	// minErrorShare keeps the hypothesis about errors away from zero.
	minErrorShare = 0.005
)

// errorSteps are the alternatives of the test for errors, as shares of the way from
// the hypothesis to certain failure.
var errorSteps = []float64{0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9}

// errorEvidence tests that the new version fails at most rise more often.
func errorEvidence(pairs []ClassEvidence, rise float64) float64 {
	return combine(pairs, len(errorSteps), func(logs []float64, p *ClassEvidence) (apart bool) {
		return addErrors(logs, p, rise)
	})
}

// addErrors adds to logs the evidence of one class's errors.
func addErrors(logs []float64, p *ClassEvidence, rise float64) (known bool) {
	n0 := p.Old.Answers + p.Old.Errors
	share := (p.Old.Errors + 0.5) / (n0 + priorCount)
	limit := share + caution*math.Sqrt(share*(1-share)/(n0+priorCount)) + rise
	addBernoulli(logs, errorSteps, p.New.Errors, p.New.Answers, max(limit, minErrorShare))
	return n0 >= minBefore
}

// minBefore is the number of the old version's observations in a class from which the
// class's evidence counts by itself.
const minBefore = 20

// combine returns the mean of two kinds of evidence: that of all classes together,
// which grows fastest when all suffer alike, and the mean of the classes' own, which
// classes without harm do not outweigh. add adds a class's evidence to logs and reports
// whether it may count by itself.
func combine(pairs []ClassEvidence, alternatives int, add func(logs []float64, p *ClassEvidence) (apart bool)) float64 {
	together := make([]float64, alternatives)
	logs := make([]float64, alternatives)
	apart, classes := 0.0, 0
	for i := range pairs {
		clear(logs)
		alone := add(logs, &pairs[i])
		for j, l := range logs {
			together[j] += l
		}
		if alone {
			apart += mixture(logs)
			classes++
		}
	}
	if classes == 0 {
		return mixture(together)
	}
	return (mixture(together) + apart/float64(classes)) / 2
}

// addBernoulli adds to logs the log-likelihood ratios of hits against misses for the
// alternatives of a probability of at most limit.
func addBernoulli(logs, steps []float64, hits, misses, limit float64) {
	if limit >= 1 || hits+misses == 0 {
		return
	}
	for i, step := range steps {
		q := limit + step*(1-limit)
		logs[i] += hits*math.Log(q/limit) + misses*math.Log((1-q)/(1-limit))
	}
}

// mixture returns the mean of the exponentials.
func mixture(logs []float64) float64 {
	total := 0.0
	for _, l := range logs {
		total += math.Exp(min(l, 600))
	}
	return total / float64(len(logs))
}

// ratingBets are the stakes of the test for ratings, as shares of the highest stake
// that cannot lose everything.
var ratingBets = []float64{0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.75, 0.9}

// ratingEvidence tests that the new version's mean rating is at most drop lower.
func ratingEvidence(pairs []ClassEvidence, drop float64) float64 {
	return combine(pairs, len(ratingBets), func(logs []float64, p *ClassEvidence) (apart bool) {
		n0, mean := p.Old.RatingMean()
		deviation := p.Old.RatingDeviation(n0, mean)
		total := n0 + priorCount
		expected := (n0*mean + priorCount*p.DeclaredQuality) / total
		variance := (n0*deviation*deviation + priorCount*priorVariance) / total
		limit := expected - drop - caution*math.Sqrt(variance/total)
		addBets(logs, p.New, min(limit, 0.999))
		return n0 >= minBefore
	})
}

// addBets adds the logs of the capital of bettors who stake against ratings whose
// mean is at least limit.
func addBets(logs []float64, sum tallier.Sum, limit float64) {
	if limit <= 0 {
		return
	}
	for i, share := range ratingBets {
		stake := share / (1 - limit)
		for bin, count := range sum.Ratings {
			if count > 0 {
				logs[i] += count * math.Log(1+stake*(limit-tallier.RatingMidpoint(bin)))
			}
		}
	}
}

// plainFailure is the least step of errorSteps that a version must be cleared of: smaller
// rises take more answers to tell than a roll-out has.
const plainFailure = 0.16

// doubt returns how likely the evidence of all classes is under the likeliest alternative,
// against the hypothesis that the guard is kept. It is 1 without evidence, and falls as the
// new version's answers and delays look like the old one's. Delays count once there are
// enough of the old version to compare with.
func doubt(pairs []ClassEvidence, guard declaration.Guard) float64 {
	failures := errorLogs(pairs, float64(guard.MaxErrorRise)/100)
	worst := math.Inf(-1)
	for i, l := range failures {
		if errorSteps[i] >= plainFailure {
			worst = max(worst, l)
		}
	}
	if guard.MaxLatencyFactor > 1 {
		if shapes := shapeLogs(pairs, guard.MaxLatencyFactor); shapes != nil {
			worst = max(worst, slices.Max(shapes))
		}
	}
	return math.Exp(min(worst, 600))
}

// errorLogs returns the log-likelihood ratios of errorSteps for all classes together.
func errorLogs(pairs []ClassEvidence, rise float64) []float64 {
	logs := make([]float64, len(errorSteps))
	for i := range pairs {
		addErrors(logs, &pairs[i], rise)
	}
	return logs
}

// minAfter is the number of the new version's delays below which they cannot clear it: the
// quick ones come first, and from servers that have little to do yet.
const minAfter = 20

// shapeLogs returns the log-likelihood ratios of slowdowns for all classes together, or nil
// when no class has enough delays of the old version. With few delays of the new one they
// are all zero.
func shapeLogs(pairs []ClassEvidence, factor float64) []float64 {
	logs := make([]float64, len(slowdowns))
	known, after := false, 0.0
	for i := range pairs {
		if n, _ := pairs[i].Old.MedianDelay(); pairs[i].ComparableDelays && n >= minBefore {
			known = true
			n, _ := pairs[i].New.MedianDelay()
			after += n
			addShapes(logs, &pairs[i], factor)
		}
	}
	if !known {
		return nil
	}
	if after < minAfter {
		clear(logs)
	}
	return logs
}

// delaySteps are the alternatives of the test for medians.
var delaySteps = []float64{0.2, 0.4, 0.6, 0.8, 0.95}

// delayEvidence tests that the new version's delays are at most factor times as long.
func delayEvidence(pairs []ClassEvidence, factor float64) float64 {
	medians := combine(pairs, len(delaySteps), func(logs []float64, p *ClassEvidence) (apart bool) {
		return addMedians(logs, p, factor)
	})
	shapes := combine(pairs, len(slowdowns), func(logs []float64, p *ClassEvidence) (apart bool) {
		return p.ComparableDelays && addShapes(logs, p, factor)
	})
	return (medians + shapes) / 2
}

// addMedians adds to logs the evidence of one class's median. Under the hypothesis at
// most half of the new delays exceed factor times the old median.
func addMedians(logs []float64, p *ClassEvidence, factor float64) (known bool) {
	n, median := p.Old.MedianDelay()
	if n < minBefore {
		return false
	}
	// The median's bin is named by its lower edge, so the next one's counts.
	limit := factor * tallier.DelayLowerEdge(tallier.NextDelayBin(median))
	slow, quick := 0.0, 0.0
	for bin, count := range p.New.Delays {
		if tallier.DelayLowerEdge(bin) > limit {
			slow += count
			continue
		}
		quick += count
	}
	addBernoulli(logs, delaySteps, slow, quick, 0.5+caution*math.Sqrt(0.25/n))
	return slow+quick > 0
}

// slowdown is an alternative of the test for shapes: a share of the delays is longer by
// a number of bins.
type slowdown struct {
	share float64
	bins  int
}

// slowdowns are factors of 3, 6 and 11 for a quarter, a half or nearly all delays.
var slowdowns = []slowdown{{0.25, 6}, {0.25, 10}, {0.25, 14}, {0.5, 6}, {0.5, 10}, {0.5, 14}, {0.95, 6}, {0.95, 10}, {0.95, 14}}

const (
	// fasterBins is by how many bins a version that keeps its guard may be faster.
	fasterBins = tallier.BinsPerOctave
	// pseudoCount is added to each bin of the old version's delays, so that a delay that
	// was not seen before is rare and not impossible.
	pseudoCount = 0.25
)

// addShapes adds to logs the evidence of one class's distribution: how much likelier the
// new delays are under each slowdown than under the likeliest of the distributions that
// keep the guard, which are the old one's moved by up to factor. It finds a version that
// is slow for a part of its requests only, at which medians hardly differ.
func addShapes(logs []float64, p *ClassEvidence, factor float64) (known bool) {
	old, n := smooth(&p.Old)
	if n < minBefore {
		return false
	}
	kept := math.Inf(-1)
	for moved := -fasterBins; moved <= int(tallier.BinsPerOctave*math.Log2(factor)); moved++ {
		kept = max(kept, likelihood(&p.New, func(bin int) float64 { return old.at(bin - moved) }))
	}
	for i, s := range slowdowns {
		logs[i] += likelihood(&p.New, func(bin int) float64 {
			return (1-s.share)*old.at(bin) + s.share*old.at(bin-s.bins)
		}) - kept
	}
	return kept < 0
}

// likelihood returns the logarithm of the probability of a sum's delays.
func likelihood(sum *tallier.Sum, probability func(bin int) float64) float64 {
	total := 0.0
	for bin, count := range sum.Delays {
		if count > 0 {
			total += count * math.Log(probability(bin))
		}
	}
	return total
}

// shape is a distribution of delays over bins.
type shape struct {
	shares [tallier.DelayBins]float64
	// rare is the share of a bin in which nothing was seen.
	rare float64
}

func (s *shape) at(bin int) float64 {
	if bin < 0 || bin >= len(s.shares) {
		return s.rare
	}
	return s.shares[bin]
}

// smooth returns the distribution of a sum's delays and their number. Neighbouring bins
// share their counts.
func smooth(sum *tallier.Sum) (s shape, n float64) {
	for _, count := range sum.Delays {
		n += count
	}
	total := n + pseudoCount*tallier.DelayBins
	s.rare = pseudoCount / total
	for bin := range s.shares {
		below, above := sum.Delays[max(bin-1, 0)], sum.Delays[min(bin+1, tallier.DelayBins-1)]
		s.shares[bin] = (below/4 + sum.Delays[bin]/2 + above/4 + pseudoCount) / total
	}
	return s, n
}
