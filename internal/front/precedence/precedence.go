// Package precedence keeps the order of request classes over all hosts of oxbowslip-front: while hosts refuse requests of a
// class for lack of capacity, all hosts hold back requests of less urgent classes. The callers of the refused requests are
// told when to return, and other hosts would give the capacity away before that.
//
// It owns the counts of the requests that were asked for and refused, by service and urgency, of all hosts as far as this
// host knows. Table holds the counts and the rule: it does no I/O and takes the time as a parameter. Exchange adds the lock,
// the clock, the log and the messages between hosts. The package relies on package placement to report requests and to ask
// before it grants, and on package gossip to reach the other hosts.
package precedence

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

const (
	// halfLife is the time in which the weight of a counted request halves, and window the mean age of counted requests.
	halfLife = time.Second
	window   = halfLife * 1000 / 693
	// heldShare is the share of a class's requests that is refused, and heldRate the number of refusals a second, from which
	// all less urgent requests are held back. From half of both on, a part of them is.
	heldShare = 1.0 / 24
	heldRate  = 1.0
	// completeShare is the share of the requests that are expected by those of this host from which the counts of all hosts
	// are taken to be complete: those of peers arrive late, with less weight.
	completeShare = 0.5
	// countTimeout is how long after a refusal hosts report their counts.
	countTimeout = 2 * halfLife
	// maxClasses bounds the classes that are counted, since a faulty peer may report any.
	maxClasses = 256
)

// classKey identifies the classes of a service that are equally urgent.
type classKey struct {
	service keys.Service
	urgency int
}

// counts are numbers of requests with exponentially decaying weight.
type counts struct {
	asked, refused float64
}

func (c *counts) add(other counts) {
	c.asked += other.asked
	c.refused += other.refused
}

func (c *counts) scale(factor float64) {
	c.asked *= factor
	c.refused *= factor
}

// class holds the counts of one class.
type class struct {
	// all are those of all hosts, own those of this host, and unsent the part of own that its peers do not know yet.
	all, own, unsent counts
	decayedAt        time.Time
	// reportUntil is until when hosts report their counts.
	reportUntil time.Time
}

func (c *class) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(c.decayedAt)) / float64(halfLife))
	c.decayedAt = now
	if factor >= 1 {
		return
	}
	for _, of := range []*counts{&c.all, &c.own, &c.unsent} {
		of.scale(factor)
	}
}

// record counts requests of this host.
func (c *class) record(now time.Time, of counts) {
	c.decay(now)
	c.all.add(of)
	c.own.add(of)
	c.unsent.add(of)
	if of.refused > 0 {
		c.reportUntil = now.Add(countTimeout)
	}
}

// held returns the share of less urgent requests that is held back for the class.
func (c *class) held(now time.Time, hosts int) float64 {
	if now.After(c.reportUntil) {
		return 0
	}
	c.decay(now)
	asked := c.all.asked
	// Hosts report only after a refusal, so their counts may be missing yet.
	if expected := c.own.asked * float64(hosts); asked < completeShare*expected {
		asked = expected
	}
	if c.all.refused == 0 || asked == 0 {
		return 0
	}
	return ramp(c.all.refused/asked/heldShare) * ramp(c.all.refused/window.Seconds()/heldRate)
}

// ramp rises from 0 at a half to 1 at 1.
func ramp(x float64) float64 { return min(max(2*x-1, 0), 1) }

// Table holds the counts of all classes. It is not safe for concurrent use; Exchange locks it.
type Table struct {
	classes map[classKey]*class
}

// NewTable returns a table without counts.
func NewTable() *Table { return &Table{classes: make(map[classKey]*class)} }

// class returns the counts of a class, or nil if there are too many classes.
func (t *Table) class(now time.Time, key classKey) *class {
	c := t.classes[key]
	if c == nil && len(t.classes) < maxClasses {
		c = &class{decayedAt: now}
		t.classes[key] = c
	}
	return c
}

// RecordAsk counts a request that asks for an endpoint for the first time.
func (t *Table) RecordAsk(now time.Time, service keys.Service, urgency int) {
	t.record(now, service, urgency, counts{asked: 1})
}

// RecordRefusal counts a request that was refused for lack of capacity.
func (t *Table) RecordRefusal(now time.Time, service keys.Service, urgency int) {
	t.record(now, service, urgency, counts{refused: 1})
}

func (t *Table) record(now time.Time, service keys.Service, urgency int, of counts) {
	if c := t.class(now, classKey{service, urgency}); c != nil {
		c.record(now, of)
	}
}

// Held returns the share of the requests of a class that is held back for more urgent classes. Hosts is the number of live
// hosts.
func (t *Table) Held(now time.Time, hosts int, service keys.Service, urgency int) float64 {
	held := 0.0
	for key, c := range t.classes {
		if key.service == service && key.urgency < urgency {
			held = max(held, c.held(now, hosts))
		}
	}
	return held
}

// Expire removes the classes without recent requests.
func (t *Table) Expire(now time.Time) {
	const least = 0.01
	for key, c := range t.classes {
		if c.decay(now); c.all.asked+c.all.refused < least {
			delete(t.classes, key)
		}
	}
}
