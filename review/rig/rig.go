package main

import (
	"bytes"
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

// rig is one run of a case: the store, the hosts and the record.
type rig struct {
	// front is the program of the hosts, trouble is false for a run without the disruption.
	front   string
	trouble bool
	folder  string
	started time.Time
	store   *standin.Store

	mu     sync.Mutex
	record *os.File
	hosts  []*host
}

func newRig() (*rig, error) {
	r := &rig{front: os.Getenv("FRONT"), trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: standin.NewStore()}
	var err error
	if r.folder, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, err
	}
	r.record, err = os.Create(os.Getenv("RECORD"))
	return r, err
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	r.store.Close()
	os.RemoveAll(r.folder)
	r.record.Close()
}

// log writes a line with the time since the start to the record.
func (r *rig) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written does not change the result.
	_, _ = r.record.WriteString(line)
}

// note writes a line to the record and to the output.
func (r *rig) note(format string, args ...any) {
	r.log(format, args...)
	fmt.Println(fmt.Sprintf(format, args...))
}

// put writes a row of the operator or of a server.
func (r *rig) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r.store.Put(table, key, data)
	return nil
}

// putServer writes the entry of a server.
func (r *rig) putServer(id, service, address, zone string, slots int) error {
	return r.put("servers", id, map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
	})
}

// deployment holds the figures of the sheet that the settings of a host need.
type deployment struct {
	memoryMB int
	slack    float64
}

// host is one process of the daemon.
type host struct {
	name, callers, readiness, peers, metrics string
	process                                  *exec.Cmd
	ended                                    chan struct{}
	output                                   bytes.Buffer
}

// startHost starts a host with the settings of deploy/host.json.tmpl and waits until it is ready.
func (r *rig) startHost(name, zone string, d deployment, firstPeers []string) (*host, error) {
	var ports [5]string
	for i := range ports {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		ports[i] = address
	}
	h := &host{name: name, callers: ports[0], readiness: ports[1], peers: ports[2], metrics: ports[4], ended: make(chan struct{})}
	settings := map[string]any{
		"name": name, "region": "region", "zone": zone, "callers": ports[0], "readiness": ports[1], "peers": ports[2],
		"operators": ports[3], "metrics": ports[4], "first_peers": append([]string{ports[2]}, firstPeers...),
		"platform": map[string]any{"address": r.store.Address()}, "memory_mb": d.memoryMB, "max_descriptors": 4100, "link_mbps": 1000,
		"retries":  map[string]any{"ratio": 0.2, "slack": d.slack, "window": "10s"},
		"overload": map[string]any{"slots": true, "pace": true, "finish": true, "shares": true},
		"drain":    map[string]any{"notice": "2300ms", "grace": "8s"}, "log": map[string]any{"level": "info", "format": "json"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.folder, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	h.process = exec.Command(r.front)
	h.process.Env = []string{"OXBOWSLIP_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.process.Stdout, h.process.Stderr = &h.output, &h.output
	if err := h.process.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	go func() {
		// The state of a killed process is an error as well.
		_ = h.process.Wait()
		close(h.ended)
	}()
	return h, h.awaitReady(10 * time.Second)
}

// awaitReady waits until the host answers the platform's question with 200.
func (h *host) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			return fmt.Errorf("%s has ended: %s", h.name, h.output.String())
		default:
		}
		answer, err := client.Get("http://" + h.readiness + "/oxbowslip/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.name, limit)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	_ = h.process.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

// freeAddress returns an address with a port that is free. It is on a loopback address that other runs of this program do not
// use, so that they take none of its ports.
func freeAddress() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, max(pid&255, 1)))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
