// Command oxbowslip is the operators' command-line tool: it reads and changes the
// settings, shows the state of the fleet and explains decisions.
//
// The exit status is 0 on success, 1 if an operation failed or a change was not
// accepted, 2 if the arguments are invalid, and 3 if it is unknown whether a
// change was accepted. In the last case it is safe to repeat the change with the
// same change ID.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/version"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

type settingsCommand struct {
	Get     *getCommand     `arg:"subcommand:get" help:"print the tree in force"`
	Explain *effectCommand  `arg:"subcommand:explain" help:"show each effective value of a class and where it comes from"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"change the tree"`
	Diff    *checkCommand   `arg:"subcommand:diff" help:"print the patch from the tree in force to one in a file"`
	Watch   *getCommand     `arg:"subcommand:watch" help:"print what each new revision changes"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a tree in a file"`
	History *historyCommand `arg:"subcommand:history" help:"list the last changes"`
}

type getCommand struct{}

type statusCommand struct {
	Watch bool `arg:"--watch" help:"show it again every second"`
}

type effectCommand struct {
	Workspace string `arg:"positional,required" placeholder:"WORKSPACE"`
	Class     string `arg:"positional,required" placeholder:"CLASS"`
}

type applyCommand struct {
	Patch string   `arg:"positional,required" help:"a JSON merge patch (RFC 7396), as text or @FILE" placeholder:"PATCH"`
	Base  uint64   `arg:"--base" help:"the revision that the patch was made on (default: the one in force)"`
	ID    string   `arg:"--id" help:"the change's ID; give the same again to repeat a change safely"`
	Hosts []string `arg:"--hosts" help:"operators' addresses of all hosts, to wait until the change is in force on them" placeholder:"ADDR"`
}

type checkCommand struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

type historyCommand struct {
	Last int `arg:"--last" default:"10" help:"how many"`
}

type endpointCommand struct {
	List *getCommand   `arg:"subcommand:list" help:"list the endpoints with what their schedulers have learned"`
	In   *stateCommand `arg:"subcommand:in" help:"let an endpoint get work"`
	Out  *stateCommand `arg:"subcommand:out" help:"let an endpoint get no new work"`
}

type stateCommand struct {
	Name  string   `arg:"positional,required" placeholder:"ENDPOINT"`
	Hosts []string `arg:"--hosts" help:"operators' addresses of all hosts, to wait until the order is in force on them" placeholder:"ADDR"`
}

type explainCommand struct {
	ID string `arg:"positional,required" help:"the X-Request-Id of the answer" placeholder:"REQUEST-ID"`
}

type logsCommand struct {
	ID    string   `arg:"positional,required" help:"the request's ID" placeholder:"REQUEST-ID"`
	Files []string `arg:"positional" help:"saved logs of hosts (default: standard input)" placeholder:"FILE"`
}

type poisonCommand struct {
	List *getCommand  `arg:"subcommand:list" help:"list the requests that no host sends, because endpoints end when they run them"`
	Lift *liftCommand `arg:"subcommand:lift" help:"have all hosts send one again"`
}

type liftCommand struct {
	Key string `arg:"positional,required" help:"the request_key of its lines" placeholder:"KEY"`
}

type doctorCommand struct {
	Hosts []string `arg:"--hosts,required" help:"operators' addresses of all hosts" placeholder:"ADDR"`
}

type fleetCommand struct {
	Metrics []string      `arg:"--metrics,required" help:"addresses and paths of the metrics of all hosts" placeholder:"ADDR/PATH"`
	Over    time.Duration `arg:"--over" default:"5s" help:"the time over which rates are measured"`
}

type arguments struct {
	Logs     *logsCommand     `arg:"subcommand:logs" help:"show what saved logs say of a request"`
	Doctor   *doctorCommand   `arg:"subcommand:doctor" help:"ask all hosts and report what is wrong"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"show what hosts use and exchange, by role, and the ten worst"`
	Settings *settingsCommand `arg:"subcommand:settings" help:"read and change the settings"`
	Endpoint *endpointCommand `arg:"subcommand:endpoint" help:"list endpoints and order them in or out"`
	Poison   *poisonCommand   `arg:"subcommand:poison" help:"list the requests that end endpoints, and lift one"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show the state of a host"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"explain why a request ran where and when it did, waited or was refused"`
	Address  string           `arg:"--address,env:OXBOWSLIP_ADDRESS" default:"127.0.0.1:8180" help:"operators' address of a host" placeholder:"ADDR"`
	Key      string           `arg:"--key,env:OXBOWSLIP_KEY" help:"operator's key"`
	JSON     bool             `arg:"--json" help:"print JSON for scripts"`
}

// Description is shown by --help.
func (arguments) Description() string { return "Operates a fleet of oxbowslip routers." }

// Version is shown by --version.
func (arguments) Version() string { return "oxbowslip " + version.Version }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	run := selectCommand(&args)
	if run == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	tool := &tool{client: operator.NewClient(args.Address, args.Key), key: args.Key, json: args.JSON}
	os.Exit(exitCode(run(context.Background(), tool)))
}

// command runs a sub-command.
type command func(ctx context.Context, t *tool) error

func selectCommand(args *arguments) command {
	switch {
	case args.Status != nil:
		return func(ctx context.Context, t *tool) error {
			if args.Status.Watch {
				return repeatUntilDone(ctx, t.status)
			}
			return t.status(ctx)
		}
	case args.Explain != nil:
		return func(ctx context.Context, t *tool) error { return t.explain(ctx, args.Explain.ID) }
	case args.Logs != nil:
		return func(_ context.Context, t *tool) error { return t.logs(args.Logs.ID, args.Logs.Files) }
	case args.Doctor != nil:
		return func(ctx context.Context, t *tool) error { return t.doctor(ctx, args.Doctor.Hosts) }
	case args.Fleet != nil:
		return func(ctx context.Context, t *tool) error { return t.fleet(ctx, args.Fleet.Metrics, args.Fleet.Over) }
	case args.Settings != nil:
		return selectSettingsCommand(args.Settings)
	case args.Endpoint != nil:
		return selectEndpointCommand(args.Endpoint)
	case args.Poison != nil:
		return selectPoisonCommand(args.Poison)
	}
	return nil
}

func selectSettingsCommand(s *settingsCommand) command {
	switch {
	case s.Get != nil:
		return func(ctx context.Context, t *tool) error { return t.get(ctx) }
	case s.Explain != nil:
		return func(ctx context.Context, t *tool) error {
			return t.effective(ctx, s.Explain.Workspace, s.Explain.Class)
		}
	case s.Apply != nil:
		return func(ctx context.Context, t *tool) error { return t.apply(ctx, s.Apply) }
	case s.Diff != nil:
		return func(ctx context.Context, t *tool) error { return t.diff(ctx, s.Diff.File) }
	case s.Watch != nil:
		return func(ctx context.Context, t *tool) error { return t.watchSettings(ctx) }
	case s.Check != nil:
		return func(_ context.Context, t *tool) error { return t.check(s.Check.File) }
	case s.History != nil:
		return func(ctx context.Context, t *tool) error { return t.history(ctx, s.History.Last) }
	}
	return nil
}

func selectPoisonCommand(p *poisonCommand) command {
	switch {
	case p.List != nil:
		return func(ctx context.Context, t *tool) error { return t.poison(ctx) }
	case p.Lift != nil:
		return func(ctx context.Context, t *tool) error { return t.client.LiftPoison(ctx, p.Lift.Key) }
	}
	return nil
}

func selectEndpointCommand(e *endpointCommand) command {
	switch {
	case e.List != nil:
		return func(ctx context.Context, t *tool) error { return t.endpoints(ctx) }
	case e.In != nil:
		return func(ctx context.Context, t *tool) error { return t.setEndpointState(ctx, e.In, "in") }
	case e.Out != nil:
		return func(ctx context.Context, t *tool) error { return t.setEndpointState(ctx, e.Out, "out") }
	}
	return nil
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "oxbowslip:", err)
	var refused *operator.RefusedError
	if !errors.As(err, &refused) {
		return exitFailed
	}
	for _, fault := range refused.Answer.Faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", fault.Path, fault.Problem)
	}
	if other := refused.Answer.Other; other != nil {
		fmt.Fprintf(os.Stderr, "  revision %d by %s at %s changed %v too:\n  %s\n",
			other.Revision, other.Who, other.At.Format("2006-01-02 15:04:05"), refused.Answer.Paths, other.Patch)
	}
	if refused.Answer.Accepted == "unknown" {
		return exitUnknown
	}
	return exitFailed
}
