// Package gossip lets the hosts of a fleet share what each knows: which hosts are
// there, the work that each has under way at the endpoints, endpoints that failed,
// and which revisions of the settings and of the directory are the newest. Hosts
// send each other small datagrams; a host that lacks a newer revision fetches it
// from the peer that told of it. Nothing is agreed on: every host decides alone from
// what it has heard.
package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Beat is one datagram: a host's whole state that others care about, so that a lost
// one is made good by the next.
type Beat struct {
	_ struct{} `cbor:",toarray"`

	// Life names the sender: each start of a host draws a new number. Sequence
	// numbers the beats of one life.
	Life     uint32
	Sequence uint64
	// Intro is sent to hosts that do not know the sender, or ask. A beat with it tells
	// nothing of the sender's work.
	Intro *Intro
	// Settings and Directory are the newest revisions that the host has.
	Settings  uint64
	Directory uint64
	Leaving   bool
	// Reading says that the sender reads the store, and gets its answers.
	Reading bool
	Loads   []EndpointLoad
	Pauses  []EndpointPause
	// Reads are the prefixes that the sender lately sent to endpoints. Each is told
	// in a few beats, since one may be lost.
	Reads []PrefixRead
	// Delta is the newest change of the directory, told in a few beats.
	Delta *DirectoryDelta
	// Streams tell how the sender's streams of short prompts have fared lately.
	Streams []StreamCount
	// Patch is the newest change of the settings, told in a few beats.
	Patch *SettingsPatch
}

// SettingsPatch turns a configuration into the next. A host that holds another than
// From can't use it.
type SettingsPatch struct {
	_ struct{} `cbor:",toarray"`

	From uint64
	To   uint64
	// Data is the newer configuration, packed on the older one (see package pack).
	Data []byte
}

// DirectoryDelta holds all changes of the directory after one revision up to another.
// A host that knows all up to From knows all up to To with it.
type DirectoryDelta struct {
	_ struct{} `cbor:",toarray"`

	From    uint64
	To      uint64
	Changes []EndpointChange
}

// EndpointChange sets an endpoint, or drops it.
type EndpointChange struct {
	_ struct{} `cbor:",toarray"`

	ID      string
	Service string
	Address string
	Zone    string
	Version string
	Places  int
	Out     bool
	Gone    bool
}

// PrefixKey is a short name of a shared part of prompts.
type PrefixKey uint32

// PrefixRead says that an endpoint was sent a prompt with a prefix, and so holds it.
type PrefixRead struct {
	_ struct{} `cbor:",toarray"`

	Prefix   PrefixKey
	Endpoint EndpointKey
}

// Intro says who sends the beats of a life.
type Intro struct {
	_ struct{} `cbor:",toarray"`

	Host    string
	Address string
	Zone    string
	// Start orders the lives of a host.
	Start int64
	// Known are the addresses of some other hosts.
	Known []string
	// Ask wants the receiver to introduce itself too: the sender has not heard it.
	Ask bool
	// Hosts is how many hosts the sender knows, itself included.
	Hosts int
}

// EndpointKey is a short name of an endpoint: a hash of its ID. Two endpoints with
// the same key would share their loads, which costs a worse choice and no more.
type EndpointKey uint32

// KeyOf gives the key of an endpoint.
func KeyOf(endpoint string) EndpointKey { return EndpointKey(xxhash.Sum64String(endpoint)) }

// TokenUnit is the unit of token counts in beats.
const TokenUnit = 64

// EndpointLoad is the sender's work under way at an endpoint.
type EndpointLoad struct {
	_ struct{} `cbor:",toarray"`

	Endpoint EndpointKey
	Requests int
	// Tokens counts prompt tokens that the endpoint has still to read, in units of
	// TokenUnit.
	Tokens int
}

// ServiceKey is a short name of a service: a hash of its name.
type ServiceKey uint32

// KeyOfService gives the key of a service.
func KeyOfService(service string) ServiceKey { return ServiceKey(xxhash.Sum64String(service)) }

// StreamUnit is the number of units that one stream counts in beats.
const StreamUnit = 8

// StreamCount counts the sender's recent streams of short prompts at a service, and
// those that paused for too long, in units of 1/StreamUnit.
type StreamCount struct {
	_ struct{} `cbor:",toarray"`

	Service ServiceKey
	Late    int
	All     int
}

// EndpointPause says that an endpoint failed the sender.
type EndpointPause struct {
	_ struct{} `cbor:",toarray"`

	Endpoint EndpointKey
	// Left is how long the sender sends it no new work.
	Left time.Duration
}

// Want asks a peer for what is newer than the given revisions.
type Want struct {
	_ struct{} `cbor:",toarray"`

	Settings  uint64
	Directory uint64
}

// News is the answer to Want. What is not newer is left out.
type News struct {
	_ struct{} `cbor:",toarray"`

	// Settings is a configuration as the deployment writes it, packed on the one of
	// revision Base, or by itself if Base is 0.
	Settings []byte
	Base     uint64
	Snapshot *DirectorySnapshot
}

// size is about the number of bytes of the news.
func (n *News) size() int {
	size := len(n.Settings)
	if n.Snapshot != nil {
		size += len(n.Snapshot.Entries)
	}
	return size
}

// DirectorySnapshot is the whole directory.
type DirectorySnapshot struct {
	_ struct{} `cbor:",toarray"`

	// Revision is the state up to which all is known, Changed the newest change.
	Revision uint64
	Changed  uint64
	// Entries are EndpointChanges in CBOR, packed by themselves.
	Entries []byte
}

const rpcNews = "oxbowslip/news"

// encoding is CBOR for drpc.
type encoding struct{}

// Marshal encodes a message.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}
