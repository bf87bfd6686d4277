package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/admission"
	"oxbowslip.dev/oxbowslip/internal/daemon/shard"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// fullRequest returns a request with all fields set to distinct values.
func fullRequest() *admission.Request {
	return &admission.Request{
		ID: "id", Owner: "owner", Workspace: "workspace", Class: "class", Tier: 1, Urgency: 2,
		FirstToken: 3 * time.Millisecond, BetweenTokens: 4 * time.Millisecond, WholeAnswer: 5 * time.Millisecond,
		RefuseLate: true, MaxWait: 6 * time.Millisecond, Share: 0.5, Weight: 1.5, MaxInFlight: 7, MaxWaiting: 8,
		TokensPerMinute: 9, PromptTokens: 10, MaxTokens: 11, Prefix: []uint64{12}, PrefixTokens: []int{13}, Zone: "zone",
		Avoid: []string{"avoid"},
	}
}

func frames() map[string]*frame {
	repeatable, retry := fullRequest(), fullRequest()
	repeatable.Repeatable, retry.Retry = true, true
	decision := admission.Decision{
		Kind: admission.Preempt, ID: "id", Owner: "owner", Endpoint: "endpoint", FetchFrom: "from", Reason: admission.ReasonHigherTier,
		RetryAfter: time.Second,
		Figures: admission.Figures{
			Waited: 1, Ahead: 2, WaitingBelow: 3, PredictedFirstToken: 4, InFlight: 5, Limit: 6.5, CachedTokens: 7, AnswerTokens: 8,
		},
	}
	kinds := []kind{kindHello, kindChallenge, kindProof, kindHeartbeat, kindMessages, kindDecisions, kindLeaving, kindSettingsRequest, kindSettings}
	list := map[string]*frame{
		"opening": {Kind: kindHello, Host: "host", Nonce: []byte("nonce"), Proof: []byte("proof")},
		"messages": {Kind: kindMessages, Messages: []wireMessage{
			{Shard: "s", Kind: shard.Submit, ID: "id", Request: fullRequest(), Age: time.Second},
			{Shard: "s", Kind: shard.Adopt, ID: "id", Endpoint: "endpoint", Tokens: 5, Request: repeatable},
			{Shard: "s", Kind: shard.Submit, ID: "id", Request: retry},
			{Shard: "s", Kind: shard.Withdraw, ID: "id"},
			{Shard: "s", Kind: shard.Started, ID: "id"},
			{Shard: "s", Kind: shard.FirstToken, ID: "id"},
			{Shard: "s", Kind: shard.Progress, ID: "id", Tokens: 9},
			{Shard: "s", Kind: shard.Finished, ID: "id", Result: admission.Preempted},
			{Shard: "s", Kind: shard.Finished, ID: "id", Result: admission.Unused},
			{Shard: "s", Kind: shard.Finished, ID: "id", Result: admission.Failed},
			{Shard: "s", Kind: shard.Finished, ID: "id", Result: admission.Cancelled},
		}},
		"decisions": {Kind: kindDecisions, Decisions: []wireDecision{{Shard: "s", Left: time.Second, Decision: decision}}},
		"settings":  {Kind: kindSettings, Revision: 1, Data: []byte("{}")},
	}
	for i, k := range kinds {
		list["kind-"+string(rune('0'+i))] = &frame{Kind: k}
	}
	return list
}

// TestGoldenFrames compares the encoding of each frame with the recorded one, which hosts of older
// versions send, and decodes the recorded frames.
func TestGoldenFrames(t *testing.T) {
	for name, f := range frames() {
		t.Run(name, func(t *testing.T) { golden.Message(t, name, f) })
	}
}

func TestGoldenCalls(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{rpcLink, rpcSettings, roleOwner, roleScheduler}, qt.DeepEquals, []string{
		"/oxbowslip.Peer/Link", "/oxbowslip.Peer/Settings", "owner", "scheduler",
	})
}
