// Package engine predicts what the engines of a service do with a request, and from that decides which
// prompts should run apart. A host observes the streams that it relays and merges what it learns with
// what its peers report, so that nothing has to be configured and nothing is remembered of a deployment.
//
// It owns the learned figures and the traffic of each service, and the rules that follow from them
// (traffic.go, split.go). Package placement feeds it and asks it. It does no input or output, takes the
// time as a parameter, and is not safe for concurrent use.
package engine

import (
	"math"
	"time"
)

// The first values of the figures, before anything was observed: about those of a large model on a few
// accelerators, on the side from which a few samples correct them. A figure that is a low quantile falls by a
// third with each sample below it and rises by an eighth with one above, and a high quantile the other way
// round. They only have to hold for the first seconds; TestTheFirstValuesAreUnlearned shows that ten times
// slower or faster engines are learned.
const (
	// firstReadRate is in prompt tokens a ms.
	firstReadRate = 32
	// firstEventTime is in ms.
	firstEventTime = 45
	// firstEventRead is in prompt tokens: a step reads about 2,000, an event takes some six steps.
	firstEventRead = 12000
)

// Figures are what is learned of the engines of a service.
type Figures struct {
	// ReadRate is the number of prompt tokens that an engine reads in a ms.
	ReadRate Figure
	// EventTime is the time in ms between two events of a stream beside which nothing is read.
	EventTime Figure
	// EventRead is the number of prompt tokens that an engine reads at most between two events of a
	// stream. A longer prompt makes more pauses but hardly longer ones.
	EventRead Figure
}

// firstFigures returns the figures before anything was observed.
func firstFigures() Figures {
	return Figures{
		ReadRate: Figure{Value: firstReadRate}, EventTime: Figure{Value: firstEventTime},
		EventRead: Figure{Value: firstEventRead},
	}
}

// ReadTime returns how long an engine takes to read a number of prompt tokens.
func (f *Figures) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / f.ReadRate.Value * float64(time.Millisecond))
}

// pauseGrowth is by how much the pause beside a prompt grows each time that the prompt is twice as long, past the
// length from which it fills all steps: attention over a longer context costs more.
const pauseGrowth = 0.1

// growth returns by how much the pause beside a prompt is longer than beside one that just fills all steps.
func (f *Figures) growth(unread float64) float64 {
	return 1 + pauseGrowth*max(math.Log2(unread/f.EventRead.Value), 0)
}

// Pause returns the longest pause of a stream beside which a prompt with a number of tokens to read is
// read, together with as many times that number as are waiting.
func (f *Figures) Pause(unread int, times float64) time.Duration {
	tokens := float64(max(unread, 0))
	ms := (f.EventTime.Value + min(tokens*times, f.EventRead.Value)/f.ReadRate.Value) * f.growth(tokens)
	return time.Duration(ms * float64(time.Millisecond))
}

// pauseSpread is the spread of pauses beside equal prompts as a part of the predicted one, as the scale of a logistic
// distribution.
const pauseSpread = 0.05

// MissProb returns the chance, from 0 to 1, that a stream with a target for pauses misses it if a number of
// prompt tokens is read beside it. Each time that the tokens fill the steps of an event, it pauses once.
func (f *Figures) MissProb(unread int, target time.Duration) float64 {
	return f.harmAmong(unread, 1, target)
}

// harmAmong is Harm if as many times the number of tokens are waiting.
func (f *Figures) harmAmong(unread int, times float64, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	ratio := float64(f.Pause(unread, times)) / float64(target)
	each := 1 / (1 + math.Exp((1-ratio)/pauseSpread))
	return 1 - math.Pow(1-each, max(float64(unread)/f.EventRead.Value, 1))
}

// spread are five equally likely values of an exponential distribution with mean 1: the lengths of prompts
// vary about as much as that.
var spread = [...]float64{0.1, 0.36, 0.69, 1.2, 2.3}

// meanHarm returns the mean of Harm for prompts with a mean number of tokens to read, where as many times
// that number are waiting.
func (f *Figures) meanHarm(unread, times float64, target time.Duration) float64 {
	sum := 0.0
	for _, part := range spread {
		sum += f.harmAmong(int(unread*part), times, target)
	}
	return sum / float64(len(spread))
}
