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
	config.Speed = fastEngine
	config.Notice = 300 * time.Millisecond
	cluster, err := demo.Start(context.Background(), config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	return cluster
}

// waitUntil polls until a condition holds, and fails the test after 30,000 polls 1 ms apart.
func waitUntil(c *qt.C, what string, reached func() bool) {
	for range 30_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("timed out waiting for: %s", what)
}

// agreedScheduler returns the scheduler of a shard, and whether all running hosts name the same.
func agreedScheduler(cluster *demo.Cluster, shard string) (string, bool) {
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

// awaitScheduler sends a request to every running host, and waits until all agree on the scheduler
// of the shard, which it returns.
func awaitScheduler(c *qt.C, cluster *demo.Cluster) *demo.Host {
	for _, host := range cluster.Hosts() {
		if !host.Down {
			got := postTo(c, host, "itinerary", chatBody(false))
			c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.text))
		}
	}
	var found *demo.Host
	waitUntil(c, "one scheduler", func() bool {
		name, ok := agreedScheduler(cluster, "voyage")
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

// TestHostsShareOneQueue sends many requests of a low tier to a host, and then a request of the
// highest tier to another. Both must wait in the same queue, so that the second overtakes the
// first.
func TestHostsShareOneQueue(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 1)
	awaitScheduler(c, cluster)
	engine := cluster.Engines["voyage-1"]
	engine.SetFaults(standin.EngineFaults{Stall: true})
	var group sync.WaitGroup
	for range 30 {
		group.Go(func() {
			got := postTo(c, cluster.Hosts()[0], "handback-summary", chatBody(false))
			c.Check(got.status, qt.Equals, http.StatusOK)
		})
	}
	waitUntil(c, "low-tier requests wait", func() bool { return cluster.Hosts()[0].Daemon.Open() == 30 })
	high := make(chan answer, 1)
	go func() { high <- postTo(c, cluster.Hosts()[1], "itinerary", chatBody(false)) }()
	waitUntil(c, "high-tier request waits", func() bool { return cluster.Hosts()[1].Daemon.Open() == 1 })
	waitUntil(c, "requests queue at the scheduler", func() bool { return numWaiting(cluster, "voyage") >= 20 })
	engine.SetFaults(standin.EngineFaults{})
	got := <-high
	c.Assert(got.status, qt.Equals, http.StatusOK)
	c.Assert(cluster.Hosts()[0].Daemon.Open() > 5, qt.IsTrue, qt.Commentf("low tier was not overtaken: %d requests open", cluster.Hosts()[0].Daemon.Open()))
	group.Wait()
}

// numWaiting returns the number of requests that wait for a shard at any running host.
func numWaiting(cluster *demo.Cluster, shard string) int {
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

func numOpen(cluster *demo.Cluster) int {
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

// TestSchedulerLost kills or drains the host that schedules a shard with a full queue. All requests
// of the other hosts must be answered, and no slot may leak.
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
			lost := awaitScheduler(c, cluster)
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
						c.Check(got.text, qt.Equals, standin.Answer([]byte(messages), answerWords))
					})
				}
			}
			waitUntil(c, "queue is full", func() bool { return numWaiting(cluster, "voyage") >= 30 })
			if test.planned {
				aborted, err := cluster.Drain(context.Background(), lost)
				c.Assert(err, qt.IsNil)
				c.Assert(aborted, qt.Equals, 0)
			} else {
				cluster.Kill(lost)
			}
			for _, engine := range cluster.Engines {
				engine.SetFaults(standin.EngineFaults{})
			}
			group.Wait()
			waitUntil(c, "all slots released", func() bool { return numOpen(cluster) == 0 })
			next, ok := agreedScheduler(cluster, "voyage")
			c.Assert(ok, qt.IsTrue)
			c.Assert(next, qt.Not(qt.Equals), lost.Name)
		})
	}
}

// TestEndpointOutGetsNoRequests takes an endpoint out under load. Once the change is in force on
// every host, the endpoint must receive no new requests, and its running ones must complete.
func TestEndpointOutGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 2)
	awaitScheduler(c, cluster)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for _, host := range cluster.Hosts() {
		for range 3 {
			group.Go(func() {
				for ctx.Err() == nil {
					got := postTo(c, host, "itinerary", chatBody(true))
					c.Check(got.text, qt.Equals, standin.Answer([]byte(messages), answerWords))
				}
			})
		}
	}
	engine := cluster.Engines["voyage-1"]
	waitUntil(c, "engine runs requests", func() bool { return len(engine.Executions()) > 10 })
	c.Assert(cluster.SetEndpointState("voyage-1", settings.StateOut), qt.IsNil)
	// An attempt that was checked just before the change came into force may still arrive. The
	// requests open now bound the number of such attempts.
	open := 0
	for _, host := range cluster.Hosts() {
		open += host.Daemon.Open()
	}
	before := len(engine.Executions())
	other := len(cluster.Engines["voyage-2"].Executions())
	waitUntil(c, "other engine runs requests", func() bool { return len(cluster.Engines["voyage-2"].Executions()) > other+200 })
	c.Assert(len(engine.Executions())-before <= open, qt.IsTrue)
	settled := len(engine.Executions())
	waitUntil(c, "other engine runs more requests", func() bool { return len(cluster.Engines["voyage-2"].Executions()) > other+400 })
	c.Assert(engine.Executions(), qt.HasLen, settled)
	cancel()
	group.Wait()
}

// TestRollingRestart replaces every host, one after the other, under load. No answer may be cut
// off, and no request refused.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 3, 3)
	awaitScheduler(c, cluster)
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
				if got.text == standin.Answer([]byte(messages), answerWords) {
					answered++
				} else {
					failures = append(failures, fmt.Sprintf("caller %d: %d %s %v", i, got.status, got.reason, got.err))
				}
				mu.Unlock()
			}
		})
	}
	aborted := 0
	for _, old := range cluster.Hosts() {
		c.Assert(cluster.AddHost(ctx), qt.IsNil)
		n, err := cluster.Drain(ctx, old)
		c.Assert(err, qt.IsNil)
		aborted += n
	}
	cancel()
	group.Wait()
	c.Assert(aborted, qt.Equals, 0)
	c.Assert(failures, qt.HasLen, 0, qt.Commentf("%s", strings.Join(failures, "\n")))
	c.Assert(answered > 20, qt.IsTrue, qt.Commentf("%d answered", answered))
	waitUntil(c, "all slots released", func() bool { return numOpen(cluster) == 0 })
}

// TestPlatformUnavailable takes the platform down. Requests must still be answered, and a host that
// starts during the outage must get its settings from a peer.
func TestPlatformUnavailable(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 2, 1)
	awaitScheduler(c, cluster)
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

// TestRevisionSpreadsOverLinks commits a change at a host of a fleet that polls the platform once
// an hour. The other hosts must receive the revision over their links.
func TestRevisionSpreadsOverLinks(t *testing.T) {
	c := qt.New(t)
	config := demo.DefaultConfig
	config.Engines = map[string]int{"voyage": 1, "triage": 1}
	config.Speed = fastEngine
	config.Poll = time.Hour
	cluster, err := demo.Start(context.Background(), config)
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	awaitScheduler(c, cluster)
	c.Assert(cluster.SetEndpointAddress("triage-1", "127.0.0.1:1"), qt.IsNil)
	for _, host := range cluster.Hosts() {
		c.Assert(host.Daemon.Revision(), qt.Equals, uint64(2))
	}
}

// TestInvalidPeerConnection connects to a host's port for peers and sends noise. The host must keep
// working.
func TestInvalidPeerConnection(t *testing.T) {
	c := qt.New(t)
	cluster := startFleet(c, 2, 1)
	conn, err := net.Dial("tcp", cluster.Hosts()[0].Daemon.PeersAddress())
	c.Assert(err, qt.IsNil)
	_, err = conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 100)))
	c.Assert(err, qt.IsNil)
	conn.Close()
	awaitScheduler(c, cluster)
}
