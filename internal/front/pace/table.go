// Package pace learns how much longer the operations of an endpoint with an engine take than those of the other
// endpoints of its service. The load that it addresses: engines of different speed, and engines whose speed changes.
//
// It owns the slowness of each endpoint (Table), which is estimated from the streams that pass all hosts, and the
// exchange of samples between the hosts (Exchanger). Package placement supplies the samples of this host and uses the
// slowness; package gossip transports the messages. Nothing is stored: a host that has just started knows of no
// difference between endpoints.
package pace

import (
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// shortHalfLife and longHalfLife are the half-lives of the samples in the two averages of an endpoint. The short one
	// follows an engine that slows down for a second or two, the long one finds the engines that are slow for good.
	shortHalfLife = 2 * time.Second
	longHalfLife  = 20 * time.Second
	// priorSamples is the weight, in samples, of the prior that an endpoint is as fast as the others.
	priorSamples = 2.5
	// minSamples is the weight of samples from which an average counts.
	minSamples = 0.5
	// baselineSamples is the weight of the expected value in a baseline, and baselineVariance the variance from which it
	// starts.
	baselineSamples  = 2
	baselineVariance = 0.3
	// halfWeightVariance is the variance of the samples of a condition, as logarithms, at which each counts half. Gaps
	// under a deep backlog have a standard deviation of 0.1, those while an engine reads now and then of 0.9.
	halfWeightVariance = 0.1
	// maxResidual bounds the difference of a sample from the present estimate, as a logarithm, so that a single stall has
	// little weight: alone it gives a slowness of e^(0.7/3.5) at most, which is within the range that counts as 1.
	maxResidual = 0.7
	// minSlowness and maxSlowness bound the slowness.
	minSlowness = 0.25
	maxSlowness = 8
	// maxFaster and minSlower bound the range in which the slowness counts as 1, so that noise has no effect where
	// endpoints are alike.
	maxFaster = 0.8
	minSlower = 1.25
	// slowAbove is the slowness over the long term from which an endpoint is slow, slowBelow the one below which it no
	// longer is. They differ so that an endpoint near the limit does not change sides with each sample. An endpoint is
	// fast from the inverse of slowAbove down, and no longer above that of slowBelow.
	slowAbove = 1.5
	slowBelow = 1.35
	// unusualLog is the logarithm of the slowness, in either direction, from which peers are sent the samples of an
	// endpoint. Two samples of an engine of half the speed reach it. Without the limit, most bytes would say that
	// endpoints are as fast as the others.
	unusualLog = 0.12
	// trimmedPart is the part of a service's endpoints, at either end, that does not count in the mean: the slow
	// endpoints would otherwise make all others look fast.
	trimmedPart = 0.25
	// minKeptSamples is the weight below which an average over the long term is removed.
	minKeptSamples = 0.05
	// baselineTimeout is the time without a sample after which the baseline of a condition is removed.
	baselineTimeout = time.Minute
	// maxEndpoints bounds the endpoints in a table, of some 150 B each, since a faulty peer may send samples of any.
	maxEndpoints = 4096
)

// Condition identifies operations that take the same time at equally fast endpoints, or the same multiple of a
// prediction.
type Condition struct {
	// Class is the class of the request, or 0 if it does not matter.
	Class keys.Class
	// Level distinguishes the loads of an endpoint.
	Level uint16
}

// Sample is an operation of an endpoint.
type Sample struct {
	Service   keys.Service
	Endpoint  keys.Endpoint
	Condition Condition
	// Log is the natural logarithm of the time that the operation took, or of its ratio to a prediction. Expected is the
	// value that is expected before any operation under the condition was observed.
	Log      float64
	Expected float64
}

// Speed is the class of an endpoint's speed over the long term. A larger value is slower.
type Speed int8

// The classes of speed.
const (
	Fast  Speed = -1
	Usual Speed = 0
	Slow  Speed = 1
)

// speedOf returns the class of a slowness over the long term, given the class so far.
func speedOf(slowness float64, before Speed) Speed {
	switch {
	case slowness >= slowAbove, before == Slow && slowness >= slowBelow:
		return Slow
	case slowness <= 1/slowAbove, before == Fast && slowness <= 1/slowBelow:
		return Fast
	}
	return Usual
}

// average is the mean of samples weighted by their age.
type average struct {
	sum, weight float64
	at          time.Time
}

// decay reduces the weights to their values at now.
func (a *average) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		a.sum *= factor
		a.weight *= factor
	}
	a.at = now
}

// add adds samples with a weighted sum.
func (a *average) add(now time.Time, halfLife time.Duration, sum, weight float64) {
	a.decay(now, halfLife)
	a.sum += sum
	a.weight += weight
}

// deviation returns the difference from a mean. It is 0 without samples.
func (a *average) deviation(mean float64) float64 {
	return (a.sum - mean*a.weight) / (a.weight + priorSamples)
}

// endpoint holds the samples of an endpoint, as logarithms of the ratio to the expected time, and what they amounted to
// at the last refresh.
type endpoint struct {
	service     keys.Service
	short, long average
	// shortDeviation and longDeviation are the logarithms of the slowness over the short and the long term.
	shortDeviation, longDeviation float64
	slowness                      float64
	speed                         Speed
}

// baseline is the mean and the variance of the samples under a condition.
type baseline struct {
	average
	// squares is the sum of the squared differences from the mean.
	squares float64
}

// add adds a sample that differs from the mean by a residual.
func (b *baseline) add(now time.Time, mean, residual float64) {
	before := b.weight
	b.average.add(now, longHalfLife, mean+residual, 1)
	b.squares = b.squares*(b.weight-1)/before + residual*residual
}

// sampleWeight returns the weight of a sample under the condition.
func (b *baseline) sampleWeight() float64 {
	return halfWeightVariance / (halfWeightVariance + b.squares/b.weight)
}

// baselineKey identifies the operations of a service under a condition.
type baselineKey struct {
	service   keys.Service
	condition Condition
}

// Table holds the slowness of each endpoint. It is not safe for concurrent use.
type Table struct {
	endpoints map[keys.Endpoint]*endpoint
	// baselines hold what this host's samples under each condition amount to at an endpoint of slowness 1. They are
	// learned rather than predicted: the event time that package engine learns grows several times while long prompts
	// are read everywhere, and falls back slowly, so that busy and idle endpoints could not be compared.
	baselines map[baselineKey]*baseline
}

// NewTable returns a table without samples.
func NewTable() *Table {
	return &Table{endpoints: make(map[keys.Endpoint]*endpoint), baselines: make(map[baselineKey]*baseline)}
}

// Record counts a sample of this host. It returns the logarithm of the ratio to the expected time and its weight, for
// peers. The weight is 0 if the sample can't be used.
func (t *Table) Record(now time.Time, s Sample) (log, weight float64) {
	if math.IsNaN(s.Log) || math.IsInf(s.Log, 0) || math.IsNaN(s.Expected) || math.IsInf(s.Expected, 0) {
		return 0, 0
	}
	key := baselineKey{s.Service, s.Condition}
	b, ok := t.baselines[key]
	if !ok {
		b = &baseline{
			average: average{sum: baselineSamples * s.Expected, weight: baselineSamples, at: now}, squares: baselineSamples * baselineVariance,
		}
		t.baselines[key] = b
	}
	mean, deviation := b.sum/b.weight, 0.0
	if e, known := t.endpoints[s.Endpoint]; known {
		deviation = e.longDeviation
	}
	residual := min(max(s.Log-mean-deviation, -maxResidual), maxResidual)
	log, weight = deviation+residual, b.sampleWeight()
	b.add(now, mean, residual)
	if !t.Add(now, s.Service, s.Endpoint, weight*log, weight) {
		return 0, 0
	}
	return log, weight
}

// Add counts samples with a weighted sum of logarithms. It returns false if the table is full.
func (t *Table) Add(now time.Time, service keys.Service, key keys.Endpoint, sum, weight float64) bool {
	e, ok := t.endpoints[key]
	if !ok {
		if len(t.endpoints) >= maxEndpoints {
			return false
		}
		e = &endpoint{slowness: 1}
		t.endpoints[key] = e
	}
	e.service = service
	e.short.add(now, shortHalfLife, sum, weight)
	e.long.add(now, longHalfLife, sum, weight)
	return true
}

// Forget removes the samples of an endpoint, which has restarted.
func (t *Table) Forget(key keys.Endpoint) { delete(t.endpoints, key) }

// Change is an endpoint whose class of speed has changed.
type Change struct {
	Endpoint keys.Endpoint
	Speed    Speed
	// Slowness is the slowness over the long term, Samples the weight of the samples behind it.
	Slowness float64
	Samples  float64
}

// Refresh computes the slowness of all endpoints, given the number of endpoints of each service: the larger one of the two terms, so that an endpoint gets less work as
// soon as it slows down, and more only once it has been faster for a while. It returns the endpoints whose
// class of speed has changed.
func (t *Table) Refresh(now time.Time, numbers map[keys.Service]int) []Change {
	services := make(map[keys.Service][]*endpoint)
	for _, e := range t.endpoints {
		e.short.decay(now, shortHalfLife)
		e.long.decay(now, longHalfLife)
		services[e.service] = append(services[e.service], e)
	}
	for service, endpoints := range services {
		shortMean := trimmedMean(endpoints, numbers[service], func(e *endpoint) *average { return &e.short })
		longMean := trimmedMean(endpoints, numbers[service], func(e *endpoint) *average { return &e.long })
		for _, e := range endpoints {
			e.longDeviation, e.shortDeviation = e.long.deviation(longMean), e.short.deviation(shortMean)
			e.slowness = slownessOf(e.longDeviation)
			if e.short.weight >= minSamples {
				e.slowness = slownessOf(max(e.longDeviation, e.shortDeviation))
			}
		}
	}
	return t.changes(now)
}

// changes updates the classes of speed and returns the endpoints that have changed. It removes what has decayed.
func (t *Table) changes(now time.Time) []Change {
	var changes []Change
	for key, e := range t.endpoints {
		slowness := math.Exp(e.longDeviation)
		if speed := speedOf(slowness, e.speed); speed != e.speed {
			e.speed = speed
			changes = append(changes, Change{Endpoint: key, Speed: speed, Slowness: slowness, Samples: e.long.weight})
		}
		if e.long.weight < minKeptSamples {
			delete(t.endpoints, key)
		}
	}
	for key, b := range t.baselines {
		if now.Sub(b.at) > baselineTimeout {
			delete(t.baselines, key)
		}
	}
	return changes
}

// slownessOf returns the slowness with a logarithm, as it is used.
func slownessOf(log float64) float64 {
	slowness := min(max(math.Exp(log), minSlowness), maxSlowness)
	if slowness > maxFaster && slowness < minSlower {
		return 1
	}
	return slowness
}

// trimmedMean returns the mean over a number of endpoints, without the slowest and the fastest. Each endpoint counts once,
// however many samples it has: a slow endpoint gives fewer, and a busy one more. One without samples counts as fast as
// expected: peers send only the samples of unusual endpoints.
func trimmedMean(endpoints []*endpoint, number int, of func(*endpoint) *average) float64 {
	means := make([]float64, max(number, len(endpoints)))
	for i, e := range endpoints {
		means[i] = of(e).deviation(0)
	}
	slices.Sort(means)
	trimmed := int(trimmedPart * float64(len(means)))
	sum := 0.0
	for _, mean := range means[trimmed : len(means)-trimmed] {
		sum += mean
	}
	return sum / float64(len(means)-2*trimmed)
}

// Slowness returns the factor by which the operations of an endpoint take longer than at the mean of its service, as of
// the last refresh. It is 1 without samples.
func (t *Table) Slowness(key keys.Endpoint) float64 {
	if e, ok := t.endpoints[key]; ok {
		return e.slowness
	}
	return 1
}

// IsUnusual reports whether the samples of an endpoint suggest that it is slower or faster than the others, as of the
// last refresh.
func (t *Table) IsUnusual(key keys.Endpoint) bool {
	e, ok := t.endpoints[key]
	return ok && max(math.Abs(e.longDeviation), math.Abs(e.shortDeviation)) >= unusualLog
}

// Slow returns the slowness over the long term of the endpoints that are slow.
func (t *Table) Slow() map[keys.Endpoint]float64 {
	slow := make(map[keys.Endpoint]float64)
	for key, e := range t.endpoints {
		if e.speed == Slow {
			slow[key] = math.Exp(e.longDeviation)
		}
	}
	return slow
}

// Speeds returns the endpoints that are fast or slow.
func (t *Table) Speeds() map[keys.Endpoint]Speed {
	speeds := make(map[keys.Endpoint]Speed)
	for key, e := range t.endpoints {
		if e.speed != Usual {
			speeds[key] = e.speed
		}
	}
	return speeds
}
