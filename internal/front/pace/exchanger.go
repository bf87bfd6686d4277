package pace

import (
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/backoff"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// minRefreshInterval and refreshIntervalPerEndpoint determine how often the slowness of all endpoints is computed: a
	// refresh takes half a microsecond an endpoint, so that it uses 0.2 % of a core at any number.
	minRefreshInterval         = 250 * time.Millisecond
	refreshIntervalPerEndpoint = 250 * time.Microsecond
	// sendInterval is the mean time between two messages of samples: short against shortHalfLife.
	sendInterval = time.Second
	// maxSentRate bounds the bytes per second of a host's messages at any number of hosts. A message goes to as many
	// peers as the bound allows, which are chosen anew each time: the samples of a second reach fewer peers in a large
	// fleet, but they are new. If all peers got each message, a host with 69 peers could send one in 10 s.
	maxSentRate = 900
	// maxAllowance bounds the bytes that a host that has sent less may send at once: the first samples of a slow endpoint
	// then reach many peers.
	maxAllowance = 5 * maxSentRate
	// envelopeBytes is the size of a message without its body, from above (TestMessageBytes).
	envelopeBytes = 30
	// maxEntries bounds the endpoints in a message, which keeps it within a datagram, and entryBytes is the size of one from
	// above.
	maxEntries = 400
	entryBytes = 24
	// logUnits and weightUnits are the numbers of units in which a message expresses a sum of 1 and a weight of 1.
	logUnits    = 16
	weightUnits = 4
	// maxReportedWeight bounds the weight of the samples of an endpoint that is accepted from one message, so that a
	// faulty one has no more weight than what passes a busy host in a second.
	maxReportedWeight = 20
)

// Peers reaches the other hosts. Messages may be lost.
type Peers interface {
	SendTo(host string, kind envelope.Kind, message any)
	// Neighbors returns the peers with which this host shares samples.
	Neighbors() []envelope.Sender
}

// Directory is the registry of endpoints.
type Directory interface {
	// Services returns the services that have an endpoint that accepts new work, Serving the endpoints of one.
	Services() []string
	Serving(service string) []*directory.Entry
}

// Parts are the dependencies of an Exchanger.
type Parts struct {
	Peers     Peers
	Directory Directory
	Log       *logrus.Entry
	Clock     func() time.Time
	// Random returns numbers in [0, 1).
	Random func() float64
}

// samples are the weighted sum and the weight of samples of an endpoint.
type samples struct{ sum, weight float64 }

// Exchanger holds the table of this host, and exchanges samples with peers. It implements placement.Pace and is safe
// for concurrent use.
type Exchanger struct {
	parts Parts

	mu    sync.Mutex
	table *Table
	// unsent holds the samples of this host that were not sent yet.
	unsent map[keys.Service]map[keys.Endpoint]samples
	// speedRevision counts the changes of the endpoints' classes of speed.
	speedRevision uint64

	// allowance is the number of bytes that may be sent, as of sentAt. Only Run uses them.
	allowance float64
	sentAt    time.Time
}

// New returns an exchanger without samples.
func New(parts Parts) *Exchanger {
	return &Exchanger{
		parts: parts, table: NewTable(), unsent: make(map[keys.Service]map[keys.Endpoint]samples), sentAt: parts.Clock(),
	}
}

// Record counts a sample of this host.
func (x *Exchanger) Record(s Sample) {
	x.mu.Lock()
	defer x.mu.Unlock()
	log, weight := x.table.Record(x.parts.Clock(), s)
	if weight == 0 {
		return
	}
	endpoints, ok := x.unsent[s.Service]
	if !ok {
		endpoints = make(map[keys.Endpoint]samples)
		x.unsent[s.Service] = endpoints
	}
	sum := endpoints[s.Endpoint]
	endpoints[s.Endpoint] = samples{sum: sum.sum + weight*log, weight: sum.weight + weight}
}

// Forget removes the samples of an endpoint, which has restarted.
func (x *Exchanger) Forget(endpoint keys.Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.table.Forget(endpoint)
	for _, endpoints := range x.unsent {
		delete(endpoints, endpoint)
	}
	x.speedRevision++
}

// Slowness returns the factor by which the operations of an endpoint take longer than at the mean of its service.
func (x *Exchanger) Slowness(endpoint keys.Endpoint) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Slowness(endpoint)
}

// Slow returns the slowness over the long term of the endpoints that are slow.
func (x *Exchanger) Slow() map[keys.Endpoint]float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Slow()
}

// Speeds returns the endpoints that are fast or slow over the long term.
func (x *Exchanger) Speeds() map[keys.Endpoint]Speed {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.table.Speeds()
}

// SpeedRevision returns a number that changes whenever Speeds does.
func (x *Exchanger) SpeedRevision() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.speedRevision
}

// HandleMessage handles a peer's Samples, encoded as CBOR.
func (x *Exchanger) HandleMessage(from envelope.Sender, body []byte) {
	var message Samples
	if err := cbor.Unmarshal(body, &message); err != nil {
		x.parts.Log.WithError(err).WithField("from", from.Host).Warn("peer's message can't be decoded; dropped")
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.parts.Clock()
	for _, service := range message.Services {
		for _, e := range service.Endpoints {
			if e.Weight == 0 {
				continue
			}
			weight := float64(e.Weight) / weightUnits
			mean := min(max(float64(e.Sum)/logUnits/weight, math.Log(minSlowness)), math.Log(maxSlowness))
			weight = min(weight, maxReportedWeight)
			x.table.Add(now, service.Service, e.Endpoint, mean*weight, weight)
		}
	}
}

// Run computes the slowness of the endpoints and sends new samples to peers until done is closed.
func (x *Exchanger) Run(done <-chan struct{}) {
	refresh, send := time.After(minRefreshInterval), x.after(sendInterval)
	for {
		select {
		case <-refresh:
			refresh = time.After(max(minRefreshInterval, time.Duration(x.refresh())*refreshIntervalPerEndpoint))
		case <-send:
			x.send()
			send = x.after(sendInterval)
		case <-done:
			return
		}
	}
}

// after returns a channel that fires after a randomized delay with the given mean.
func (x *Exchanger) after(mean time.Duration) <-chan time.Time {
	return time.After(backoff.Spread(mean, 1, x.parts.Random()))
}

// refresh computes the slowness of the endpoints, and logs changes of their classes. It returns the number of endpoints.
func (x *Exchanger) refresh() int {
	total, numbers := 0, make(map[keys.Service]int)
	for _, service := range x.parts.Directory.Services() {
		number := len(x.parts.Directory.Serving(service))
		numbers[keys.OfService(service)] = number
		total += number
	}
	x.mu.Lock()
	changes := x.table.Refresh(x.parts.Clock(), numbers)
	x.speedRevision += uint64(len(changes))
	x.mu.Unlock()
	if len(changes) > 0 {
		x.logChanges(changes)
	}
	return total
}

// logChanges logs the endpoints whose class of speed has changed.
func (x *Exchanger) logChanges(changes []Change) {
	ids := make(map[keys.Endpoint]string)
	for _, service := range x.parts.Directory.Services() {
		for _, e := range x.parts.Directory.Serving(service) {
			ids[keys.OfEndpoint(e.ID)] = e.ID
		}
	}
	for _, change := range changes {
		text := "endpoint is neither fast nor slow; it gets work as the others"
		switch change.Speed {
		case Slow:
			text = "endpoint is slow; it gets work in proportion to its speed, and short prompts last"
		case Fast:
			text = "endpoint is fast; it gets work in proportion to its speed, and short prompts first"
		}
		x.parts.Log.WithFields(logrus.Fields{
			"endpoint": ids[change.Endpoint], "slowness": math.Round(100*change.Slowness) / 100, "samples": math.Round(change.Samples),
		}).Info(text)
	}
}

// send sends the unsent samples to some of the peers.
func (x *Exchanger) send() {
	now := x.parts.Clock()
	x.allowance = min(x.allowance+maxSentRate*now.Sub(x.sentAt).Seconds(), maxAllowance)
	x.sentAt = now
	entries := min(int(x.allowance-envelopeBytes)/entryBytes, maxEntries)
	if entries <= 0 {
		return
	}
	message, peers := x.take(entries), x.parts.Peers.Neighbors()
	if len(message.Services) == 0 || len(peers) == 0 {
		return
	}
	body, err := cbor.Marshal(message)
	if err != nil {
		x.parts.Log.WithError(err).Error("encoding a message failed, it is not sent")
		return
	}
	size := envelopeBytes + len(body)
	number := min(int(x.allowance)/size, len(peers))
	for i := range number {
		j := i + int(x.parts.Random()*float64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
		x.parts.Peers.SendTo(peers[i].Host, envelope.KindPace, cbor.RawMessage(body))
	}
	x.allowance -= float64(number * size)
}

// take returns the unsent samples of at most a number of unusual endpoints and clears them. Those of other endpoints are
// halved, and dropped once they are too old to matter.
func (x *Exchanger) take(entries int) *Samples {
	x.mu.Lock()
	defer x.mu.Unlock()
	message, left := new(Samples), entries
	for service, endpoints := range x.unsent {
		list := ServiceSamples{Service: service}
		for endpoint, s := range endpoints {
			weight := uint(math.Round(weightUnits * s.weight))
			switch {
			case weight == 0:
				delete(endpoints, endpoint)
			case left > 0 && x.table.IsUnusual(endpoint):
				left--
				list.Endpoints = append(list.Endpoints, EndpointSamples{Endpoint: endpoint, Sum: int(math.Round(logUnits * s.sum)), Weight: weight})
				delete(endpoints, endpoint)
			default:
				endpoints[endpoint] = samples{sum: s.sum / 2, weight: s.weight / 2}
			}
		}
		if len(list.Endpoints) > 0 {
			message.Services = append(message.Services, list)
		}
	}
	return message
}
