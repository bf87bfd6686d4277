package aggregate

import "time"

const (
	// sumTimeout is how many intervals a host waits for a sum before it switches to the next aggregator. By then three
	// sums are lost or late.
	sumTimeout = 5
	// avoidTime is how long an aggregator that sent no sum is not tried again. It is longer than finding several more
	// of them unresponsive takes, and about as long as gossip takes to drop a crashed host from a fleet of 300.
	avoidTime = 10 * time.Second
)

// Choice is a host's choice of its aggregators. The zero value has chosen none.
type Choice struct {
	primary string
	// receivedAt is when the last sum of the primary arrived, or when it was chosen.
	receivedAt time.Time
	// avoided holds the aggregators that sent no sum, and the time until which each is avoided.
	avoided map[string]time.Time
}

// Primary returns the aggregator whose sums this host uses, or an empty string if none was chosen.
func (c *Choice) Primary() string { return c.primary }

// RecordSum records the arrival of a sum from an aggregator.
func (c *Choice) RecordSum(now time.Time, aggregator string) {
	if aggregator == c.primary {
		c.receivedAt = now
	}
}

// Pick returns the primary aggregator, whose sums this host uses, and the backup. The backup is sent this host's work
// as well, so that its sums are complete when it takes over. Ranked are the hosts of the zone in an order that all
// hosts share. Self is this host, which never waits for its own sum. The backup is empty if no second host is
// available. Interval is the time between two sums.
func (c *Choice) Pick(now time.Time, self string, ranked []string, interval time.Duration) (primary, backup string) {
	if c.primary != "" && c.primary != self && now.Sub(c.receivedAt) > sumTimeout*interval {
		if c.avoided == nil {
			c.avoided = make(map[string]time.Time)
		}
		c.avoided[c.primary] = now.Add(avoidTime)
	}
	for _, host := range ranked {
		if now.Before(c.avoided[host]) {
			continue
		}
		if primary == "" {
			primary = host
		} else {
			backup = host
			break
		}
	}
	if primary == "" {
		// All hosts are avoided, which does not last: this host adds up the work that it has received.
		primary = self
	}
	if primary != c.primary {
		c.primary, c.receivedAt = primary, now
	}
	return primary, backup
}
