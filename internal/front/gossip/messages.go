package gossip

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The messages are CBOR arrays without field names. Hosts of different versions run side by side, and a host can't
// decode an array of an unexpected length. The fields of a message must therefore not change: new data go into a new
// message, which older hosts ignore. testdata/golden holds the encoded form of each message.

// Heartbeat is a datagram with all of a host's state that peers use, so that a lost one is made up for by the next.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender; it is drawn at random at each start of a host. Sequence counts the heartbeats
	// of an incarnation.
	Incarnation uint32
	Sequence    uint64
	// Announcement identifies the sender to hosts that do not know it yet. A heartbeat with an announcement carries no
	// work of the sender.
	Announcement *Announcement
	// Settings and Directory are the sender's newest revisions.
	Settings  uint64
	Directory uint64
	Leaving   bool
	// ReadsStore is set if the sender reads the store and receives answers from it.
	ReadsStore bool
	Loads      []EndpointLoad
	Ejections  []Ejection
	// Holders are the endpoints to which the sender has recently sent prefixes. Each is included in a few heartbeats.
	Holders []Holder
	// Delta is the newest change of the directory, Patch that of the settings. Each is included in a few heartbeats.
	Delta *DirectoryDelta
	// Streams counts recent streams of short prompts. Only hosts of versions before 0.3 send and use it.
	Streams []StreamCount
	Patch   *SettingsPatch
}

// Report is a datagram with the sender's observations of engines. It accompanies some of the heartbeats.
type Report struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat. Sequence counts its reports.
	Incarnation uint32
	Sequence    uint64
	Engines     []EngineReport
}

// Confirmation is a datagram of a host that the store has just answered. It states the point in time up to which the
// sender has all changes, by topic. The topics are in the order of package freshness; a receiver ignores unknown ones.
type Confirmation struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat.
	Incarnation uint32
	Topics      []TopicConfirmation
}

// TopicConfirmation is the confirmation of a topic. The fields are those of freshness.Confirmation.
type TopicConfirmation struct {
	_ struct{} `cbor:",toarray"`

	Newest   uint64
	Revision uint64
	// AsOf is a time of the store's clock in milliseconds.
	AsOf uint64
}

// Work is the work in flight of one or more hosts (package aggregate). The loads are in columns, which take 8 bytes per
// endpoint (TestShareBytes).
type Work struct {
	_ struct{} `cbor:",toarray"`

	// Requests and Tokens belong to the endpoint at the same index of Endpoints. Tokens are in units of TokenUnit.
	Endpoints []keys.Endpoint
	Requests  []int
	Tokens    []int
	Holders   []Holder
	Engines   []EngineReport
}

// Contribution is a datagram with the work of a host, sent to an aggregator of its zone.
type Contribution struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat. Sequence counts its contributions.
	Incarnation uint32
	Sequence    uint64
	// WantsSums is set if the sender uses the sums of this aggregator.
	WantsSums bool
	Work      Work
}

// ZoneSum is a datagram with the sum over the hosts of a zone, sent by its aggregator to those of other zones.
type ZoneSum struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat. Sequence counts its sums.
	Incarnation uint32
	Sequence    uint64
	// Hosts is the number of hosts that the sum includes.
	Hosts int
	// Splits are the splits that the sender would decide for all hosts.
	Splits []ServiceSplit
	// Part is the index of this part, Parts the number of parts. Each part covers other endpoints.
	Part  int
	Parts int
	Work  Work
}

// FleetSum is a datagram with the sum over all hosts, sent by an aggregator to the hosts of its zone.
type FleetSum struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation identifies the sender, as in Heartbeat. Sequence counts its sums.
	Incarnation uint32
	Sequence    uint64
	// Counted are the incarnations of the zone's hosts that the sum includes, Sequences their contributions' numbers.
	Counted   []uint32
	Sequences []uint64
	// Splits are the splits that the host Decider has decided for all hosts.
	Decider string
	Splits  []ServiceSplit
	// Part is the index of this part, Parts the number of parts. Each part covers other endpoints.
	Part  int
	Parts int
	Work  Work
}

// ServiceSplit is the division of a service's endpoints into partitions. The fields are those of engine.Split.
type ServiceSplit struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	Short   int
	Long    []keys.Class
}

// SettingsPatch changes the configuration of revision From into that of revision To. A host with any other revision
// can't apply it.
type SettingsPatch struct {
	_ struct{} `cbor:",toarray"`

	From uint64
	To   uint64
	// Data is the newer configuration, compressed with the older one as its base (package pack).
	Data []byte
}

// DirectoryDelta holds all changes of the directory after revision From up to revision To.
type DirectoryDelta struct {
	_ struct{} `cbor:",toarray"`

	From    uint64
	To      uint64
	Changes []EndpointChange
}

// EndpointChange sets or removes the entry of an endpoint.
type EndpointChange struct {
	_ struct{} `cbor:",toarray"`

	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of the endpoint's software.
	Version string
	Slots   int
	// Leaving is set if the endpoint accepts no new work, Gone if its entry is removed.
	Leaving bool
	Gone    bool
}

// Holder is an endpoint to which a prompt with a prefix was sent, and which therefore holds it in its cache.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Prefix   keys.Prefix
	Endpoint keys.Endpoint
}

// Announcement identifies the host of an incarnation.
type Announcement struct {
	_ struct{} `cbor:",toarray"`

	Host    string
	Address string
	Zone    string
	// Start orders the incarnations of a host. It is the wall clock in Unix nanoseconds at the start.
	Start int64
	// KnownAddresses are the addresses of some other hosts.
	KnownAddresses []string
	// WantReply asks the receiver to announce itself too.
	WantReply bool
	// Hosts is the number of hosts that the sender knows, including itself.
	Hosts int
}

// TokenUnit is the number of prompt tokens that one unit of EndpointLoad.Tokens stands for.
const TokenUnit = 64

// EndpointLoad is the sender's work in flight at an endpoint.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	Requests int
	// Tokens is the number of prompt tokens not yet processed, in units of TokenUnit.
	Tokens int
}

// StreamCount counts the recent streams of short prompts at a service, and those of them with too long a pause, in
// eighths of a stream. Only hosts of versions before 0.3 send and use it.
type StreamCount struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	Late    int
	All     int
}

// EngineReport holds the sender's estimates of the engines and the traffic of a service. The fields are those of package
// engine.
type EngineReport struct {
	_ struct{} `cbor:",toarray"`

	Service   keys.Service
	ReadRate  Figure
	EventTime Figure
	EventRead Figure
	Classes   []ClassDemand
}

// RequestUnit is the number of units of ClassDemand.Requests per request.
const RequestUnit = 8

// ClassDemand is the sender's recent demand of a request class. Tokens are in units of TokenUnit.
type ClassDemand struct {
	_ struct{} `cbor:",toarray"`

	Class    keys.Class
	Requests int
	Prompt   int
	Unread   int
	Open     int
}

// Figure is an estimate and the number of samples behind it.
type Figure struct {
	_ struct{} `cbor:",toarray"`

	Value   float32
	Samples int
}

// Ejection is an endpoint that the sender has ejected: it sends no new work to it.
type Ejection struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	// Left is the time until the ejection ends.
	Left time.Duration
}

// SyncRequest asks a peer for the settings and the directory if they are newer than the given revisions.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`

	Settings  uint64
	Directory uint64
}

// SyncResponse answers a SyncRequest. It leaves out settings and directory if they are not newer.
type SyncResponse struct {
	_ struct{} `cbor:",toarray"`

	// Settings is a configuration in the deployment's format, compressed with that of revision Base as its base, or
	// without a base if Base is 0.
	Settings []byte
	Base     uint64
	Snapshot *DirectorySnapshot
}

// size returns the approximate number of bytes of the response.
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

	// Revision is the revision up to which all changes are included, Changed the revision of the newest change.
	Revision uint64
	Changed  uint64
	// Entries is a list of EndpointChange in CBOR, compressed without a base.
	Entries []byte
}

// ChangesRequest asks a peer for the changes of the directory after a revision.
type ChangesRequest struct {
	_ struct{} `cbor:",toarray"`

	Directory uint64
}

// ChangesResponse answers a ChangesRequest.
type ChangesResponse struct {
	_ struct{} `cbor:",toarray"`

	// IsKnown is set if the peer still has all changes since the requested revision.
	IsKnown bool
	// From is the requested revision, To the revision after the changes.
	From uint64
	To   uint64
	// Entries and States are lists of EndpointChange in CBOR, compressed without a base. States holds the entries of
	// which only the state has changed; they contain the ID and the state alone.
	Entries []byte
	States  []byte
}

// rpcChanges is the name of the call that takes a ChangesRequest.
const rpcChanges = "oxbowslip/changes"

// rpcSync is the name of the call that takes a SyncRequest. Hosts of older versions use it, so it must not change.
const rpcSync = "oxbowslip/news"
