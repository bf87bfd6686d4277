package poison

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// probe finds out whether an endpoint that broke calls has ended. One that merely broke a connection, or whose answer
// was lost, proves nothing against the request.
type probe struct {
	// at is when it began.
	at    time.Time
	done  bool
	ended bool
	// waiting are the calls that wait for the result.
	waiting []Call
}

// isOver reports whether a probe says nothing about a call that breaks now: an endpoint that was there may have ended
// since.
func (p *probe) isOver(now time.Time) bool {
	return p.done && (!p.ended || now.Sub(p.at) > probeValidity)
}

// probe runs a probe and handles the calls that wait for it.
func (d *Detector) probe(p *probe, endpoint, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended, err := d.parts.Prober.HasExited(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	p.done, p.ended = true, ended
	waiting := p.waiting
	p.waiting = nil
	if err != nil {
		d.parts.Log.WithError(err).WithField("endpoint", endpoint).Info("whether an endpoint has ended is not known")
	}
	if !ended {
		return
	}
	d.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint, "requests": len(waiting)}).Warn("endpoint ended under requests")
	for i := range waiting {
		d.ended(&waiting[i])
	}
}
