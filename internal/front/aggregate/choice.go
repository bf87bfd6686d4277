package aggregate

import "time"

const (
	// sumTimeout is how long a host waits for a sum before it takes the next aggregator: three are lost or late by
	// then.
	sumTimeout = 5 * Interval
	// avoidTime is how long an aggregator that sent no sum is not asked again: longer than it takes to find several
	// more of them silent, and about as long as it takes to drop a dead one from the members of a fleet of 300.
	avoidTime = 10 * time.Second
)

// Choice is a host's choice of its aggregators. The zero value has chosen none.
type Choice struct {
	primary string
	// receivedAt is when the primary sent its last sum, or was chosen.
	receivedAt time.Time
	// avoided are aggregators that sent no sum, until the given time.
	avoided map[string]time.Time
}

// Primary returns the aggregator whose sums this host uses, or nothing if none was chosen.
func (c *Choice) Primary() string { return c.primary }

// RecordSum notes a sum that an aggregator sent.
func (c *Choice) RecordSum(now time.Time, aggregator string) {
	if aggregator == c.primary {
		c.receivedAt = now
	}
}

// Pick returns the primary aggregator, whose sums this host uses, and the backup, which is sent this host's
// work as well, so that its sums are whole at once when it has to take over. Ranked are the hosts of the zone
// in an order that all share; self is this host, which never waits for itself. The backup is empty if there
// is no second host.
func (c *Choice) Pick(now time.Time, self string, ranked []string) (primary, backup string) {
	if c.primary != "" && c.primary != self && now.Sub(c.receivedAt) > sumTimeout {
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
		// All are avoided, which can't last: this host adds up what it has.
		primary = self
	}
	if primary != c.primary {
		c.primary, c.receivedAt = primary, now
	}
	return primary, backup
}
