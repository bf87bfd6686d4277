// Command oxbowslip-replay replays traces through the scheduler and baseline policies in virtual time, generates
// traces from descriptions, and makes traces of the requests recorded by a running host.
//
// It exits with 0 on success, with 1 if an invariant was violated, a stated outcome was missed or a host could
// not be read, and with 2 if its arguments or a file are invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/proof/replay"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
	"oxbowslip.dev/oxbowslip/internal/version"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type runCommand struct {
	Files    []string `arg:"positional,required" help:"traces (JSON Lines, .jsonl) or descriptions (.json)" placeholder:"FILE"`
	Policies []string `arg:"--policy,separate" help:"a policy to run; may be given several times; 'all' means every one (default: current)" placeholder:"NAME"`
	Summary  bool     `arg:"--summary" help:"one line a run"`
	JSON     string   `arg:"--json" help:"write the results as JSON" placeholder:"FILE"`
}

type generateCommand struct {
	Description string `arg:"positional,required" help:"what to generate (JSON)" placeholder:"DESCRIPTION"`
	Out         string `arg:"--out,required" help:"the trace to write" placeholder:"FILE"`
}

type recordCommand struct {
	From    string `arg:"--from,required" help:"operators' address of a host" placeholder:"ADDR"`
	Key     string `arg:"--key,env:OXBOWSLIP_KEY" help:"operator's key"`
	Seconds int    `arg:"--seconds" default:"60" help:"how far back"`
	Out     string `arg:"--out,required" help:"the trace to write" placeholder:"FILE"`
}

type arguments struct {
	Run      *runCommand      `arg:"subcommand:run" help:"replay traces"`
	Record   *recordCommand   `arg:"subcommand:record" help:"write a trace of a running host's last requests, without contents"`
	Generate *generateCommand `arg:"subcommand:generate" help:"write a trace from a seeded description"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Replays traces through the scheduler in virtual time, beside baselines."
}

// Version is shown by --version.
func (arguments) Version() string { return "oxbowslip-replay " + version.Version }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var code int
	var err error
	switch {
	case args.Run != nil:
		code, err = run(args.Run)
	case args.Record != nil:
		code, err = recordTrace(args.Record)
	case args.Generate != nil:
		code, err = generate(args.Generate)
	default:
		parser.Fail("name a command: run, generate or record")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslip-replay:", err)
	}
	os.Exit(code)
}

// run replays the traces under the policies and prints the results. Only the results of the current policy decide
// the exit code.
func run(command *runCommand) (int, error) {
	policies := command.Policies
	if len(policies) == 0 {
		policies = []string{replay.Current}
	}
	if len(policies) == 1 && policies[0] == "all" {
		policies = replay.Policies
	}
	var all []*replay.Result
	code := 0
	for _, path := range command.Files {
		trace, err := readTrace(path)
		if err != nil {
			return exitUsage, fmt.Errorf("%s: %w", path, err)
		}
		var results []*replay.Result
		for _, policy := range policies {
			result, err := replay.Run(trace, policy)
			if err != nil {
				return exitUsage, err
			}
			if policy == replay.Current && !result.OK() {
				code = exitFailed
			}
			results = append(results, result)
		}
		if !command.Summary {
			replay.Print(os.Stdout, results)
		}
		all = append(all, results...)
	}
	if command.Summary {
		replay.PrintSummary(os.Stdout, all)
	}
	if command.JSON != "" {
		return code, writeJSON(command.JSON, all)
	}
	return code, nil
}

// readTrace reads a trace, or generates one if the file is a description.
func readTrace(path string) (*replay.Trace, error) {
	if filepath.Ext(path) == ".json" {
		return generateTrace(path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return replay.Read(file)
}

func writeJSON(path string, results []*replay.Result) error {
	data, err := json.Marshal(results, strictjson.DurationMarshaler, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func generate(command *generateCommand) (int, error) {
	trace, err := generateTrace(command.Description)
	if err != nil {
		return exitUsage, err
	}
	return writeTrace(command.Out, trace)
}

func generateTrace(path string) (*replay.Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	description, err := replay.ReadDescription(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return replay.Generate(description)
}

func writeTrace(path string, trace *replay.Trace) (int, error) {
	file, err := os.Create(path)
	if err != nil {
		return exitUsage, err
	}
	defer file.Close()
	if err := replay.Write(file, trace); err != nil {
		return exitUsage, err
	}
	return 0, file.Close()
}

// recordTrace writes a trace of the requests that a host recorded, with the settings in force there.
func recordTrace(command *recordCommand) (int, error) {
	ctx := context.Background()
	client := operator.NewClient(command.From, command.Key)
	answer, err := client.Settings(ctx)
	if err != nil {
		return exitFailed, err
	}
	tree, err := settings.Decode("the host's settings", answer.Tree)
	if err != nil {
		return exitFailed, err
	}
	entries, err := client.Recorded(ctx, time.Now().Add(-time.Duration(command.Seconds)*time.Second))
	if err != nil {
		return exitFailed, err
	}
	if len(entries) == 0 {
		return exitFailed, fmt.Errorf("%s has recorded no request in the last %d s", command.From, command.Seconds)
	}
	return writeTrace(command.Out, replay.FromRecordedRequests("recorded", tree, entries))
}
