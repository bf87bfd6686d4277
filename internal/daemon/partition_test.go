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

// proxy stands between a host and its peers, and can be cut.
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
	w := &proxy{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	c.Cleanup(func() {
		listener.Close()
		w.setBlocked(true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.forward(conn)
		}
	}()
	return w
}

func (w *proxy) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", w.target)
	if err != nil || !w.track(near, far) {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, near)
		far.Close()
	}()
	_, _ = io.Copy(near, far)
}

// track notes the connections of a wire that is whole.
func (w *proxy) track(conns ...net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range conns {
		if w.blocked {
			conn.Close()
		}
		w.conns[conn] = true
	}
	return !w.blocked
}

// setBlocked cuts the wire, or makes it whole.
func (w *proxy) setBlocked(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = cut
	if !cut {
		return
	}
	for conn := range w.conns {
		conn.Close()
		delete(w.conns, conn)
	}
}

// proxies gives each host a wire of its own.
type proxies struct {
	c       *qt.C
	mu      sync.Mutex
	proxies map[string]*proxy
}

func (w *proxies) address(target string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.proxies[target] == nil {
		w.proxies[target] = newProxy(w.c, target)
	}
	return w.proxies[target].listener.Addr().String()
}

func (w *proxies) setBlocked(cut bool, targets ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range targets {
		w.proxies[target].setBlocked(cut)
	}
}

// TestRequestsAreAnsweredDuringPartition cuts the hosts off from each other, all of them or only towards the
// scheduler of a shard, under load. Every request is answered meanwhile; when
// the wires are whole again there is one scheduler, and no place is leaked.
func TestRequestsAreAnsweredDuringPartition(t *testing.T) {
	tests := map[string]struct {
		// all cuts every host off; else only the shard's scheduler can't be
		// reached, while it reaches the others.
		all bool
	}{
		"all from all":     {all: true},
		"one way from one": {},
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
			waitUntil(c, "answers at every host", everywhere)
			links.setBlocked(true, targets...)
			waitUntil(c, "another scheduler", func() bool {
				_, one := agreedScheduler(cluster, "voyage")
				return !one
			})
			mu.Lock()
			clear(answered)
			mu.Unlock()
			waitUntil(c, "answers at every host while cut", everywhere)
			links.setBlocked(false, targets...)
			waitUntil(c, "one scheduler again", func() bool {
				name, one := agreedScheduler(cluster, "voyage")
				return one && name == scheduler.Name
			})
			cancel()
			group.Wait()
			waitUntil(c, "no place taken", func() bool { return numOpen(cluster) == 0 })
		})
	}
}

// TestWrongHostList shows hosts a list in which only they themselves stand, or
// nobody: each schedules for itself, and all is answered.
func TestWrongHostList(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 2)
	awaitScheduler(c, cluster)
	cluster.Platform.SetHosts(nil)
	waitUntil(c, "hosts on their own", func() bool {
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
	waitUntil(c, "no place taken", func() bool { return numOpen(cluster) == 0 })
}
