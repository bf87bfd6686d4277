package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// The pace of a bucket. In any time t an endpoint gets at most the pace times (t + permitValidity) and the depth, which for
// any 4 s is below what the limit allows in them, and 2.
const (
	// paceShare is the part of a limit that is lent.
	paceShare = 0.95
	// leastDepth is the depth of a bucket in permits, depthTime what is added to it, as the time in which a limit fills it.
	leastDepth = 1.9
	depthTime  = 100 * time.Millisecond
	// successorShare is the part of the pace, for each host that was passed over, at which one lends in place of silent ones.
	// They may be back and lend as well: together all stay below half more than the limit, since 1 + 1/3 + 1/9 does.
	successorShare = 1.0 / 3
	// successorDepth is the depth of its bucket in permits.
	successorDepth = 1
	// mostPassedOver is in place of how many hosts one lends: with each there is one more bucket that may be full.
	mostPassedOver = 2
	// leastPace is the pace in requests a second of an endpoint that names a lower limit, 0 among them: a request now and
	// then finds out whether it still holds.
	leastPace = 0.1
)

const (
	// mostWaiting bounds the requests that wait for the permits of one endpoint, some 100 B each.
	mostWaiting = 1024
	// asksPerPermit is how many questions come for each permit when all hosts want one: more use permits sooner, fewer
	// cost less.
	asksPerPermit = 4
	// mostDelay bounds each of the two times after which a host that got no permit asks again.
	mostDelay = 5 * time.Second
	// askerTimeout is how long a host counts as one that asks.
	askerTimeout = 2 * mostDelay
	// replyAllowance is for how long before the end of its wait a request is let know that it got none.
	replyAllowance = 5 * time.Millisecond
)

// onePermit is a permit, less what is lost by rounding.
const onePermit = 1 - 1e-6

// Lender lends the permits of endpoints. It does no input or output, and is safe for concurrent use.
type Lender struct {
	limits *pushback.Limits
	clock  func() time.Time

	mu      sync.Mutex
	buckets map[pushback.Instance]*bucket
}

// bucket is what is there to lend for one endpoint.
type bucket struct {
	permits float64
	at      time.Time
	// passedOver is how many hosts this one lends in place of.
	passedOver int
	// waiting are the requests that wait, the next first.
	waiting []waiting
	// askers are the hosts that have asked lately, with the last time.
	askers map[string]time.Time
}

// waiting is a request that waits for a permit.
type waiting struct {
	host   string
	number uint64
	rank   uint8
	came   time.Time
	until  time.Time
}

// Outgoing is a reply for a host.
type Outgoing struct {
	Host  string
	Reply Reply
}

// NewLender returns a lender that has lent nothing.
func NewLender(limits *pushback.Limits, clock func() time.Time) *Lender {
	return &Lender{limits: limits, clock: clock, buckets: make(map[pushback.Instance]*bucket)}
}

// Ask replies to a host at once, or has its request wait and reports false; Due has its reply then. PassedOver is how many hosts
// this one lends in place of.
func (l *Lender) Ask(host string, ask *Ask, passedOver int) (Reply, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	endpoint := ask.Limit.Endpoint
	l.limits.Record(endpoint, ask.Limit.Limit, now.Add(-ask.Limit.Age))
	limit := l.limits.Get(endpoint)
	if !limit.IsSet {
		return Reply{Number: ask.Number, IsGranted: true}, true
	}
	b := l.bucket(endpoint, now)
	b.refill(now, limit)
	b.passedOver = passedOver
	b.askers[host] = now
	w := waiting{host: host, number: ask.Number, rank: ask.Rank, came: now, until: now.Add(min(ask.Wait, mostDelay) - replyAllowance)}
	switch {
	case passedOver > mostPassedOver:
		return b.denial(ask.Number, limit), true
	case b.permits >= onePermit && len(b.waiting) == 0:
		b.permits--
		return Reply{Number: ask.Number, IsGranted: true}, true
	case !now.Before(w.until) || len(b.waiting) >= mostWaiting:
		return b.denial(ask.Number, limit), true
	}
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(e, target waiting) int {
		// Of the same rank the first that came is the first.
		return cmp.Or(cmp.Compare(e.rank, target.rank), -1)
	})
	b.waiting = slices.Insert(b.waiting, at, w)
	return Reply{}, false
}

// Due returns the replies to requests that have waited, and when the next may be due. It reports false if none waits.
func (l *Lender) Due() (replies []Outgoing, next time.Time, isWaiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for endpoint, b := range l.buckets {
		if len(b.waiting) == 0 {
			continue
		}
		replies = append(replies, b.due(now, l.limits.Get(endpoint))...)
		for i := range b.waiting {
			at := b.waiting[i].until
			if i == 0 {
				at = earlier(at, now.Add(b.untilPermits(1, l.limits.Get(endpoint))))
			}
			if !isWaiting || at.Before(next) {
				next, isWaiting = at, true
			}
		}
	}
	return replies, next, isWaiting
}

// Expire drops the buckets of endpoints that have no limit any more. It is called about once a second.
func (l *Lender) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for endpoint, b := range l.buckets {
		for host, at := range b.askers {
			if now.Sub(at) > askerTimeout {
				delete(b.askers, host)
			}
		}
		if len(b.waiting) == 0 && !l.limits.Get(endpoint).IsSet {
			delete(l.buckets, endpoint)
		}
	}
}

// bucket returns the bucket of an endpoint. A new one is empty: another host may have lent until now. The lock is held.
func (l *Lender) bucket(endpoint pushback.Instance, now time.Time) *bucket {
	b, ok := l.buckets[endpoint]
	if !ok {
		b = &bucket{at: now, askers: make(map[string]time.Time)}
		l.buckets[endpoint] = b
	}
	return b
}

// pace returns how many permits a second are lent under a limit.
func (b *bucket) pace(limit pushback.Limit) float64 {
	share := paceShare * math.Pow(successorShare, float64(b.passedOver))
	return max(share*limit.PerSecond, leastPace)
}

// depth returns how many permits are saved up at the most at a pace.
func (b *bucket) depth(pace float64) float64 {
	depth := leastDepth
	if b.passedOver > 0 {
		depth = successorDepth
	}
	return depth + pace*depthTime.Seconds()
}

// refill brings the permits to a time.
func (b *bucket) refill(now time.Time, limit pushback.Limit) {
	pace := b.pace(limit)
	if passed := now.Sub(b.at); passed > 0 {
		b.permits = min(b.permits+pace*passed.Seconds(), b.depth(pace))
		b.at = now
	}
}

// due takes out the requests that get a permit, and those that have waited for as long as they can.
func (b *bucket) due(now time.Time, limit pushback.Limit) []Outgoing {
	b.refill(now, limit)
	var replies []Outgoing
	left := b.waiting[:0]
	for _, w := range b.waiting {
		switch {
		case !limit.IsSet || b.permits >= onePermit:
			b.permits--
			replies = append(replies, Outgoing{Host: w.host, Reply: Reply{Number: w.number, IsGranted: true, Waited: now.Sub(w.came)}})
		case !now.Before(w.until):
			replies = append(replies, Outgoing{Host: w.host, Reply: b.denial(w.number, limit)})
		default:
			left = append(left, w)
		}
	}
	b.waiting = left
	return replies
}

// denial returns the reply to a request that gets no permit.
func (b *bucket) denial(number uint64, limit pushback.Limit) Reply {
	spread := time.Duration(0)
	if others := len(b.askers) - 1; others > 0 {
		spread = seconds(float64(others) / (asksPerPermit * b.pace(limit)))
	}
	return Reply{Number: number, Next: min(b.untilPermits(1+len(b.waiting), limit), mostDelay), Spread: min(spread, mostDelay)}
}

// untilPermits returns after which time there are a number of permits.
func (b *bucket) untilPermits(number int, limit pushback.Limit) time.Duration {
	return seconds(max(float64(number)-b.permits, 0) / b.pace(limit))
}

// seconds returns a time; it is bounded, since the slowest bucket takes minutes to serve many.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
