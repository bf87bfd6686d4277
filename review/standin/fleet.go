package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oxbowslip.dev/oxbowslip/platform/proof/standin"
)

// frontProgram is the program that the deploy file's command starts, relative to the root of the repository.
const frontProgram = "target/oxbowslip-front"

// The bounds of a small deployment that the settings of a host need.
const (
	graceS      = 8
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = "10s"
	memoryMB    = 284
	// readyTimeout is how long the fronts may take until they are ready.
	readyTimeout = 20 * time.Second
)

// front is a process of oxbowslip-front.
type front struct {
	name      string
	callers   string
	readiness string
	metrics   string
	operators string
	peers     string
	boot      string
	log       *os.File
	cmd       *exec.Cmd
	exited    chan struct{}
}

// fleet is a store with some servers and fronts. All of them end with close.
type fleet struct {
	folder  string
	store   *standin.Store
	servers []*standin.Server
	fronts  []*front

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// newFleet returns a fleet with an empty store, which writes its record to a file.
func newFleet(recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &fleet{folder: folder, store: standin.NewStore(), record: record, start: time.Now()}, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The record is for people; the result does not depend on it.
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, values...))
}

// addServer starts a server with a number of slots and writes its entry.
func (f *fleet) addServer(id, service string, slots int, behaviour standin.Behaviour) (*standin.Server, error) {
	s, err := standin.NewServer(id, service, behaviour)
	if err != nil {
		return nil, err
	}
	s.Slots = slots
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.store.Put("servers", id, s.Entry("ready"))
	f.note("server %s of %s listens and writes its entry", id, service)
	return s, nil
}

// configure writes a configuration.
func (f *fleet) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	f.store.Put("op", "config", data)
	f.note("configuration version %v is acknowledged", config["Version"])
	return nil
}

// freePorts returns addresses on loopback with different ports that were free a moment ago.
func freePorts(number int) ([]string, error) {
	var addresses []string
	for range number {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All listeners stay open until each address is known, so that no port comes twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// addFronts starts a number of fronts, which know each other as first peers.
func (f *fleet) addFronts(number int) error {
	const portsOfFront = 5
	ports, err := freePorts(number * portsOfFront)
	if err != nil {
		return err
	}
	var peers []string
	for i := range number {
		p := ports[i*portsOfFront : (i+1)*portsOfFront]
		x := &front{name: fmt.Sprintf("front-zone-a-%d", i+1), callers: p[0], readiness: p[1], metrics: p[2], operators: p[3], peers: p[4]}
		peers = append(peers, x.peers)
		f.fronts = append(f.fronts, x)
	}
	for _, x := range f.fronts {
		if err := f.writeBoot(x, peers); err != nil {
			return err
		}
		if err := f.startFront(x); err != nil {
			return err
		}
	}
	return nil
}

// writeBoot writes the settings of a front as deploy/host.json.tmpl lays them out.
func (f *fleet) writeBoot(x *front, peers []string) error {
	boot := map[string]any{
		"name": x.name, "region": "region-a", "zone": "zone-a", "callers": x.callers, "readiness": x.readiness, "peers": x.peers,
		"metrics": x.metrics, "operators": x.operators, "first_peers": peers, "platform": map[string]any{"address": f.store.Address()},
		"memory_mb": memoryMB, "link_mbps": 1000,
		"retries":  map[string]any{"ratio": retryRatio, "slack": retrySlack, "window": retryWindow},
		"overload": map[string]any{"slots": true, "pace": true, "finish": true, "shares": true},
		"drain":    map[string]any{"notice": "2300ms", "grace": fmt.Sprintf("%ds", graceS)},
		"log":      map[string]any{"level": "info", "format": "json"},
	}
	data, err := json.MarshalIndent(boot, "", "  ")
	if err != nil {
		return err
	}
	x.boot = filepath.Join(f.folder, x.name+".json")
	return os.WriteFile(x.boot, data, 0o600)
}

// startFront starts the process of a front.
func (f *fleet) startFront(x *front) error {
	log, err := os.OpenFile(filepath.Join(f.folder, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.log = log
	x.cmd = exec.Command(frontProgram)
	x.cmd.Env = append(os.Environ(), "OXBOWSLIP_BOOT="+x.boot)
	x.cmd.Stdout, x.cmd.Stderr = log, log
	if err := x.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	x.exited = exited
	go func(cmd *exec.Cmd) {
		// The exit code of a process that was killed says nothing.
		_ = cmd.Wait()
		close(exited)
	}(x.cmd)
	f.note("%s starts", x.name)
	return nil
}

// signal sends a signal to a front.
func (f *fleet) signal(x *front, signal syscall.Signal) error {
	f.note("%s gets %v", x.name, signal)
	return x.cmd.Process.Signal(signal)
}

// isReady reports whether a front calls itself ready.
func (x *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + x.readiness + "/oxbowslip/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, x := range f.fronts {
		for !x.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", x.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.note("all %d fronts are ready", len(f.fronts))
	return nil
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (f *fleet) close() {
	for _, x := range f.fronts {
		if x.cmd == nil || x.cmd.Process == nil {
			continue
		}
		// A process that has ended already can't be killed.
		_ = x.cmd.Process.Signal(syscall.SIGCONT)
		_ = x.cmd.Process.Kill()
		<-x.exited
		x.log.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.store.Close()
	f.record.Close()
	// A folder that is left over does no harm.
	_ = os.RemoveAll(f.folder)
}
