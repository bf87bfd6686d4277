package tunnel

import "time"

// RPC is the name of the call that opens a tunnel. It must not change.
const RPC = "oxbowslip/tunnel"

// The messages are CBOR arrays. Hosts of different versions run side by side, so their fields must not change.
// testdata/golden holds the encoded form of each message.

// OpenRequest is the first message of a tunnel. It asks a peer to connect to an endpoint.
type OpenRequest struct {
	_ struct{} `cbor:",toarray"`

	// Endpoint and Address are the ID and the address of the endpoint. The peer connects only if it knows the endpoint at
	// that address.
	Endpoint string
	Address  string
	Timeout  time.Duration
}

// OpenResult is the result of an OpenRequest. Numbers on the wire must not change.
type OpenResult uint8

// The results.
const (
	Connected OpenResult = 0
	// Refused: the endpoint's machine refused the connection.
	Refused OpenResult = 1
	// Unreachable: the connection could not be opened in time, or for another reason.
	Unreachable OpenResult = 2
	// Declined: the peer did not try. It is leaving, has too many tunnels, does not know the endpoint, or has lost its own
	// path to it.
	Declined OpenResult = 3
)

// OpenReply answers an OpenRequest. After Connected, both sides send chunks.
type OpenReply struct {
	_ struct{} `cbor:",toarray"`

	Result OpenResult
	Detail string
}

// ChunkKind is the kind of a chunk. Numbers on the wire must not change.
type ChunkKind uint8

// The kinds of chunks.
const (
	ChunkData ChunkKind = 0
	// ChunkEnd: the endpoint has closed the connection after its last byte. The data are the number of bytes that the peer
	// had forwarded to it by then, as a varint of encoding/binary. Older versions send none.
	ChunkEnd ChunkKind = 1
	// ChunkReset: the connection to the endpoint has broken.
	ChunkReset ChunkKind = 2
	// ChunkLeaving: the peer is about to stop. The tunnel ends with the current call.
	ChunkLeaving ChunkKind = 3
)

// Chunk is a part of the bytes of a connection, or a change of its state.
type Chunk struct {
	_ struct{} `cbor:",toarray"`

	Kind ChunkKind
	Data []byte
}
