package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/demo"
)

// proxy forwards the links from peers to a host, and can be blocked to simulate a network
// partition.
type proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]bool
}

func newProxy(c *qt.C, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	c.Cleanup(func() {
		listener.Close()
		p.setBlocked(true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

func (p *proxy) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(near, far) {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, near)
		far.Close()
	}()
	_, _ = io.Copy(near, far)
}

// track records connections, and closes them if the proxy is blocked. It reports whether it is not.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		if p.blocked {
			conn.Close()
		}
		p.conns[conn] = true
	}
	return !p.blocked
}

// setBlocked blocks the proxy and closes its connections, or unblocks it.
func (p *proxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for conn := range p.conns {
		conn.Close()
		delete(p.conns, conn)
	}
}

// proxies holds a proxy for each host, by the host's address.
type proxies struct {
	c       *qt.C
	mu      sync.Mutex
	proxies map[string]*proxy
}

func (p *proxies) address(target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies[target] == nil {
		p.proxies[target] = newProxy(p.c, target)
	}
	return p.proxies[target].listener.Addr().String()
}

func (p *proxies) setBlocked(blocked bool, targets ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, target := range targets {
		p.proxies[target].setBlocked(blocked)
	}
}

// TestRequestsAreAnsweredDuringPartition isolates the hosts from each other under load, either all
// of them or only in the direction of a shard's scheduler. Every request must be answered during
// the partition. After it there must be a single scheduler again, and no leaked slot.
func TestRequestsAreAnsweredDuringPartition(t *testing.T) {
	tests := map[string]struct {
		// all isolates all hosts from each other. Otherwise only the shard's scheduler is
		// unreachable, and still reaches the others.
		all bool
	}{
		"all hosts isolated":    {all: true},
		"scheduler unreachable": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			links := &proxies{c: c, proxies: make(map[string]*proxy)}
			config := demo.DefaultConfig
			config.Engines = map[string]int{"voyage": 2, "triage": 1}
			config.Speed = fastEngine
			config.PeerAddress = links.address
			cluster, err := demo.Start(context.Background(), config)
			c.Assert(err, qt.IsNil)
			defer cluster.Close()
			scheduler := awaitScheduler(c, cluster)
			targets := []string{scheduler.Daemon.PeersAddress()}
			if test.all {
				targets = nil
				for _, host := range cluster.Hosts() {
					targets = append(targets, host.Daemon.PeersAddress())
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			defer group.Wait()
			defer cancel()
			var mu sync.Mutex
			answered := make(map[string]int)
			everywhere := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(answered) == len(cluster.Hosts())
			}
			for _, host := range cluster.Hosts() {
				for range 4 {
					group.Go(func() {
						for ctx.Err() == nil {
							got := postTo(c, host, "itinerary", chatBody(true))
							if !c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s %s", got.reason, got.text)) {
								return
							}
							mu.Lock()
							answered[host.Name]++
							mu.Unlock()
						}
					})
				}
			}
			waitUntil(c, "answers at every host before the partition", everywhere)
			links.setBlocked(true, targets...)
			waitUntil(c, "another scheduler", func() bool {
				_, one := agreedScheduler(cluster, "voyage")
				return !one
			})
			mu.Lock()
			clear(answered)
			mu.Unlock()
			waitUntil(c, "answers at every host during the partition", everywhere)
			links.setBlocked(false, targets...)
			waitUntil(c, "a single scheduler after the partition", func() bool {
				name, one := agreedScheduler(cluster, "voyage")
				return one && name == scheduler.Name
			})
			cancel()
			group.Wait()
			waitUntil(c, "all slots released", func() bool { return numOpen(cluster) == 0 })
		})
	}
}

// TestWrongHostList empties the platform's list of hosts. Each host must then schedule for itself,
// and answer all requests.
func TestWrongHostList(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 2)
	awaitScheduler(c, cluster)
	cluster.Platform.SetHosts(nil)
	waitUntil(c, "each host schedules for itself", func() bool {
		for _, host := range cluster.Hosts() {
			if host.Daemon.Schedulers()["voyage"] != host.Name {
				return false
			}
		}
		return true
	})
	for _, host := range cluster.Hosts() {
		got := postTo(c, host, "itinerary", chatBody(false))
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.text))
	}
	waitUntil(c, "all slots released", func() bool { return numOpen(cluster) == 0 })
}
