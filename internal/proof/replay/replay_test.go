package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const traceDir = "../../../traces"

func readTrace(c *qt.C, path string) *Trace {
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	trace, err := Read(file)
	c.Assert(err, qt.IsNil)
	return trace
}

// generateTrace generates the trace of a description and writes it. It returns the trace as read back
// and the written text.
func generateTrace(c *qt.C, path string) (trace *Trace, text []byte) {
	data, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	description, err := ReadDescription(data)
	c.Assert(err, qt.IsNil)
	made, err := Generate(description)
	c.Assert(err, qt.IsNil)
	var buffer bytes.Buffer
	c.Assert(Write(&buffer, made), qt.IsNil)
	text = bytes.Clone(buffer.Bytes())
	trace, err = Read(&buffer)
	c.Assert(err, qt.IsNil)
	return trace, text
}

func descriptionPaths(c *qt.C) []string {
	paths, err := filepath.Glob(filepath.Join(traceDir, "*.json"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(paths) >= 11, qt.IsTrue)
	return paths
}

// TestTraces replays the trace of every description: all invariants hold, all stated outcomes are
// reached, and attainment is higher than under each baseline.
func TestTraces(t *testing.T) {
	for _, path := range descriptionPaths(qt.New(t)) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			trace, _ := generateTrace(c, path)
			result, err := Run(trace, Current)
			c.Assert(err, qt.IsNil)
			c.Check(result.Violations, qt.HasLen, 0, qt.Commentf("%v", result.Violations))
			c.Check(result.Missed, qt.HasLen, 0, qt.Commentf("%v", result.Missed))
			for _, baseline := range []string{LeastConnections, TwoChoices, LeastReported} {
				other, err := Run(trace, baseline)
				c.Assert(err, qt.IsNil)
				c.Check(result.Attainment > other.Attainment, qt.IsTrue, qt.Commentf("%s: %f against %f", baseline, result.Attainment, other.Attainment))
			}
		})
	}
}

// TestReplayIsDeterministic checks that two replays of a trace give equal results.
func TestReplayIsDeterministic(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(traceDir, "engines-crash-in-turn.jsonl")
	first, err := Run(readTrace(c, path), Current)
	c.Assert(err, qt.IsNil)
	second, err := Run(readTrace(c, path), Current)
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.DeepEquals, first)
}

// TestCommittedTracesMatchDescriptions checks that the traces committed as examples of the format are
// those that their descriptions generate. Run `make traces` after a change of the generator.
func TestCommittedTracesMatchDescriptions(t *testing.T) {
	for _, name := range []string{"engine-slow", "engines-crash-in-turn"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, text := generateTrace(c, filepath.Join(traceDir, name+".json"))
			committed, err := os.ReadFile(filepath.Join(traceDir, name+".jsonl"))
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(text, committed), qt.IsTrue, qt.Commentf("make traces"))
		})
	}
}

// TestTraceFromRecordedRequests makes a trace of recorded requests, reads it back and replays it.
// The trace must not contain the keys of the settings.
func TestTraceFromRecordedRequests(t *testing.T) {
	c := qt.New(t)
	tree := &readTrace(c, filepath.Join(traceDir, "engine-slow.jsonl")).Header.Settings
	tree.Workspaces["heron"] = settings.Workspace{Keys: []settings.Key{{Name: "k", SHA256: settings.HashKey("secret")}}}
	at := epoch.Add(time.Hour)
	trace := FromRecordedRequests("recorded", tree, []record.Entry{
		{Arrived: at.Add(2 * time.Second), Class: "itinerary", Workspace: "heron", Model: "voyage", Prompt: 900, Answer: 200},
		{Arrived: at, Class: "skipper-question", Workspace: "heron", Model: "voyage", Prompt: 50},
	})
	var text bytes.Buffer
	c.Assert(Write(&text, trace), qt.IsNil)
	c.Assert(text.String(), qt.Not(qt.Contains), settings.HashKey("secret"))
	again, err := Read(&text)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Events, qt.DeepEquals, []Event{
		{Class: "skipper-question", Workspace: "heron", Model: "voyage", Prompt: 50, Answer: 1},
		{AtMillis: 2000, Class: "itinerary", Workspace: "heron", Model: "voyage", Prompt: 900, Answer: 200},
	})
	result, err := Run(again, Current)
	c.Assert(err, qt.IsNil)
	c.Assert(result.OK(), qt.IsTrue)
}

// TestRandomTraces replays random short traces with faults, several classes and tight limits, and checks
// the invariants at every event.
func TestRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDescription(t)
		trace, err := Generate(d)
		if err != nil {
			t.Fatalf("generate: %v", err)
		}
		result, err := Run(trace, Current)
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		for _, v := range result.Violations {
			// Ten seconds with faults are too short to guarantee that every class is served.
			// TestTraces checks that on longer traces.
			if v.Invariant != EveryClassServed {
				t.Fatalf("%s at %s: %s", v.Invariant, v.At, v.Detail)
			}
		}
	})
}

func drawDescription(t *rapid.T) *Description {
	engines := rapid.IntRange(1, 4).Draw(t, "engines")
	d := &Description{Name: "drawn", Seed: rapid.Uint64().Draw(t, "seed"), Seconds: 10, EngineCounts: map[string]int{"m": engines}}
	d.Settings.Root.Classes = make(map[string]settings.Class)
	d.Settings.Workspaces = map[string]settings.Workspace{"a": {}, "b": {}}
	room := rapid.SampledFrom([]int{0, 3, 20}).Draw(t, "room")
	d.Settings.Models = map[string]settings.Model{"m": {MaxWaiting: room}}
	d.Callers = make(map[string]Caller)
	for _, class := range []string{"c0", "c1", "c2", "c3"} {
		d.Settings.Root.Classes[class] = settings.Class{Values: drawValues(t)}
		d.Sources = append(d.Sources, Source{
			Class: class, Workspaces: []string{"a", "b"}, Model: "m", Rate: float64(rapid.IntRange(1, 12).Draw(t, "rate")),
			Prompt: rapid.IntRange(10, 3000).Draw(t, "prompt"), PromptSigma: 0.8,
			Answer: rapid.IntRange(1, 200).Draw(t, "answer"), AnswerSigma: 0.8,
			Outside: rapid.IntRange(0, 9).Draw(t, "outside") == 0,
		})
		d.Callers[class] = Caller{PatienceMillis: rapid.SampledFrom([]int{0, 300, 3000}).Draw(t, "patience"), Retries: rapid.IntRange(0, 2).Draw(t, "retries")}
	}
	kinds := []FaultKind{FaultCrash, FaultRecover, FaultSlow, FaultStall, FaultOut, FaultIn}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		d.Faults = append(d.Faults, Event{
			AtMillis: rapid.IntRange(0, 9000).Draw(t, "at"), Fault: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Endpoint: "m-0" + string(rune('0'+rapid.IntRange(1, engines).Draw(t, "engine"))), Factor: 5,
		})
	}
	return d
}

func drawValues(t *rapid.T) settings.Values {
	tier := rapid.IntRange(0, 3).Draw(t, "tier")
	repeatable := rapid.Bool().Draw(t, "repeatable")
	late := rapid.SampledFrom([]settings.LatePolicy{settings.LateServe, settings.LateRefuse}).Draw(t, "late")
	inFlight := rapid.IntRange(1, 20).Draw(t, "in flight")
	waiting := rapid.IntRange(1, 30).Draw(t, "waiting")
	perMinute := rapid.IntRange(200, 50_000).Draw(t, "tokens")
	share := rapid.Float64Range(0, 0.12).Draw(t, "share")
	return settings.Values{
		Tier: &tier, Repeatable: &repeatable, WhenLate: &late, MaxInFlight: &inFlight, MaxWaiting: &waiting,
		TokensPerMinute: &perMinute, Share: &share,
	}
}
