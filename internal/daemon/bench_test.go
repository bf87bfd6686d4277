package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/demo"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
)

// steadyEngine is an engine that generates a token every 5 ms at any load.
var steadyEngine = emulator.Config{
	StepTime: 5 * time.Millisecond, PerRequest: time.Nanosecond, PerPromptToken: time.Nanosecond,
	ChunkTokens: 1 << 20, MaxRunning: 4096, CacheTokens: 1 << 30,
}

// timing is what a caller measured of a stream.
type timing struct {
	firstToken time.Duration
	total      time.Duration
}

// runStreams opens n concurrent streams, reads them to the end, and returns their timings.
func runStreams(b *testing.B, address string, n int) []timing {
	timings := make([]timing, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { timings[i] = runStream(b, address) })
	}
	group.Wait()
	return timings
}

func runStream(b *testing.B, address string) timing {
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions",
		strings.NewReader(`{"model":"voyage","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"answer_tokens=100"}]}`))
	if err != nil {
		b.Error(err)
		return timing{}
	}
	r.Header.Set("Authorization", "Bearer "+demo.CallerKey("towpath-hire"))
	r.Header.Set("X-Request-Class", "root-cause-digest")
	r.Header.Set("X-Request-Id", fmt.Sprint("b", time.Now().UnixNano()))
	response, err := benchClient.Do(r)
	if err != nil {
		b.Error(err)
		return timing{}
	}
	defer response.Body.Close()
	t := timing{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if t.firstToken == 0 {
			t.firstToken = time.Since(start)
		}
	}
	t.total = time.Since(start)
	if err := lines.Err(); err != nil || response.StatusCode != http.StatusOK {
		b.Errorf("status %d, %v", response.StatusCode, err)
	}
	return t
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

func sortedFirstTokens(timings []timing) []time.Duration {
	var list []time.Duration
	for _, t := range timings {
		list = append(list, t.firstToken)
	}
	slices.Sort(list)
	return list
}

// BenchmarkAdded compares streams through the router with streams directly from an engine, in the
// same run.
func BenchmarkAdded(b *testing.B) {
	for _, n := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			config := demo.DefaultConfig
			config.Hosts = 1
			config.Engines = map[string]int{"voyage": 8}
			config.Speed = steadyEngine
			cluster, err := demo.Start(context.Background(), config)
			if err != nil {
				b.Fatal(err)
			}
			defer cluster.Close()
			router := cluster.Hosts()[0].Daemon.CallersAddress()
			for range 4 {
				runStreams(b, router, n) // Lets the learned limits grow to the offered load.
			}
			var direct, routed []timing
			for b.Loop() {
				direct = append(direct, runStreams(b, cluster.Engines["voyage-1"].Address(), n)...)
				routed = append(routed, runStreams(b, router, n)...)
			}
			d, r := sortedFirstTokens(direct), sortedFirstTokens(routed)
			b.ReportMetric(float64(r[len(r)/2]-d[len(d)/2])/1e6, "added-p50-ms")
			b.ReportMetric(float64(r[len(r)*99/100]-d[len(d)*99/100])/1e6, "added-p99-ms")
			b.ReportMetric(totalTime(direct).Seconds()/totalTime(routed).Seconds(), "throughput-ratio")
		})
	}
}

func totalTime(timings []timing) time.Duration {
	sum := time.Duration(0)
	for _, t := range timings {
		sum += t.total
	}
	return sum
}

// scriptedEngine streams a number of chunks as fast as they are read. It allocates next to nothing,
// so that nearly all allocations of a run are the router's.
func scriptedEngine(tokens int) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		chunk := []byte(`id: 1` + "\n" + `data: {"id":"chatcmpl-` + r.Header.Get("X-Request-Id") +
			`","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "}}]}` + "\n\n")
		for range tokens {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
}

// relayCost reads a long stream through the router. It returns the allocations and bytes per token
// in this process, which runs the router, the engine and the caller, and the duration.
func relayCost(c *qt.C, tokens int) (allocations, bytes float64, length time.Duration) {
	engine := scriptedEngine(tokens)
	defer engine.Close()
	cluster := startCluster(c, 1)
	address := strings.TrimPrefix(engine.URL, "http://")
	c.Assert(cluster.SetEndpointAddress("voyage-1", address), qt.IsNil)
	conn, err := net.Dial("tcp", cluster.Hosts()[0].Daemon.CallersAddress())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	body := `{"model":"voyage","stream":true,"messages":[]}`
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nX-Request-Class: itinerary\r\nContent-Length: %d\r\n\r\n%s",
		demo.CallerKey("towpath-hire"), len(body), body)
	c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, conn)
	length = time.Since(start)
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.IsNil)
	c.Assert(n > int64(tokens)*50, qt.IsTrue, qt.Commentf("%d bytes", n))
	return float64(after.Mallocs-before.Mallocs) / float64(tokens), float64(after.TotalAlloc-before.TotalAlloc) / float64(tokens), length
}

// TestRelayAllocations bounds the allocations and bytes per relayed token.
func TestRelayAllocations(t *testing.T) {
	c := qt.New(t)
	allocations, bytes, _ := relayCost(c, 20_000)
	c.Logf("%.2f allocations and %.0f bytes a token", allocations, bytes)
	c.Assert(allocations < 6, qt.IsTrue, qt.Commentf("%.2f allocations a token", allocations))
	c.Assert(bytes < 1500, qt.IsTrue, qt.Commentf("%.0f bytes a token", bytes))
}

func BenchmarkRelay(b *testing.B) {
	c := qt.New(b)
	for b.Loop() {
		allocations, bytes, length := relayCost(c, 100_000)
		b.ReportMetric(allocations, "allocs/token")
		b.ReportMetric(bytes, "B/token")
		b.ReportMetric(float64(length.Nanoseconds())/100_000, "ns/token")
	}
}

// BenchmarkOpenStreams measures the memory held by an open stream.
func BenchmarkOpenStreams(b *testing.B) {
	c := qt.New(b)
	const n = 400
	for b.Loop() {
		cluster := startCluster(c, 8)
		for _, engine := range cluster.Engines {
			engine.SetFaults(standin.EngineFaults{Stall: true})
		}
		before := heapInUse()
		var group sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		for range n {
			group.Go(func() { send(c, cluster, ctx, http.MethodPost, "/v1/chat/completions", "itinerary", chatBody(true)) })
		}
		for cluster.Hosts()[0].Daemon.Open() < n {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(heapInUse()-before)/n, "B/stream")
		cancel()
		group.Wait()
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkSharedScheduler compares requests sent to the host that schedules their shard with
// requests sent to another host.
func BenchmarkSharedScheduler(b *testing.B) {
	c := qt.New(b)
	cluster := startFleet(c, 2, 2)
	scheduler := awaitScheduler(c, cluster)
	other := cluster.Hosts()[0]
	if other == scheduler {
		other = cluster.Hosts()[1]
	}
	var atScheduler, atOtherHost []timing
	for b.Loop() {
		atScheduler = append(atScheduler, runStream(b, scheduler.Daemon.CallersAddress()))
		atOtherHost = append(atOtherHost, runStream(b, other.Daemon.CallersAddress()))
	}
	h, t := sortedFirstTokens(atScheduler), sortedFirstTokens(atOtherHost)
	b.ReportMetric(float64(t[len(t)/2]-h[len(h)/2])/1e6, "added-p50-ms")
	b.ReportMetric(float64(t[len(t)*95/100]-h[len(h)*95/100])/1e6, "added-p95-ms")
}

// BenchmarkInForce measures the time from sending a change until it is in force on all of 8 hosts,
// which poll the platform every second.
func BenchmarkInForce(b *testing.B) {
	config := demo.DefaultConfig
	config.Hosts = 8
	config.Engines = map[string]int{"voyage": 1, "triage": 1}
	config.Speed = fastEngine
	config.Poll = time.Second
	cluster, err := demo.Start(context.Background(), config)
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Close()
	awaitScheduler(qt.New(b), cluster)
	var lengths []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if err := cluster.SetEndpointAddress("triage-1", fmt.Sprint("127.0.0.1:", 1+i%2)); err != nil {
			b.Fatal(err)
		}
		lengths = append(lengths, time.Since(start))
	}
	slices.Sort(lengths)
	b.ReportMetric(lengths[len(lengths)/2].Seconds(), "p50-s")
	b.ReportMetric(lengths[len(lengths)*99/100].Seconds(), "p99-s")
}
