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

// wire stands between a host and its peers, and can be cut.
type wire struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newWire(c *qt.C, target string) *wire {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w := &wire{target: target, listener: listener, conns: make(map[net.Conn]bool)}
	c.Cleanup(func() {
		listener.Close()
		w.set(true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.carry(conn)
		}
	}()
	return w
}

func (w *wire) carry(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", w.target)
	if err != nil || !w.keep(near, far) {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, near)
		far.Close()
	}()
	_, _ = io.Copy(near, far)
}

// keep notes the connections of a wire that is whole.
func (w *wire) keep(conns ...net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range conns {
		if w.cut {
			conn.Close()
		}
		w.conns[conn] = true
	}
	return !w.cut
}

// set cuts the wire, or makes it whole.
func (w *wire) set(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	if !cut {
		return
	}
	for conn := range w.conns {
		conn.Close()
		delete(w.conns, conn)
	}
}

// wires gives each host a wire of its own.
type wires struct {
	c     *qt.C
	mu    sync.Mutex
	wires map[string]*wire
}

func (w *wires) address(target string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wires[target] == nil {
		w.wires[target] = newWire(w.c, target)
	}
	return w.wires[target].listener.Addr().String()
}

func (w *wires) set(cut bool, targets ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range targets {
		w.wires[target].set(cut)
	}
}

// TestCut cuts the hosts off from each other, all of them or only towards the
// scheduler of a shard, under load. Every request is answered meanwhile; when
// the wires are whole again there is one scheduler, and no place is leaked.
func TestCut(t *testing.T) {
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
			w := &wires{c: c, wires: make(map[string]*wire)}
			config := demo.DefaultConfig
			config.Engines = map[string]int{"voyage": 2, "triage": 1}
			config.Speed = fast
			config.PeerAddress = w.address
			cluster, err := demo.Start(context.Background(), config)
			c.Assert(err, qt.IsNil)
			defer cluster.Close()
			scheduler := settle(c, cluster)
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
			until(c, "answers at every host", everywhere)
			w.set(true, targets...)
			until(c, "another scheduler", func() bool {
				_, one := agreed(cluster, "voyage")
				return !one
			})
			mu.Lock()
			clear(answered)
			mu.Unlock()
			until(c, "answers at every host while cut", everywhere)
			w.set(false, targets...)
			until(c, "one scheduler again", func() bool {
				name, one := agreed(cluster, "voyage")
				return one && name == scheduler.Name
			})
			cancel()
			group.Wait()
			until(c, "no place taken", func() bool { return running(cluster) == 0 })
		})
	}
}

// TestListWrong shows hosts a list in which only they themselves stand, or
// nobody: each schedules for itself, and all is answered.
func TestListWrong(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 2)
	settle(c, cluster)
	cluster.Platform.SetHosts(nil)
	until(c, "hosts on their own", func() bool {
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
	until(c, "no place taken", func() bool { return running(cluster) == 0 })
}
