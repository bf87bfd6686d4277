package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowslip.dev/oxbowslip/platform/proof/standin"
)

// The bounds and figures of the case lapse, as on the sheet of a small deployment with 8 machines and 4 servers of the
// application.
const (
	drainTime    = 2000 * time.Millisecond
	lapseFronts  = 8
	lapseServers = 4
	lapseService = "tracker-api"
	// lapseEvery is the time between two requests to each of the fronts that are left: together four to five times as many
	// as on the sheet (13.25 a second). lapseWork is the time that a server takes for one.
	lapseEvery = 65 * time.Millisecond
	lapseWork  = 30 * time.Millisecond
	// serveOn is how long a server serves after its entry has gone: drainTime and a little longer.
	serveOn = 2500 * time.Millisecond
	// watchReaders is the time in which each front that reads the store for the others makes a call.
	watchReaders = 3 * time.Second
)

// arrival is a request at a server.
type arrival struct {
	server string
	at     time.Time
}

// bookings is what the clients and servers of the case have seen.
type bookings struct {
	mu       sync.Mutex
	sentTo   map[string]string
	arrivals map[string]arrival
	answers  map[string]int
}

// readCalls returns how often a front has read the store for the others, by its metrics.
func (x *front) readCalls() (int, error) {
	response, err := http.Get("http://" + x.metrics + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), `oxbowslip_store_calls_total{reason="read"} `); ok {
			calls, err := strconv.ParseFloat(value, 64)
			return int(calls), err
		}
	}
	return 0, lines.Err()
}

// splitReaders returns the fronts that read the store for the others, and the others.
func (f *fleet) splitReaders() (reading, others []*front, err error) {
	before := make(map[*front]int)
	for _, x := range f.fronts {
		if before[x], err = x.readCalls(); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(watchReaders)
	for _, x := range f.fronts {
		calls, err := x.readCalls()
		if err != nil {
			return nil, nil, err
		}
		if calls > before[x] {
			f.note("%s reads the store", x.name)
			reading = append(reading, x)
		} else {
			others = append(others, x)
		}
	}
	if len(reading) == 0 || len(others) == 0 {
		return nil, nil, errors.New("the fronts that read the store can't be told")
	}
	return reading, others, nil
}

// behaviour is that of a server of the application: it takes lapseWork for each request.
func (b *bookings) behaviour(f *fleet, server string) standin.Behaviour {
	return func(x *standin.Exchange) bool {
		f.note("server %s runs request %s", server, x.ID)
		b.mu.Lock()
		b.arrivals[x.ID] = arrival{server, time.Now()}
		b.mu.Unlock()
		time.Sleep(lapseWork)
		return standin.Echo(x)
	}
}

// book sends a request that may not be repeated to a front.
func (b *bookings) book(f *fleet, x *front, id string) {
	f.note("request %s is sent", id)
	b.mu.Lock()
	b.sentTo[id] = x.name
	b.mu.Unlock()
	status := 0
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.answers[id] = status
		f.note("request %s is answered with %d", id, status)
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+x.callers+"/pule252/2f", strings.NewReader("one booking"))
	if err != nil {
		return
	}
	request.Host = "ficu95.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		status = response.StatusCode
	}
}

// send sends requests to a front until stop is closed.
func (b *bookings) send(f *fleet, x *front, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(lapseEvery):
			open.Go(func() { b.book(f, x, fmt.Sprintf("%s.%d", x.name, n)) })
		}
	}
}

// startLapse starts the servers and the fronts of the case.
func startLapse(f *fleet, b *bookings) error {
	if err := f.configure(map[string]any{
		"Version": 7, "Services": []any{map[string]any{"Name": lapseService, "HealthPath": "/health", "MaxConns": 110}}, "Limits": limits(),
		"Routes": []any{map[string]any{
			"Name": "r-lookup", "Host": "ficu95.example", "PathPrefix": "/pule252/", "Kind": "unsafe", "TimeoutMs": 1200, "TargetLatencyMs": 150,
			"Priority": 1, "Service": lapseService, "MaxAttempts": 1, "Public": true,
		}},
	}); err != nil {
		return err
	}
	for n := range lapseServers {
		id := fmt.Sprintf("i-%d", n+1)
		if _, err := f.addServer(id, lapseService, 6, b.behaviour(f, id)); err != nil {
			return err
		}
	}
	if err := f.addFronts(lapseFronts); err != nil {
		return err
	}
	return f.awaitReady()
}

// runLapse takes half of the servers of a service away, right after the fronts that read the store for all have been
// killed. It checks that no front sends them a request more than drainTime after the store has taken that they leave. The
// fronts that are left suffer no disruption, and neither does the store.
func runLapse(f *fleet, trouble bool) (broken bool, err error) {
	b := &bookings{sentTo: make(map[string]string), arrivals: make(map[string]arrival), answers: make(map[string]int)}
	if err := startLapse(f, b); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	reading, others, err := f.splitReaders()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, x := range others {
		clients.Go(func() { b.send(f, x, stop) })
	}
	time.Sleep(time.Second)
	if trouble {
		for _, x := range reading {
			if err := f.signal(x, syscall.SIGKILL); err != nil {
				return false, err
			}
		}
	}
	leaving := f.servers[:lapseServers/2]
	for _, s := range leaving {
		f.store.Drop("servers", s.ID)
		f.note("the store has taken it that %s leaves", s.ID)
	}
	acknowledged := time.Now()
	time.Sleep(serveOn)
	for _, s := range leaving {
		f.note("%s ends", s.ID)
		s.Close()
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return b.judge(f, leaving, acknowledged), nil
}

// judge reports whether a request reached a server that left too late.
func (b *bookings) judge(f *fleet, leaving []*standin.Server, acknowledged time.Time) (broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hasLeft := make(map[string]bool)
	for _, s := range leaving {
		hasLeft[s.ID] = true
	}
	late, unanswered, last := 0, 0, time.Duration(0)
	for id, a := range b.arrivals {
		since := a.at.Sub(acknowledged)
		if !hasLeft[a.server] || since < 0 {
			continue
		}
		last = max(last, since)
		if since <= drainTime {
			continue
		}
		late++
		if b.answers[id] != http.StatusOK {
			unanswered++
		}
		f.note("request %s, sent to %s, reached %s %d ms after the acknowledgement, answered with %d", id, b.sentTo[id], a.server, since.Milliseconds(), b.answers[id])
	}
	f.note("%d requests were sent and %d arrived", len(b.sentTo), len(b.arrivals))
	f.note("the last request at a server that left arrived %d ms after the acknowledgement; %d arrived after %d ms, %d of them were not answered with 200",
		last.Milliseconds(), late, drainTime.Milliseconds(), unanswered)
	return late > 0
}
