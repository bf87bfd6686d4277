package engine

import "math"

// A figure is learned as a running quantile in the logarithm: each sample moves it up or down by a step that does not
// depend on the sample's distance, so that a faulty or stalled endpoint has little influence. The step shrinks as the
// number of samples grows.
const (
	// initialStep is the step of the first sample in natural logarithms: three samples in a row double the figure.
	initialStep = 0.25
	// minStep is the minimum step, which lets the figure follow a change within some tens of samples.
	minStep = 0.03
	// stepHalvingSamples is the number of samples after which the step has fallen to one half.
	stepHalvingSamples = 6
	// maxSamples bounds the weight of a figure in the mean of all hosts.
	maxSamples = 100
	// priorSamples is the weight of a figure's initial value in that mean.
	priorSamples = 3
	// maxFactor bounds the ratio of a figure to its initial value, in either direction. Engines differ by less, and the
	// bound keeps predictions finite for any observation.
	maxFactor = 30
)

// Figure is a learned quantity.
type Figure struct {
	// Value is positive; its unit is that of the quantity.
	Value float64
	// Samples is the number of samples behind the value, at most maxSamples.
	Samples float64
}

// observe moves the figure towards a sample. Quantile is the share of samples that should lie below the figure: 0.5
// makes it the median. A sample that is not positive and finite is ignored.
func (f *Figure) observe(sample, quantile, initial float64) {
	if !(sample > 0) || math.IsInf(sample, 0) {
		return
	}
	step := max(initialStep/(1+f.Samples/stepHalvingSamples), minStep)
	if sample > f.Value {
		f.Value *= math.Exp(2 * step * quantile)
	} else {
		f.Value *= math.Exp(-2 * step * (1 - quantile))
	}
	f.Value = clamp(f.Value, initial)
	f.Samples = min(f.Samples+1, maxSamples)
}

// clamp limits a value to within maxFactor of the initial one.
func clamp(value, initial float64) float64 {
	return min(max(value, initial/maxFactor), initial*maxFactor)
}

// mean is a weighted geometric mean of figures.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	if !(value > 0) || math.IsInf(value, 0) || !(weight > 0) {
		return
	}
	m.sum += weight * math.Log(value)
	m.weight += weight
}

func (m *mean) value() float64 { return math.Exp(m.sum / m.weight) }

// merge returns the weighted mean of two figures. Values that are not positive and finite are ignored.
func (f Figure) merge(other Figure) Figure {
	var m mean
	m.add(f.Value, f.Samples)
	m.add(other.Value, other.Samples)
	if m.weight == 0 {
		return f
	}
	return Figure{Value: m.value(), Samples: m.weight}
}
