// Package engine predicts how the engines of a service process a request, and decides from that which prompts should
// run on separate endpoints. A host observes the streams that it relays and merges its observations with the reports of
// its peers, so that nothing has to be configured and nothing is stored about a deployment.
//
// The package owns the learned figures and the traffic of each service, and the rules based on them (traffic.go,
// split.go). Package placement supplies the observations and uses the predictions. It does no I/O, takes the time as a
// parameter, and is not safe for concurrent use.
package engine

import (
	"math"
	"time"
)

// The initial values of the figures, used before any observation. They are typical of a large model on a few
// accelerators, on the side from which a few samples correct them: a figure that is a low quantile falls by a third
// with each sample below it and rises by an eighth with each sample above it, and a high quantile does the opposite.
// The values only have to hold for the first seconds; TestInitialFiguresAreUnlearned covers engines that are ten times
// slower or faster.
const (
	// initialReadRate is in prompt tokens per ms.
	initialReadRate = 32
	// initialEventTime is in ms.
	initialEventTime = 45
	// initialEventRead is in prompt tokens: a step processes about 2,000, and an event takes about six steps.
	initialEventRead = 12000
)

// Figures holds the learned properties of the engines of a service.
type Figures struct {
	// ReadRate is the number of prompt tokens that an engine processes per ms.
	ReadRate Figure
	// EventTime is the time in ms between two events of a stream while the engine processes no prompt.
	EventTime Figure
	// EventRead is the maximum number of prompt tokens that an engine processes between two events of a stream. A
	// longer prompt causes more pauses but hardly longer ones.
	EventRead Figure
}

// initialFigures returns the figures before any observation.
func initialFigures() Figures {
	return Figures{
		ReadRate: Figure{Value: initialReadRate}, EventTime: Figure{Value: initialEventTime},
		EventRead: Figure{Value: initialEventRead},
	}
}

// ReadTime returns how long an engine takes to process a number of prompt tokens.
func (f *Figures) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.ReadRate.Value * float64(time.Millisecond))
}

// pauseGrowth is the relative growth of a pause each time the prompt's length doubles, beyond the length that fills all
// steps: attention over a longer context costs more.
const pauseGrowth = 0.1

// pauseGrowthFactor returns the length of a pause relative to one during a prompt that just fills all steps.
func (f *Figures) pauseGrowthFactor(unread float64) float64 {
	return 1 + pauseGrowth*max(math.Log2(unread/f.EventRead.Value), 0)
}

// Pause returns the longest pause of a stream while the engine processes a prompt with a number of unprocessed tokens.
// Times multiplies that number to account for the prompts that wait as well.
func (f *Figures) Pause(unread int, times float64) time.Duration {
	tokens := float64(max(unread, 0))
	ms := (f.EventTime.Value + min(tokens*times, f.EventRead.Value)/f.ReadRate.Value) * f.pauseGrowthFactor(tokens)
	return time.Duration(ms * float64(time.Millisecond))
}

// pauseSpread is the scale of a logistic distribution of the pauses during equal prompts, relative to the predicted
// pause.
const pauseSpread = 0.05

// MissProb returns the probability that a stream with a target for pauses misses it while the engine processes a
// number of prompt tokens. The stream pauses once for each time that the tokens fill the steps of an event.
func (f *Figures) MissProb(unread int, target time.Duration) float64 {
	return f.queuedMissProb(unread, 1, target)
}

// queuedMissProb is MissProb with the unprocessed tokens multiplied by times, as in Pause.
func (f *Figures) queuedMissProb(unread int, times float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	ratio := float64(f.Pause(unread, times)) / float64(target)
	each := 1 / (1 + math.Exp((1-ratio)/pauseSpread))
	return 1 - math.Pow(1-each, max(float64(unread)/f.EventRead.Value, 1))
}

// promptLengthQuantiles holds five equally likely values of an exponential distribution with mean 1, which approximates
// the variation of prompt lengths.
var promptLengthQuantiles = [...]float64{0.1, 0.36, 0.69, 1.2, 2.3}

// meanMissProb returns the mean of MissProb over prompts with a mean number of unprocessed tokens, multiplied
// by times as in Pause.
func (f *Figures) meanMissProb(unread, times float64, target time.Duration) float64 {
	sum := 0.0
	for _, part := range promptLengthQuantiles {
		sum += f.queuedMissProb(int(unread*part), times, target)
	}
	return sum / float64(len(promptLengthQuantiles))
}
