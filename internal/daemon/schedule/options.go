package schedule

import "time"

// Options are the settings of one shard's policy. A zero value stands for the built-in one.
type Options struct {
	// MaxWaiting bounds the waiting requests of the shard.
	MaxWaiting int
	// GrantTimeout is how long a grant may stay unused.
	GrantTimeout time.Duration
	// MaxPrefillAhead bounds the prefill work queued at an engine.
	MaxPrefillAhead time.Duration
	// ZoneCost is the time that a request to another zone is taken to lose.
	ZoneCost time.Duration
}

// The built-in options.
const (
	// defaultMaxWaiting is in requests: at 100 requests/s some 40 s, more than a caller waits.
	defaultMaxWaiting = 4096
	// defaultGrantTime is ample for a grant to reach its owner and be used: a round trip between
	// hosts and a connection to the endpoint.
	defaultGrantTime = 2 * time.Second
	// defaultPrefillAhead keeps the next choice open: prompts queued at an engine can't be
	// moved to another, or be overtaken by a higher tier.
	defaultPrefillAhead = 250 * time.Millisecond
	// defaultZoneCost is about the round trip between two availability zones of a region.
	defaultZoneCost = time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.GrantTimeout == 0 {
		o.GrantTimeout = defaultGrantTime
	}
	if o.MaxPrefillAhead == 0 {
		o.MaxPrefillAhead = defaultPrefillAhead
	}
	if o.ZoneCost == 0 {
		o.ZoneCost = defaultZoneCost
	}
	return o
}
