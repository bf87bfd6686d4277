package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/platform/proof/standin"
)

// The traffic of one of the eight hosts of mfs-kochi.
const (
	summaryTimeout, lookupTimeout = 6 * time.Second, 1500 * time.Millisecond
	burstGap                      = summaryGap * 10 / 24
	summaryGap, lookupGap         = 850 * time.Millisecond, 1160 * time.Millisecond
	summaryBody, lookupBody       = 4_000_000, 90_000
	summaryEvents                 = 17
	summaryPause                  = 115 * time.Millisecond
	lookupWork                    = 30 * time.Millisecond
	// clientWait is how long the clients wait, as they say in X-Deadline-Ms.
	clientWait = 8 * time.Second
	// The traffic of one class grows to 2.4 times the usual for burstTime, the dose of the site.
	burstTime   = 9 * time.Second
	calmTime    = 4 * time.Second
	judgedAfter = 500 * time.Millisecond
)

// lookup is what a client has seen of one request.
type lookup struct {
	timeout, took time.Duration
}

func runBodies(r *rig) (bool, error) {
	if err := r.putTriageSite(); err != nil {
		return false, err
	}
	h, err := r.startHost("front-kakkanad-a-1", "kakkanad-a", deployment{memoryMB: 134, slack: 56}, nil)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var seen []lookup
	var calls sync.WaitGroup
	send := func(path, id string, size int, timeout time.Duration) {
		calls.Go(func() {
			began := time.Now()
			status, err := post(h.callers, path, id, size)
			took := time.Since(began)
			r.log("%s was sent %d ms ago with %d bytes; answer: %d, %v", id, took.Milliseconds(), size, status, err)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, lookup{timeout, took})
		})
	}
	began := time.Now()
	burstFrom, burstUntil := calmTime, calmTime+burstTime
	summaryAt, lookupAt := time.Duration(0), time.Duration(0)
	for n := 0; min(summaryAt, lookupAt) < burstUntil+calmTime; n++ {
		if summaryAt < lookupAt {
			time.Sleep(time.Until(began.Add(summaryAt)))
			send("/summary/x", fmt.Sprintf("summary-%d", n), summaryBody, summaryTimeout)
			gap := summaryGap
			if r.trouble && summaryAt >= burstFrom && summaryAt < burstUntil {
				gap = burstGap
			}
			summaryAt += gap
			continue
		}
		time.Sleep(time.Until(began.Add(lookupAt)))
		send("/lookup/x", fmt.Sprintf("lookup-%d", n), lookupBody, lookupTimeout)
		lookupAt += lookupGap
	}
	calls.Wait()
	open, later := 0, 0
	for _, s := range seen {
		if s.took >= s.timeout {
			open++
		}
		if s.took >= s.timeout+judgedAfter {
			later++
		}
	}
	r.note("%d of %d requests had no answer at their route's TimeoutMs, %d of them had none half a second later", open, len(seen), later)
	return 2*later > open, nil
}

// putTriageSite writes the configuration and starts the servers.
func (r *rig) putTriageSite() error {
	route := func(name, kind, service string, timeout, target time.Duration) map[string]any {
		return map[string]any{
			"Name": name, "Host": "a.example", "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": target.Milliseconds(),
			"GapTargetMs": 1500, "Priority": 2, "Service": service, "MaxAttempts": 1, "Public": true,
		}
	}
	err := r.put("op", "config", map[string]any{
		"Version": 7, "Routes": []any{
			route("summary", "stream", "engines", summaryTimeout, 2*time.Second), route("lookup", "unsafe", "apps", lookupTimeout, 150*time.Millisecond),
		},
		"Services": []any{
			map[string]any{"Name": "engines", "HealthPath": "/health", "MaxConns": 370, "Engine": map[string]any{"Slots": 64, "KvCapacityTokens": 391784, "KvTokenBytes": 18432, "Stride": 7}},
			map[string]any{"Name": "apps", "HealthPath": "/health", "MaxConns": 110},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	engine, err := standin.NewServer("i-engine", "engines", func(x *standin.Exchange) bool {
		r.log("%s runs at the engine", x.ID)
		x.StreamHead()
		for n := range summaryEvents {
			time.Sleep(summaryPause)
			x.Event(n + 1)
		}
		x.EndStream()
		return true
	})
	if err != nil {
		return err
	}
	app, err := standin.NewServer("i-app", "apps", func(x *standin.Exchange) bool {
		r.log("%s runs at the app", x.ID)
		time.Sleep(lookupWork)
		x.Answer(http.StatusOK, "done")
		return true
	})
	if err != nil {
		return err
	}
	if err := r.putServer("i-engine", "engines", engine.Address(), "kakkanad-a", 64); err != nil {
		return err
	}
	return r.putServer("i-app", "apps", app.Address(), "kakkanad-a", 6)
}

// post sends a request with a body on a connection of its own and reads the answer.
func post(address, path, id string, size int) (status int, err error) {
	client := &http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(bytes.Repeat([]byte("x"), size)))
	if err != nil {
		return 0, err
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientWait.Milliseconds(), 10))
	answer, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
