package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/proof/demo"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// fastEngine is an engine whose steps are too short to delay a test.
var fastEngine = emulator.Config{
	StepTime: 200 * time.Microsecond, PerRequest: time.Microsecond, PerPromptToken: time.Nanosecond,
	ChunkTokens: 4096, MaxRunning: 64, CacheTokens: 1_000_000,
}

func startCluster(c *qt.C, engines int) *demo.Cluster {
	config := demo.DefaultConfig
	config.Hosts = 1
	config.Engines = map[string]int{"voyage": engines, "triage": 1}
	config.Speed = fastEngine
	config.Notice = time.Millisecond
	config.CallerTimeout = 300 * time.Millisecond
	cluster, err := demo.Start(context.Background(), config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	return cluster
}

// answer is a response as received by a caller.
type answer struct {
	id     string
	status int
	text   string
	// err is set if the transfer broke off.
	err    error
	reason request.Reason
	ran    request.Ran
	done   bool
	header http.Header
}

const (
	messages    = `[{"role":"user","content":"Which lock is next? answer_tokens=20"}]`
	answerWords = 20
)

func chatBody(stream bool) string {
	return fmt.Sprintf(`{"model":"voyage","stream":%t,"messages":%s}`, stream, messages)
}

func post(c *qt.C, cluster *demo.Cluster, path, class, body string) answer {
	return send(c, cluster, context.Background(), http.MethodPost, path, class, body)
}

func send(c *qt.C, cluster *demo.Cluster, ctx context.Context, method, path, class, body string) answer {
	return sendTo(c, cluster.Hosts()[0], ctx, method, path, class, body)
}

func sendTo(c *qt.C, host *demo.Host, ctx context.Context, method, path, class, body string) answer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host.Daemon.CallersAddress()+path, bytes.NewReader([]byte(body)))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+demo.CallerKey("towpath-hire"))
	r.Header.Set("X-Request-Class", class)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{id: response.Header.Get("X-Request-Id"), status: response.StatusCode, header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(response.Body)
		return a
	}
	data, err := io.ReadAll(response.Body)
	a.err = err
	a.text = string(data)
	a.recordError(a.text)
	if content := gjson.Get(a.text, "choices.0.message.content"); content.Exists() {
		a.text = content.Str
	}
	return a
}

func (a *answer) recordError(data string) {
	if fault := gjson.Get(data, "error"); fault.Exists() {
		a.reason = request.Reason(fault.Get("reason").Str)
		a.ran = request.Ran(fault.Get("ran").Str)
	}
}

func (a *answer) readStream(r io.Reader) {
	for event, err := range sse.Read(r, nil) {
		if err != nil {
			a.err = err
			return
		}
		if event.Data == "[DONE]" {
			a.done = true
			continue
		}
		a.recordError(event.Data)
		a.text += gjson.Get(event.Data, "choices.0.delta.content").Str
	}
}

func executions(cluster *demo.Cluster, id string) int {
	n := 0
	for _, engine := range cluster.Engines {
		n += engine.Executions()[id]
	}
	for _, service := range cluster.Services {
		n += service.Executions()[id]
	}
	return n
}

// TestEndpointFaults checks, for each fault of an endpoint, what the caller receives and how often
// the request ran.
func TestEndpointFaults(t *testing.T) {
	const chat, confirm = "/v1/chat/completions", "/v1/services/booking/confirm"
	wholeAnswer := standin.Answer([]byte(messages), answerWords)
	firstWord := wholeAnswer[:strings.Index(wholeAnswer, " ")+1]
	tests := map[string]struct {
		engines int
		engine  standin.EngineFaults
		service standin.ServiceFaults
		// dead closes the first engine and the service before the request.
		dead  bool
		path  string
		class string
		body  string

		status     int
		text       string
		reason     request.Reason
		ran        request.Ran
		executions int
		broken     bool
	}{
		"no fault, unary": {
			engines: 1, path: chat, class: "itinerary", body: chatBody(false),
			status: 200, text: wholeAnswer, executions: 1,
		},
		"no fault, stream": {
			engines: 1, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: wholeAnswer, executions: 1,
		},
		"dropped after reading, not repeatable": {
			engines: 1, service: standin.ServiceFaults{DropAfterReading: true}, path: confirm, body: "boat 7",
			status: 502, reason: request.ReasonEndpointFailed, ran: request.RanUnknown, executions: 1,
		},
		"dropped after reading, repeatable, no other engine": {
			engines: 1, engine: standin.EngineFaults{DropAfterReading: true}, path: chat, class: "itinerary", body: chatBody(false),
			status: 502, reason: request.ReasonEndpointFailed, ran: request.RanUnknown, executions: 3,
		},
		"dropped after reading, repeatable, answered elsewhere": {
			engines: 2, engine: standin.EngineFaults{DropAfterReading: true}, path: chat, class: "itinerary", body: chatBody(false),
			status: 200, text: wholeAnswer, executions: 2,
		},
		"refused by the service, not repeatable": {
			engines: 1, service: standin.ServiceFaults{Refuse: true}, path: confirm, body: "boat 7",
			status: 503, reason: request.ReasonNotStarted, ran: request.RanNo,
		},
		"refused by the engine, answered elsewhere": {
			engines: 2, engine: standin.EngineFaults{Refuse: true}, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: wholeAnswer, executions: 1,
		},
		"dial refused, not repeatable": {
			engines: 1, dead: true, path: confirm, body: "boat 7",
			status: 502, reason: request.ReasonEndpointFailed, ran: request.RanNo,
		},
		"dial refused, answered elsewhere": {
			engines: 2, dead: true, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: wholeAnswer, executions: 1,
		},
		"unary answer truncated": {
			engines: 1, engine: standin.EngineFaults{CutAnswer: true}, path: chat, class: "itinerary", body: chatBody(false),
			status: 502, reason: request.ReasonEndpointFailed, ran: request.RanUnknown, executions: 3,
		},
		"unary answer truncated, answered elsewhere": {
			engines: 2, engine: standin.EngineFaults{CutAnswer: true}, path: chat, class: "itinerary", body: chatBody(false),
			status: 200, text: wholeAnswer, executions: 2,
		},
		"service answer truncated": {
			engines: 1, service: standin.ServiceFaults{CutAnswer: true}, path: confirm, body: "boat 7",
			status: 502, reason: request.ReasonEndpointFailed, ran: request.RanUnknown, executions: 1,
		},
		"large service answer truncated": {
			engines: 1, service: standin.ServiceFaults{CutAnswer: true}, path: confirm + "?size=300000", body: "boat 7",
			status: 200, executions: 1, broken: true,
		},
		"stream broken, resumed at its engine": {
			engines: 1, engine: standin.EngineFaults{BreakAfter: 8}, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: wholeAnswer, executions: 1,
		},
		"stream broken too often": {
			engines: 1, engine: standin.EngineFaults{BreakAfter: 1}, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: firstWord, reason: request.ReasonAnswerBroken, ran: request.RanUnknown, executions: 3, broken: true,
		},
		"unary answer to another request": {
			engines: 1, engine: standin.EngineFaults{WrongID: true}, path: chat, class: "itinerary", body: chatBody(false),
			status: 502, reason: request.ReasonWrongAnswer, ran: request.RanUnknown, executions: 3,
		},
		"chunks of another request": {
			engines: 2, engine: standin.EngineFaults{WrongID: true}, path: chat, class: "itinerary", body: chatBody(true),
			status: 200, text: wholeAnswer, executions: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cluster := startCluster(c, test.engines)
			faulty := cluster.Engines["voyage-1"]
			faulty.SetFaults(test.engine)
			cluster.Services["booking"].SetFaults(test.service)
			if test.dead {
				faulty.Crash()
				cluster.Services["booking"].Close()
			}
			got := post(c, cluster, test.path, test.class, test.body)
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", got.text))
			c.Check(got.reason, qt.Equals, test.reason)
			c.Check(got.ran, qt.Equals, test.ran)
			c.Check(got.err != nil, qt.Equals, test.broken)
			c.Check(executions(cluster, got.id), qt.Equals, test.executions)
			if test.text != "" && test.text != firstWord {
				c.Check(got.text, qt.Equals, test.text)
			}
			if test.text == firstWord {
				c.Check(strings.HasPrefix(wholeAnswer, got.text), qt.IsTrue, qt.Commentf("%q", got.text))
				c.Check(got.done, qt.IsFalse)
			}
		})
	}
}

// TestIdempotencyKeyIsFreeAfterRefusal has a service refuse a booking without starting it. Since
// the caller is told that it did not run, a later request with the same idempotency key must run,
// and only once.
func TestIdempotencyKeyIsFreeAfterRefusal(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 1)
	service := cluster.Services["booking"]
	book := func() (int, string) {
		r, err := http.NewRequest(http.MethodPost, "http://"+cluster.Hosts()[0].Daemon.CallersAddress()+"/v1/services/booking/confirm", strings.NewReader("boat 7"))
		c.Assert(err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+demo.CallerKey("towpath-hire"))
		r.Header.Set("Idempotency-Key", "boat-7-monday")
		response, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return response.StatusCode, gjson.GetBytes(data, "error.ran").Str
	}
	service.SetFaults(standin.ServiceFaults{Refuse: true})
	status, ran := book()
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(ran, qt.Equals, string(request.RanNo))
	service.SetFaults(standin.ServiceFaults{})
	waitUntil(c, "idempotency key is released", func() bool {
		status, _ := book()
		return status == http.StatusOK
	})
	c.Assert(service.Executions(), qt.HasLen, 1)
	status, _ = book()
	c.Assert(status, qt.Equals, http.StatusConflict)
	c.Assert(service.Executions(), qt.HasLen, 1)
}

// TestStreamContinuesAfterEngineCrash crashes an engine in the middle of a stream. Another engine
// must continue the answer from the words that the caller has received, without a gap or a
// repetition.
func TestStreamContinuesAfterEngineCrash(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 2)
	prompt := `[{"role":"user","content":"Tell it all. answer_tokens=400"}]`
	r, err := http.NewRequest(http.MethodPost, "http://"+cluster.Hosts()[0].Daemon.CallersAddress()+"/v1/chat/completions",
		strings.NewReader(`{"model":"voyage","stream":true,"messages":`+prompt+`}`))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+demo.CallerKey("towpath-hire"))
	r.Header.Set("X-Request-Class", "itinerary")
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	id := response.Header.Get("X-Request-Id")
	var text strings.Builder
	read := 0
	for event, err := range sse.Read(response.Body, nil) {
		c.Assert(err, qt.IsNil)
		text.WriteString(gjson.Get(event.Data, "choices.0.delta.content").Str)
		read++
		if read == 10 {
			for _, name := range []string{"voyage-1", "voyage-2"} {
				if cluster.Engines[name].Executions()[id] > 0 {
					cluster.Engines[name].Crash()
				}
			}
		}
	}
	c.Assert(text.String(), qt.Equals, standin.Answer([]byte(prompt), 400))
	c.Assert(executions(cluster, id), qt.Equals, 2)
}

// TestEngineCrashBeforeFirstToken crashes an engine that has read a request and has not started to
// answer it.
func TestEngineCrashBeforeFirstToken(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 2)
	for _, engine := range cluster.Engines {
		engine.SetFaults(standin.EngineFaults{Stall: true})
	}
	answers := make(chan answer, 1)
	go func() { answers <- post(c, cluster, "/v1/chat/completions", "itinerary", chatBody(true)) }()
	var dead *standin.Engine
	waitUntil(c, "an engine has received the request", func() bool {
		for _, engine := range cluster.Engines {
			if len(engine.Executions()) > 0 {
				dead = engine
			}
		}
		return dead != nil
	})
	for _, engine := range cluster.Engines {
		engine.SetFaults(standin.EngineFaults{})
		if engine == dead {
			engine.Crash()
		}
	}
	got := <-answers
	c.Assert(got.text, qt.Equals, standin.Answer([]byte(messages), answerWords))
	c.Assert(got.done, qt.IsTrue)
}

// TestCancelledRequestStopsEngine cancels a request in the middle of its stream. The engine must
// stop generating, and the tokens must count as wasted.
func TestCancelledRequestStopsEngine(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cluster.Hosts()[0].Daemon.CallersAddress()+"/v1/chat/completions",
		strings.NewReader(`{"model":"voyage","stream":true,"max_tokens":500,"messages":[{"role":"user","content":"answer_tokens=500"}]}`))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+demo.CallerKey("towpath-hire"))
	r.Header.Set("X-Request-Class", "itinerary")
	cluster.Engines["voyage-1"].SetFaults(standin.EngineFaults{Slow: 50})
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	for _, err := range sse.Read(response.Body, nil) {
		c.Assert(err, qt.IsNil)
		break
	}
	cancel()
	response.Body.Close()
	drain(c, cluster)
	metrics := cluster.Hosts()[0].Daemon.Counters()
	c.Assert(metrics.Refusals(request.ReasonCallerGone), qt.Equals, uint64(1))
	c.Assert(metrics.WastedTokens(counters.WasteCallerGone) > 0, qt.IsTrue)
	c.Assert(cluster.Engines["voyage-1"].Generated() < 500, qt.IsTrue)
}

// drain drains the only host, which waits for all requests to end, and returns the number of
// aborted requests.
func drain(c *qt.C, cluster *demo.Cluster) int {
	aborted, err := cluster.Drain(context.Background(), cluster.Hosts()[0])
	c.Assert(err, qt.IsNil)
	return aborted
}

// TestSlowCallerIsDisconnected has a caller that reads nothing of a long answer. It must be
// disconnected, and the unread answer must not be buffered.
func TestSlowCallerIsDisconnected(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 1)
	host := cluster.Hosts()[0].Daemon
	conn, err := net.Dial("tcp", host.CallersAddress())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
	body := `{"size":1}`
	_, err = fmt.Fprintf(conn, "POST /v1/services/booking/confirm?size=30000000 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		demo.CallerKey("towpath-hire"), len(body), body)
	c.Assert(err, qt.IsNil)
	// The beginning of the header shows that the answer has started.
	_, err = conn.Read(make([]byte, 16))
	c.Assert(err, qt.IsNil)
	drain(c, cluster)
	c.Assert(host.Counters().Refusals(request.ReasonSlowCaller), qt.Equals, uint64(1))
}

// TestDrain stops a host gracefully while a stream is in progress.
func TestDrain(t *testing.T) {
	tests := map[string]struct {
		abort   bool
		aborted int
	}{
		"answer completes": {},
		"drain aborted":    {abort: true, aborted: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cluster := startCluster(c, 1)
			engine := cluster.Engines["voyage-1"]
			engine.SetFaults(standin.EngineFaults{Slow: 5})
			answers := make(chan answer, 1)
			go func() { answers <- post(c, cluster, "/v1/chat/completions", "itinerary", chatBody(true)) }()
			for engine.Generated() == 0 {
				time.Sleep(time.Millisecond)
			}
			if test.abort {
				engine.SetFaults(standin.EngineFaults{Stall: true})
				cluster.Hosts()[0].Daemon.AbortDrain()
			}
			c.Assert(drain(c, cluster), qt.Equals, test.aborted)
			got := <-answers
			c.Assert(got.done, qt.Equals, !test.abort)
			if test.abort {
				c.Assert(got.reason, qt.Equals, request.ReasonStopped)
				c.Assert(got.ran, qt.Equals, request.RanUnknown)
				return
			}
			c.Assert(got.text, qt.Equals, standin.Answer([]byte(messages), answerWords))
		})
	}
}

// TestInvalidInputIsRefused sends invalid calls. Each must be refused immediately with its reason,
// and nothing may be sent to an endpoint.
func TestInvalidInputIsRefused(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 1)
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		method string
		path   string
		class  string
		body   string
		status int
		reason request.Reason
	}{
		"garbage":             {path: chat, class: "itinerary", body: "}{", status: 400, reason: request.ReasonBadRequest},
		"empty":               {path: chat, class: "itinerary", body: "", status: 400, reason: request.ReasonBadRequest},
		"two models":          {path: chat, class: "itinerary", body: `{"model":"voyage","model":"triage","messages":[]}`, status: 400, reason: request.ReasonBadRequest},
		"messages not a list": {path: chat, class: "itinerary", body: `{"model":"voyage","messages":"hi"}`, status: 400, reason: request.ReasonBadRequest},
		"negative bound":      {path: chat, class: "itinerary", body: `{"model":"voyage","messages":[],"max_tokens":-1}`, status: 400, reason: request.ReasonBadRequest},
		"wrong type":          {path: chat, class: "itinerary", body: `{"model":7,"messages":[]}`, status: 400, reason: request.ReasonBadRequest},
		"deep nesting":        {path: chat, class: "itinerary", body: `{"model":"voyage","messages":` + strings.Repeat("[", 20000) + `}`, status: 400, reason: request.ReasonBadRequest},
		"unknown model":       {path: chat, class: "itinerary", body: `{"model":"barge","messages":[]}`, status: 404, reason: request.ReasonUnknownModel},
		"unknown class":       {path: chat, class: "yacht", body: chatBody(false), status: 404, reason: request.ReasonUnknownClass},
		"body too large":      {path: chat, class: "itinerary", body: strings.Repeat("x", 2<<20), status: 413, reason: request.ReasonBodyTooLarge},
		"unknown service":     {path: "/v1/services/ferry/x", body: "x", status: 404, reason: request.ReasonUnknownService},
		"unknown path":        {path: "/v2/nothing", body: "x", status: 404, reason: request.ReasonUnknownService},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := post(c, cluster, test.path, test.class, test.body)
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.reason, qt.Equals, test.reason)
			if test.reason != "" {
				c.Assert(got.ran, qt.Equals, request.RanNo)
				c.Assert(executions(cluster, got.id), qt.Equals, 0)
			}
		})
	}
	t.Run("wrong key", func(t *testing.T) {
		c := qt.New(t)
		r, err := http.NewRequest(http.MethodPost, "http://"+cluster.Hosts()[0].Daemon.CallersAddress()+chat, strings.NewReader(chatBody(false)))
		c.Assert(err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+demo.OperatorKey)
		response, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		c.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
	})
	raw := map[string]struct {
		text   string
		status string
	}{
		"slow body": {
			text:   "POST " + chat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + demo.CallerKey("towpath-hire") + "\r\nX-Request-Class: itinerary\r\nContent-Length: 1000\r\n\r\n{",
			status: "HTTP/1.1 408",
		},
		"huge headers": {
			text:   "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 100_000) + "\r\n\r\n",
			status: "HTTP/1.1 431",
		},
	}
	for name, test := range raw {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", cluster.Hosts()[0].Daemon.CallersAddress())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			// The server may answer and close the connection before all is sent.
			_, _ = io.WriteString(conn, test.text)
			status := make([]byte, len(test.status))
			_, err = io.ReadFull(conn, status)
			c.Assert(err, qt.IsNil)
			c.Assert(string(status), qt.Equals, test.status)
		})
	}
	t.Run("broken chunking", func(t *testing.T) {
		c := qt.New(t)
		conn, err := net.Dial("tcp", cluster.Hosts()[0].Daemon.CallersAddress())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Request-Class: itinerary\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nnonsense",
			chat, demo.CallerKey("towpath-hire"))
		c.Assert(err, qt.IsNil)
		line := make([]byte, 12)
		_, err = io.ReadFull(conn, line)
		c.Assert(err, qt.IsNil)
		c.Assert(string(line), qt.Equals, "HTTP/1.1 400")
	})
}

func TestOperatorKeys(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 1)
	base := "http://" + cluster.Hosts()[0].Daemon.OperatorsAddress()
	get := func(path, key string) int {
		r, err := http.NewRequest(http.MethodGet, base+path, nil)
		c.Assert(err, qt.IsNil)
		r.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		return response.StatusCode
	}
	c.Assert(get("/v1/status", demo.OperatorKey), qt.Equals, http.StatusOK)
	c.Assert(get("/v1/status", demo.CallerKey("towpath-hire")), qt.Equals, http.StatusUnauthorized)
	c.Assert(get("/readyz", ""), qt.Equals, http.StatusOK)
	c.Assert(get("/metrics", ""), qt.Equals, http.StatusOK)
}
