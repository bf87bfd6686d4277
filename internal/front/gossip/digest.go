package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/front/envelope"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
)

// Once a second each host of a large fleet sends a digest of its list of members to a random member, which fetches what
// differs: so lists become equal although messages are lost.

const (
	// digestInterval is the mean time between two digests, digestSpread the fraction of it over which they are spread.
	digestInterval = time.Second
	digestSpread   = 0.5
	// digestQuietTime is how long the own list must not have changed before a different one is fetched: a change that is
	// on its way to all hosts needs no fetch.
	digestQuietTime = 500 * time.Millisecond
	// minPullInterval is the time between two fetches of members, and maxPullInterval the time after which different lists
	// are fetched although the own one is changing.
	minPullInterval = 300 * time.Millisecond
	maxPullInterval = time.Second
	// pullCacheTime is how long the list of members for hosts that join is kept. Many join at a time, and each join
	// changes the list.
	pullCacheTime = 250 * time.Millisecond
	// rpcMembers is the name of the call that takes a MembersRequest.
	rpcMembers = "oxbowslip/members"
)

// MembersDigest is a message with a digest of the sender's members and the state of its topics.
type MembersDigest struct {
	_ struct{} `cbor:",toarray"`

	Sum    uint64
	Hosts  int
	Topics []TopicConfirmation
}

// MembersRequest asks a peer for the Records that differ, given a digest of the own ones by bucket.
type MembersRequest struct {
	_ struct{} `cbor:",toarray"`

	Digest []uint64
}

// MembersResponse answers a MembersRequest. Updates is a MemberUpdates in CBOR, compressed without a base.
type MembersResponse struct {
	_ struct{} `cbor:",toarray"`

	Updates []byte
}

// sendDigests sends a digest of the members to a number of them.
func (g *Gossip) sendDigests(number int) {
	g.mu.Lock()
	g.members.expireLost(g.parts.Clock())
	var targets []string
	for range number {
		if target := g.members.randomRelay(g.parts.Random); target != "" && g.members.IsLarge() && !g.leaving {
			targets = append(targets, target)
		}
	}
	g.mu.Unlock()
	if len(targets) > 0 {
		g.sendDigestTo(g.parts.Host.Confirmations(), targets)
	}
}

// sendDigestTo sends a digest of the members with confirmations to some hosts.
func (g *Gossip) sendDigestTo(topics []TopicConfirmation, targets []string) {
	g.mu.Lock()
	message := MembersDigest{Sum: g.members.digest.sum(), Hosts: g.members.Count() + 1, Topics: topics}
	g.mu.Unlock()
	g.sendEnvelope(envelope.KindMembersDigest, &message, targets)
}

// handleDigest handles a peer's digest.
func (g *Gossip) handleDigest(incarnation uint32, body []byte, from string) {
	var message MembersDigest
	if err := cbor.Unmarshal(body, &message); err != nil {
		g.refuse(counters.RefusedMalformed, "a digest of members can't be decoded", err)
		return
	}
	g.mu.Lock()
	differs := message.Sum != g.members.digest.sum()
	isQuiet := g.parts.Clock().Sub(g.membership.changedAt) >= digestQuietTime
	isDue := g.parts.Clock().Sub(g.membership.pulledAt) >= maxPullInterval
	own := g.members.Count() + 1
	g.mu.Unlock()
	if differs && (isQuiet || own < message.Hosts || isDue) {
		g.pullMembers(from)
	}
	g.applyConfirmation(&Confirmation{Incarnation: incarnation, Topics: message.Topics}, false)
	// A host that knows more answers, so that the sender learns of it too.
	if topics := g.parts.Host.Confirmations(); own > message.Hosts || isFresher(topics, message.Topics) {
		g.sendDigestTo(topics, []string{from})
	}
}

// isFresher reports whether confirmations are newer than others by more than the time between two of them.
func isFresher(own, theirs []TopicConfirmation) bool {
	for topic := range own {
		if topic >= len(theirs) {
			return true
		}
		a, b := &own[topic], &theirs[topic]
		isSameEra := era.Of(a.Revision) == era.Of(b.Revision)
		if era.Of(a.Revision) > era.Of(b.Revision) || (isSameEra && a.AsOf > b.AsOf+uint64(freshness.Phase.Milliseconds())) {
			return true
		}
	}
	return false
}

// pullMembers fetches the members that differ from a peer in the background, unless a fetch is running or was just made.
func (g *Gossip) pullMembers(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.parts.Clock()
	if g.membership.isPulling || now.Sub(g.membership.pulledAt) < minPullInterval {
		return
	}
	g.membership.isPulling, g.membership.pulledAt = true, now
	request := MembersRequest{Digest: slices.Clone(g.members.digest[:])}
	go func() {
		if err := g.fetchMembers(address, &request); err != nil {
			g.parts.Log.WithError(err).WithField("address", address).Info("fetching members from a peer failed, another one is asked later")
		}
		g.mu.Lock()
		g.membership.isPulling = false
		g.mu.Unlock()
	}()
}

// fetchMembers fetches the members that differ from a peer and applies them.
func (g *Gossip) fetchMembers(address string, request *MembersRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var response MembersResponse
	if err := g.call(ctx, address, rpcMembers, request, &response); err != nil {
		return err
	}
	data, err := pack.Decompress(nil, response.Updates)
	if err != nil {
		return err
	}
	var updates MemberUpdates
	if err := cbor.Unmarshal(data, &updates); err != nil {
		return err
	}
	if len(updates.Records) > maxMembers {
		updates.Records = updates.Records[:maxMembers]
		g.refuse(counters.RefusedMember, "a peer's list of members is too long", nil)
	}
	updates.PassOn = false
	g.applyUpdates(&updates)
	g.RequestHeartbeat()
	return nil
}

// answerMembers answers a MembersRequest.
func (g *Gossip) answerMembers(stream drpc.Stream) error {
	var request MembersRequest
	if err := stream.MsgRecv(&request, envelope.Encoding{}); err != nil {
		return err
	}
	data, err := g.membersFor(request.Digest)
	if err != nil {
		return err
	}
	g.parts.CountSent(counters.PeerSyncs, len(data))
	return stream.MsgSend(&MembersResponse{Updates: data}, envelope.Encoding{})
}

// membersFor returns the compressed updates for a peer with a digest. A host that joins differs in all buckets.
func (g *Gossip) membersFor(theirs []uint64) ([]byte, error) {
	g.mu.Lock()
	records, lost := g.members.RecordsIn(theirs)
	isWhole := len(records) == len(g.members.indexed().ring)
	now := g.parts.Clock()
	if isWhole && now.Sub(g.membership.wholeListAt) < pullCacheTime {
		defer g.mu.Unlock()
		return g.membership.wholeList, nil
	}
	g.mu.Unlock()
	data, err := cbor.Marshal(&MemberUpdates{Records: records, Lost: lost})
	if err == nil {
		data, err = pack.Compress(nil, data)
	}
	if err == nil && isWhole {
		g.mu.Lock()
		g.membership.wholeList, g.membership.wholeListAt = data, now
		g.mu.Unlock()
	}
	return data, err
}
