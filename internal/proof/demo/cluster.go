// Package demo runs the whole system in one process on loopback: several daemons, and stand-ins for the
// platform, the engines and the services. It sends a mixed load of chat requests and service calls from
// several workspaces, injects faults and checks the invariants, including the full text of every answer.
package demo

import (
	"cmp"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"oxbowslip.dev/oxbowslip/internal/daemon"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/hostconfig"
	"oxbowslip.dev/oxbowslip/internal/logging"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

//go:embed tree.json
var treeText []byte

// The keys of the demonstration. They are valid only in its own cluster.
const (
	callerKeyPrefix = "demo-key-"
	OperatorKey     = "demo-operator-key"
	peerKey         = "demo-peer-key-0123456789"
)

// CallerKey returns the key of a workspace of the demonstration.
func CallerKey(workspace string) string { return callerKeyPrefix + workspace }

// Config configures a cluster.
type Config struct {
	Hosts int
	// Engines is the number of engines of each model, Speed their performance model.
	Engines map[string]int
	Speed   emulator.Config
	// Callers and Operators are the addresses on which the first host listens for callers and operators.
	Callers   string
	Operators string
	// Notice is the time for which a leaving host continues to accept requests.
	Notice time.Duration
	// Poll is the mean interval between two reads of the settings' head; 0 means 200 ms.
	Poll time.Duration
	// PeerAddress maps a host's address for peers to the one in the platform's list of hosts; nil means that
	// they are equal.
	PeerAddress func(address string) string
	// CallerTimeout is the hosts' read and write timeout for callers; 0 means the daemon's default.
	CallerTimeout time.Duration
	Log           io.Writer
	// LogLevel is the daemons' log level; empty means warn.
	LogLevel string
}

// DefaultConfig is a cluster of three daemons and six engines.
var DefaultConfig = Config{
	Hosts:     3,
	Engines:   map[string]int{"voyage": 4, "triage": 2},
	Speed:     emulator.DefaultConfig,
	Callers:   "127.0.0.1:0",
	Operators: "127.0.0.1:0",
	Notice:    500 * time.Millisecond,
	Log:       io.Discard,
}

// Host is one daemon of the cluster.
type Host struct {
	Name   string
	Zone   string
	Daemon *daemon.Daemon
	app    *fx.App
	// Down is set once the host was killed or stopped.
	Down bool
}

// Cluster is a running cluster with its stand-ins.
type Cluster struct {
	Config   Config
	Tree     *settings.Tree
	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service

	mu       sync.Mutex
	hosts    []*Host
	nextHost int
	revision uint64
	client   *http.Client
	// outSince is the time at which each endpoint was taken out of use, abortedRequests the number of requests
	// that graceful stops aborted.
	outSince        map[string]time.Time
	abortedRequests int
}

// zones are the zones over which hosts and endpoints are spread.
var zones = []string{"basin-a", "basin-b", "basin-c"}

// Start starts a cluster and waits until every host is ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	tree, err := settings.Decode("tree.json", treeText)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Config: config, Tree: tree, Platform: standin.NewPlatform(standin.PlatformConfig{}),
		Engines: make(map[string]*standin.Engine), Services: make(map[string]*standin.Service),
		revision: 1, client: &http.Client{Timeout: time.Second}, outSince: make(map[string]time.Time),
	}
	if err := c.startEndpoints(); err != nil {
		return nil, err
	}
	for name, workspace := range tree.Workspaces {
		workspace.Keys = []settings.Key{{Name: "demo", SHA256: settings.HashKey(CallerKey(name))}}
		tree.Workspaces[name] = workspace
	}
	if err := c.Platform.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err := c.Platform.Seed(tree); err != nil {
		return nil, err
	}
	for i := range config.Hosts {
		if err := c.startHost(ctx, i); err != nil {
			return nil, err
		}
	}
	c.publishHosts()
	return c, c.waitReady(ctx)
}

// publishHosts sets the platform's list of hosts to those that are up.
func (c *Cluster) publishHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []tableclient.Host
	for _, host := range c.hosts {
		if !host.Down {
			address := host.Daemon.PeersAddress()
			if c.Config.PeerAddress != nil {
				address = c.Config.PeerAddress(address)
			}
			hosts = append(hosts, tableclient.Host{Name: host.Name, Peers: address, Zone: host.Zone, State: tableclient.HostLive})
		}
	}
	c.Platform.SetHosts(hosts)
}

// startEndpoints starts the engines and services and adds them to the settings.
func (c *Cluster) startEndpoints() error {
	c.Tree.Endpoints = make(map[string]settings.Endpoint)
	for model, count := range c.Config.Engines {
		for i := range count {
			name := fmt.Sprintf("%s-%d", model, i+1)
			engine := standin.NewEngine(standin.EngineConfig{Name: name, Model: model, Speed: c.Config.Speed, CanContinue: true})
			if err := engine.Start("127.0.0.1:0"); err != nil {
				return err
			}
			c.Engines[name] = engine
			c.Tree.Endpoints[name] = settings.Endpoint{
				Address: engine.Address(), Zone: zones[i%len(zones)], Model: model,
				Continues: true, CacheTokens: c.Config.Speed.CacheTokens,
			}
		}
	}
	for name := range c.Tree.Services {
		service := standin.NewService()
		if err := service.Start("127.0.0.1:0"); err != nil {
			return err
		}
		c.Services[name] = service
		c.Tree.Endpoints[name+"-1"] = settings.Endpoint{Address: service.Address(), Zone: zones[0], Service: name}
	}
	return nil
}

// AddHost starts one more host and waits until it is ready.
func (c *Cluster) AddHost(ctx context.Context) error {
	if err := c.startHost(ctx, len(c.Hosts())); err != nil {
		return err
	}
	c.publishHosts()
	return c.waitReady(ctx)
}

// startHost starts the host with an index from 0 and adds it to the cluster.
func (c *Cluster) startHost(ctx context.Context, i int) error {
	config := c.hostConfig(i)
	log, err := logging.New(c.Config.Log, cmp.Or(c.Config.LogLevel, "warn"), "text")
	if err != nil {
		return err
	}
	d, app, err := daemon.Launch(ctx, config, log)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, &Host{Name: config.Name, Zone: config.Zone, Daemon: d, app: app})
	return nil
}

// hostConfig returns the configuration of the host with an index from 0.
func (c *Cluster) hostConfig(i int) hostconfig.Host {
	config := hostconfig.Host{
		Name:      fmt.Sprintf("host-%d", i+1),
		Zone:      zones[i%len(zones)],
		Callers:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Peers:     "127.0.0.1:0",
		PeerKey:   peerKey,
		Platform:  hostconfig.Platform{Address: c.Platform.Address(), Poll: cmp.Or(c.Config.Poll, 200*time.Millisecond)},
		OperatorKeys: []hostconfig.OperatorKey{
			{Name: "demo", SHA256: settings.HashKey(OperatorKey), Role: hostconfig.RoleChange},
		},
		Drain:        hostconfig.Drain{Notice: c.Config.Notice, Limit: time.Minute},
		ReadTimeout:  c.Config.CallerTimeout,
		WriteTimeout: c.Config.CallerTimeout,
	}.WithDefaults()
	for _, host := range c.Hosts() {
		if !host.Down {
			config.FirstPeers = append(config.FirstPeers, host.Daemon.PeersAddress())
		}
	}
	if i == 0 {
		config.Callers, config.Operators = c.Config.Callers, c.Config.Operators
	}
	return config
}

// The interval between checks of a host's readiness, and the time within which all hosts must be ready.
const (
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// waitReady waits until every host that is up is ready.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range c.Hosts() {
		for !host.Down && !host.Daemon.Ready() {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return fmt.Errorf("a host is not ready: %s", host.Daemon.Problem())
			}
		}
	}
	return nil
}

// Hosts returns all hosts, including those that are down.
func (c *Cluster) Hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Host(nil), c.hosts...)
}

// NextReadyHost returns the ready hosts in turn, as the platform's load balancer would.
func (c *Cluster) NextReadyHost() (*Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.hosts {
		c.nextHost++
		host := c.hosts[c.nextHost%len(c.hosts)]
		if !host.Down && host.Daemon.Ready() {
			return host, true
		}
	}
	return nil, false
}

// Kill stops a host without a drain, as a crash would.
func (c *Cluster) Kill(host *Host) {
	c.markDown(host)
	c.schedulePublish()
	host.Daemon.Kill()
}

// Drain stops a host gracefully and returns the number of requests that it aborted.
func (c *Cluster) Drain(ctx context.Context, host *Host) (int, error) {
	err := host.app.Stop(ctx)
	c.markDown(host)
	c.schedulePublish()
	aborted := host.Daemon.NumAborted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortedRequests += aborted
	return aborted, err
}

func (c *Cluster) markDown(host *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	host.Down = true
}

// schedulePublish updates the platform's list of hosts after hostListDelay, because the real list is late too.
func (c *Cluster) schedulePublish() { time.AfterFunc(hostListDelay, c.publishHosts) }

// hostListDelay is the time until the platform's list no longer shows a host that is down.
const hostListDelay = 3 * time.Second

// Close stops all hosts and stand-ins without a drain.
func (c *Cluster) Close() {
	for _, host := range c.Hosts() {
		if !host.Down {
			c.Kill(host)
		}
	}
	for _, engine := range c.Engines {
		engine.Crash()
	}
	for _, service := range c.Services {
		service.Close()
	}
	c.Platform.Close()
}
