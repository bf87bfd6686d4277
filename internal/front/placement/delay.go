package placement

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The delay of an endpoint is how many times longer than predicted it takes to begin answers. It grows
// when the endpoint is slow, when it reads again what should be in its cache, and when work is there that
// the hosts do not know of. What waits at the endpoint weighs as many times more.

const (
	// delayTime is the time constant with which a sample is forgotten: an endpoint that gets less work
	// for its delay must be tried again. Not measured.
	delayTime = 3 * time.Second
	// leastPredicted is the least predicted time that is compared; below it the network and single
	// steps weigh more than what is waiting. Not measured.
	leastPredicted = 50 * time.Millisecond
	// priorDelays is the number of samples without a delay that stand against those observed. Not
	// measured.
	priorDelays = 2
	// mostDelay bounds one sample, so that a single stalled call weighs no more than a few slow ones.
	// Not measured.
	mostDelay = 8
	// delayUnit is the number of units in which sums of delays are kept, per sample, so that adding
	// and subtracting peers' reports leaves nothing over.
	delayUnit = 64
)

// Delay sums samples of an endpoint's delay, the older the less, in units of 1/delayUnit.
type Delay struct {
	// LogSum is the sum of the natural logarithms of the samples, Samples their number.
	LogSum  int
	Samples int
}

func (d *Delay) add(other Delay) {
	d.LogSum += other.LogSum
	d.Samples += other.Samples
}

// factor returns how many times longer than predicted the endpoint takes, at least 1.
func (d *Delay) factor() float64 {
	return math.Exp(max(float64(d.LogSum)/float64(d.Samples+priorDelays*delayUnit), 0))
}

// ownDelay is what this host observed of one endpoint, as of a time.
type ownDelay struct {
	logSum, samples float64
	at              time.Time
}

func (d *ownDelay) observe(now time.Time, predicted, took time.Duration) {
	if predicted < leastPredicted {
		return
	}
	ratio := min(max(float64(took)/float64(predicted), 1/float64(mostDelay)), mostDelay)
	left := math.Exp(-float64(now.Sub(d.at)) / float64(delayTime))
	d.logSum = d.logSum*left + math.Log(ratio)
	d.samples = d.samples*left + 1
	d.at = now
}

// as returns the sums as of a later time.
func (d *ownDelay) as(now time.Time) Delay {
	left := math.Exp(-float64(now.Sub(d.at)) / float64(delayTime))
	return Delay{LogSum: int(math.Round(d.logSum * left * delayUnit)), Samples: int(math.Round(d.samples * left * delayUnit))}
}

// delayTable holds the delays of endpoints that this host and its peers observed.
type delayTable struct {
	own   map[string]*ownDelay
	peers map[string]map[keys.Endpoint]Delay
	// peerTotals are the sums of the peers' delays.
	peerTotals map[keys.Endpoint]Delay
}

func newDelayTable() delayTable {
	return delayTable{own: make(map[string]*ownDelay), peers: make(map[string]map[keys.Endpoint]Delay), peerTotals: make(map[keys.Endpoint]Delay)}
}

// Began observes how long an endpoint took to begin an answer, and how long was predicted.
func (t *delayTable) Began(now time.Time, endpoint string, predicted, took time.Duration) {
	delay, ok := t.own[endpoint]
	if !ok {
		delay = new(ownDelay)
		t.own[endpoint] = delay
	}
	delay.observe(now, predicted, took)
}

// Own returns what this host observed.
func (t *delayTable) Own(now time.Time) map[string]Delay {
	delays := make(map[string]Delay, len(t.own))
	for endpoint, delay := range t.own {
		if sums := delay.as(now); sums.Samples > 0 {
			delays[endpoint] = sums
		}
	}
	return delays
}

// SetPeer replaces what a peer observed.
func (t *delayTable) SetPeer(peer string, delays map[keys.Endpoint]Delay) {
	t.DropPeer(peer)
	t.peers[peer] = delays
	for key, delay := range delays {
		total := t.peerTotals[key]
		total.add(delay)
		t.peerTotals[key] = total
	}
}

// DropPeer forgets what a peer observed.
func (t *delayTable) DropPeer(peer string) {
	for key, delay := range t.peers[peer] {
		total := t.peerTotals[key]
		total.add(Delay{LogSum: -delay.LogSum, Samples: -delay.Samples})
		t.peerTotals[key] = total
		if total == (Delay{}) {
			delete(t.peerTotals, key)
		}
	}
	delete(t.peers, peer)
}

// factor returns how many times longer than predicted an endpoint takes, at least 1.
func (t *delayTable) factor(now time.Time, endpoint string) float64 {
	total := t.peerTotals[keys.OfEndpoint(endpoint)]
	if own, ok := t.own[endpoint]; ok {
		total.add(own.as(now))
	}
	return total.factor()
}

// expire forgets what is too old to count.
func (t *delayTable) expire(now time.Time) {
	for endpoint, delay := range t.own {
		if delay.as(now).Samples == 0 {
			delete(t.own, endpoint)
		}
	}
}
