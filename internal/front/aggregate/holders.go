package aggregate

import (
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/placement"
)

const (
	// maxHolders bounds the holders in one message to 4.4 KB, so that the message stays below 8 KB with 320
	// endpoints; the remaining holders go into the next message. This allows 1,600 holders a second, enough for a
	// starting fleet of some hundred hosts that reads 700 prefixes a second. A limit of 256 a second delayed them
	// by up to 20 s.
	maxHolders = 400
	// holderResendInterval is how long a holder that is received again is not sent again. By then its first messages
	// have arrived or are lost; a lost one costs one more reading of a prefix.
	holderResendInterval = 5 * time.Second
)

// holderQueue holds the holders that are still to be sent, in order of arrival.
type holderQueue struct {
	// addedAt is when each holder was last queued.
	addedAt map[placement.Holder]time.Time
	waiting []placement.Holder
}

func newHolderQueue() holderQueue {
	return holderQueue{addedAt: make(map[placement.Holder]time.Time)}
}

// add queues holders, except those queued within holderResendInterval.
func (q *holderQueue) add(now time.Time, holders []placement.Holder) {
	for _, h := range holders {
		if at, known := q.addedAt[h]; known && now.Sub(at) < holderResendInterval {
			continue
		}
		q.addedAt[h] = now
		q.waiting = append(q.waiting, h)
	}
}

// next returns the holders for the next message.
func (q *holderQueue) next(now time.Time) []placement.Holder {
	for h, at := range q.addedAt {
		if now.Sub(at) >= holderResendInterval {
			delete(q.addedAt, h)
		}
	}
	sent := min(len(q.waiting), maxHolders)
	holders := q.waiting[:sent:sent]
	q.waiting = q.waiting[sent:]
	return holders
}
