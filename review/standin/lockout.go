package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowslip.dev/oxbowslip/platform/proof/standin"
)

// The bounds and figures of the case lockout, as on the sheet of a small deployment.
const (
	lockoutFronts  = 7
	lockoutServers = 9
	lockoutSlots   = 64
	lockoutService = "tiller-llm"
	// recoverS is RecoverS.
	recoverS = 12 * time.Second
	// streamEvents and eventEvery are the length and the pace of an answer, streamEvery is the time between two requests
	// (8.41 a second), and streamWait the time that a client waits.
	streamEvents = 30
	eventEvery   = 200 * time.Millisecond
	streamEvery  = 119 * time.Millisecond
	streamWait   = 12 * time.Second
	// strikes is the number of crashes of single servers, in turn and strikeEvery apart. A server is down for crashDown.
	strikes     = 4 * lockoutServers
	strikeEvery = 250 * time.Millisecond
	crashDown   = 900 * time.Millisecond
	// strikesAfter is the time from the start of the fronts after the final fault to the first crash.
	strikesAfter = 1500 * time.Millisecond
	// beatsLost is the time after which the entry of a silent server goes.
	beatsLost = 3600 * time.Millisecond
	// systemPrompt is the first part of all prompts, subjects the number of different second ones. The last part is the
	// request's own.
	systemPrompt = "5c1e07a2:9300"
	subjects     = 41
)

// tenantWeights are the shares of the tenants in the requests: a few of them are large.
var tenantWeights = []int{8, 4, 2, 1, 1, 1, 1, 1, 1, 1}

// tenantKey returns the key of a tenant.
func tenantKey(tenant int) string { return fmt.Sprintf("n2ctnfzs989anu6wsj%02d", tenant) }

// tenantOf returns the tenant of the n-th request.
func tenantOf(n int) int {
	sum := 0
	for _, weight := range tenantWeights {
		sum += weight
	}
	// The step has no common factor with the sum, so that the requests of a tenant are spread.
	const step = 8
	place := n * step % sum
	for tenant, weight := range tenantWeights {
		if place -= weight; place < 0 {
			return tenant
		}
	}
	return 0
}

// tenants returns the tenants of a configuration.
func tenants() []any {
	var list []any
	for tenant := range tenantWeights {
		list = append(list, map[string]any{"Name": fmt.Sprintf("hule%d", tenant), "ApiKeys": []string{tenantKey(tenant)}, "Priority": 1})
	}
	return list
}

// sent is a request of a client and its end.
type sent struct {
	at     time.Time
	served bool
	end    string
}

// streamer sends streams at a steady rate to fronts that are ready.
type streamer struct {
	fleet *fleet
	mu    sync.Mutex
	sent  []*sent
}

// run sends requests until stop is closed, and waits for their ends.
func (s *streamer) run(stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(streamEvery):
		}
		r := &sent{at: time.Now()}
		s.mu.Lock()
		s.sent = append(s.sent, r)
		s.mu.Unlock()
		tenant := tenantOf(n)
		clients.Go(func() {
			// A client tries once more, on a new connection and with an id of its own.
			for try := range 2 {
				left := streamWait - time.Since(r.at)
				if left <= 0 {
					return
				}
				id := fmt.Sprintf("%d-%d", n, try)
				served, end := s.try(id, tenant, n, left)
				s.fleet.note("request %s ends: %s", id, end)
				s.mu.Lock()
				r.served, r.end = served, end
				s.mu.Unlock()
				if served {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// try sends a request to a front that accepts connections. It returns whether the whole stream came, and its end in words.
func (s *streamer) try(id string, tenant, n int, left time.Duration) (served bool, end string) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	x := s.fleet.fronts[rand.IntN(len(s.fleet.fronts))]
	s.fleet.note("request %s of tenant %d is sent to %s", id, tenant, x.name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.callers+"/lohu930/2f", strings.NewReader(fmt.Sprintf("draft %d", n)))
	if err != nil {
		return false, err.Error()
	}
	request.Close = true
	request.Host = "ficu95.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Bearer "+tenantKey(tenant))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Counts", "17020,120")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,a%x:4000,b%x:3720", systemPrompt, n%subjects, n))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false, "no answer"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get("X-Response-Stamp") == "" {
		return false, strconv.Itoa(response.StatusCode)
	}
	lines, events := bufio.NewScanner(response.Body), 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if lines.Err() != nil || events != streamEvents {
		return false, fmt.Sprintf("cut after %d events", events)
	}
	return true, "whole"
}

// share returns how many of the requests sent between two times were served.
func (s *streamer) share(name string, from, to time.Time) (served, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(map[string]int)
	for _, r := range s.sent {
		if r.at.Before(from) || !r.at.Before(to) {
			continue
		}
		all++
		if r.served {
			served++
		}
		ends[r.end]++
	}
	s.fleet.note("%s: %d of %d requests served, ends: %v", name, served, all, ends)
	return served, all
}

// pacedStream is the behaviour of a server: it sends the events of a stream at a steady pace, after Last-Event-Id if there
// is one.
func (f *fleet) pacedStream(server string) standin.Behaviour {
	return func(x *standin.Exchange) bool {
		first := 1
		if last, err := strconv.Atoi(x.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		f.note("server %s runs request %s from event %d on", server, x.ID, first)
		x.StreamHead()
		for n := first; n <= streamEvents; n++ {
			x.Event(n)
			time.Sleep(eventEvery)
		}
		x.EndStream()
		return true
	}
}

// addEngine starts a model server.
func (f *fleet) addEngine(number int) (*standin.Server, error) {
	id := fmt.Sprintf("i-%d", number)
	return f.addServer(id, lockoutService, lockoutSlots, f.pacedStream(id))
}

// crashInTurn crashes the servers one after the other, again and again. Each starts again as a new incarnation.
func (f *fleet) crashInTurn(servers []*standin.Server) error {
	var mu sync.Mutex
	var failed error
	for n := range strikes {
		place := n % len(servers)
		mu.Lock()
		s := servers[place]
		mu.Unlock()
		f.note("server %s crashes", s.ID)
		s.Close()
		time.AfterFunc(beatsLost, func() { f.store.Drop("servers", s.ID) })
		time.AfterFunc(crashDown, func() {
			next, err := f.addEngine(lockoutServers + n + 1)
			mu.Lock()
			defer mu.Unlock()
			servers[place], failed = next, errors.Join(failed, err)
		})
		time.Sleep(strikeEvery)
	}
	time.Sleep(2 * crashDown)
	mu.Lock()
	defer mu.Unlock()
	return failed
}

// runLockout kills all fronts, starts them again, and has model servers crash in turn while the first streams run. It
// checks that a quarter of the requests sent later than RecoverS after the start is served.
func runLockout(f *fleet, trouble bool) (broken bool, err error) {
	if err := f.configure(map[string]any{
		"Version": 7, "Limits": limits(), "Tenants": tenants(), "Services": []any{map[string]any{
			"Name": lockoutService, "HealthPath": "/health", "MaxConns": 360,
			"Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 521945, "KvTokenBytes": 327680, "Stride": 4},
		}},
		"Routes": []any{map[string]any{
			"Name": "r-itinerary", "Host": "ficu95.example", "PathPrefix": "/lohu930/", "Kind": "stream", "TimeoutMs": 12000, "TargetLatencyMs": 2500, "GapTargetMs": 1200,
			"Priority": 1, "Service": lockoutService, "MaxAttempts": 2, "ResumeStreams": true, "StickySessions": true,
		}},
	}); err != nil {
		return false, err
	}
	var servers []*standin.Server
	for n := range lockoutServers {
		s, err := f.addEngine(n + 1)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.addFronts(lockoutFronts); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	clients := &streamer{fleet: f}
	stop, done := make(chan struct{}), make(chan struct{})
	started := time.Now()
	go func() {
		defer close(done)
		clients.run(stop)
	}()
	time.Sleep(12 * time.Second)
	fault := time.Now()
	f.note("final fault: all processes are killed")
	for _, x := range f.fronts {
		if err := f.signal(x, syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	time.Sleep(600 * time.Millisecond)
	for _, x := range f.fronts {
		<-x.exited
		if err := f.startFront(x); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(strikesAfter)
	if trouble {
		if err := f.crashInTurn(servers); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(3 * recoverS)))
	end := time.Now()
	close(stop)
	<-done
	served, all := clients.share("before the final fault", started, fault.Add(-streamWait/2))
	if all == 0 || 4*served < all {
		return false, fmt.Errorf("only %d of %d requests were served before the final fault", served, all)
	}
	clients.share("sent within RecoverS", back, back.Add(recoverS))
	served, all = clients.share("sent later than RecoverS after the machines were back", back.Add(recoverS), end)
	return 4*served < all, nil
}
