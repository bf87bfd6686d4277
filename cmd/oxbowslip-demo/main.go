// Command oxbowslip-demo runs the whole system in one process on loopback, sends it a mixed load and checks the
// invariants.
//
// It exits with 0 if every invariant held, with 1 if one was violated or the run failed, and with 2 if its
// arguments are invalid.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/proof/demo"
	"oxbowslip.dev/oxbowslip/internal/version"
)

type arguments struct {
	Seconds   int      `arg:"--seconds" default:"10" help:"how long to send requests"`
	Seed      uint64   `arg:"--seed" default:"1" help:"makes the load's requests"`
	Faults    []string `arg:"--fault,separate" help:"inject a fault; may be given several times" placeholder:"NAME"`
	JSON      string   `arg:"--json" help:"also write the report as JSON" placeholder:"FILE"`
	Serve     bool     `arg:"--serve" help:"send no load; print the addresses and run until interrupted"`
	Callers   string   `arg:"--callers" default:"127.0.0.1:0" help:"the first host's address for callers" placeholder:"ADDR"`
	Operators string   `arg:"--operators" default:"127.0.0.1:0" help:"the first host's address for operators" placeholder:"ADDR"`
	Log       string   `arg:"--log" default:"error" help:"the daemons' log level, written to standard error" placeholder:"LEVEL"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Runs platform, engines, services and three daemons in one process, sends a mixed load and checks every answer."
}

// Version is shown by --version.
func (arguments) Version() string { return "oxbowslip-demo " + version.Version }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var faults []demo.Fault
	for _, name := range args.Faults {
		fault, err := demo.ParseFault(name)
		if err != nil {
			parser.Fail(err.Error())
		}
		faults = append(faults, fault)
	}
	if args.Seconds < 1 {
		parser.Fail("--seconds must be at least 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ok, err := run(ctx, args, faults)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslip-demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run starts a cluster and sends it the load, or serves until ctx ends. It returns whether every invariant held.
func run(ctx context.Context, args arguments, faults []demo.Fault) (bool, error) {
	config := demo.DefaultConfig
	config.Callers, config.Operators = args.Callers, args.Operators
	config.Log, config.LogLevel = os.Stderr, args.Log
	cluster, err := demo.Start(ctx, config)
	if err != nil {
		return false, err
	}
	defer cluster.Close()
	if args.Serve {
		demo.PrintAddresses(os.Stdout, cluster)
		<-ctx.Done()
		return true, nil
	}
	report, err := demo.Run(ctx, cluster, demo.Plan{Seconds: args.Seconds, Seed: args.Seed, Faults: faults, Progress: os.Stderr})
	if err != nil {
		return false, err
	}
	report.Print(os.Stdout)
	if args.JSON != "" {
		err = writeJSON(args.JSON, report)
	}
	return len(report.Violations) == 0, err
}

func writeJSON(path string, report *demo.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := json.MarshalWrite(file, report, json.Deterministic(true), jsontext.WithIndent("  ")); err != nil {
		return err
	}
	_, err = io.WriteString(file, "\n")
	return err
}
