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

// ErrWrongKey means that a peer does not know the shared key.
var ErrWrongKey = merry.Sentinel("peer does not know the shared key")

// The calls: a link for scheduling, and one answer with the settings in force.
const (
	rpcLink     = "/oxbowslip.Peer/Link"
	rpcSettings = "/oxbowslip.Peer/Settings"
)

// kind is what a frame carries.
type kind uint8

const (
	// kindHello opens a link: the owner's name and a nonce.
	kindHello kind = iota
	// kindChallenge answers it: the scheduler's proof and a nonce of its own.
	kindChallenge
	// kindProof ends the opening: the owner's proof.
	kindProof
	// kindHeartbeat shows that the sender is alive, and its revision of the settings.
	kindHeartbeat
	kindMessages
	kindDecisions
	// kindLeaving: the sender schedules no more.
	kindLeaving
	// kindSettingsRequest asks for settings newer than Revision, kindSettings answers.
	kindSettingsRequest
	kindSettings
)

// frame is one message of a link. Unused fields are empty.
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

// wireMessage is an owner's message. Times are sent as ages, since the hosts'
// clocks differ. Only the first word of a request carries the request itself.
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

// wireDecision is a scheduler's decision, with the time left for a grant.
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

// encoding is CBOR for drpc.
type encoding struct{}

// Marshal encodes a frame.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a frame.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}

// nonceBytes is the length of a challenge: 128 bits are not guessed or seen twice.
const nonceBytes = 16

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read never fails; the package says so.
	_, _ = rand.Read(nonce)
	return nonce
}

// proof shows knowledge of the key for a nonce of the other side. The role
// keeps a proof from being sent back as the other side's own.
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
