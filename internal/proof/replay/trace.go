// Package replay runs recorded or generated traces through a scheduling policy
// against the engine model in virtual time, checks the invariants at every
// event, and reports what each class got. The same trace, seed and policy give
// the same result on any machine.
package replay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// Format is the version of the trace format that this program reads.
const Format = 1

// Header is the first line of a trace.
type Header struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	Seed   uint64 `json:"seed"`
	// Settings is the tree in force: classes, workspaces, models, endpoints.
	Settings settings.Tree `json:"settings"`
	// Engines is the engine model of all endpoints.
	Engines EngineModel `json:"engines"`
	// Callers is how callers behave, class by class.
	Callers  map[string]Caller `json:"callers,omitzero"`
	Outcomes []Outcome         `json:"outcomes,omitzero"`
	// Measure is the part of the trace that goodput is measured in; the zero
	// value means all of it.
	Measure Window `json:"measure,omitzero"`
}

// Window is a part of a trace.
type Window struct {
	FromSecond int `json:"from_s"`
	ToSecond   int `json:"to_s"`
}

// EngineModel is the engine model in microseconds and tokens.
type EngineModel struct {
	StepMicros           int `json:"step_us"`
	PerRequestMicros     int `json:"per_request_us"`
	PerPromptTokenMicros int `json:"per_prompt_token_us"`
	ChunkTokens          int `json:"chunk_tokens"`
	MaxRunning           int `json:"max_running"`
	CacheTokens          int `json:"cache_tokens"`
}

// DefaultEngines is emulator.DefaultConfig in the trace's units.
var DefaultEngines = EngineModel{
	StepMicros: 18000, PerRequestMicros: 800, PerPromptTokenMicros: 60, ChunkTokens: 256, MaxRunning: 64, CacheTokens: 120_000,
}

func (m EngineModel) config() emulator.Config {
	return emulator.Config{
		StepTime:       time.Duration(m.StepMicros) * time.Microsecond,
		PerRequest:     time.Duration(m.PerRequestMicros) * time.Microsecond,
		PerPromptToken: time.Duration(m.PerPromptTokenMicros) * time.Microsecond,
		ChunkTokens:    m.ChunkTokens,
		MaxRunning:     m.MaxRunning,
		CacheTokens:    m.CacheTokens,
	}
}

// Caller is how the callers of a class behave.
type Caller struct {
	// PatienceMillis is how long they wait for the first token before they go
	// away; 0 means for ever.
	PatienceMillis int `json:"patience_ms,omitzero"`
	// Retries is how often they come back after a refusal or after they went
	// away. Each return is a request of its own.
	Retries int `json:"retries,omitzero"`
}

// Event is one line of a trace after the header. Either Class or Fault is set.
type Event struct {
	AtMillis int `json:"at_ms"`

	Class     string `json:"class,omitzero"`
	Workspace string `json:"workspace,omitzero"`
	Model     string `json:"model,omitzero"`
	Prompt    int    `json:"prompt,omitzero"`
	Answer    int    `json:"answer,omitzero"`
	// Document is the name of a text that the prompt begins with, DocumentTokens its
	// length.
	Document       string `json:"document,omitzero"`
	DocumentTokens int    `json:"document_tokens,omitzero"`
	// Outside marks a request that reaches an engine past the router.
	Outside bool `json:"outside,omitzero"`

	Fault    FaultKind `json:"fault,omitzero"`
	Endpoint string    `json:"endpoint,omitzero"`
	// Factor is how slow a slow engine is.
	Factor float64 `json:"factor,omitzero"`
}

// FaultKind is what happens to an endpoint.
type FaultKind string

// The kinds of fault.
const (
	FaultCrash   FaultKind = "crash"
	FaultRecover FaultKind = "recover"
	FaultSlow    FaultKind = "slow"
	FaultStall   FaultKind = "stall"
	// FaultOut is a change of the settings: the endpoint gets no new work.
	FaultOut FaultKind = "out"
	FaultIn  FaultKind = "in"
	// FaultFreeze stops all load reports, FaultThaw lets them go on.
	FaultFreeze FaultKind = "freeze_reports"
	FaultThaw   FaultKind = "thaw_reports"
)

// Outcome is what a trace states of its own run. Zero fields state nothing.
type Outcome struct {
	// Class and Workspaces pick the requests that the outcome is about; empty
	// means all. Arrived picks those that arrived in a part of the trace.
	Class      string   `json:"class,omitzero"`
	Workspaces []string `json:"workspaces,omitzero"`
	Arrived    Window   `json:"arrived,omitzero"`
	// MinAttainment is the part of the requests that meet their target, each
	// weighted by its tier.
	MinAttainment float64 `json:"min_attainment,omitzero"`
	// MinServed is the part that gets a whole answer.
	MinServed float64 `json:"min_served,omitzero"`
	// MaxWaitMillis bounds the longest time before a grant.
	MaxWaitMillis int `json:"max_wait_ms,omitzero"`
	// MinGoodput is goodput as a part of the engines' capacity, and MaxWasted
	// wasted tokens as a part of those generated. They are about the whole run.
	MinGoodput float64 `json:"min_goodput,omitzero"`
	MaxWasted  float64 `json:"max_wasted,omitzero"`
}

// Trace is a trace in memory.
type Trace struct {
	Header Header
	Events []Event
}

const maxLineBytes = 4 << 20

// Read reads a trace and checks its settings.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for number := 1; lines.Scan(); number++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := t.add(number, line); err != nil {
			return nil, merry.Prependf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, merry.Prepend(err, "read trace")
	}
	return t, t.check()
}

func (t *Trace) add(number int, line []byte) error {
	if number == 1 {
		return json.Unmarshal(line, &t.Header, json.RejectUnknownMembers(true), strictjson.DurationUnmarshaler)
	}
	var event Event
	if err := json.Unmarshal(line, &event, json.RejectUnknownMembers(true)); err != nil {
		return err
	}
	if (event.Class == "") == (event.Fault == "") {
		return merry.New("an event has either a class or a fault")
	}
	t.Events = append(t.Events, event)
	return nil
}

func (t *Trace) check() error {
	if t.Header.Format != Format {
		return merry.Errorf("trace format %d, this program reads %d", t.Header.Format, Format)
	}
	data, err := settings.Encode(&t.Header.Settings)
	if err != nil {
		return err
	}
	tree, err := settings.Decode("the trace's settings", data)
	if err != nil {
		return err
	}
	t.Header.Settings = *tree
	return nil
}

// Write writes a trace in the form that Read reads.
func Write(w io.Writer, t *Trace) error {
	out := bufio.NewWriter(w)
	header, err := json.Marshal(&t.Header, json.Deterministic(true), strictjson.DurationMarshaler)
	if err != nil {
		return merry.Wrap(err)
	}
	fmt.Fprintf(out, "%s\n", header)
	for i := range t.Events {
		line, err := json.Marshal(&t.Events[i])
		if err != nil {
			return merry.Wrap(err)
		}
		fmt.Fprintf(out, "%s\n", line)
	}
	return merry.Wrap(out.Flush())
}
