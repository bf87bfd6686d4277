package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/pushback"
)

// Rate and burst of a bucket. Within any time t an endpoint gets at most rate * (t + permitValidity) + burst
// requests. For any 4 s this is less than its limit allows in 4 s, plus 2.
const (
	// lentShare is the part of a limit that is lent.
	lentShare = 0.95
	// The burst of a bucket is baseBurst permits plus the permits that it gains within burstTime.
	baseBurst = 1.9
	burstTime = 100 * time.Millisecond
	// A host that lends in place of unresponsive ones multiplies its rate by successorRateFactor for each host that
	// it replaces. These hosts may be lending as well: all of them together stay below 1.5 times the limit, since 1 +
	// 1/3 + 1/9 does.
	successorRateFactor = 1.0 / 3
	// successorBurst replaces baseBurst in the bucket of such a host, and of one that does not see the whole fleet.
	successorBurst = 1
	// maxPassedOver bounds how many hosts a successor replaces, since each adds one more bucket that may be full.
	maxPassedOver = 2
	// minRate, in requests a second, applies to endpoints that name a lower limit, including 0: an occasional request
	// finds out whether that limit still holds.
	minRate = 0.1
)

const (
	// maxWaiting bounds the requests that wait for permits of one endpoint, at some 100 B each.
	maxWaiting = 1024
	// asksPerPermit is the number of Asks for each permit when every host wants one: more of them use permits sooner,
	// fewer cost less.
	asksPerPermit = 4
	// maxDelay bounds each of the two times (Next, Spread) after which a denied host asks again.
	maxDelay = 5 * time.Second
	// askerTimeout is how long a host counts as an asker after its last Ask.
	askerTimeout = 2 * maxDelay
	// denialLeadTime is how long before the end of its wait a request is denied.
	denialLeadTime = 5 * time.Millisecond
)

// onePermit is one permit less a tolerance for rounding errors.
const onePermit = 1 - 1e-6

// Lender lends the permits of endpoints. It does no input or output, and is safe for concurrent use.
type Lender struct {
	limits *pushback.Limits
	clock  func() time.Time
	// withheld returns the part of the limits that hosts may use that are not seen.
	withheld func() float64

	mu      sync.Mutex
	buckets map[pushback.Instance]*bucket
}

// bucket is the token bucket of one endpoint.
type bucket struct {
	permits    float64
	refilledAt time.Time
	// passedOver is the number of hosts that this one replaces as the lender, withheld the part of the limit that hosts may
	// use that are not seen.
	passedOver int
	withheld   float64
	// queue holds the waiting requests, the next to be served first.
	queue []queuedAsk
	// askers holds the time of the last Ask of each host that has asked within askerTimeout.
	askers map[string]time.Time
}

// queuedAsk is a request that waits for a permit.
type queuedAsk struct {
	host       string
	number     uint64
	rank       uint8
	receivedAt time.Time
	deadline   time.Time
}

// Outgoing is a reply with its recipient.
type Outgoing struct {
	Host  string
	Reply Reply
}

// NewLender returns a lender without buckets. Withheld returns the part of the limits that hosts may use that are not seen.
func NewLender(limits *pushback.Limits, clock func() time.Time, withheld func() float64) *Lender {
	return &Lender{limits: limits, clock: clock, withheld: withheld, buckets: make(map[pushback.Instance]*bucket)}
}

// Ask returns the reply to a host, or queues its request and returns false; Due returns the reply of a queued
// request. PassedOver is the number of hosts that this one replaces as the lender.
func (l *Lender) Ask(host string, ask *Ask, passedOver int) (Reply, bool) {
	withheld := l.withheld()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	endpoint := ask.Limit.Endpoint
	l.limits.Record(endpoint, ask.Limit.Limit, now.Add(-ask.Limit.Age))
	limit := l.limits.Get(endpoint)
	if !limit.IsSet {
		return Reply{Number: ask.Number, IsGranted: true}, true
	}
	b := l.bucketOf(endpoint, now)
	b.refill(now, limit)
	b.passedOver, b.withheld = passedOver, withheld
	b.askers[host] = now
	w := queuedAsk{host: host, number: ask.Number, rank: ask.Rank, receivedAt: now, deadline: now.Add(min(ask.Wait, maxDelay) - denialLeadTime)}
	switch {
	case passedOver > maxPassedOver:
		return b.denialReply(ask.Number, limit), true
	case b.permits >= onePermit && len(b.queue) == 0:
		b.permits--
		return Reply{Number: ask.Number, IsGranted: true}, true
	case !now.Before(w.deadline) || len(b.queue) >= maxWaiting:
		return b.denialReply(ask.Number, limit), true
	}
	at, _ := slices.BinarySearchFunc(b.queue, w, func(e, target queuedAsk) int {
		// Requests of the same rank are served in order of arrival.
		return cmp.Or(cmp.Compare(e.rank, target.rank), -1)
	})
	b.queue = slices.Insert(b.queue, at, w)
	return Reply{}, false
}

// Due returns the replies to queued requests that are due, and when the next one may be. IsWaiting is false if the
// queue is empty.
func (l *Lender) Due() (replies []Outgoing, next time.Time, isWaiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for endpoint, b := range l.buckets {
		if len(b.queue) == 0 {
			continue
		}
		replies = append(replies, b.takeDue(now, l.limits.Get(endpoint))...)
		for i := range b.queue {
			at := b.queue[i].deadline
			if i == 0 {
				at = earlier(at, now.Add(b.delayForPermits(1, l.limits.Get(endpoint))))
			}
			if !isWaiting || at.Before(next) {
				next, isWaiting = at, true
			}
		}
	}
	return replies, next, isWaiting
}

// Expire removes the buckets of endpoints that no longer have a limit, and hosts that have stopped asking. It is
// called about once a second.
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
		if len(b.queue) == 0 && !l.limits.Get(endpoint).IsSet {
			delete(l.buckets, endpoint)
		}
	}
}

// bucketOf returns the bucket of an endpoint. A new one starts empty, because another host may have been lending
// until now. The caller holds the lock.
func (l *Lender) bucketOf(endpoint pushback.Instance, now time.Time) *bucket {
	b, ok := l.buckets[endpoint]
	if !ok {
		b = &bucket{refilledAt: now, askers: make(map[string]time.Time)}
		l.buckets[endpoint] = b
	}
	return b
}

// rate returns how many permits a second are lent under a limit.
func (b *bucket) rate(limit pushback.Limit) float64 {
	share := lentShare * (1 - b.withheld) * math.Pow(successorRateFactor, float64(b.passedOver))
	return max(share*limit.PerSecond, minRate)
}

// burst returns how many permits a bucket holds at most.
func (b *bucket) burst(rate float64) float64 {
	permits := baseBurst
	if b.passedOver > 0 || b.withheld > 0 {
		permits = successorBurst
	}
	return permits + rate*burstTime.Seconds()
}

// refill adds the permits gained since the last refill.
func (b *bucket) refill(now time.Time, limit pushback.Limit) {
	rate := b.rate(limit)
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.permits = min(b.permits+rate*elapsed.Seconds(), b.burst(rate))
		b.refilledAt = now
	}
}

// takeDue removes the requests that get a permit and those whose deadline has passed, and returns their replies.
func (b *bucket) takeDue(now time.Time, limit pushback.Limit) []Outgoing {
	b.refill(now, limit)
	var replies []Outgoing
	left := b.queue[:0]
	for _, w := range b.queue {
		switch {
		case !limit.IsSet || b.permits >= onePermit:
			b.permits--
			replies = append(replies, Outgoing{Host: w.host, Reply: Reply{Number: w.number, IsGranted: true, Waited: now.Sub(w.receivedAt)}})
		case !now.Before(w.deadline):
			replies = append(replies, Outgoing{Host: w.host, Reply: b.denialReply(w.number, limit)})
		default:
			left = append(left, w)
		}
	}
	b.queue = left
	return replies
}

// denialReply returns the reply to a request that gets no permit.
func (b *bucket) denialReply(number uint64, limit pushback.Limit) Reply {
	spread := time.Duration(0)
	if others := len(b.askers) - 1; others > 0 {
		spread = durationFromSeconds(float64(others) / (asksPerPermit * b.rate(limit)))
	}
	return Reply{Number: number, Next: min(b.delayForPermits(1+len(b.queue), limit), maxDelay), Spread: min(spread, maxDelay)}
}

// delayForPermits returns the time until the bucket holds a number of permits.
func (b *bucket) delayForPermits(number int, limit pushback.Limit) time.Duration {
	return durationFromSeconds(max(float64(number)-b.permits, 0) / b.rate(limit))
}

// durationFromSeconds converts seconds to a duration of an hour at most: the slowest bucket takes minutes to serve
// many requests.
func durationFromSeconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
