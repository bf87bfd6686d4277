package schedule

import "time"

// Options are the settings of the policy of one shard. Zero values stand for the defaults.
type Options struct {
	// MaxWaiting bounds the waiting requests of the shard.
	MaxWaiting int
	// GrantTimeout is how long a grant may stay unused.
	GrantTimeout time.Duration
	// MaxPrefillAhead bounds the prefill work queued at an engine.
	MaxPrefillAhead time.Duration
	// ZoneCost is the extra time of a request that is sent to another zone.
	ZoneCost time.Duration
}

// The defaults of the options.
const (
	// defaultMaxWaiting is in requests. At 100 requests per second it is about 40 s, longer than callers
	// wait.
	defaultMaxWaiting = 4096
	// defaultGrantTimeout is ample for a grant to reach its owner and be used, which takes a round trip between
	// hosts and a connection to the endpoint.
	defaultGrantTimeout = 2 * time.Second
	// defaultMaxPrefillAhead is short, because prompts queued at an engine can't be moved to another engine or
	// be overtaken by a higher tier.
	defaultMaxPrefillAhead = 250 * time.Millisecond
	// defaultZoneCost is about the round trip between two availability zones of a region.
	defaultZoneCost = time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.GrantTimeout == 0 {
		o.GrantTimeout = defaultGrantTimeout
	}
	if o.MaxPrefillAhead == 0 {
		o.MaxPrefillAhead = defaultMaxPrefillAhead
	}
	if o.ZoneCost == 0 {
		o.ZoneCost = defaultZoneCost
	}
	return o
}
