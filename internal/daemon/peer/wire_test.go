package peer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// submit returns the message for a request of ordinary size, with a prompt of 1,500 tokens.
func submit(i int) *shard.Message {
	r := admission.Request{
		ID: fmt.Sprintf("0c5f3ad2-1111-4222-8333-%012d", i), Owner: "host-1", Workspace: "prairie-boats", Class: "itinerary", Tier: 1,
		Arrived: now, FirstToken: 1300 * time.Millisecond, BetweenTokens: 48 * time.Millisecond, MaxWait: time.Minute,
		Repeatable: true, Share: 0.03, Weight: 1, PromptTokens: 1500, MaxTokens: 4096, Prefix: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63, 1 << 59},
		Zone: "prairie-a",
	}
	return &shard.Message{Kind: shard.Submit, ID: r.ID, Request: r}
}

func TestWireRoundTrip(t *testing.T) {
	c := qt.New(t)
	sentAt := now.Add(time.Second)
	encoded := encodeMessage(sentAt, "voyage", submit(1))
	data, err := encoding{}.Marshal(&frame{Kind: kindMessages, Messages: []wireMessage{encoded}})
	c.Assert(err, qt.IsNil)
	var got frame
	c.Assert(encoding{}.Unmarshal(data, &got), qt.IsNil)
	// The receiving host's clock is an hour ahead; only the age counts.
	receivedAt := sentAt.Add(time.Hour)
	m := got.Messages[0].decode(receivedAt, "host-1")
	want := submit(1)
	want.Request.Arrived = receivedAt.Add(-time.Second)
	c.Assert(m, qt.DeepEquals, want)
	grant := admission.Decision{Kind: admission.Grant, ID: "x", Owner: "host-1", Endpoint: "voyage-1", Until: now.Add(2 * time.Second)}
	decision := encodeDecision(now, "voyage", &grant)
	c.Assert(decision.decode(receivedAt).Until, qt.Equals, receivedAt.Add(2*time.Second))
}

// encodedSize returns the size of a frame in bytes.
func encodedSize(f *frame) int {
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // A frame can always be encoded.
	}
	return len(data)
}

// requestBytes returns the bytes that a request costs on a link in each direction: submit, grant,
// started, first token, progress every 16 tokens, finished.
func requestBytes(tokens int) (owner, scheduler int) {
	id := submit(1).ID
	owner = encodedSize(&frame{Kind: kindMessages, Messages: []wireMessage{encodeMessage(now, "voyage", submit(1))}})
	kinds := []shard.Kind{shard.Started, shard.FirstToken, shard.Finished}
	for range tokens / 16 {
		kinds = append(kinds, shard.Progress)
	}
	for _, k := range kinds {
		owner += encodedSize(&frame{Kind: kindMessages, Messages: []wireMessage{encodeMessage(now, "voyage", &shard.Message{Kind: k, ID: id, Tokens: 99})}})
	}
	grant := admission.Decision{
		Kind: admission.Grant, ID: id, Owner: "host-1", Endpoint: "voyage-01", Reason: admission.ReasonNext, Until: now.Add(time.Second),
		Figures: admission.Figures{Waited: time.Second, Ahead: 5, PredictedFirstToken: time.Second, Limit: 25.5, AnswerTokens: 300},
	}
	scheduler = encodedSize(&frame{Kind: kindDecisions, Decisions: []wireDecision{encodeDecision(now, "voyage", &grant)}})
	return owner, scheduler
}

// TestWireBytes bounds the bytes that a request costs on a link.
func TestWireBytes(t *testing.T) {
	c := qt.New(t)
	owner, scheduler := requestBytes(310)
	c.Logf("a heartbeat: %d bytes", encodedSize(&frame{Kind: kindHeartbeat}))
	c.Logf("a request of 310 tokens: %d bytes to the scheduler, %d bytes back", owner, scheduler)
	c.Assert(owner < 2600, qt.IsTrue, qt.Commentf("%d bytes", owner))
	c.Assert(scheduler < 400, qt.IsTrue, qt.Commentf("%d bytes", scheduler))
}
