package poison

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/lifetime"
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
	exited, err := d.hasExited(endpoint, address)
	if err != nil {
		exited, err = d.hasExitedUnseen(endpoint, address, err)
	}
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

// hasExited reports whether the process of an endpoint has ended.
func (d *Detector) hasExited(endpoint, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return d.parts.Prober.HasExited(ctx, endpoint, address)
}

// hasExitedUnseen reports whether an endpoint has ended of which a probe can't tell: its entry goes, and it can't be
// connected to. Peers that no longer know the endpoint can't confirm its end, and the machine may have gone with it.
// Otherwise it returns the error of the probe.
func (d *Detector) hasExitedUnseen(endpoint, address string, probeErr error) (bool, error) {
	if d.parts.IsGone(endpoint) {
		return true, nil
	}
	ctx, cancel := lifetime.Context(d.ended)
	defer cancel()
	for until := d.parts.Clock().Add(removalWait); d.parts.Clock().Before(until) && lifetime.Sleep(ctx, removalCheckInterval); {
		if !d.parts.IsGone(endpoint) {
			continue
		}
		// An endpoint whose entry goes may serve on.
		exited, err := d.hasExited(endpoint, address)
		return exited || err != nil, nil
	}
	return false, probeErr
}
