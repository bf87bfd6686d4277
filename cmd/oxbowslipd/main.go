// Command oxbowslipd is the daemon of the router; one instance runs on each host.
//
// The exit status is 0 after a graceful stop, 1 if the daemon could not start or
// aborted requests during the stop, and 2 if its configuration or arguments are
// invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"oxbowslip.dev/oxbowslip/internal/daemon"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/version"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Settings string `arg:"required" help:"the host's settings file (JSON)" placeholder:"FILE"`
	Check    bool   `help:"check the file and exit"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "The daemon of oxbowslip, a router for language-model traffic. It stops as planned on SIGTERM or SIGINT; a second signal cuts what is in flight."
}

// Version is shown by --version.
func (arguments) Version() string { return "oxbowslipd " + version.Version }

func main() {
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args))
}

func run(args arguments) int {
	config, err := hostconfig.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslipd:", err)
		return exitUsage
	}
	if args.Check {
		fmt.Println(args.Settings + " is well formed")
		return 0
	}
	log, err := logging.New(os.Stderr, config.Log.Level, config.Log.Format)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslipd:", err)
		return exitUsage
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, app, err := daemon.Launch(context.Background(), config, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslipd:", err)
		return exitFailed
	}
	<-signals
	go func() {
		<-signals
		d.AbortDrain()
	}()
	if err := app.Stop(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslipd:", err)
		return exitFailed
	}
	if d.NumAborted() > 0 {
		return exitFailed
	}
	return 0
}
