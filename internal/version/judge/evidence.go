package judge

import (
	"math"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/version/tallier"
)

// The tests below are e-processes: under the null hypothesis that the new version keeps its
// guard, the probability that the value of one ever exceeds 1/a is at most a, however often it
// is checked (Ville's inequality). Each value depends only on counts, so tallies may arrive
// late, repeatedly and in any order.
//
// A slice called logs holds one logarithm per alternative hypothesis: a log-likelihood ratio
// against the null hypothesis, or the capital of a bettor. These add up over classes.

// ClassEvidence holds the observations of the old and the new version in one class.
type ClassEvidence struct {
	Old, New tallier.Sum
	// DeclaredQuality is the declared quality of the old version.
	DeclaredQuality float64
	// ComparableDelays is set if delays depend only on the version and the load, so that whole
	// distributions can be compared and not only medians.
	ComparableDelays bool
}

const (
	// marginStdErrors is the number of standard errors by which the old version's error rate,
	// mean rating or median is shifted in the new version's favour, because it is an estimate.
	marginStdErrors = 1.64
	// priorCount is the weight of the declared quality and of the prior, in observations.
	priorCount = 20.0
	// priorVariance is the assumed variance of ratings before any is received.
	priorVariance = 0.0225
	// minErrorRate is the least error rate of the null hypothesis, so that it is never zero.
	minErrorRate = 0.005
)

// errorSteps are the alternative hypotheses of the test for errors: positions between the error
// rate of the null hypothesis (0) and certain failure (1).
var errorSteps = []float64{0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 0.9}

// errorEvidence returns the e-value against the hypothesis that the error rate of the new version
// exceeds that of the old one by at most rise.
func errorEvidence(evidence []ClassEvidence, rise float64) float64 {
	return combineClasses(evidence, len(errorSteps), func(logs []float64, class *ClassEvidence) (standalone bool) {
		return addErrorLogs(logs, class, rise)
	})
}

// addErrorLogs adds the log-likelihood ratios of one class's errors to logs, one for each of
// errorSteps, and reports whether the class may count separately.
func addErrorLogs(logs []float64, class *ClassEvidence, rise float64) (standalone bool) {
	oldCount := class.Old.Answers + class.Old.Errors
	share := (class.Old.Errors + 0.5) / (oldCount + priorCount)
	limit := share + marginStdErrors*math.Sqrt(share*(1-share)/(oldCount+priorCount)) + rise
	addBernoulli(logs, errorSteps, class.New.Errors, class.New.Answers, max(limit, minErrorRate))
	return oldCount >= minOldSamples
}

// minOldSamples is the least number of observations of the old version in a class for the class
// to count separately, and for its delays to be compared at all.
const minOldSamples = 20

// combineClasses returns the mean of two e-values: that of all classes pooled, which grows
// fastest if all classes are affected alike, and the mean of the e-values of separate classes,
// in which unaffected classes do not cancel an affected one. add adds the evidence of a class to
// logs and reports whether the class may count separately.
func combineClasses(evidence []ClassEvidence, alternatives int, add func(logs []float64, class *ClassEvidence) (standalone bool)) float64 {
	pooled := make([]float64, alternatives)
	logs := make([]float64, alternatives)
	classSum, classCount := 0.0, 0
	for i := range evidence {
		clear(logs)
		standalone := add(logs, &evidence[i])
		for j, l := range logs {
			pooled[j] += l
		}
		if standalone {
			classSum += meanExp(logs)
			classCount++
		}
	}
	if classCount == 0 {
		return meanExp(pooled)
	}
	return (meanExp(pooled) + classSum/float64(classCount)) / 2
}

// addBernoulli adds the log-likelihood ratios of hits and misses to logs, under the null
// hypothesis that the probability of a hit is at most limit. steps are the alternatives, as
// positions between limit (0) and 1 (1).
func addBernoulli(logs, steps []float64, hits, misses, limit float64) {
	if limit >= 1 || hits+misses == 0 {
		return
	}
	for i, step := range steps {
		q := limit + step*(1-limit)
		logs[i] += hits*math.Log(q/limit) + misses*math.Log((1-q)/(1-limit))
	}
}

// meanExp returns the mean of the exponentials of logs, each capped at exp(600) against overflow.
func meanExp(logs []float64) float64 {
	total := 0.0
	for _, l := range logs {
		total += math.Exp(min(l, 600))
	}
	return total / float64(len(logs))
}

// ratingBets are the stakes of the test for ratings, as shares of the lowest stake that can lose
// the whole capital.
var ratingBets = []float64{0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.75, 0.9}

// ratingEvidence returns the e-value against the hypothesis that the mean rating of the new version
// is lower than that of the old one by at most drop.
func ratingEvidence(evidence []ClassEvidence, drop float64) float64 {
	return combineClasses(evidence, len(ratingBets), func(logs []float64, class *ClassEvidence) (standalone bool) {
		oldCount, mean := class.Old.RatingMean()
		deviation := class.Old.RatingDeviation(oldCount, mean)
		total := oldCount + priorCount
		expected := (oldCount*mean + priorCount*class.DeclaredQuality) / total
		variance := (oldCount*deviation*deviation + priorCount*priorVariance) / total
		limit := expected - drop - marginStdErrors*math.Sqrt(variance/total)
		addBets(logs, class.New, min(limit, 0.999))
		return oldCount >= minOldSamples
	})
}

// addBets adds to logs the log capital of one bettor for each of ratingBets, who bets against
// the hypothesis that the mean rating is at least limit (testing by betting).
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

// minClearedStep is the least of errorSteps that must be ruled out to clear a version. A roll-out
// has too few answers to rule out smaller rises.
const minClearedStep = 0.16

// maxLikelihoodRatio returns the likelihood ratio of the observations of all classes under the
// likeliest alternative, against the hypothesis that the version keeps its guards. It is 1
// without observations, and falls while the answers and delays of the new version resemble those
// of the old one. Delays count once the old version has enough to compare with.
func maxLikelihoodRatio(evidence []ClassEvidence, guard declaration.Guard) float64 {
	errorRatios := errorLogRatios(evidence, float64(guard.MaxErrorRise)/100)
	maxLog := math.Inf(-1)
	for i, l := range errorRatios {
		if errorSteps[i] >= minClearedStep {
			maxLog = max(maxLog, l)
		}
	}
	if guard.MaxLatencyFactor > 1 {
		if slowdownRatios := slowdownLogRatios(evidence, guard.MaxLatencyFactor); slowdownRatios != nil {
			maxLog = max(maxLog, slices.Max(slowdownRatios))
		}
	}
	return math.Exp(min(maxLog, 600))
}

// errorLogRatios returns the log-likelihood ratios of errorSteps for all classes together.
func errorLogRatios(evidence []ClassEvidence, rise float64) []float64 {
	logs := make([]float64, len(errorSteps))
	for i := range evidence {
		addErrorLogs(logs, &evidence[i], rise)
	}
	return logs
}

// minNewDelays is the least number of delays of the new version that can clear it. The first
// delays are biased: short ones are complete first, and the servers have little load yet.
const minNewDelays = 20

// slowdownLogRatios returns the log-likelihood ratios of slowdowns for all classes together, or
// nil if no class has enough delays of the old version. All ratios are zero if the new version
// has fewer than minNewDelays.
func slowdownLogRatios(evidence []ClassEvidence, factor float64) []float64 {
	logs := make([]float64, len(slowdowns))
	anyComparable, newDelays := false, 0.0
	for i := range evidence {
		if n, _ := evidence[i].Old.MedianDelay(); evidence[i].ComparableDelays && n >= minOldSamples {
			anyComparable = true
			n, _ := evidence[i].New.MedianDelay()
			newDelays += n
			addSlowdownLogs(logs, &evidence[i], factor)
		}
	}
	if !anyComparable {
		return nil
	}
	if newDelays < minNewDelays {
		clear(logs)
	}
	return logs
}

// delaySteps are the alternative hypotheses of the test for medians: positions between the share
// of long delays under the null hypothesis (0) and a share of 1 (1).
var delaySteps = []float64{0.2, 0.4, 0.6, 0.8, 0.95}

// delayEvidence returns the e-value against the hypothesis that the delays of the new version are at
// most factor times as long as those of the old one: the mean of a test of medians and a test
// of distributions.
func delayEvidence(evidence []ClassEvidence, factor float64) float64 {
	medianEvidence := combineClasses(evidence, len(delaySteps), func(logs []float64, class *ClassEvidence) (standalone bool) {
		return addMedianLogs(logs, class, factor)
	})
	slowdownEvidence := combineClasses(evidence, len(slowdowns), func(logs []float64, class *ClassEvidence) (standalone bool) {
		return class.ComparableDelays && addSlowdownLogs(logs, class, factor)
	})
	return (medianEvidence + slowdownEvidence) / 2
}

// addMedianLogs adds the log-likelihood ratios of one class's delays to logs, one for each of
// delaySteps, and reports whether the class may count separately. Under the null hypothesis at
// most half of the new delays exceed factor times the old median.
func addMedianLogs(logs []float64, class *ClassEvidence, factor float64) (standalone bool) {
	n, median := class.Old.MedianDelay()
	if n < minOldSamples {
		return false
	}
	// median is the lower edge of the median's bin. The median may lie anywhere in the bin, so
	// the limit is computed from the lower edge of the next bin.
	limit := factor * tallier.DelayLowerEdge(tallier.NextDelayBin(median))
	slow, quick := 0.0, 0.0
	for bin, count := range class.New.Delays {
		if tallier.DelayLowerEdge(bin) > limit {
			slow += count
			continue
		}
		quick += count
	}
	addBernoulli(logs, delaySteps, slow, quick, 0.5+marginStdErrors*math.Sqrt(0.25/n))
	return slow+quick > 0
}

// slowdown is an alternative hypothesis of the test for distributions: a share of the delays is
// longer by a number of bins.
type slowdown struct {
	share float64
	bins  int
}

// slowdowns makes a quarter, a half or 95 percent of the delays about 3, 6 or 11 times as long
// (6, 10 or 14 bins).
var slowdowns = []slowdown{{0.25, 6}, {0.25, 10}, {0.25, 14}, {0.5, 6}, {0.5, 10}, {0.5, 14}, {0.95, 6}, {0.95, 10}, {0.95, 14}}

const (
	// maxSpeedupBins is the largest speedup, in bins, among the distributions that keep the guard.
	maxSpeedupBins = tallier.BinsPerOctave
	// pseudoCount is added to each bin of the old version's delays, so that a delay in a bin
	// without observations is improbable but not impossible.
	pseudoCount = 0.25
)

// addSlowdownLogs adds to logs the log-likelihood ratios of one class's new delays, one for each
// of slowdowns, against the likeliest distribution that keeps the guard: the old distribution,
// shifted by at most factor. It reports whether the class may count separately. This test detects
// a version that is slow for only a part of its requests, which hardly changes the median.
func addSlowdownLogs(logs []float64, class *ClassEvidence, factor float64) (standalone bool) {
	old, n := smoothed(&class.Old)
	if n < minOldSamples {
		return false
	}
	nullLog := math.Inf(-1)
	for shift := -maxSpeedupBins; shift <= int(tallier.BinsPerOctave*math.Log2(factor)); shift++ {
		nullLog = max(nullLog, logLikelihood(&class.New, func(bin int) float64 { return old.probability(bin - shift) }))
	}
	for i, s := range slowdowns {
		logs[i] += logLikelihood(&class.New, func(bin int) float64 {
			return (1-s.share)*old.probability(bin) + s.share*old.probability(bin-s.bins)
		}) - nullLog
	}
	return nullLog < 0
}

// logLikelihood returns the log-likelihood of a sum's delays if probability holds for each bin.
func logLikelihood(sum *tallier.Sum, probability func(bin int) float64) float64 {
	total := 0.0
	for bin, count := range sum.Delays {
		if count > 0 {
			total += count * math.Log(probability(bin))
		}
	}
	return total
}

// distribution is a smoothed distribution of delays over bins.
type distribution struct {
	shares [tallier.DelayBins]float64
	// unseen is the share of a bin without observations.
	unseen float64
}

// probability returns the share of a bin, which may lie outside the observed range.
func (s *distribution) probability(bin int) float64 {
	if bin < 0 || bin >= len(s.shares) {
		return s.unseen
	}
	return s.shares[bin]
}

// smoothed returns the distribution of a sum's delays and their number. Each bin passes a quarter
// of its count to each of its two neighbours.
func smoothed(sum *tallier.Sum) (s distribution, n float64) {
	for _, count := range sum.Delays {
		n += count
	}
	total := n + pseudoCount*tallier.DelayBins
	s.unseen = pseudoCount / total
	for bin := range s.shares {
		below, above := sum.Delays[max(bin-1, 0)], sum.Delays[min(bin+1, tallier.DelayBins-1)]
		s.shares[bin] = (below/4 + sum.Delays[bin]/2 + above/4 + pseudoCount) / total
	}
	return s, n
}
