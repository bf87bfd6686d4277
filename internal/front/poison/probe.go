package poison

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// probe finds out whether an endpoint that broke calls has crashed. A broken connection or a lost answer alone is no
// evidence against a request.
type probe struct {
	startedAt time.Time
	done      bool
	exited    bool
	// waiting are the calls that wait for the result.
	waiting []Call
}

// isOutdated reports whether the result of a probe can't be used for a call that breaks now. An endpoint that was
// running at the time may have crashed since.
func (p *probe) isOutdated(now time.Time) bool {
	return p.done && (!p.exited || now.Sub(p.startedAt) > probeValidity)
}

// probe runs a probe and then handles the calls that wait for it.
func (d *Detector) probe(p *probe, endpoint, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	exited, err := d.parts.Prober.HasExited(ctx, endpoint, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	p.done, p.exited = true, exited
	waiting := p.waiting
	p.waiting = nil
	if err != nil {
		d.parts.Log.WithError(err).WithField("endpoint", endpoint).Info("probe can't tell whether the endpoint has crashed; its broken calls don't count as evidence")
	}
	if !exited {
		return
	}
	d.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint, "requests": len(waiting)}).Warn("endpoint crashed while running requests")
	for i := range waiting {
		d.recordCrash(&waiting[i])
	}
}
