// Package origin remembers which software version of a service began each stream that may be resumed. The events of two
// versions don't fit together, and endpoints don't check that, so a stream may only be resumed at an endpoint of the
// version that began it, also by a host that did not relay its beginning.
//
// The package owns the records of streams and the versions seen of each service. While a service runs several versions,
// a host sends the record of a stream to two peers before the caller receives the first event: the host may be gone
// right after. All hosts find the same peers by rendezvous hashing. While a service runs one version, nothing is sent.
// A stream of unknown origin is resumed only if all endpoints of its service have run one version for historyTime.
//
// Table holds the rules, takes the time as a parameter and does no I/O. Registry adds the exchange with peers. The
// package relies on package directory for the versions of endpoints and on package gossip for messages, which may be
// lost: then a stream is refused that could be resumed.
package origin

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// historyTime is how long a version still counts as in use after its last endpoint has gone: a stream that it began
	// may return that long after.
	historyTime = 2 * time.Minute
	// reportTime is how long a peer's report counts that a service runs several versions. Peers repeat it with each
	// record.
	reportTime = 10 * time.Second
	// returnTime is how long a record is kept beyond the time limit of the request that it belongs to.
	returnTime = 5 * time.Second
	// maxRecords bounds the records to about 2 MB; those that expire first are dropped.
	maxRecords = 16384
)

// Record is the beginning of a stream.
type Record struct {
	Stream keys.Stream
	// Service is the service whose endpoint began the stream, Version the version of its software. Version is 0 if it is
	// not certain, so that the stream can't be resumed.
	Service keys.Service
	Version keys.Version
	// Until is when the record expires.
	Until time.Time
}

// Certainty is what is known about the version that began a stream.
type Certainty uint8

// The degrees of certainty.
const (
	// AnyVersion: only one version has run that can have begun the stream.
	AnyVersion Certainty = iota
	// KnownVersion: the stream is recorded.
	KnownVersion
	// UnknownVersion: several versions may have begun the stream.
	UnknownVersion
)

// Origin is the origin of a stream.
type Origin struct {
	Certainty Certainty
	// Service and Version are set with KnownVersion.
	Service keys.Service
	Version keys.Version
}

// originOf returns the origin of a recorded stream.
func originOf(record *Record) Origin {
	if record.Version == 0 {
		return Origin{Certainty: UnknownVersion}
	}
	return Origin{Certainty: KnownVersion, Service: record.Service, Version: record.Version}
}
