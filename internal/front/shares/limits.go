package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// tokenWindow is the mean age of the answer tokens counted against TokensPerMinute: a workspace that uses its limit
	// fully then has as many tokens counted as it may have in a minute.
	tokenWindow = time.Minute
	// durationShare is the weight of the newest request in the mean duration of a workspace's requests.
	durationShare = 0.125
	// initialDuration is that duration before the first request has ended.
	initialDuration = time.Second
)

// limitKey identifies the limits of a workspace for a class.
type limitKey struct {
	workspace keys.Workspace
	class     keys.Class
}

// use is how much of its limits a workspace uses.
type use struct {
	open, waiting int
	// tokens are the answer tokens granted, with exponentially decaying weight.
	tokens float64
}

// ownUse is the use through this host.
type ownUse struct {
	use
	decayedAt time.Time
	// duration is the mean duration of requests.
	duration time.Duration
}

// decay reduces the weight of the tokens to that at now.
func (u *ownUse) decay(now time.Time) {
	u.tokens *= tokenDecay(now.Sub(u.decayedAt))
	u.decayedAt = now
}

// tokenDecay returns the weight of tokens after a time.
func tokenDecay(age time.Duration) float64 {
	return min(math.Exp(-float64(age)/float64(tokenWindow)), 1)
}

// peerUses are the uses through a peer, as of the time of its last message.
type peerUses struct {
	at   time.Time
	uses map[limitKey]use
}

// limitTable holds the uses of limits through all hosts. Requests without a limit are not counted.
type limitTable struct {
	own   map[limitKey]*ownUse
	peers map[string]peerUses
	// isReported is set if the last message to peers listed a use.
	isReported bool
}

func newLimitTable() limitTable {
	return limitTable{own: make(map[limitKey]*ownUse), peers: make(map[string]peerUses)}
}

// of returns the use of a request's limits through this host, or nil if it has no limit.
func (t *limitTable) of(ask *Ask) *ownUse {
	r := ask.Request
	if r.MaxInFlight == 0 && r.MaxWaiting == 0 && r.TokensPerMinute == 0 {
		return nil
	}
	key := limitKey{keys.OfWorkspace(r.Workspace), keys.OfClass(r.Class)}
	u := t.own[key]
	if u == nil {
		u = &ownUse{duration: initialDuration}
		t.own[key] = u
	}
	return u
}

// decide decides on a request by the limits of its workspace for its class. Random is in [0, 1).
func (t *limitTable) decide(now time.Time, ask *Ask, random float64) Verdict {
	own := t.of(ask)
	if own == nil {
		return Verdict{}
	}
	own.decay(now)
	sum := own.use
	key := limitKey{keys.OfWorkspace(ask.Request.Workspace), keys.OfClass(ask.Request.Class)}
	for _, peer := range t.peers {
		if u, ok := peer.uses[key]; ok && now.Sub(peer.at) <= countTimeout {
			sum.open += u.open
			sum.waiting += u.waiting
			sum.tokens += u.tokens * tokenDecay(now.Sub(peer.at))
		}
	}
	r := ask.Request
	switch {
	case r.MaxInFlight > 0 && sum.open >= r.MaxInFlight:
		return refuse(own.duration/time.Duration(sum.open), random)
	case r.MaxWaiting > 0 && sum.waiting >= r.MaxWaiting:
		return refuse(minRetry, random)
	case r.TokensPerMinute > 0 && sum.tokens >= float64(r.TokensPerMinute):
		// Tokens lose their weight at the rate of the limit, and there must be room for the answer.
		excess := sum.tokens - float64(r.TokensPerMinute) + ask.answerTokens()
		return refuse(time.Duration(excess/float64(r.TokensPerMinute)*float64(tokenWindow)), random)
	}
	return Verdict{}
}

func (t *limitTable) recordWait(ask *Ask) {
	if u := t.of(ask); u != nil {
		u.waiting++
	}
}

func (t *limitTable) recordCancel(ask *Ask) {
	if u := t.of(ask); u != nil {
		u.waiting--
	}
}

func (t *limitTable) recordGrant(now time.Time, ask *Ask) {
	u := t.of(ask)
	if u == nil {
		return
	}
	ask.grantedAt = now
	u.waiting--
	u.open++
	if !ask.Request.Retry {
		u.decay(now)
		u.tokens += ask.answerTokens()
	}
}

func (t *limitTable) recordEnd(now time.Time, ask *Ask) {
	if u := t.of(ask); u != nil {
		u.open--
		u.duration += time.Duration(durationShare * float64(now.Sub(ask.grantedAt)-u.duration))
	}
}

// report returns the uses for a message to peers, the largest first. It reports false if there is nothing to send.
func (t *limitTable) report(now time.Time) ([]LimitUse, bool) {
	var list []LimitUse
	for key, u := range t.own {
		u.decay(now)
		if reported := (LimitUse{
			Workspace: key.workspace, Class: key.class, Open: uint64(u.open), Waiting: uint64(u.waiting), Tokens: uint64(u.tokens),
		}); u.isUsed() {
			list = append(list, reported)
		}
	}
	slices.SortFunc(list, func(a, b LimitUse) int { return cmp.Or(cmp.Compare(b.Open, a.Open), cmp.Compare(b.Tokens, a.Tokens)) })
	list = list[:min(len(list), maxPerMessage)]
	wasReported := t.isReported
	t.isReported = len(list) > 0
	return list, t.isReported || wasReported
}

func (u *ownUse) isUsed() bool { return u.open > 0 || u.waiting > 0 || u.tokens >= 1 }

// setPeer replaces the uses through a peer.
func (t *limitTable) setPeer(now time.Time, peer string, list []LimitUse) {
	if len(list) == 0 {
		delete(t.peers, peer)
		return
	}
	uses := make(map[limitKey]use, len(list))
	for _, u := range list[:min(len(list), maxPerMessage)] {
		uses[limitKey{u.Workspace, u.Class}] = use{
			open: int(min(u.Open, maxReportedOpen)), waiting: int(min(u.Waiting, maxReportedOpen)), tokens: float64(min(u.Tokens, maxReportedWork)),
		}
	}
	t.peers[peer] = peerUses{at: now, uses: uses}
}

// expire removes the uses through silent peers, and those of this host that are 0.
func (t *limitTable) expire(now time.Time) {
	maps.DeleteFunc(t.peers, func(_ string, p peerUses) bool { return now.Sub(p.at) > countTimeout })
	maps.DeleteFunc(t.own, func(_ limitKey, u *ownUse) bool {
		u.decay(now)
		return !u.isUsed()
	})
}
