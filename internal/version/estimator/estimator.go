// Package estimator estimates the quality, the cost and the latency of each version for
// each class of requests, with bounds on the expected quality.
package estimator

import (
	"math"
	"sync"
	"sync/atomic"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/tallier"
)

const (
	// priorWeight is the weight of the prior, the declared quality, as a number of ratings.
	// It also weighs the prior that every attempt gives an answer, as a number of attempts.
	priorWeight = 8.0
	// priorDeviation is the standard deviation of ratings that is assumed a priori.
	priorDeviation = 0.12
	// boundDeviations is the number of standard errors between the expected rating and its
	// bounds.
	boundDeviations = 1.64
	// priorTokens is the number of tokens that is assumed for a prompt, and for an answer,
	// until the first answer is counted.
	priorTokens = 200.0
	// sufficientSamples is the weighted number of ratings up to which every answer should
	// be rated.
	sufficientSamples = 150.0
	// cacheLifetime is how long a computed estimate is reused.
	cacheLifetime clock.Millis = 250
)

// Estimate holds the estimates for one version in one class of requests.
type Estimate struct {
	// Samples is the weighted number of ratings.
	Samples float64 `json:"samples"`
	// AnsweredShare is the share of attempts that gave an answer.
	AnsweredShare float64 `json:"answered"`
	// Mean is the expected rating, where a failed attempt counts as 0. Low and High are its
	// lower and upper bound.
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// RatingDeviation is the standard deviation of single ratings.
	RatingDeviation float64 `json:"deviation"`
	// AnswersPerMinute is the mean rate of recent answers.
	AnswersPerMinute float64 `json:"rate"`
	// PromptTokens and AnswerTokens are mean numbers of tokens per answer.
	PromptTokens float64 `json:"prompt-tokens"`
	AnswerTokens float64 `json:"answer-tokens"`
	// FirstTokenDelay is the median time to the first token in milliseconds; 0 when unknown.
	FirstTokenDelay float64 `json:"delay-ms"`
	// AnswerTime is the mean time of a whole answer in milliseconds; 0 when unknown.
	AnswerTime float64 `json:"took-ms"`

	declared float64
	// passAtEdge holds PassProbability at the lower edge of each rating bin and at 1.
	passAtEdge [tallier.RatingBins + 1]float64
}

// PassProbability returns the probability that a single answer is rated at or above target.
// It interpolates linearly between the edges of the rating bins.
func (e *Estimate) PassProbability(target declaration.Quality) float64 {
	position := min(max(float64(target), 0), 1) * tallier.RatingBins
	lower := min(int(position), tallier.RatingBins-1)
	fraction := position - float64(lower)
	return e.passAtEdge[lower]*(1-fraction) + e.passAtEdge[lower+1]*fraction
}

// fillPassAtEdge computes PassProbability at the edges of the rating bins from the declared
// quality and the observed ratings.
func (e *Estimate) fillPassAtEdge(sum *tallier.Sum) {
	for i := range e.passAtEdge {
		target := float64(i) / tallier.RatingBins
		prior := normalAbove(e.declared, priorDeviation, target)
		observed := 0.0
		if e.Samples > 0 {
			observed = sum.ShareAtLeast(declaration.Quality(target))
		}
		e.passAtEdge[i] = e.AnsweredShare * (prior*priorWeight + observed*e.Samples) / (priorWeight + e.Samples)
	}
}

// ConfidenceAtLeast returns the probability that the expected rating is at or above target.
// It takes the error of the estimate as normally distributed.
func (e *Estimate) ConfidenceAtLeast(target declaration.Quality) float64 {
	return normalAbove(e.Mean, max((e.High-e.Mean)/boundDeviations, 1e-6), float64(target))
}

// normalAbove returns the probability that a normal variable is at or above x.
func normalAbove(mean, deviation, x float64) float64 {
	return 0.5 * math.Erfc((x-mean)/(deviation*math.Sqrt2))
}

// NeedsRatings reports whether every answer should be rated because the estimate is based
// on too few ratings.
func (e *Estimate) NeedsRatings() bool { return e.Samples < sufficientSamples }

// Cost returns the expected price of an answer.
func (e *Estimate) Cost(v declaration.Version) float64 {
	return (e.PromptTokens*float64(v.PromptPrice) + e.AnswerTokens*float64(v.AnswerPrice)) / 1000
}

// Estimator computes estimates from tallies and caches them for cacheLifetime. Set the
// exported fields before use.
type Estimator struct {
	Clock   *clock.Clock
	Tallier *tallier.Tallier

	mu    sync.Mutex
	cache atomic.Pointer[map[tallier.Subject]*entry]
}

// entry is a cache entry: the estimates of a version as the first attempt for a request
// and as a later one.
type entry struct {
	first, later Estimate
	computedAt   clock.Millis
}

// Estimate returns the estimate for s. The declared quality of its version is the prior.
func (e *Estimator) Estimate(s tallier.Subject, declared declaration.Quality) *Estimate {
	depth := s.Depth
	s.Depth = tallier.DepthFirst
	first, later := e.EstimateBoth(s, declared)
	if depth == tallier.DepthLater {
		return later
	}
	return first
}

// EstimateBoth returns the estimates of a version as the first attempt and as one after
// another version's answer was below the target. s is the subject of the first attempt.
func (e *Estimator) EstimateBoth(s tallier.Subject, declared declaration.Quality) (first, later *Estimate) {
	now := e.Clock.Now()
	if cache := e.cache.Load(); cache != nil {
		cached := (*cache)[s]
		if cached != nil && now-cached.computedAt < cacheLifetime && cached.first.declared == float64(declared) {
			return &cached.first, &cached.later
		}
	}
	computed := &entry{first: e.compute(s, declared), computedAt: now}
	laterSubject := s
	laterSubject.Depth = tallier.DepthLater
	computed.later = e.compute(laterSubject, declared)
	e.store(s, computed)
	return &computed.first, &computed.later
}

// store replaces the cache map with a copy in which one entry is set, so that readers need
// no lock.
func (e *Estimator) store(s tallier.Subject, computed *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[tallier.Subject]*entry{}
	if cache := e.cache.Load(); cache != nil {
		for k, v := range *cache {
			next[k] = v
		}
	}
	next[s] = computed
	e.cache.Store(&next)
}

func (e *Estimator) compute(s tallier.Subject, declared declaration.Quality) Estimate {
	sum := e.Tallier.Recent(s)
	n, mean := sum.RatingMean()
	total := n + priorWeight
	out := Estimate{Samples: n, declared: float64(declared)}
	out.Mean = (mean*n + float64(declared)*priorWeight) / total
	variance := (sum.RatingDeviation(n, mean)*sum.RatingDeviation(n, mean)*n + priorDeviation*priorDeviation*priorWeight) / total
	out.RatingDeviation = math.Sqrt(variance)
	margin := boundDeviations * out.RatingDeviation / math.Sqrt(total)
	out.AnsweredShare = (sum.Answers + priorWeight) / (sum.Answers + sum.Errors + priorWeight)
	out.Mean *= out.AnsweredShare
	out.Low = max(out.Mean-margin, 0)
	out.High = min(out.Mean+margin, 1)
	out.PromptTokens, out.AnswerTokens = priorTokens, priorTokens
	if sum.Answers > 0 {
		out.PromptTokens = sum.PromptTokens / sum.Answers
		out.AnswerTokens = sum.AnswerTokens / sum.Answers
		out.AnswerTime = sum.Took / sum.Answers
	}
	_, out.FirstTokenDelay = sum.MedianDelay()
	out.AnswersPerMinute = sum.Answers / float64(max(sum.Buckets, 1))
	out.fillPassAtEdge(&sum)
	return out
}
