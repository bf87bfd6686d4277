package shares

import (
	"math"
	"time"
)

// A stream that has begun passes beyond the share of its workspace, since its caller holds a part of the answer. A
// workspace that only takes streams up would then have no share at all, so the work that passes in this way is limited to
// another share, over the time in which all streams of a workspace may break once.

const (
	// begunHalfLife is the time in which the weight of the work of streams that have begun halves, and begunWindow the
	// mean age of that work.
	begunHalfLife = 10 * time.Second
	begunWindow   = begunHalfLife * 1000 / 693
)

// begunWork is the work of the streams of a workspace that had begun and passed beyond its share.
type begunWork struct {
	work float64
	at   time.Time
}

// decayed returns the work at a time.
func (b *begunWork) decayed(now time.Time) float64 {
	return b.work * math.Exp2(-float64(now.Sub(b.at))/float64(begunHalfLife))
}

// passes reports whether a stream passes, and counts its work if it does. Share is this host's part of the fair share of the
// workspace within window.
func (b *begunWork) passes(now time.Time, work, share float64) bool {
	passed := b.decayed(now)
	if passed > 0 && passed+work > overShareFactor*share*float64(begunWindow)/float64(window) {
		return false
	}
	b.work, b.at = passed+work, now
	return true
}

// isForgotten reports whether the work no longer counts.
func (b *begunWork) isForgotten(now time.Time) bool { return b.decayed(now) < minWork }
