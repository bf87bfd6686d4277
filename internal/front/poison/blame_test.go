package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// blameDay is ten minutes in which endpoints end for reasons of their own, or under a poison request, while harmless
// requests run. Requests that break are sent elsewhere, and callers come back once. All evidence is known at once.
type blameDay struct {
	table  *Table
	random *rand.Rand
	now    freshness.StoreTime
	// downUntil is until when each endpoint is away, generation counts its starts.
	downUntil  []freshness.StoreTime
	generation []int
	running    []*blameRun
	next       keys.Request
	begun      int
	blamed     int
}

// blameRun is a request at an endpoint.
type blameRun struct {
	request  keys.Request
	endpoint int
	// begun is when the endpoint begins to answer, until when it is done.
	begun, until freshness.StoreTime
	// sends counts those so far; poison runs end their endpoint.
	sends  int
	poison bool
}

const (
	blameEndpoints = 36
	blameStep      = freshness.StoreTime(20 * time.Millisecond)
	blameLasts     = freshness.StoreTime(10 * time.Minute)
	// blameRate is how many requests come in a step; a run lasts blameRun at the most.
	blameRate  = 2
	longestRun = freshness.StoreTime(2 * time.Second)
	// blameBegin is how long an endpoint takes to begin, lossSpread over how long a zone's endpoints end.
	blameBegin   = freshness.StoreTime(40 * time.Millisecond)
	lossSpread   = freshness.StoreTime(300 * time.Millisecond)
	blameRestart = freshness.StoreTime(3 * time.Second)
	// mostSends is two tries of two attempts of a caller.
	mostSends = 4
)

func newBlameDay(seed uint64) *blameDay {
	return &blameDay{
		table: NewTable(), random: rand.New(rand.NewPCG(seed, 0)), downUntil: make([]freshness.StoreTime, blameEndpoints),
		generation: make([]int, blameEndpoints), next: 100,
	}
}

// play lets the day pass; crash returns the endpoints that end by themselves in a step.
func (d *blameDay) play(crash func(d *blameDay) []int) {
	for ; d.now < blameLasts; d.now += blameStep {
		for _, endpoint := range crash(d) {
			d.end(endpoint)
		}
		d.finish()
		for range blameRate {
			d.next++
			d.begun++
			d.send(&blameRun{request: d.next})
		}
		if d.now%freshness.StoreTime(time.Second) == 0 {
			d.table.Expire(d.now)
		}
	}
}

// send sends a request to some endpoint, unless it was given up.
func (d *blameDay) send(r *blameRun) {
	if d.table.IsPoison(r.request) {
		if !r.poison {
			d.blamed++
		}
		return
	}
	if r.sends >= mostSends {
		return
	}
	for range 2 * blameEndpoints {
		endpoint := d.random.IntN(blameEndpoints)
		if d.downUntil[endpoint] <= d.now {
			r.endpoint, r.sends = endpoint, r.sends+1
			r.begun = d.now + blameBegin
			r.until = r.begun + freshness.StoreTime(d.random.Int64N(int64(longestRun)))
			d.running = append(d.running, r)
			return
		}
	}
}

// finish ends the runs whose time is over.
func (d *blameDay) finish() {
	var left []*blameRun
	var ended []int
	for _, r := range d.running {
		switch {
		case r.until > d.now:
			left = append(left, r)
		case r.poison:
			left = append(left, r)
			ended = append(ended, r.endpoint)
		default:
			d.table.RecordAnswer(d.now, r.request)
		}
	}
	d.running = left
	for _, endpoint := range ended {
		d.end(endpoint)
	}
}

// end ends an endpoint, and sends what ran there elsewhere.
func (d *blameDay) end(endpoint int) {
	if d.downUntil[endpoint] > d.now {
		return
	}
	key := keys.OfEndpoint(fmt.Sprint(endpoint, "-", d.generation[endpoint]))
	d.downUntil[endpoint] = d.now + blameRestart
	d.generation[endpoint]++
	var left, broken []*blameRun
	for _, r := range d.running {
		if r.endpoint != endpoint {
			left = append(left, r)
			continue
		}
		broken = append(broken, r)
	}
	d.running = left
	for _, r := range broken {
		d.table.RecordCrash(r.request, Crash{Endpoint: key, At: d.now, Begun: r.begun <= d.now})
	}
	for _, r := range broken {
		d.send(r)
	}
}

// TestHarmlessRequestsAreNotBlamed has a part of a zone's endpoints end again and again without any poison request, and
// counts the requests that are given up by mistake. The aim is none in 10,000.
func TestHarmlessRequestsAreNotBlamed(t *testing.T) {
	const zone = blameEndpoints / 3
	tests := map[string]int{"a sixth of a zone": zone / 6, "half of a zone": zone / 2, "all of a zone": zone}
	for name, number := range tests {
		t.Run(name, func(t *testing.T) {
			begun, blamed := 0, 0
			for seed := range uint64(3) {
				d := newBlameDay(seed)
				ends := make(map[freshness.StoreTime][]int)
				d.play(func(d *blameDay) []int {
					// Every 15 s another zone loses that many within a short time.
					if d.now%freshness.StoreTime(15*time.Second) == 0 {
						first := d.random.IntN(3) * zone
						for n := range number {
							at := d.now + freshness.StoreTime(d.random.Int64N(int64(lossSpread/blameStep)))*blameStep
							ends[at] = append(ends[at], first+n)
						}
					}
					return ends[d.now]
				})
				begun += d.begun
				blamed += d.blamed
			}
			t.Logf("%d of %d harmless requests given up", blamed, begun)
			qt.Check(t, blamed*10_000 <= begun, qt.IsTrue)
		})
	}
}

// TestHarmlessRequestsBesideAPoisonOne has a poison request come every half second for ten minutes, a new one each minute.
func TestHarmlessRequestsBesideAPoisonOne(t *testing.T) {
	begun, blamed, ends := 0, 0, 0
	for seed := range uint64(3) {
		d := newBlameDay(seed)
		d.play(func(d *blameDay) []int {
			if d.now%freshness.StoreTime(500*time.Millisecond) == 0 {
				minute := keys.Request(d.now / freshness.StoreTime(time.Minute))
				d.send(&blameRun{request: 1 + minute, poison: true})
			}
			return nil
		})
		begun += d.begun
		blamed += d.blamed
		for _, generation := range d.generation {
			ends += generation
		}
	}
	t.Logf("%d of %d harmless requests given up, %d ends under 30 poison requests", blamed, begun, ends)
	qt.Check(t, blamed*10_000 <= begun, qt.IsTrue)
	qt.Check(t, ends <= 30*2*begunEnds, qt.IsTrue)
}
