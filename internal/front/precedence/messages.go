package precedence

import (
	"math"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Counts is a message to peers: the requests of the sender since its last message, of the classes that some host refuses.
type Counts struct {
	_ struct{} `cbor:",toarray"`

	Classes []ClassCounts
}

// ClassCounts are the requests of a class, in units of 1/countUnit requests.
type ClassCounts struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	Urgency int
	Asked   uint64
	Refused uint64
}

const (
	// countUnit is the number of units of a request.
	countUnit = 8
	// maxReported bounds what is accepted of a class from one message, so that a faulty one has no effect for long.
	maxReported = 1 << 12
)

// Report returns the message to the peers with the counts that they do not know yet, or nil if there is nothing to send.
func (t *Table) Report(now time.Time) *Counts {
	message := new(Counts)
	for key, c := range t.classes {
		if now.After(c.reportUntil) {
			continue
		}
		c.decay(now)
		reported := ClassCounts{Service: key.service, Urgency: key.urgency, Asked: toUnits(c.unsent.asked), Refused: toUnits(c.unsent.refused)}
		if reported.Asked+reported.Refused == 0 {
			continue
		}
		c.unsent = counts{}
		message.Classes = append(message.Classes, reported)
	}
	if len(message.Classes) == 0 {
		return nil
	}
	return message
}

func toUnits(count float64) uint64 { return uint64(math.Round(count * countUnit)) }

// Add adds a peer's report, which stands for factor hosts.
func (t *Table) Add(now time.Time, message *Counts, factor float64) {
	for i := range message.Classes[:min(len(message.Classes), maxClasses)] {
		reported := &message.Classes[i]
		c := t.class(now, classKey{reported.Service, reported.Urgency})
		if c == nil {
			continue
		}
		asked, refused := min(reported.Asked, maxReported), min(reported.Refused, maxReported)
		c.decay(now)
		c.all.add(counts{asked: factor * float64(asked) / countUnit, refused: factor * float64(refused) / countUnit})
		if refused > 0 {
			c.reportUntil = now.Add(countTimeout)
		}
	}
}

// HasReport reports whether there may be something to send.
func (t *Table) HasReport(now time.Time) bool {
	for _, c := range t.classes {
		if !now.After(c.reportUntil) {
			return true
		}
	}
	return false
}
