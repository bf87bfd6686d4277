package engine

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The length of an answer in events is predicted from what is expected of its length in tokens: the caller's estimate,
// which is right at the median but often far off, or half of the maximum.

// initialEventTokens is the number of tokens in an event before any observation. Most engines send fewer tokens in an
// event, so that predictions err to too few events: too many would refuse streams that can end.
const initialEventTokens = 16

// minAnswerSamples is the number of samples from which a figure of answers is known: single estimates are far off.
const minAnswerSamples = 4

// answers holds this host's figures of the answers of a service. Peers do not report them.
type answers struct {
	// eventTokens is the number of tokens in an event.
	eventTokens Figure
	// expected is the median of the expected tokens of each class.
	expected map[keys.Class]Figure
}

// observeMedian moves a figure without an initial value towards a sample. It starts at the mean of the first samples.
func (f *Figure) observeMedian(sample float64) {
	if f.Samples < minAnswerSamples {
		*f = f.merge(Figure{Value: sample, Samples: 1})
		return
	}
	f.observe(sample, 0.5, f.Value)
}

// recordAnswer records the length of a complete stream.
func (s *Service) recordAnswer(stream Stream) {
	if stream.LengthHint > 0 && stream.Events > 0 {
		s.answers.eventTokens.observeMedian(float64(stream.LengthHint) / float64(stream.Events))
	}
}

// recordExpected records the expected tokens of a request's answer.
func (s *Service) recordExpected(class keys.Class, tokens int) {
	if tokens > 0 {
		expected := s.answers.expected[class]
		expected.observeMedian(float64(tokens))
		s.answers.expected[class] = expected
	}
}

// Events returns the expected number of events of an answer, or 0 if it is unknown. Tokens is what is expected of its
// length, and eventTokens the number of tokens in an event; 0 means unknown. An expectation counts half beside the median
// of its class, in the logarithm: expectations are at least as far off as answers differ.
func (s *Service) Events(class keys.Class, tokens, eventTokens int) float64 {
	perEvent := float64(eventTokens)
	if perEvent == 0 && s.answers.eventTokens.Samples >= minAnswerSamples {
		perEvent = s.answers.eventTokens.Value
	}
	if perEvent == 0 {
		perEvent = initialEventTokens
	}
	expected := float64(tokens)
	if median := s.answers.expected[class]; median.Samples >= minAnswerSamples {
		expected = math.Sqrt(expected * median.Value)
	}
	return expected / perEvent
}

// Gap returns the expected time between two events of a stream, given the share of the engines that read prompts. An
// event takes longer by what is read in it. If reading comes in intervals much shorter than a stream, events come at the
// mean of two rates; if it lasts as long as a stream, the mean of two gaps counts. The geometric mean is between them.
func (f *Figures) Gap(reading float64) time.Duration {
	reads := f.EventRead.Value / f.ReadRate.Value
	return time.Duration(f.EventTime.Value * math.Pow(1+reads/f.EventTime.Value, reading) * float64(time.Millisecond))
}
