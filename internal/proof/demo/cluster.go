// Package demo runs the whole system in one process on loopback: the platform,
// engines and services as stand-ins, several daemons, and a load of both users'
// request classes whose answers are checked word by word.
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

// The keys of the demonstration. They open nothing else.
const (
	callerKeyPrefix = "demo-key-"
	OperatorKey     = "demo-operator-key"
	peerKey         = "demo-peer-key-0123456789"
)

// CallerKey is the key of a workspace of the demonstration.
func CallerKey(workspace string) string { return callerKeyPrefix + workspace }

// Config is what a cluster is made of.
type Config struct {
	Hosts int
	// Engines counts the engines of each model.
	Engines map[string]int
	Speed   emulator.Config
	// Callers and Operators are the addresses of the first host.
	Callers   string
	Operators string
	// Notice is how long a leaving host goes on accepting.
	Notice time.Duration
	// Poll is the mean time between two reads of the settings' head; 0 means
	// 200 ms.
	Poll time.Duration
	// PeerAddress returns the address that the platform's list shows for a host's
	// own; nil means the same.
	PeerAddress func(address string) string
	// CallerTimeout bounds how long a caller may take to read or to send; 0
	// means the daemon's own.
	CallerTimeout time.Duration
	Log           io.Writer
	// LogLevel is the daemons' level; empty means warn.
	LogLevel string
}

// DefaultConfig is the embedded default: three daemons, six engines.
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
	// Down is set if the host was killed or stopped.
	Down bool
}

// Cluster is the whole system in one process.
type Cluster struct {
	Config   Config
	Tree     *settings.Tree
	Platform *standin.Platform
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service

	mu       sync.Mutex
	hosts    []*Host
	next     int
	revision uint64
	client   *http.Client
	// outSince is when each endpoint was taken out of use, cut how many requests
	// planned stops did not let finish.
	outSince map[string]time.Time
	cut      int
}

// Models of the demonstration and the zones that its endpoints are spread over.
var zones = []string{"basin-a", "basin-b", "basin-c"}

// Start builds a cluster and waits until every host is ready.
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
	c.list()
	return c, c.waitReady(ctx)
}

// list puts the hosts that are up on the platform's list.
func (c *Cluster) list() {
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
	c.list()
	return c.waitReady(ctx)
}

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

// hostConfig returns the file of the host with an index from 0.
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

// How often readiness is looked at, and how long it may take.
const (
	readyPoll = 10 * time.Millisecond
	readyTime = 20 * time.Second
)

func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, host := range c.Hosts() {
		for !host.Down && !host.Daemon.Ready() {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return fmt.Errorf("a host is not ready: %s", host.Daemon.Problem())
			}
		}
	}
	return nil
}

// Hosts returns the daemons.
func (c *Cluster) Hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Host(nil), c.hosts...)
}

// NextReadyHost returns the next ready host, as the platform's balancer would.
func (c *Cluster) NextReadyHost() (*Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.hosts {
		c.next++
		host := c.hosts[c.next%len(c.hosts)]
		if !host.Down && host.Daemon.Ready() {
			return host, true
		}
	}
	return nil, false
}

// Kill ends a host as a crash would.
func (c *Cluster) Kill(host *Host) {
	c.mark(host)
	c.relist()
	host.Daemon.Kill()
}

// Drain stops a host as planned and reports how many requests were cut.
func (c *Cluster) Drain(ctx context.Context, host *Host) (int, error) {
	err := host.app.Stop(ctx)
	c.mark(host)
	c.relist()
	cut := host.Daemon.NumAborted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut += cut
	return cut, err
}

func (c *Cluster) mark(host *Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	host.Down = true
}

// relist brings the platform's list up to date after hosts went, late as the
// platform does.
func (c *Cluster) relist() { time.AfterFunc(listLag, c.list) }

// listLag is how late the platform's list shows that a host is gone.
const listLag = 3 * time.Second

// Close ends everything at once.
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
