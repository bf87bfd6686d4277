package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/demo"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

func startFleet(c *qt.C, hosts, engines int) *demo.Cluster {
	config := demo.DefaultConfig
	config.Hosts = hosts
	config.Engines = map[string]int{"voyage": engines, "triage": 1}
	config.Speed = fast
	config.Notice = 300 * time.Millisecond
	cluster, err := demo.Start(context.Background(), config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	return cluster
}

// until waits for a state that is sure to come.
func until(c *qt.C, what string, reached func() bool) {
	for range 30_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("%s: not reached", what)
}

// agreed reports whether all hosts that are up name the same scheduler for a
// shard, and gives it.
func agreed(cluster *demo.Cluster, shard string) (string, bool) {
	name := ""
	for _, host := range cluster.Hosts() {
		if host.Down {
			continue
		}
		scheduler, ok := host.Daemon.Schedulers()[shard]
		if !ok || (name != "" && scheduler != name) {
			return "", false
		}
		name = scheduler
	}
	return name, true
}

// settle has every host ask for a shard until all agree on its scheduler.
func settle(c *qt.C, cluster *demo.Cluster) *demo.Host {
	for _, host := range cluster.Hosts() {
		if !host.Down {
			got := postTo(c, host, "itinerary", chatBody(false))
			c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.text))
		}
	}
	var found *demo.Host
	until(c, "one scheduler", func() bool {
		name, ok := agreed(cluster, "voyage")
		for _, host := range cluster.Hosts() {
			if host.Name == name && !host.Down {
				found = host
			}
		}
		return ok && found != nil && found.Name == name
	})
	return found
}

func postTo(c *qt.C, host *demo.Host, class, body string) answer {
	return sendTo(c, host, context.Background(), http.MethodPost, "/v1/chat/completions", class, body)
}

// TestOneScheduler has a host's flood of a low tier and another host's request
// of the highest tier meet in one waiting list.
func TestOneScheduler(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 1)
	settle(c, cluster)
	engine := cluster.Engines["voyage-1"]
	engine.SetFaults(standin.EngineFaults{Stall: true})
	var group sync.WaitGroup
	for range 30 {
		group.Go(func() {
			got := postTo(c, cluster.Hosts()[0], "handback-summary", chatBody(false))
			c.Check(got.status, qt.Equals, http.StatusOK)
		})
	}
	until(c, "the flood waits", func() bool { return cluster.Hosts()[0].Daemon.Open() == 30 })
	high := make(chan answer, 1)
	go func() { high <- postTo(c, cluster.Hosts()[1], "itinerary", chatBody(false)) }()
	until(c, "the high one waits", func() bool { return cluster.Hosts()[1].Daemon.Open() == 1 })
	until(c, "the requests of the high one wait", func() bool { return waiting(cluster, "voyage") >= 20 })
	engine.SetFaults(standin.EngineFaults{})
	got := <-high
	c.Assert(got.status, qt.Equals, http.StatusOK)
	c.Assert(cluster.Hosts()[0].Daemon.Open() > 5, qt.IsTrue, qt.Commentf("the low tier was not overtaken: %d left", cluster.Hosts()[0].Daemon.Open()))
	group.Wait()
}

// waiting counts what waits for a shard at any host.
func waiting(cluster *demo.Cluster, shard string) int {
	n := 0
	for _, host := range cluster.Hosts() {
		for _, s := range host.Daemon.Status().Shards {
			if s.Name == shard && !host.Down {
				n += s.Waiting
			}
		}
	}
	return n
}

func running(cluster *demo.Cluster) int {
	n := 0
	for _, host := range cluster.Hosts() {
		for _, s := range host.Daemon.Status().Shards {
			if !host.Down {
				n += s.Running + s.Waiting
			}
		}
	}
	return n
}

// TestSchedulerLost kills, or stops as planned, the host that schedules a shard
// with a full queue. The requests of the other hosts are all answered, and no
// place leaks.
func TestSchedulerLost(t *testing.T) {
	tests := map[string]struct {
		planned bool
	}{
		"killed":  {},
		"drained": {planned: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cluster := startFleet(c, 3, 2)
			lost := settle(c, cluster)
			for _, engine := range cluster.Engines {
				engine.SetFaults(standin.EngineFaults{Stall: true})
			}
			var group sync.WaitGroup
			for _, host := range cluster.Hosts() {
				if host == lost {
					continue
				}
				for range 25 {
					group.Go(func() {
						got := postTo(c, host, "handback-summary", chatBody(true))
						c.Check(got.done, qt.IsTrue, qt.Commentf("%d %s", got.status, got.reason))
						c.Check(got.text, qt.Equals, standin.Answer([]byte(messages), words))
					})
				}
			}
			until(c, "a full queue", func() bool { return waiting(cluster, "voyage") >= 30 })
			if test.planned {
				cut, err := cluster.Drain(context.Background(), lost)
				c.Assert(err, qt.IsNil)
				c.Assert(cut, qt.Equals, 0)
			} else {
				cluster.Kill(lost)
			}
			for _, engine := range cluster.Engines {
				engine.SetFaults(standin.EngineFaults{})
			}
			group.Wait()
			until(c, "no place taken", func() bool { return running(cluster) == 0 })
			next, ok := agreed(cluster, "voyage")
			c.Assert(ok, qt.IsTrue)
			c.Assert(next, qt.Not(qt.Equals), lost.Name)
		})
	}
}

// TestEndpointOut orders an endpoint out under load. Once the order is in force
// on every host, it gets nothing more, and what it has ends.
func TestEndpointOut(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 2)
	settle(c, cluster)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, host := range cluster.Hosts() {
		for range 3 {
			group.Go(func() {
				for ctx.Err() == nil {
					got := postTo(c, host, "itinerary", chatBody(true))
					c.Check(got.text, qt.Equals, standin.Answer([]byte(messages), words))
				}
			})
		}
	}
	engine := cluster.Engines["voyage-1"]
	until(c, "it works", func() bool { return len(engine.Executions()) > 10 })
	c.Assert(cluster.SetEndpointState("voyage-1", settings.StateOut), qt.IsNil)
	// An attempt that was checked just before the order came into force may
	// still arrive; the requests open now are all that can be.
	open := 0
	for _, host := range cluster.Hosts() {
		open += host.Daemon.Open()
	}
	before := len(engine.Executions())
	other := len(cluster.Engines["voyage-2"].Executions())
	until(c, "the other one works on", func() bool { return len(cluster.Engines["voyage-2"].Executions()) > other+200 })
	c.Assert(len(engine.Executions())-before <= open, qt.IsTrue)
	settled := len(engine.Executions())
	until(c, "more work elsewhere", func() bool { return len(cluster.Engines["voyage-2"].Executions()) > other+400 })
	c.Assert(engine.Executions(), qt.HasLen, settled)
	cancel()
	group.Wait()
}

// TestRollingRestart replaces every host, one by one, under load: no answer is
// cut off and nothing is refused because of it.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 3)
	settle(c, cluster)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures []string
	answered := 0
	for i := range 8 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				host, ok := cluster.NextReadyHost()
				if !ok {
					continue
				}
				got := postTo(c, host, "itinerary", chatBody(n%2 == 0))
				mu.Lock()
				if got.text == standin.Answer([]byte(messages), words) {
					answered++
				} else {
					failures = append(failures, fmt.Sprintf("caller %d: %d %s %v", i, got.status, got.reason, got.err))
				}
				mu.Unlock()
			}
		})
	}
	cut := 0
	for _, old := range cluster.Hosts() {
		c.Assert(cluster.AddHost(ctx), qt.IsNil)
		n, err := cluster.Drain(ctx, old)
		c.Assert(err, qt.IsNil)
		cut += n
	}
	cancel()
	group.Wait()
	c.Assert(cut, qt.Equals, 0)
	c.Assert(failures, qt.HasLen, 0, qt.Commentf("%s", strings.Join(failures, "\n")))
	c.Assert(answered > 20, qt.IsTrue, qt.Commentf("%d answered", answered))
	until(c, "no place taken", func() bool { return running(cluster) == 0 })
}

// TestPlatformAway takes the platform down: requests go on, and a host that
// starts meanwhile takes its settings from a peer.
func TestPlatformAway(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 2, 1)
	settle(c, cluster)
	c.Assert(cluster.SetEndpointAddress("triage-1", "127.0.0.1:1"), qt.IsNil)
	cluster.Platform.SetFaults(standin.PlatformFaults{Down: true})
	c.Assert(cluster.AddHost(context.Background()), qt.IsNil)
	hosts := cluster.Hosts()
	c.Assert(hosts[2].Daemon.Revision(), qt.Equals, hosts[0].Daemon.Revision())
	for _, host := range hosts {
		got := postTo(c, host, "itinerary", chatBody(false))
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.text))
	}
}

// TestRevisionSpreads accepts a change at one host of a fleet that polls the
// platform once an hour: the others hear of it over their links.
func TestRevisionSpreads(t *testing.T) {
	c := qt.New(t)
	config := demo.DefaultConfig
	config.Engines = map[string]int{"voyage": 1, "triage": 1}
	config.Speed = fast
	config.Poll = time.Hour
	cluster, err := demo.Start(context.Background(), config)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	settle(c, cluster)
	c.Assert(cluster.SetEndpointAddress("triage-1", "127.0.0.1:1"), qt.IsNil)
	for _, host := range cluster.Hosts() {
		c.Assert(host.Daemon.Revision(), qt.Equals, uint64(2))
	}
}

// TestStranger connects to a peer's port with the wrong key and with noise.
func TestStranger(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 2, 1)
	conn, err := net.Dial("tcp", cluster.Hosts()[0].Daemon.PeersAddress())
	c.Assert(err, qt.IsNil)
	_, err = conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 100)))
	c.Assert(err, qt.IsNil)
	conn.Close()
	settle(c, cluster)
}
