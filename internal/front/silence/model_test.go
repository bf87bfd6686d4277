package silence

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// model plays a service whose endpoints stand still for a while. Each endpoint has streams that all began before. Time
// passes in steps; no I/O is done.
type model struct {
	now, pauseStart, pauseEnd time.Time
	tracker                   *Tracker
	paused                    map[string]bool
	budget                    int
	// isCautious is set if calls follow Choose. Otherwise they leave at their limit, before they know where to go.
	isCautious bool
	policy     settings.Policy
	calls      []*modelCall
	// lost counts the calls that were given up, moved those that went to another endpoint.
	lost, moved int
	latest      time.Duration
}

// modelCall is a stream that ends with its last event.
type modelCall struct {
	endpoint string
	waiting  *Call
	// eventAt is when its next event is due, dataAt when it had the last one.
	eventAt, dataAt time.Time
	left            int
	tries           int
	lookAt          time.Time
}

const (
	modelStep     = 10 * time.Millisecond
	modelEvent    = 40 * time.Millisecond
	modelRead     = 200 * time.Millisecond
	modelEvents   = 20
	modelPerHost  = 5
	modelTarget   = 300 * time.Millisecond
	modelMaxTries = 2
)

func endpointName(n int) string { return fmt.Sprint("engine-", n) }

// newModel returns a service of which some endpoints fall silent shortly after the start. Idle endpoints have no streams.
func newModel(endpoints, idle, silent int, pause time.Duration, budget int, isCautious bool) *model {
	m := &model{
		now: time.Unix(0, 0), paused: make(map[string]bool), budget: budget, isCautious: isCautious,
		policy: settings.Policy{Stream: true, Resumable: true, MaxPause: modelTarget},
	}
	m.pauseStart = m.now.Add(100 * time.Millisecond)
	m.pauseEnd = m.pauseStart.Add(pause)
	m.tracker = New(func() time.Time { return m.now })
	for n := range endpoints {
		id := endpointName(n)
		m.paused[id] = n < silent
		for i := range modelPerHost {
			if n >= endpoints-idle {
				break
			}
			c := &modelCall{left: modelEvents, tries: 1}
			m.send(c, id, time.Duration(i)*modelStep)
			m.calls = append(m.calls, c)
		}
	}
	return m
}

func (m *model) send(c *modelCall, endpoint string, delay time.Duration) {
	c.endpoint, c.waiting = endpoint, m.tracker.Begin("engines", endpoint)
	c.eventAt, c.dataAt = m.now.Add(delay), m.now
	c.lookAt = m.now.Add(EventLimit(&m.policy))
}

func (m *model) isSilent(endpoint string) bool {
	return m.paused[endpoint] && !m.now.Before(m.pauseStart) && m.now.Before(m.pauseEnd)
}

// run plays until all calls have ended.
func (m *model) run() {
	for len(m.calls) > 0 {
		m.now = m.now.Add(modelStep)
		open := m.calls[:0]
		for _, c := range m.calls {
			if !m.advance(c) {
				open = append(open, c)
			}
		}
		m.calls = open
	}
}

// advance reports whether the call has ended.
func (m *model) advance(c *modelCall) bool {
	if !m.isSilent(c.endpoint) && !m.now.Before(c.eventAt) {
		c.waiting.RecordData()
		m.latest = max(m.latest, m.now.Sub(c.dataAt))
		c.dataAt, c.eventAt = m.now, m.now.Add(modelEvent)
		c.lookAt = m.now.Add(EventLimit(&m.policy))
		c.left--
		if c.left == 0 {
			c.waiting.End()
		}
		return c.left == 0
	}
	if c.tries >= modelMaxTries || m.now.Before(c.lookAt) {
		return false
	}
	quiet := QuietTime(EventLimit(&m.policy))
	c.lookAt = m.now.Add(LookInterval(quiet))
	other, isBetter := m.choose(c, quiet)
	if !m.isCautious && m.budget == 0 {
		m.lost++
		c.waiting.End()
		return true
	}
	if m.budget == 0 || (m.isCautious && !isBetter) {
		return false
	}
	m.budget--
	m.moved++
	c.tries++
	c.waiting.RecordLeft()
	c.waiting.End()
	dataAt := c.dataAt
	m.send(c, other, modelRead)
	c.dataAt = dataAt
	return false
}

// choose returns the endpoint with the fewest calls, as placement does, of those that a call may leave for, and whether the
// call leaves its own for it. Calls that are not cautious don't know which ones are silent.
func (m *model) choose(c *modelCall, quiet time.Duration) (string, bool) {
	survey := m.tracker.Survey("engines", quiet)
	scope := ScopeOf(&survey, m.tracker.IsTrialDue("engines", quiet), false)
	chosen, isBetter := "", false
	own := m.tracker.State("engines", c.endpoint, quiet)
	for n := range len(m.paused) {
		id := endpointName(n)
		state := m.tracker.State("engines", id, quiet)
		isRuledOut := state == Silent || scope == Nowhere || scope == AmongAlive && state != Alive
		if id == c.endpoint || m.isCautious && isRuledOut || chosen != "" && m.open(id) >= m.open(chosen) {
			continue
		}
		chosen = id
	}
	if m.isCautious && chosen == "" && MayReconnect(own, m.tracker.IsTrialDue("engines", quiet)) {
		return c.endpoint, own == Alive || m.tracker.BeginTrial("engines", quiet)
	}
	if m.isCautious && chosen != "" {
		choice := Choose(&survey, m.tracker.State("engines", chosen, quiet), false)
		isBetter = choice == Leave || choice == LeaveAsTrial && m.tracker.BeginTrial("engines", quiet)
	}
	return chosen, isBetter
}

// open returns the number of calls at an endpoint.
func (m *model) open(id string) int {
	if e, ok := m.tracker.services["engines"][id]; ok {
		return e.open
	}
	return 0
}

// TestModelOfSilence plays the rules over pauses of different lengths of one, most and all of four endpoints, with and
// without a retry budget, next to calls that leave at their limit whatever comes then. No call may be lost, and where
// there is a budget none may have a longer pause than a pause of all endpoints, or the limit and a new start, requires.
func TestModelOfSilence(t *testing.T) {
	const endpoints, noBudget, fullBudget = 4, 0, 1000
	for _, silent := range []int{1, 3, 4} {
		for _, idle := range []int{0, 1} {
			for _, budget := range []int{noBudget, fullBudget} {
				for _, pause := range []time.Duration{200, 600, 1300, 1500, 2500, 5000} {
					pause *= time.Millisecond
					name := fmt.Sprintf("%d silent, %d idle, budget %d, %v", silent, idle, budget, pause)
					t.Run(name, func(t *testing.T) {
						c := qt.New(t)
						before := newModel(endpoints, idle, silent, pause, budget, false)
						before.run()
						m := newModel(endpoints, idle, silent, pause, budget, true)
						m.run()
						t.Logf("lost %d (before %d), moved %d (%d), longest pause %v (%v)", m.lost, before.lost, m.moved, before.moved, m.latest, before.latest)
						c.Check(m.lost, qt.Equals, 0)
						worst := pause + modelRead
						if budget > 0 && silent < endpoints {
							// The trial, its first event, and the calls that wait for it.
							limit := EventLimit(&m.policy)
							worst = min(worst, limit+LookInterval(QuietTime(limit))+2*modelRead)
						}
						c.Check(m.latest <= worst+modelEvent+2*modelStep, qt.IsTrue, qt.Commentf("longest pause %v", m.latest))
						if silent == endpoints {
							// One trial in each quiet time.
							c.Check(m.moved <= 1+int(pause/QuietTime(EventLimit(&m.policy))), qt.IsTrue, qt.Commentf("moved %d", m.moved))
						}
					})
				}
			}
		}
	}
}

func TestChoose(t *testing.T) {
	tests := map[string]struct {
		silent, alive int
		other         State
		isUnreachable bool
		want          Choice
	}{
		"the other one is silent":                           {2, 9, Silent, false, Stay},
		"the other one is silent, the own unreachable":      {2, 9, Silent, true, Stay},
		"the other one is alive":                            {8, 1, Alive, false, Leave},
		"only the own is silent":                            {1, 0, Unknown, false, Leave},
		"the own is not silent to other calls":              {0, 1, Unknown, false, Leave},
		"most are alive":                                    {2, 2, Unknown, false, Leave},
		"most are silent":                                   {3, 2, Unknown, false, LeaveAsTrial},
		"all are silent":                                    {3, 0, Unknown, false, LeaveAsTrial},
		"all are silent, and nobody connects to the own":    {3, 0, Unknown, true, Leave},
		"most are silent, the other one has sent something": {3, 1, Alive, false, Leave},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			survey := &Survey{Silent: make([]string, test.silent), Alive: make([]string, test.alive)}
			qt.New(t).Check(Choose(survey, test.other, test.isUnreachable), qt.Equals, test.want)
		})
	}
}

// TestTracker checks when an endpoint counts as alive or silent.
func TestTracker(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tracker := New(func() time.Time { return now })
	const quiet = 100 * time.Millisecond
	state := func() State { return tracker.State("apps", "app-1", quiet) }
	c.Check(state(), qt.Equals, Unknown)
	first := tracker.Begin("apps", "app-1")
	c.Check(state(), qt.Equals, Unknown)
	now = now.Add(quiet)
	c.Check(state(), qt.Equals, Silent)
	second := tracker.Begin("apps", "app-1")
	c.Check(state(), qt.Equals, Silent, qt.Commentf("a new call does not make an endpoint unknown"))
	second.RecordData()
	c.Check(state(), qt.Equals, Alive)
	second.End()
	now = now.Add(quiet)
	c.Check(state(), qt.Equals, Silent, qt.Commentf("the first call still waits"))
	c.Check(tracker.Survey("apps", quiet), qt.DeepEquals, Survey{Silent: []string{"app-1"}})
	first.End()
	c.Check(state(), qt.Equals, Unknown)
	left := tracker.Begin("apps", "app-1")
	left.RecordLeft()
	left.End()
	c.Check(state(), qt.Equals, Silent, qt.Commentf("a call has left it"))
	now = now.Add(keepTime)
	c.Check(state(), qt.Equals, Unknown)
	c.Check(tracker.BeginTrial("apps", quiet), qt.IsTrue)
	c.Check(tracker.BeginTrial("apps", quiet), qt.IsFalse)
	now = now.Add(quiet)
	c.Check(tracker.BeginTrial("apps", quiet), qt.IsTrue)
	now = now.Add(keepTime)
	tracker.Expire()
	c.Check(tracker.services, qt.HasLen, 0)
	c.Check(tracker.trials, qt.HasLen, 0)
}
