package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// Description describes a trace to generate.
type Description struct {
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`
	// EngineCounts is the number of engines of each model.
	EngineCounts map[string]int    `json:"engine_counts"`
	Settings     settings.Tree     `json:"settings"`
	Callers      map[string]Caller `json:"callers,omitzero"`
	Outcomes     []Outcome         `json:"outcomes,omitzero"`
	Measure      Window            `json:"measure,omitzero"`
	Sources      []Source          `json:"sources"`
	Faults       []Event           `json:"faults,omitzero"`
}

// Source is a stream of requests with Poisson arrivals and log-normally distributed lengths.
type Source struct {
	Class      string   `json:"class"`
	Workspaces []string `json:"workspaces"`
	Model      string   `json:"model"`
	// Rate is the mean number of requests per second outside of bursts.
	Rate   float64 `json:"rate"`
	Bursts []Burst `json:"bursts,omitzero"`
	// Prompt and Answer are median lengths in tokens. The sigmas are the standard deviations of the
	// lengths' natural logarithms.
	Prompt      int     `json:"prompt"`
	PromptSigma float64 `json:"prompt_sigma,omitzero"`
	Answer      int     `json:"answer"`
	AnswerSigma float64 `json:"answer_sigma,omitzero"`
	// Documents is the number of documents that a prompt may begin with; lower numbers are more popular.
	// 0 means that prompts have no document.
	Documents      int  `json:"documents,omitzero"`
	DocumentTokens int  `json:"document_tokens,omitzero"`
	Outside        bool `json:"outside,omitzero"`
}

// Burst multiplies a source's rate during a part of the trace.
type Burst struct {
	FromSecond int     `json:"from_s"`
	ToSecond   int     `json:"to_s"`
	Factor     float64 `json:"factor"`
}

// ReadDescription decodes a description.
func ReadDescription(data []byte) (*Description, error) {
	d := new(Description)
	err := json.Unmarshal(data, d, json.RejectUnknownMembers(true), strictjson.DurationUnmarshaler)
	return d, err
}

// Generate generates a trace. The same description always gives the same trace.
func Generate(d *Description) (*Trace, error) {
	t := &Trace{Header: Header{
		Format: Format, Name: d.Name, Seed: d.Seed, Settings: d.Settings, Engines: DefaultEngines,
		Callers: d.Callers, Outcomes: d.Outcomes, Measure: d.Measure,
	}}
	t.addEndpoints(d.EngineCounts)
	for i := range d.Sources {
		random := rand.New(rand.NewPCG(d.Seed, uint64(i)))
		t.Events = append(t.Events, d.Sources[i].drawEvents(random, d.Seconds)...)
	}
	t.Events = append(t.Events, d.Faults...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return a.AtMillis - b.AtMillis })
	return t, t.validate()
}

// addEndpoints adds the given number of endpoints of each model to the settings, spread over three zones.
func (t *Trace) addEndpoints(counts map[string]int) {
	tree := &t.Header.Settings
	tree.Endpoints = make(map[string]settings.Endpoint)
	if tree.Models == nil {
		tree.Models = make(map[string]settings.Model)
	}
	for model, count := range counts {
		if _, ok := tree.Models[model]; !ok {
			tree.Models[model] = settings.Model{}
		}
		for i := range count {
			name := fmt.Sprintf("%s-%02d", model, i+1)
			tree.Endpoints[name] = settings.Endpoint{
				Address: name + ":9000", Zone: fmt.Sprintf("zone-%c", 'a'+i%3), Model: model, CacheTokens: DefaultEngines.CacheTokens, Continues: true,
			}
		}
	}
}

// drawEvents draws the requests of a source.
func (s *Source) drawEvents(random *rand.Rand, seconds int) []Event {
	var events []Event
	at := 0.0
	for {
		// Thinning: arrivals are drawn at the highest rate and kept with probability rate/highest rate.
		at += random.ExpFloat64() / (s.Rate * s.maxFactor())
		if at >= float64(seconds) {
			return events
		}
		if random.Float64()*s.maxFactor() < s.factorAt(at) {
			events = append(events, s.drawEvent(random, at))
		}
	}
}

// maxFactor returns the highest factor of the rate in the whole trace.
func (s *Source) maxFactor() float64 {
	highest := 1.0
	for _, b := range s.Bursts {
		highest = math.Max(highest, b.Factor)
	}
	return highest
}

// factorAt returns the factor of the rate at a time in seconds.
func (s *Source) factorAt(at float64) float64 {
	for _, b := range s.Bursts {
		if at >= float64(b.FromSecond) && at < float64(b.ToSecond) {
			return b.Factor
		}
	}
	return 1
}

func (s *Source) drawEvent(random *rand.Rand, at float64) Event {
	event := Event{
		AtMillis:  int(at * 1000),
		Class:     s.Class,
		Workspace: s.Workspaces[random.IntN(len(s.Workspaces))],
		Model:     s.Model,
		Prompt:    drawLogNormal(random, s.Prompt, s.PromptSigma),
		Answer:    drawLogNormal(random, s.Answer, s.AnswerSigma),
		Outside:   s.Outside,
	}
	if s.Documents > 0 {
		// Squaring the uniform number makes low document numbers more popular.
		pick := int(float64(s.Documents) * math.Pow(random.Float64(), 2))
		event.Document = fmt.Sprintf("d%d", pick)
		event.DocumentTokens = s.DocumentTokens
		event.Prompt += s.DocumentTokens
	}
	return event
}

// maxLengthTokens bounds the length of a prompt or answer, as engines do.
const maxLengthTokens = 16_000

// drawLogNormal draws a length between 1 and maxLengthTokens.
func drawLogNormal(random *rand.Rand, median int, sigma float64) int {
	return min(max(1, int(float64(median)*math.Exp(sigma*random.NormFloat64()))), maxLengthTokens)
}
