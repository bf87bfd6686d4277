// Command oxbowslip-standin serves a stand-in for a system with which the router works: a model engine, a plain
// service or the platform.
//
// It exits with 0 when interrupted, with 1 if the stand-in can't be started, and with 2 if its arguments are
// invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/version"
)

type engineCommand struct {
	Listen string `arg:"--listen,required" help:"address" placeholder:"ADDR"`
	Model  string `arg:"--model,required" help:"the model that it serves"`
}

type serviceCommand struct {
	Listen string `arg:"--listen,required" help:"address" placeholder:"ADDR"`
}

type platformCommand struct {
	Listen   string        `arg:"--listen,required" help:"address" placeholder:"ADDR"`
	Settings string        `arg:"--settings" help:"settings tree to hold as revision 1" placeholder:"FILE"`
	HostLag  time.Duration `arg:"--host-lag" default:"5s" help:"age of the list of hosts"`
	Hosts    []string      `arg:"--host,separate" help:"a live host for the list; may be given several times" placeholder:"NAME=PEERS-ADDR=ZONE"`
}

type arguments struct {
	Engine   *engineCommand   `arg:"subcommand:engine" help:"a model engine that batches continuously"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"a plain service that counts executions"`
	Platform *platformCommand `arg:"subcommand:platform" help:"table, objects and list of hosts"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Stand-ins for engines, services and the platform. Faults are set with POST /standin/faults."
}

// Version is shown by --version.
func (arguments) Version() string { return "oxbowslip-standin " + version.Version }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Engine != nil:
		err = startEngine(args.Engine)
	case args.Service != nil:
		err = standin.NewService().Start(args.Service.Listen)
	case args.Platform != nil:
		err = startPlatform(args.Platform)
	default:
		parser.Fail("name a stand-in: engine, service or platform")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "oxbowslip-standin:", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func startEngine(command *engineCommand) error {
	return standin.NewEngine(standin.EngineConfig{
		Name: command.Listen, Model: command.Model, CanContinue: true,
	}).Start(command.Listen)
}

func startPlatform(command *platformCommand) error {
	p := standin.NewPlatform(standin.PlatformConfig{HostLag: command.HostLag})
	if command.Settings != "" {
		data, err := os.ReadFile(command.Settings)
		if err != nil {
			return err
		}
		tree, err := settings.Decode(command.Settings, data)
		if err != nil {
			return err
		}
		if err := p.Seed(tree); err != nil {
			return err
		}
	}
	hosts, err := parseHosts(command.Hosts)
	if err != nil {
		return err
	}
	p.SetHosts(hosts)
	return p.Start(command.Listen)
}

// hostFields is the number of fields in a --host argument.
const hostFields = 3

// parseHosts parses --host arguments of the form NAME=PEERS-ADDR=ZONE.
func parseHosts(list []string) ([]tableclient.Host, error) {
	var hosts []tableclient.Host
	for _, text := range list {
		fields := strings.Split(text, "=")
		if len(fields) != hostFields {
			return nil, fmt.Errorf("--host %q: expected NAME=PEERS-ADDR=ZONE", text)
		}
		hosts = append(hosts, tableclient.Host{Name: fields[0], Peers: fields[1], Zone: fields[2], State: tableclient.HostLive})
	}
	return hosts, nil
}
