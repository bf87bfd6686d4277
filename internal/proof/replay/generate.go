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

// Description is what a trace is generated from.
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

// Source is one stream of requests: Poisson arrivals, lengths from a log-normal
// distribution.
type Source struct {
	Class      string   `json:"class"`
	Workspaces []string `json:"workspaces"`
	Model      string   `json:"model"`
	// Rate is requests a second.
	Rate   float64 `json:"rate"`
	Bursts []Burst `json:"bursts,omitzero"`
	// Prompt and Answer are medians in tokens, the sigmas the spread of their
	// logarithms.
	Prompt      int     `json:"prompt"`
	PromptSigma float64 `json:"prompt_sigma,omitzero"`
	Answer      int     `json:"answer"`
	AnswerSigma float64 `json:"answer_sigma,omitzero"`
	// Documents is the number of texts that prompts may begin with, picked with
	// falling popularity.
	Documents      int  `json:"documents,omitzero"`
	DocumentTokens int  `json:"document_tokens,omitzero"`
	Outside        bool `json:"outside,omitzero"`
}

// Burst multiplies a source's rate for a time.
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

// Generate makes a trace. The same description always makes the same trace.
func Generate(d *Description) (*Trace, error) {
	t := &Trace{Header: Header{
		Format: Format, Name: d.Name, Seed: d.Seed, Settings: d.Settings, Engines: DefaultEngines,
		Callers: d.Callers, Outcomes: d.Outcomes, Measure: d.Measure,
	}}
	t.addEngines(d.EngineCounts)
	for i := range d.Sources {
		random := rand.New(rand.NewPCG(d.Seed, uint64(i)))
		t.Events = append(t.Events, d.Sources[i].events(random, d.Seconds)...)
	}
	t.Events = append(t.Events, d.Faults...)
	slices.SortStableFunc(t.Events, func(a, b Event) int { return a.AtMillis - b.AtMillis })
	return t, t.check()
}

func (t *Trace) addEngines(counts map[string]int) {
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

func (s *Source) events(random *rand.Rand, seconds int) []Event {
	var events []Event
	at := 0.0
	for {
		// Thinning: draw at the highest rate, and keep a part.
		at += random.ExpFloat64() / (s.Rate * s.highest())
		if at >= float64(seconds) {
			return events
		}
		if random.Float64()*s.highest() < s.factor(at) {
			events = append(events, s.event(random, at))
		}
	}
}

func (s *Source) highest() float64 {
	highest := 1.0
	for _, b := range s.Bursts {
		highest = math.Max(highest, b.Factor)
	}
	return highest
}

func (s *Source) factor(at float64) float64 {
	for _, b := range s.Bursts {
		if at >= float64(b.FromSecond) && at < float64(b.ToSecond) {
			return b.Factor
		}
	}
	return 1
}

func (s *Source) event(random *rand.Rand, at float64) Event {
	event := Event{
		AtMillis:  int(at * 1000),
		Class:     s.Class,
		Workspace: s.Workspaces[random.IntN(len(s.Workspaces))],
		Model:     s.Model,
		Prompt:    logNormal(random, s.Prompt, s.PromptSigma),
		Answer:    logNormal(random, s.Answer, s.AnswerSigma),
		Outside:   s.Outside,
	}
	if s.Documents > 0 {
		// The square makes the first documents the most popular.
		pick := int(float64(s.Documents) * math.Pow(random.Float64(), 2))
		event.Document = fmt.Sprintf("d%d", pick)
		event.DocumentTokens = s.DocumentTokens
		event.Prompt += s.DocumentTokens
	}
	return event
}

// longest bounds a length, as engines do.
const longest = 16_000

func logNormal(random *rand.Rand, median int, sigma float64) int {
	return min(max(1, int(float64(median)*math.Exp(sigma*random.NormFloat64()))), longest)
}
