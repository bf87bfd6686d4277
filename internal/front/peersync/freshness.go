package peersync

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/gossip"
)

// Confirmations returns this host's confirmations, or nil unless it has one of each topic.
func (s *Sync) Confirmations() []gossip.TopicConfirmation {
	confirmations := make([]gossip.TopicConfirmation, freshness.NumTopics)
	for topic := range freshness.NumTopics {
		own, ok := s.parts.Freshness.OwnConfirmation(topic)
		if !ok {
			return nil
		}
		confirmations[topic] = gossip.TopicConfirmation{
			Newest: own.Newest, Revision: own.Revision, AsOf: uint64(time.Duration(own.AsOf).Milliseconds()),
		}
	}
	return confirmations
}

// MustAsk reports whether a host with a number of hosts before it in the order must ask others about a topic.
func (s *Sync) MustAsk(topic freshness.Topic, before int) bool {
	return s.parts.Freshness.MustAsk(topic, before, 0)
}

// HandleConfirmations handles a peer's confirmations.
func (s *Sync) HandleConfirmations(topics []gossip.TopicConfirmation) {
	for topic := range min(len(topics), int(freshness.NumTopics)) {
		c := &topics[topic]
		s.parts.Freshness.RecordConfirmation(freshness.Topic(topic), freshness.Confirmation{
			Newest: c.Newest, Revision: c.Revision, AsOf: freshness.StoreTime(time.Duration(c.AsOf) * time.Millisecond),
		})
	}
}
