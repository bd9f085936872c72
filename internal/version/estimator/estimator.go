// Package estimator tells how good, how dear and how quick each version is for each
// class of requests, and how sure that is.
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
	// priorWeight is the number of ratings that the declared quality is worth.
	priorWeight = 8.0
	// priorDeviation is the spread of ratings that is expected before any is in.
	priorDeviation = 0.12
	// doubt is the number of standard errors between an estimate and its bounds.
	doubt = 1.64
	// priorTokens is the number of tokens of a prompt and of an answer before any is counted.
	priorTokens = 200.0
	// wantedSamples is the weighted number of ratings up to which every answer should
	// be rated.
	wantedSamples = 150.0
	// refreshEvery is the least time between two computations.
	refreshEvery clock.Millis = 250
)

// Estimate describes a version in a class.
type Estimate struct {
	// Samples is the weighted number of ratings.
	Samples float64 `json:"samples"`
	// AnsweredShare is the share of tries that gave an answer.
	AnsweredShare float64 `json:"answered"`
	// Mean is the expected rating, a failed try counting as 0, and Low and High its bounds.
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	// RatingDeviation is the spread of single ratings.
	RatingDeviation float64 `json:"deviation"`
	// AnswersPerMinute is the number of answers in a minute.
	AnswersPerMinute float64 `json:"rate"`
	// PromptTokens and AnswerTokens are means per answer.
	PromptTokens float64 `json:"prompt-tokens"`
	AnswerTokens float64 `json:"answer-tokens"`
	// FirstTokenDelay is the median time to the first token in milliseconds; 0 when unknown.
	FirstTokenDelay float64 `json:"delay-ms"`
	// AnswerTime is the mean time of a whole answer in milliseconds; 0 when unknown.
	AnswerTime float64 `json:"took-ms"`

	declared float64
	// pass holds Pass at the lower edge of each bin and at 1.
	pass [tallier.RatingBins + 1]float64
}

// PassProbability returns the probability that an answer is rated at or above target.
func (e *Estimate) PassProbability(target declaration.Quality) float64 {
	at := min(max(float64(target), 0), 1) * tallier.RatingBins
	low := min(int(at), tallier.RatingBins-1)
	part := at - float64(low)
	return e.pass[low]*(1-part) + e.pass[low+1]*part
}

// fillPass computes Pass at the edges of the bins.
func (e *Estimate) fillPass(sum *tallier.Sum) {
	for i := range e.pass {
		target := float64(i) / tallier.RatingBins
		prior := normalAbove(e.declared, priorDeviation, target)
		seen := 0.0
		if e.Samples > 0 {
			seen = sum.ShareAtLeast(declaration.Quality(target))
		}
		e.pass[i] = e.AnsweredShare * (prior*priorWeight + seen*e.Samples) / (priorWeight + e.Samples)
	}
}

// ConfidenceAtLeast returns the probability that the expected rating is at or above target.
func (e *Estimate) ConfidenceAtLeast(target declaration.Quality) float64 {
	return normalAbove(e.Mean, max((e.High-e.Mean)/doubt, 1e-6), float64(target))
}

// normalAbove returns the probability that a normal variable is at or above x.
func normalAbove(mean, deviation, x float64) float64 {
	return 0.5 * math.Erfc((x-mean)/(deviation*math.Sqrt2))
}

// NeedsRatings reports whether every answer should be rated, because the estimate rests on
// few ratings.
func (e *Estimate) NeedsRatings() bool { return e.Samples < wantedSamples }

// Cost returns the expected price of an answer.
func (e *Estimate) Cost(v declaration.Version) float64 {
	return (e.PromptTokens*float64(v.PromptPrice) + e.AnswerTokens*float64(v.AnswerPrice)) / 1000
}

// Estimator computes estimates from tallies and keeps them for a short while.
type Estimator struct {
	Clock   *clock.Clock
	Tallier *tallier.Tallier

	mu    sync.Mutex
	cache atomic.Pointer[map[tallier.Subject]*entry]
}

// entry holds the estimates of a version as the first try and as a later one.
type entry struct {
	first, later Estimate
	at           clock.Millis
}

// Estimate returns the estimate of a subject whose version is declared with the given quality.
func (e *Estimator) Estimate(s tallier.Subject, declared declaration.Quality) *Estimate {
	depth := s.Depth
	s.Depth = tallier.DepthFirst
	first, later := e.EstimateBoth(s, declared)
	if depth == tallier.DepthLater {
		return later
	}
	return first
}

// EstimateBoth returns the estimates of a version as the first try and after another fell
// short. s names the first.
func (e *Estimator) EstimateBoth(s tallier.Subject, declared declaration.Quality) (first, later *Estimate) {
	now := e.Clock.Now()
	if cache := e.cache.Load(); cache != nil {
		held := (*cache)[s]
		if held != nil && now-held.at < refreshEvery && held.first.declared == float64(declared) {
			return &held.first, &held.later
		}
	}
	fresh := &entry{first: e.compute(s, declared), at: now}
	after := s
	after.Depth = tallier.DepthLater
	fresh.later = e.compute(after, declared)
	e.store(s, fresh)
	return &fresh.first, &fresh.later
}

// store replaces the cache by a copy with one entry changed, so that readers need no lock.
func (e *Estimator) store(s tallier.Subject, fresh *entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[tallier.Subject]*entry{}
	if cache := e.cache.Load(); cache != nil {
		for k, v := range *cache {
			next[k] = v
		}
	}
	next[s] = fresh
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
	margin := doubt * out.RatingDeviation / math.Sqrt(total)
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
	out.fillPass(&sum)
	return out
}
