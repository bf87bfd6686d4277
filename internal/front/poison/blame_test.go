package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// blameSimulation simulates ten minutes in which endpoints crash, because of a poison request or for other reasons,
// while harmless requests run. Requests whose endpoint crashes are sent to another one, and callers retry once. The
// table receives all evidence without delay.
type blameSimulation struct {
	table  *Table
	random *rand.Rand
	now    freshness.StoreTime
	// downUntil is when each endpoint is up again, generation counts its restarts.
	downUntil   []freshness.StoreTime
	generation  []int
	running     []*simulatedRun
	lastRequest keys.Content
	sent        int
	blamed      int
}

// simulatedRun is a request at an endpoint.
type simulatedRun struct {
	// contents are the request and the parts of its prompt, as in Call.
	contents []keys.Content
	endpoint int
	// begun is when the endpoint begins to answer, until is when it has finished.
	begun, until freshness.StoreTime
	// sends counts the attempts so far. A poison run crashes its endpoint when it finishes.
	sends    int
	isPoison bool
}

const (
	blameEndpoints = 36
	blameStep      = freshness.StoreTime(20 * time.Millisecond)
	blameDuration  = freshness.StoreTime(10 * time.Minute)
	// requestsPerStep is the number of requests that arrive in a step; each runs for maxRunTime at most.
	requestsPerStep = 2
	maxRunTime      = freshness.StoreTime(2 * time.Second)
	// timeToBegin is the time until an endpoint begins to answer, lossSpread the time over which the endpoints of a
	// lost zone crash.
	timeToBegin = freshness.StoreTime(40 * time.Millisecond)
	lossSpread  = freshness.StoreTime(300 * time.Millisecond)
	restartTime = freshness.StoreTime(3 * time.Second)
	// blameSessions and blameClasses are the numbers of parts that prompts share.
	blameSessions = 40
	blameClasses  = 3
	// maxSends is two tries of a caller with two attempts each.
	maxSends = 4
)

func newBlameSimulation(seed uint64) *blameSimulation {
	return &blameSimulation{
		table: NewTable(), random: rand.New(rand.NewPCG(seed, 0)), downUntil: make([]freshness.StoreTime, blameEndpoints),
		generation: make([]int, blameEndpoints), lastRequest: 100,
	}
}

// run runs the simulation; crash returns the endpoints that crash by themselves in a step.
func (s *blameSimulation) run(crash func(s *blameSimulation) []int) {
	for ; s.now < blameDuration; s.now += blameStep {
		for _, endpoint := range crash(s) {
			s.crash(endpoint)
		}
		s.finishRuns()
		s.table.Judge(s.now)
		for range requestsPerStep {
			s.lastRequest++
			s.sent++
			r := &simulatedRun{contents: s.harmless()}
			s.table.RecordRequest(r.contents)
			s.send(r)
		}
		if s.now%freshness.StoreTime(time.Second) == 0 {
			s.table.Expire(s.now)
		}
	}
}

// harmless returns the contents of a new request: the part of a session and that of a class are shared.
func (s *blameSimulation) harmless() []keys.Content {
	return []keys.Content{s.lastRequest, simulatedPart("session", s.random.IntN(blameSessions)), simulatedPart("class", s.random.IntN(blameClasses))}
}

func simulatedPart(kind string, n int) keys.Content {
	return keys.OfPart("workspace", fmt.Sprint(kind, n))
}

// isPoison reports whether there is a verdict on any of some contents.
func (s *blameSimulation) isPoison(contents []keys.Content) bool {
	return slices.ContainsFunc(contents, s.table.IsPoison)
}

// send sends a request to a random endpoint that is up, unless the request is poison by the table's verdict.
func (s *blameSimulation) send(r *simulatedRun) {
	if s.isPoison(r.contents) {
		if !r.isPoison {
			s.blamed++
		}
		return
	}
	if r.sends >= maxSends {
		return
	}
	for range 2 * blameEndpoints {
		endpoint := s.random.IntN(blameEndpoints)
		if s.downUntil[endpoint] <= s.now {
			r.endpoint, r.sends = endpoint, r.sends+1
			r.begun = s.now + timeToBegin
			r.until = r.begun + freshness.StoreTime(s.random.Int64N(int64(maxRunTime)))
			s.running = append(s.running, r)
			return
		}
	}
}

// finishRuns completes the runs whose time has passed.
func (s *blameSimulation) finishRuns() {
	var left []*simulatedRun
	var ended []int
	for _, r := range s.running {
		switch {
		case r.until > s.now:
			left = append(left, r)
		case r.isPoison:
			left = append(left, r)
			ended = append(ended, r.endpoint)
		default:
			for _, content := range r.contents {
				s.table.RecordAnswer(s.now, content, 0)
			}
		}
	}
	s.running = left
	for _, endpoint := range ended {
		s.crash(endpoint)
	}
}

// partition returns the runs that match, and the others.
func partition[T any](runs []T, matches func(T) bool) (matching, others []T) {
	for _, r := range runs {
		if matches(r) {
			matching = append(matching, r)
		} else {
			others = append(others, r)
		}
	}
	return matching, others
}

// crash crashes an endpoint, and sends the requests that ran there to others.
func (s *blameSimulation) crash(endpoint int) {
	if s.downUntil[endpoint] > s.now {
		return
	}
	key := keys.OfEndpoint(fmt.Sprint(endpoint, "-", s.generation[endpoint]))
	s.downUntil[endpoint] = s.now + restartTime
	s.generation[endpoint]++
	var broken []*simulatedRun
	broken, s.running = partition(s.running, func(r *simulatedRun) bool { return r.endpoint == endpoint })
	for _, r := range broken {
		for _, content := range r.contents {
			s.table.RecordCrash(content, Crash{Endpoint: key, At: s.now, Begun: r.begun <= s.now})
		}
	}
	s.table.Judge(s.now)
	for _, r := range broken {
		s.send(r)
	}
}

// TestHarmlessRequestsAreNotBlamed has endpoints of a zone crash repeatedly without any poison request. At most 1 in
// 10,000 requests may be rejected by mistake.
func TestHarmlessRequestsAreNotBlamed(t *testing.T) {
	const zone = blameEndpoints / 3
	tests := map[string]int{"a sixth of a zone": zone / 6, "half of a zone": zone / 2, "all of a zone": zone}
	for name, number := range tests {
		t.Run(name, func(t *testing.T) {
			sent, blamed := 0, 0
			for seed := range uint64(3) {
				s := newBlameSimulation(seed)
				crashes := make(map[freshness.StoreTime][]int)
				s.run(func(s *blameSimulation) []int {
					// Every 15 s a zone loses that many endpoints within lossSpread.
					if s.now%freshness.StoreTime(15*time.Second) == 0 {
						first := s.random.IntN(3) * zone
						for n := range number {
							at := s.now + freshness.StoreTime(s.random.Int64N(int64(lossSpread/blameStep)))*blameStep
							crashes[at] = append(crashes[at], first+n)
						}
					}
					return crashes[s.now]
				})
				sent += s.sent
				blamed += s.blamed
			}
			t.Logf("%d of %d harmless requests rejected", blamed, sent)
			qt.Check(t, blamed*10_000 <= sent, qt.IsTrue)
		})
	}
}

// TestHarmlessRequestsRunningWithPoisonAreNotBlamed sends a poison request every half second for ten minutes, a new
// one each minute. At most 1 in 10,000 harmless requests may be rejected by mistake, and the number of crashes must
// stay bounded.
func TestHarmlessRequestsRunningWithPoisonAreNotBlamed(t *testing.T) {
	sent, blamed, crashes := 0, 0, 0
	for seed := range uint64(3) {
		s := newBlameSimulation(seed)
		s.run(func(s *blameSimulation) []int {
			if s.now%freshness.StoreTime(500*time.Millisecond) == 0 {
				minute := keys.Content(s.now / freshness.StoreTime(time.Minute))
				s.send(&simulatedRun{contents: []keys.Content{1 + minute}, isPoison: true})
			}
			return nil
		})
		sent += s.sent
		blamed += s.blamed
		for _, generation := range s.generation {
			crashes += generation
		}
	}
	t.Logf("%d of %d harmless requests rejected, %d crashes from 30 poison requests", blamed, sent, crashes)
	qt.Check(t, blamed*10_000 <= sent, qt.IsTrue)
	qt.Check(t, crashes <= 30*2*minMajorityCrashes, qt.IsTrue)
}

// TestHarmlessRequestsBesidePoisonPartAreNotBlamed sends requests with one poison part, no two alike, every half second for
// ten minutes, a new part each minute. They share the other parts with harmless requests, of which at most 1 in 10,000 may
// be rejected by mistake. The users accept five crashes and three more requests for each part.
func TestHarmlessRequestsBesidePoisonPartAreNotBlamed(t *testing.T) {
	tests := map[string]func(poison keys.Content) []keys.Content{
		"behind the part of a class": func(poison keys.Content) []keys.Content { return []keys.Content{poison, simulatedPart("class", 0)} },
		"before the part of a session": func(poison keys.Content) []keys.Content {
			return []keys.Content{simulatedPart("session", 0), poison, simulatedPart("class", 0)}
		},
	}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			sent, blamed, crashes := 0, 0, 0
			for seed := range uint64(3) {
				s := newBlameSimulation(seed)
				s.run(func(s *blameSimulation) []int {
					if s.now%freshness.StoreTime(500*time.Millisecond) == 0 {
						s.lastRequest++
						poison := simulatedPart("poison", int(s.now/freshness.StoreTime(time.Minute)))
						s.send(&simulatedRun{contents: append([]keys.Content{s.lastRequest}, parts(poison)...), isPoison: true})
					}
					return nil
				})
				sent += s.sent
				blamed += s.blamed
				for _, generation := range s.generation {
					crashes += generation
				}
			}
			t.Logf("%d of %d harmless requests rejected, %d crashes from 30 poison parts", blamed, sent, crashes)
			qt.Check(t, blamed*10_000 <= sent, qt.IsTrue)
			qt.Check(t, crashes <= 30*(5+3), qt.IsTrue)
		})
	}
}
