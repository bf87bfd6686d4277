package origin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/coordinator"
	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

const (
	// holderCount is the number of peers that get each record. askedCount is the number of peers that are asked for one:
	// it is larger since hosts join and leave in between.
	holderCount = 2
	askedCount  = 4
	// replyTimeout bounds the wait for replies. A question is repeated after repeatDelay, since datagrams may be lost.
	replyTimeout = 60 * time.Millisecond
	repeatDelay  = 20 * time.Millisecond
	// maxDirectoryAge is the age of the directory up to which a host relies on knowing all versions.
	maxDirectoryAge = 2 * time.Second
	// observeInterval is the time between two looks at the versions of all services. Each stream that begins looks as well.
	observeInterval = 500 * time.Millisecond
	// maxClockDifference is the most by which the wall clocks of two hosts may differ, for the age of a peer.
	maxClockDifference = 30 * time.Second
	// maxSentRecords bounds the records in a message, so that it fits into a datagram.
	maxSentRecords = 40
)

// Parts are the dependencies of a Registry.
type Parts struct {
	Peers coordinator.Peers
	// Services returns the services with endpoints, Versions the software versions of a service.
	Services func() []string
	Versions func(service string) []directory.VersionCount
	// PeerAge returns how long a peer has been running, or 0 if that is unknown.
	PeerAge func(host string) time.Duration
	Store   Store
	// StoreTime returns the time of the store's clock, or 0 while this host does not know it. Era returns the newest known
	// era of the store.
	StoreTime func() freshness.StoreTime
	Era       func() uint64
	// DirectoryAge returns the time since the directory was last confirmed, negative if that is unknown.
	DirectoryAge func() time.Duration
	// Count is called with the result of each search.
	Count func(counters.OriginResult)
	Log   *logrus.Entry
	Clock func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
}

// Registry knows the origins of streams, with the help of peers. It is safe for concurrent use.
type Registry struct {
	parts     Parts
	startedAt time.Time
	asker     *coordinator.Asker[peerReply]

	mu    sync.Mutex
	table *Table
	// shared holds the services whose new records are sent to peers.
	shared map[keys.Service]bool
	saver  saverState
	// knownSavers are the hosts that save records.
	knownSavers atomic.Pointer[savers]
	history     history
}

// peerReply is a reply and the host that sent it.
type peerReply struct {
	Reply
	from string
}

// New returns a registry without records.
func New(parts Parts) *Registry {
	return &Registry{
		parts: parts, startedAt: parts.Clock(), table: NewTable(), shared: make(map[keys.Service]bool), saver: newSaverState(parts.Era()),
		asker: coordinator.New[peerReply](coordinator.Parts{Peers: parts.Peers, Log: parts.Log, Clock: parts.Clock, Random: parts.Random}),
	}
}

// Begin records the version that began a stream. It is called before the caller receives the first event, and sends the
// record to peers if several versions are in use. TimeLeft is the time until the request's limit.
func (r *Registry) Begin(stream keys.Stream, service string, version keys.Version, timeLeft time.Duration) {
	now := r.parts.Clock()
	key := keys.OfService(service)
	r.mu.Lock()
	r.table.Add(now, Record{Stream: stream, Service: key, Version: version, Until: now.Add(timeLeft + returnTime)}, true)
	r.mu.Unlock()
	r.observe(now, service)
}

// observe looks at the versions of a service, and sends the unsent records of its streams if several versions are in use.
func (r *Registry) observe(now time.Time, service string) {
	key := keys.OfService(service)
	var versions []keys.Version
	for _, v := range r.parts.Versions(service) {
		versions = append(versions, keys.OfVersion(v.Version))
	}
	isFresh := r.isFresh()
	r.mu.Lock()
	r.table.Observe(now, key, versions)
	isMixed := r.table.IsMixed(now, key)
	wasShared := r.shared[key]
	r.shared[key] = isMixed || !isFresh
	var unsent []Record
	if r.shared[key] {
		unsent = r.table.TakeUnsent(now, key)
	}
	isOwn := r.table.HasSeenSeveral(now, key)
	r.mu.Unlock()
	if wasShared != (isMixed || !isFresh) {
		r.parts.Log.WithFields(logrus.Fields{"service": service, "versions": len(versions), "mixed": isMixed, "directory_fresh": isFresh, "shared": !wasShared}).
			Info("sharing of the origins of streams with other hosts has changed")
	}
	r.send(now, unsent, key, isOwn)
}

// isFresh reports whether this host knows all versions.
func (r *Registry) isFresh() bool {
	age := r.parts.DirectoryAge()
	return age >= 0 && age <= maxDirectoryAge
}

// send sends records of a service to the peers that keep them.
func (r *Registry) send(now time.Time, records []Record, service keys.Service, isMixed bool) {
	if len(records) == 0 {
		return
	}
	batches := make(map[string][]SentRecord)
	savers := r.savers()
	for i := range records {
		stream := records[i].Stream
		saver := savers.of(stream)
		hosts := r.holders(stream, holderCount)
		if saver == savers.self.Host {
			r.markUnsaved(stream)
		} else if !slices.Contains(hosts, saver) {
			hosts = append(hosts, saver)
		}
		for _, host := range hosts {
			batches[host] = append(batches[host], sentRecord(now, &records[i]))
		}
	}
	var mixed []keys.Service
	if isMixed {
		mixed = []keys.Service{service}
	}
	for host, batch := range batches {
		for part := range slices.Chunk(batch, maxSentRecords) {
			r.parts.Peers.SendTo(host, envelope.KindStreamOrigins, &Records{Records: part, Mixed: mixed})
		}
	}
}

// markUnsaved has this host save the record of a stream.
func (r *Registry) markUnsaved(stream keys.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saver.unsaved[stream] = true
}

// holders returns the names of the peers that keep the record of a stream, the first ones in order.
func (r *Registry) holders(stream keys.Stream, count int) []string {
	peers := r.parts.Peers.Senders()[1:]
	var names []string
	for _, host := range coordinator.First(peers, strconv.FormatUint(uint64(stream), 16), count) {
		names = append(names, host.Host)
	}
	return names
}

// Find returns the origin of a stream that is to be resumed at a service. It asks peers if several versions may have
// begun the stream.
func (r *Registry) Find(ctx context.Context, stream keys.Stream, service string) Origin {
	now := r.parts.Clock()
	r.observe(now, service)
	r.mu.Lock()
	record, isKnown := r.table.Get(now, stream)
	isCertain := !r.shared[keys.OfService(service)] && now.Sub(r.startedAt) >= historyTime
	r.mu.Unlock()
	found := Origin{Certainty: AnyVersion}
	switch {
	case isKnown:
		found = originOf(&record)
	case !isCertain:
		found = r.askPeers(ctx, stream, service)
	}
	r.parts.Count([...]counters.OriginResult{counters.OriginAny, counters.OriginKnown, counters.OriginUnknown}[found.Certainty])
	return found
}

// askPeers asks the peers that may have a record of a stream.
func (r *Registry) askPeers(ctx context.Context, stream keys.Stream, service string) Origin {
	key := keys.OfService(service)
	hosts := r.holders(stream, askedCount)
	number, replies := r.asker.Register()
	defer r.asker.Unregister(number)
	ask := func() {
		for _, host := range hosts {
			r.parts.Peers.SendTo(host, envelope.KindStreamOriginQuestion, &Question{Number: number, Stream: stream, Service: key})
		}
	}
	ask()
	timeout, repeat := time.NewTimer(replyTimeout), time.NewTimer(repeatDelay)
	defer timeout.Stop()
	defer repeat.Stop()
	answered, isFresh := make(map[string]bool), r.isFresh() || len(hosts) == 0
	reachesBack := r.parts.Clock().Sub(r.startedAt) >= historyTime
	for isOver := len(hosts) == 0; !isOver; {
		select {
		case reply := <-replies:
			if origin, ok := r.recordReply(&reply, key); ok {
				return origin
			}
			isFresh = isFresh || reply.IsFresh
			reachesBack = reachesBack || reply.IsFresh && r.parts.PeerAge(reply.from) >= historyTime+maxClockDifference
			answered[reply.from] = true
			isOver = len(answered) == len(hosts)
		case <-repeat.C:
			ask()
		case <-timeout.C:
			isOver = true
		case <-ctx.Done():
			isOver = true
		}
	}
	if !reachesBack {
		return r.withHistory(ctx, stream, key, isFresh)
	}
	return r.withoutRecord(key, isFresh)
}

// recordReply records a reply, and returns the origin of the stream if the peer has a record of it.
func (r *Registry) recordReply(reply *peerReply, service keys.Service) (Origin, bool) {
	now := r.parts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.IsMixed {
		r.table.Report(now, service)
	}
	if !reply.IsKnown {
		return Origin{}, false
	}
	record := reply.Record.record(now)
	r.table.Add(now, record, false)
	return originOf(&record), true
}

// withoutRecord returns the origin of a stream of which no host has a record. IsFresh is set if this host or a peer that
// replied knows all versions.
func (r *Registry) withoutRecord(service keys.Service, isFresh bool) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isFresh || r.table.IsMixed(r.parts.Clock(), service) {
		return Origin{Certainty: UnknownVersion}
	}
	return Origin{Certainty: AnyVersion}
}

// HandleRecords handles a peer's Records, encoded as CBOR.
func (r *Registry) HandleRecords(from envelope.Sender, body []byte) {
	var message Records
	if !r.decode(from, body, &message) {
		return
	}
	now := r.parts.Clock()
	savers := r.savers()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range message.Records {
		r.table.Add(now, message.Records[i].record(now), false)
		if stream := message.Records[i].Stream; savers.of(stream) == savers.self.Host {
			r.saver.unsaved[stream] = true
		}
	}
	for _, service := range message.Mixed {
		r.table.Report(now, service)
	}
}

// HandleQuestion answers a peer's Question, encoded as CBOR.
func (r *Registry) HandleQuestion(from envelope.Sender, body []byte) {
	var question Question
	if !r.decode(from, body, &question) {
		return
	}
	now := r.parts.Clock()
	reply := Reply{Number: question.Number, IsFresh: r.isFresh()}
	r.mu.Lock()
	record, isKnown := r.table.Get(now, question.Stream)
	reply.IsMixed = r.table.HasSeenSeveral(now, question.Service)
	r.mu.Unlock()
	if reply.IsKnown = isKnown; isKnown {
		reply.Record = sentRecord(now, &record)
	}
	r.parts.Peers.SendTo(from.Host, envelope.KindStreamOriginReply, &reply)
}

// HandleReply handles a peer's Reply, encoded as CBOR.
func (r *Registry) HandleReply(from envelope.Sender, body []byte) {
	var reply Reply
	if r.decode(from, body, &reply) {
		r.asker.Deliver(reply.Number, peerReply{Reply: reply, from: from.Host})
	}
}

func (r *Registry) decode(from envelope.Sender, body []byte, message any) bool {
	if err := cbor.Unmarshal(body, message); err != nil {
		r.parts.Log.WithError(err).WithField("peer", from.Host).Warn("peer's message about the origins of streams can't be decoded; dropped")
		return false
	}
	return true
}

// Records returns the number of records.
func (r *Registry) Records() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len()
}

// Expire removes what has expired. It is called about once a second.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Expire(r.parts.Clock())
	maps.DeleteFunc(r.saver.unsaved, func(stream keys.Stream, _ bool) bool { return !r.table.has(stream) })
}

// Run observes the versions of all services, and saves what must outlast the end of all hosts, until done is closed.
func (r *Registry) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	var saving sync.WaitGroup
	defer saving.Wait()
	saving.Go(func() { r.runSaver(ctx) })
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, service := range r.parts.Services() {
				r.observe(r.parts.Clock(), service)
			}
		case <-done:
			return
		}
	}
}
