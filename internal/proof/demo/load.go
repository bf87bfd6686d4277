package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"oxbowslip.dev/oxbowslip/internal/proof/standin"
	"oxbowslip.dev/oxbowslip/internal/request"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// Source is a stream of requests of one class.
type Source struct {
	Class     string
	Workspace string
	// Rate is the mean number of requests per second.
	Rate float64
	// Model is set for chat requests; Service, Method and Path are set for calls of a service.
	Model   string
	Service string
	Method  string
	Path    string
	Stream  bool
	// Keyed sends an idempotency key with each request.
	Keyed bool
	// PromptWords and AnswerTokens are mean lengths.
	PromptWords  int
	AnswerTokens int
}

// DefaultSources is a mixed load of chat requests and service calls from three workspaces.
var DefaultSources = []Source{
	{Class: "skipper-question", Workspace: "towpath-hire", Rate: 6, Model: "voyage", Stream: true, PromptWords: 30, AnswerTokens: 30},
	{Class: "itinerary", Workspace: "prairie-boats", Rate: 3, Model: "voyage", Stream: true, PromptWords: 300, AnswerTokens: 90},
	{Class: "handback-summary", Workspace: "towpath-hire", Rate: 2, Model: "voyage", PromptWords: 400, AnswerTokens: 60},
	{Class: "booking-confirmation", Workspace: "prairie-boats", Rate: 5, Service: "booking", Method: http.MethodPost, Path: "/confirm", Keyed: true},
	{Class: "triage-summary", Workspace: "harbour-bank", Rate: 3, Model: "triage", Stream: true, PromptWords: 800, AnswerTokens: 60},
	{Class: "root-cause-digest", Workspace: "harbour-bank", Rate: 1, Model: "triage", PromptWords: 600, AnswerTokens: 120},
	{Class: "fingerprint-lookup", Workspace: "harbour-bank", Rate: 4, Service: "tracker", Method: http.MethodGet, Path: "/fingerprints/7"},
	{Class: "issue-fetch", Workspace: "harbour-bank", Rate: 4, Service: "tracker", Method: http.MethodGet, Path: "/issues/12"},
}

// Sample is the outcome of one request as seen by its caller.
type Sample struct {
	Source Source
	ID     string
	Status int
	// Answered is set if the answer was complete and correct.
	Answered bool
	// Wrong describes the error in an answer that ended as complete.
	Wrong  string
	Reason request.Reason
	Ran    request.Ran
	// Broken is set if there was no answer, or if it visibly broke off.
	Broken     bool
	SentAt     time.Time
	FirstToken time.Duration
	TotalTime  time.Duration
	Tokens     int
	Host       *Host
}

// load sends the requests of all sources and collects their samples.
type load struct {
	cluster  *Cluster
	client   *http.Client
	mu       sync.Mutex
	samples  []Sample
	inFlight sync.WaitGroup
}

func newLoad(c *Cluster) *load {
	return &load{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// run sends the requests of every source until ctx ends, and waits for the answers.
func (l *load) run(ctx context.Context, seed uint64, sources []Source) []Sample {
	var senders sync.WaitGroup
	for i, source := range sources {
		senders.Go(func() { l.sendFrom(ctx, rand.New(rand.NewPCG(seed, uint64(i))), source) })
	}
	senders.Wait()
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
	return l.samples
}

// sendFrom sends the requests of a source at random times, independently of the answers to earlier ones.
func (l *load) sendFrom(ctx context.Context, random *rand.Rand, source Source) {
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / source.Rate * float64(time.Second))
		select {
		case <-time.After(gap):
		case <-ctx.Done():
			return
		}
		body := source.newBody(random, n)
		l.inFlight.Go(func() {
			sample := l.sendRequest(source, body)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.samples = append(l.samples, sample)
		})
	}
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody is the body of a request and the text that its answer must have.
type requestBody struct {
	data       []byte
	wantAnswer string
}

// newBody makes the n-th body of a source, with random contents.
func (s Source) newBody(random *rand.Rand, n int) requestBody {
	if s.Model == "" {
		text := fmt.Sprintf("%s %d %d", s.Class, n, random.Uint64())
		return requestBody{data: []byte(text), wantAnswer: s.Method + " " + s.Path + "\n" + text}
	}
	words := 1 + int(random.ExpFloat64()*float64(s.PromptWords))
	answer := min(1+int(random.ExpFloat64()*float64(s.AnswerTokens)), 400)
	prompt := fmt.Sprintf("%s %d answer_tokens=%d ", s.Class, random.Uint64(), answer) + strings.Repeat("word ", words)
	chat := chatBody{Model: s.Model, Stream: s.Stream, Messages: []chatMessage{{Role: "user", Content: prompt}}}
	data, err := json.Marshal(chat)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	return requestBody{data: data, wantAnswer: standin.Answer([]byte(gjson.GetBytes(data, "messages").Raw), answer)}
}

// sendRequest sends a request to the next ready host and checks the answer.
func (l *load) sendRequest(source Source, b requestBody) Sample {
	sample := Sample{Source: source, SentAt: time.Now()}
	host, ok := l.cluster.NextReadyHost()
	if !ok {
		sample.Reason, sample.Ran = request.ReasonNotReady, request.RanNo
		return sample
	}
	sample.Host = host
	response, err := l.client.Do(source.newRequest(host.Daemon.CallersAddress(), b.data))
	if err != nil {
		sample.Broken = true
		return sample
	}
	defer response.Body.Close()
	sample.ID = response.Header.Get("X-Request-Id")
	sample.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		sample.readRefusal(response)
		return sample
	}
	var text string
	if source.Stream {
		text, err = sample.readStream(response.Body)
	} else {
		text, err = sample.readWhole(response.Body)
	}
	sample.TotalTime = time.Since(sample.SentAt)
	switch {
	case err != nil:
		sample.Broken = true
	case text != b.wantAnswer:
		sample.Wrong = fmt.Sprintf("got %d bytes, wanted %d", len(text), len(b.wantAnswer))
	default:
		sample.Answered = true
	}
	return sample
}

// newRequest makes the HTTP request for a body.
func (s Source) newRequest(address string, data []byte) *http.Request {
	method, path := http.MethodPost, "/v1/chat/completions"
	if s.Service != "" {
		method, path = s.Method, "/v1/services/"+s.Service+s.Path
	}
	r, err := http.NewRequest(method, "http://"+address+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		panic(err) // The sources' paths are constants.
	}
	r.ContentLength = int64(len(data))
	r.Header.Set("Authorization", "Bearer "+CallerKey(s.Workspace))
	r.Header.Set("X-Request-Class", s.Class)
	r.Header.Set("Content-Type", "application/json")
	if s.Keyed {
		r.Header.Set("Idempotency-Key", uuid.NewString())
	}
	return r
}

// readRefusal reads the reason of a refusal, and whether the request may have run, from the response's body.
func (s *Sample) readRefusal(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.Broken = true
		return
	}
	s.Reason = request.Reason(gjson.GetBytes(data, "error.reason").Str)
	s.Ran = request.Ran(gjson.GetBytes(data, "error.ran").Str)
}

var errNoEndMark = errors.New("stream ended without its end marker")

// readStream reads a streamed answer and returns its text. An error event or a missing end marker is an error.
func (s *Sample) readStream(r io.Reader) (string, error) {
	var text strings.Builder
	for event, err := range sse.Read(r, nil) {
		if err != nil {
			return "", err
		}
		if event.Data == "[DONE]" {
			return text.String(), nil
		}
		if fault := gjson.Get(event.Data, "error"); fault.Exists() {
			s.Reason = request.Reason(fault.Get("reason").Str)
			s.Ran = request.Ran(fault.Get("ran").Str)
			return "", errNoEndMark
		}
		if s.Tokens == 0 {
			s.FirstToken = time.Since(s.SentAt)
		}
		s.Tokens++
		text.WriteString(gjson.Get(event.Data, "choices.0.delta.content").Str)
	}
	return "", errNoEndMark
}

// readWhole reads an answer that is not streamed and returns its text.
func (s *Sample) readWhole(r io.Reader) (string, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	if s.Source.Service != "" {
		return string(data), nil
	}
	s.Tokens = int(gjson.GetBytes(data, "usage.completion_tokens").Int())
	return gjson.GetBytes(data, "choices.0.message.content").Str, nil
}

// metTargets reports whether the answer met the targets of its class, as measured by the caller.
func (s *Sample) metTargets(policy *settings.Policy) bool {
	if !s.Answered {
		return false
	}
	if policy.WholeAnswer > 0 && s.TotalTime > policy.WholeAnswer {
		return false
	}
	if !s.Source.Stream {
		return true
	}
	if policy.FirstToken > 0 && s.FirstToken > policy.FirstToken {
		return false
	}
	return s.Tokens < 2 || policy.BetweenTokens == 0 ||
		(s.TotalTime-s.FirstToken)/time.Duration(s.Tokens-1) <= policy.BetweenTokens
}

// formatTargets formats the targets of a class for the table.
func formatTargets(policy *settings.Policy) string {
	if policy.WholeAnswer > 0 {
		return "whole " + policy.WholeAnswer.String()
	}
	return policy.FirstToken.String() + " +" + strconv.FormatInt(policy.BetweenTokens.Milliseconds(), 10) + "ms"
}
