package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The messages are CBOR arrays without field names. Hosts of different versions run side by side, and a
// host can't decode an array of another length than it knows, so that the fields must not change: what
// is new goes into a message of its own, which older hosts ignore. testdata/golden holds the encoded
// form of each.

// Heartbeat is one datagram: all of a host's state that others use, so that the next one
// makes up for one that is lost.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender: each start of a host draws a new number. Sequence counts
	// the heartbeats of one incarnation.
	Incarnation uint32
	Sequence    uint64
	// Announcement is who the sender is. It goes to hosts that do not know the sender yet;
	// a heartbeat with it carries nothing of the sender's work.
	Announcement *Announcement
	// Settings and Directory are the newest revisions that the sender has.
	Settings  uint64
	Directory uint64
	Leaving   bool
	// MustReadStore is set if the sender reads the store and gets answers from it.
	ReadsStore bool
	Loads      []EndpointLoad
	Ejections  []Ejection
	// Holders are prefixes that the sender lately sent to endpoints, each in a few
	// heartbeats.
	Holders []Holder
	// Delta is the newest change of the directory, Patch that of the settings, each in a few
	// heartbeats.
	Delta *DirectoryDelta
	// Streams are recent streams of short prompts. Only hosts before 0.3 send and use them.
	Streams []StreamCount
	Patch   *SettingsPatch
}

// Report is a datagram with what the sender has observed of engines. It is sent with some of the
// heartbeats.
type Report struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender as in Heartbeat, Sequence counts its reports.
	Incarnation uint32
	Sequence    uint64
	Engines     []EngineReport
}

// Confirmation is a datagram of a host that the store has just answered: up to when it knows
// everything. The topics have the order of package freshness; a receiver uses those that it knows.
type Confirmation struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender as in Heartbeat.
	Incarnation uint32
	Topics      []TopicConfirmation
}

// TopicConfirmation is up to when the sender knows a topic. The fields mean what those of
// freshness.Confirmation mean.
type TopicConfirmation struct {
	_ struct{} `cbor:",toarray"`

	Newest   uint64
	Revision uint64
	// AsOf is the store's clock in milliseconds.
	AsOf uint64
}

// Work is the work of one host or of several together (package aggregate). The loads are in columns, which
// take 8 B an endpoint (TestShareBytes).
type Work struct {
	_ struct{} `cbor:",toarray"`

	// Requests and Tokens are those of the endpoint at the same place in Endpoints. The tokens are in units
	// of TokenUnit.
	Endpoints []keys.Endpoint
	Requests  []int
	Tokens    []int
	Holders   []Holder
	Engines   []EngineReport
}

// Contribution is a datagram with the work of a host for an aggregator of its zone.
type Contribution struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender as in Heartbeat, Sequence counts its contributions.
	Incarnation uint32
	Sequence    uint64
	// WantsSums is set if the sender uses the sums of this aggregator.
	WantsSums bool
	Work      Work
}

// ZoneSum is a datagram of an aggregator for those of other zones: the sum over the hosts of its zone.
type ZoneSum struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender as in Heartbeat, Sequence counts its sums.
	Incarnation uint32
	Sequence    uint64
	// Hosts is the number of hosts that the sum counts.
	Hosts int
	// Splits are what the sender would decide for all hosts.
	Splits []ServiceSplit
	// Part is the number of this part of Parts; they differ in the endpoints.
	Part  int
	Parts int
	Work  Work
}

// FleetSum is a datagram of an aggregator for the hosts of its zone: the sum over all hosts.
type FleetSum struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender as in Heartbeat, Sequence counts its sums.
	Incarnation uint32
	Sequence    uint64
	// Counted are the incarnations of the zone's hosts that the sum counts, Sequences their contributions.
	Counted   []uint32
	Sequences []uint64
	// Splits are what Decider, a host, has decided for all.
	Decider string
	Splits  []ServiceSplit
	// Part is the number of this part of Parts; they differ in the endpoints.
	Part  int
	Parts int
	Work  Work
}

// ServiceSplit is how the endpoints of a service are divided. The fields mean what those of engine.Split mean.
type ServiceSplit struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	Short   int
	Long    []keys.Class
}

// SettingsPatch turns one configuration into the next. A host that has another one than From
// can't use it.
type SettingsPatch struct {
	_ struct{} `cbor:",toarray"`

	From uint64
	To   uint64
	// Data is the newer configuration, compressed against the older one (package pack).
	Data []byte
}

// DirectoryDelta holds all changes of the directory after revision From up to revision To.
type DirectoryDelta struct {
	_ struct{} `cbor:",toarray"`

	From    uint64
	To      uint64
	Changes []EndpointChange
}

// EndpointChange sets the entry of an endpoint, or removes it.
type EndpointChange struct {
	_ struct{} `cbor:",toarray"`

	ID      string
	Service string
	Address string
	Zone    string
	// Version is that of the endpoint's software.
	Version string
	Slots   int
	// Leaving is set if the endpoint takes no new work, Gone if its entry is removed.
	Leaving bool
	Gone    bool
}

// Holder is an endpoint that was sent a prompt with a prefix, and so has it in its cache.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Prefix   keys.Prefix
	Endpoint keys.Endpoint
}

// Announcement is the host that an incarnation belongs to.
type Announcement struct {
	_ struct{} `cbor:",toarray"`

	Host    string
	Address string
	Zone    string
	// Start orders the incarnations of a host: its wall clock in ns when it started.
	Start int64
	// KnownAddresses are those of some other hosts.
	KnownAddresses []string
	// WantReply asks the receiver to announce itself too.
	WantReply bool
	// Hosts is how many hosts the sender knows, itself included.
	Hosts int
}

// TokenUnit is the number of prompt tokens that one unit of EndpointLoad.Tokens stands for.
const TokenUnit = 64

// EndpointLoad is the sender's work in flight at an endpoint.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Requests int
	// Tokens are prompt tokens that are not processed yet, in units of TokenUnit.
	Tokens int
}

// StreamCount counts recent streams of short prompts at a service, and those that paused for too long,
// in eighths of a stream. Only hosts before 0.3 send and use it.
type StreamCount struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	Late    int
	All     int
}

// EngineReport is what the sender knows of the engines and the traffic of a service. The fields mean
// what those of package engine mean.
type EngineReport struct {
	_ struct{} `cbor:",toarray"`

	Service   keys.Service
	ReadRate  Figure
	EventTime Figure
	EventRead Figure
	Classes   []ClassDemand
}

// RequestUnit is the number of units of ClassDemand.Requests that one request counts.
const RequestUnit = 8

// ClassDemand is what the sender sent of a request class lately. The tokens are in units of TokenUnit.
type ClassDemand struct {
	_ struct{} `cbor:",toarray"`

	Class    keys.Class
	Requests int
	Prompt   int
	Unread   int
	Open     int
}

// Figure is a learned quantity with the number of samples that it rests on.
type Figure struct {
	_ struct{} `cbor:",toarray"`

	Value   float32
	Samples int
}

// Ejection is an endpoint that the sender sends no new work.
type Ejection struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	// Left is how long the ejection still lasts.
	Left time.Duration
}

// SyncRequest asks a peer for what is newer than the given revisions.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	Settings  uint64
	Directory uint64
}

// SyncResponse answers a SyncRequest. What is not newer is left out.
type SyncResponse struct {
	_ struct{} `cbor:",toarray"`

	// Settings is a configuration as the deployment writes it, compressed against the one of
	// revision Base, or by itself if Base is 0.
	Settings []byte
	Base     uint64
	Snapshot *DirectorySnapshot
}

// size returns about the number of bytes of the response.
func (r *SyncResponse) size() int {
	size := len(r.Settings)
	if r.Snapshot != nil {
		size += len(r.Snapshot.Entries)
	}
	return size
}

// DirectorySnapshot is the whole directory.
type DirectorySnapshot struct {
	_ struct{} `cbor:",toarray"`

	// Revision is the state up to which all changes are known, Changed the newest change.
	Revision uint64
	Changed  uint64
	// Entries is a list of EndpointChange in CBOR, compressed by itself.
	Entries []byte
}

// ChangesRequest asks a peer for what has changed in the directory after a revision.
type ChangesRequest struct {
	_ struct{} `cbor:",toarray"`

	Directory uint64
}

// ChangesResponse answers a ChangesRequest.
type ChangesResponse struct {
	_ struct{} `cbor:",toarray"`

	// IsKnown is set if the peer still has all changes since then.
	IsKnown bool
	// From is the revision that was asked for, To the one that the changes lead to.
	From uint64
	To   uint64
	// Entries and States are lists of EndpointChange in CBOR, compressed by themselves. Of those in States only the
	// state has changed, and all else but the ID is left out.
	Entries []byte
	States  []byte
}

// rpcChanges is the name of the call that takes a ChangesRequest.
const rpcChanges = "oxbowslip/changes"

// rpcSync is the name of the call that takes a SyncRequest. It stays as it was first named.
const rpcSync = "oxbowslip/news"

// encoding is CBOR for drpc.
type encoding struct{}

// Marshal encodes a message.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}
