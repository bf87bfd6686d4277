// Package replay runs recorded or generated traces through a scheduling policy against emulated engines in
// virtual time. It checks the invariants at every event and reports the result of each request class. The same
// trace, seed and policy give the same result on any machine.
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
	// Engines is the performance model that all endpoints share.
	Engines EngineModel `json:"engines"`
	// Callers describes the callers' behaviour by class.
	Callers  map[string]Caller `json:"callers,omitzero"`
	Outcomes []Outcome         `json:"outcomes,omitzero"`
	// Measure is the part of the trace in which goodput is measured. The zero value means all of it.
	Measure Window `json:"measure,omitzero"`
}

// Window is a part of a trace, in seconds from its start. ToSecond is exclusive.
type Window struct {
	FromSecond int `json:"from_s"`
	ToSecond   int `json:"to_s"`
}

// EngineModel is the performance model of an engine in microseconds and tokens.
type EngineModel struct {
	StepMicros           int `json:"step_us"`
	PerRequestMicros     int `json:"per_request_us"`
	PerPromptTokenMicros int `json:"per_prompt_token_us"`
	ChunkTokens          int `json:"chunk_tokens"`
	MaxRunning           int `json:"max_running"`
	CacheTokens          int `json:"cache_tokens"`
}

// DefaultEngines is emulator.DefaultConfig in the units of a trace.
var DefaultEngines = EngineModel{
	StepMicros: 18000, PerRequestMicros: 800, PerPromptTokenMicros: 60, ChunkTokens: 256, MaxRunning: 64, CacheTokens: 120_000,
}

func (m EngineModel) emulatorConfig() emulator.Config {
	return emulator.Config{
		StepTime:       time.Duration(m.StepMicros) * time.Microsecond,
		PerRequest:     time.Duration(m.PerRequestMicros) * time.Microsecond,
		PerPromptToken: time.Duration(m.PerPromptTokenMicros) * time.Microsecond,
		ChunkTokens:    m.ChunkTokens,
		MaxRunning:     m.MaxRunning,
		CacheTokens:    m.CacheTokens,
	}
}

// Caller describes the behaviour of the callers of a class.
type Caller struct {
	// PatienceMillis is the time that they wait for the first token before they disconnect; 0 means without
	// limit.
	PatienceMillis int `json:"patience_ms,omitzero"`
	// Retries is the number of times that they try again after a refusal or after they disconnected. Each
	// retry is a request of its own.
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
	// Document is the name of a shared document that the prompt begins with, DocumentTokens its length.
	Document       string `json:"document,omitzero"`
	DocumentTokens int    `json:"document_tokens,omitzero"`
	// Outside marks a request that is sent to an engine directly, bypassing the router.
	Outside bool `json:"outside,omitzero"`

	Fault    FaultKind `json:"fault,omitzero"`
	Endpoint string    `json:"endpoint,omitzero"`
	// Factor multiplies the step time of a slow engine.
	Factor float64 `json:"factor,omitzero"`
}

// FaultKind is a kind of fault or of operational change.
type FaultKind string

// The kinds of fault.
const (
	FaultCrash   FaultKind = "crash"
	FaultRecover FaultKind = "recover"
	FaultSlow    FaultKind = "slow"
	FaultStall   FaultKind = "stall"
	// FaultOut takes the endpoint out of use by a change of the settings: it gets no new requests. FaultIn puts it back.
	FaultOut FaultKind = "out"
	FaultIn  FaultKind = "in"
	// FaultFreeze stops all load reports, FaultThaw resumes them.
	FaultFreeze FaultKind = "freeze_reports"
	FaultThaw   FaultKind = "thaw_reports"
)

// Outcome states bounds that the replay of a trace must meet. A zero field states no bound.
type Outcome struct {
	// Class, Workspaces and Arrived (the time of arrival) select the requests to which the outcome applies.
	// An empty field selects all.
	Class      string   `json:"class,omitzero"`
	Workspaces []string `json:"workspaces,omitzero"`
	Arrived    Window   `json:"arrived,omitzero"`
	// MinAttainment is the minimum fraction of requests that meet their target, weighted by tier.
	MinAttainment float64 `json:"min_attainment,omitzero"`
	// MinServed is the minimum fraction of requests that get a complete answer.
	MinServed float64 `json:"min_served,omitzero"`
	// MaxWaitMillis bounds the time between arrival and first grant.
	MaxWaitMillis int `json:"max_wait_ms,omitzero"`
	// MinGoodput bounds goodput as a fraction of the engines' capacity, MaxWasted wasted tokens as a fraction
	// of those generated. Both apply to all requests, whatever the outcome selects.
	MinGoodput float64 `json:"min_goodput,omitzero"`
	MaxWasted  float64 `json:"max_wasted,omitzero"`
}

// Trace is a decoded trace.
type Trace struct {
	Header Header
	Events []Event
}

const maxLineBytes = 4 << 20

// Read reads a trace and validates its settings.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for number := 1; lines.Scan(); number++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := t.addLine(number, line); err != nil {
			return nil, merry.Prependf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, merry.Prepend(err, "read trace")
	}
	return t, t.validate()
}

// addLine decodes a line: the header if it is the first, otherwise an event.
func (t *Trace) addLine(number int, line []byte) error {
	if number == 1 {
		return json.Unmarshal(line, &t.Header, json.RejectUnknownMembers(true), strictjson.DurationUnmarshaler)
	}
	var event Event
	if err := json.Unmarshal(line, &event, json.RejectUnknownMembers(true)); err != nil {
		return err
	}
	if (event.Class == "") == (event.Fault == "") {
		return merry.New("event must have either a class or a fault")
	}
	t.Events = append(t.Events, event)
	return nil
}

// validate checks the format and replaces the settings by their validated form.
func (t *Trace) validate() error {
	if t.Header.Format != Format {
		return merry.Errorf("unknown trace format %d, expected %d", t.Header.Format, Format)
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

// Write writes a trace in the format that Read accepts.
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
