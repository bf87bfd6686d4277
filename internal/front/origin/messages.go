package origin

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The messages between hosts: CBOR arrays, whose fields must not change, since hosts of different versions run side by
// side. Hosts that don't know the kinds drop them.

// Records are the beginnings of streams, for the peers that keep them.
type Records struct {
	_ struct{} `cbor:",toarray"`

	Records []SentRecord
	// Mixed are the services of which the sender has seen several versions.
	Mixed []keys.Service
}

// SentRecord is a Record in a message.
type SentRecord struct {
	_ struct{} `cbor:",toarray"`

	Stream  keys.Stream
	Service keys.Service
	Version keys.Version
	// LeftMs is the time until the record expires.
	LeftMs int64
}

// Question asks for the origin of a stream.
type Question struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	Stream keys.Stream
	// Service is the service at which the stream is to be resumed.
	Service keys.Service
}

// Reply answers a Question.
type Reply struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	// IsKnown is set if the sender has a record of the stream, which is Record then.
	IsKnown bool
	Record  SentRecord
	// IsMixed is set if the sender has seen several versions of the service.
	IsMixed bool
	// IsFresh is set if the sender knows all versions, as its directory was confirmed not long ago.
	IsFresh bool
}

func sentRecord(now time.Time, r *Record) SentRecord {
	return SentRecord{Stream: r.Stream, Service: r.Service, Version: r.Version, LeftMs: r.Until.Sub(now).Milliseconds()}
}

// maxRecordTime bounds the validity of a peer's record.
const maxRecordTime = 10 * time.Minute

func (r *SentRecord) record(now time.Time) Record {
	left := min(time.Duration(r.LeftMs)*time.Millisecond, maxRecordTime)
	return Record{Stream: r.Stream, Service: r.Service, Version: r.Version, Until: now.Add(left)}
}
