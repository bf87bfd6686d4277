package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
)

// ErrWrongKey is returned when a peer fails to prove that it has the shared key.
var ErrWrongKey = merry.Sentinel("peer failed to prove knowledge of the shared key")

// RPC names: a link for scheduling, and a single request for the settings in force.
const (
	rpcLink     = "/oxbowslip.Peer/Link"
	rpcSettings = "/oxbowslip.Peer/Settings"
)

// kind is the type of a frame.
type kind uint8

const (
	// kindHello opens a link with the owner's name and a nonce.
	kindHello kind = iota
	// kindChallenge answers it with the scheduler's proof and a nonce of its own.
	kindChallenge
	// kindProof completes the handshake with the owner's proof.
	kindProof
	// kindHeartbeat shows that the sender is alive, and carries its revision of the settings.
	kindHeartbeat
	kindMessages
	kindDecisions
	// kindLeaving reports that the sender no longer schedules.
	kindLeaving
	// kindSettingsRequest requests settings newer than Revision; kindSettings is the response.
	kindSettingsRequest
	kindSettings
)

// frame is a message of a link. Unused fields are empty.
type frame struct {
	Kind      kind           `cbor:"1,keyasint"`
	Host      string         `cbor:"2,keyasint,omitempty"`
	Nonce     []byte         `cbor:"3,keyasint,omitempty"`
	Proof     []byte         `cbor:"4,keyasint,omitempty"`
	Messages  []wireMessage  `cbor:"5,keyasint,omitempty"`
	Decisions []wireDecision `cbor:"6,keyasint,omitempty"`
	Revision  uint64         `cbor:"7,keyasint,omitempty"`
	Data      []byte         `cbor:"8,keyasint,omitempty"`
}

// wireMessage is the encoded form of an owner's message. Times are sent as ages, since the hosts'
// clocks differ. Only Submit and Adopt messages carry the request itself.
type wireMessage struct {
	_        struct{} `cbor:",toarray"`
	Shard    string
	Kind     shard.Kind
	ID       string
	Tokens   int
	Result   admission.Result
	Endpoint string
	Age      time.Duration
	Request  *admission.Request
}

// wireDecision is the encoded form of a scheduler's decision. Left is the remaining time of a
// grant.
type wireDecision struct {
	Shard    string             `cbor:"1,keyasint"`
	Left     time.Duration      `cbor:"2,keyasint,omitempty"`
	Decision admission.Decision `cbor:"3,keyasint"`
}

func encodeMessage(now time.Time, shardName string, m *shard.Message) wireMessage {
	encoded := wireMessage{
		Shard: shardName, Kind: m.Kind, ID: m.ID, Tokens: m.Tokens, Result: m.Result, Endpoint: m.Endpoint,
	}
	if m.Kind == shard.Submit || m.Kind == shard.Adopt {
		request := m.Request
		encoded.Age = now.Sub(request.Arrived)
		request.Arrived = time.Time{}
		encoded.Request = &request
	}
	return encoded
}

func (f *wireMessage) decode(now time.Time, owner string) *shard.Message {
	m := &shard.Message{Kind: f.Kind, ID: f.ID, Tokens: f.Tokens, Result: f.Result, Endpoint: f.Endpoint}
	if f.Request != nil {
		m.Request = *f.Request
		m.Request.Arrived = now.Add(-f.Age)
		m.Request.Owner = owner
	}
	return m
}

func encodeDecision(now time.Time, shardName string, d *admission.Decision) wireDecision {
	encoded := wireDecision{Shard: shardName, Decision: *d}
	if !d.Until.IsZero() {
		encoded.Left = d.Until.Sub(now)
		encoded.Decision.Until = time.Time{}
	}
	return encoded
}

func (f *wireDecision) decode(now time.Time) admission.Decision {
	d := f.Decision
	if d.Kind == admission.Grant {
		d.Until = now.Add(f.Left)
	}
	return d
}

// encoding implements drpc.Encoding with CBOR.
type encoding struct{}

// Marshal encodes a frame.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a frame.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}

// nonceBytes is the length of a challenge: 128 bits can't be guessed and don't repeat.
const nonceBytes = 16

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read is documented never to return an error.
	_, _ = rand.Read(nonce)
	return nonce
}

// proof proves knowledge of the key for the other side's nonce. The role prevents a proof from
// being reflected to its sender.
func proof(key, role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

const (
	roleOwner     = "owner"
	roleScheduler = "scheduler"
)
