package poison

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
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
	if err != nil && d.parts.Presence(endpoint, address) != Listed {
		// Peers that no longer know the endpoint can't confirm its end.
		exited, err = true, nil
	}
	for _, call := range d.endProbe(p, endpoint, exited, err) {
		call.judged()
	}
}

// endProbe records the result of a probe, and returns the calls that have waited for it.
func (d *Detector) endProbe(p *probe, endpoint string, exited bool, err error) []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.done, p.exited = true, exited
	waiting := p.waiting
	p.waiting = nil
	if err != nil {
		d.parts.Log.WithError(err).WithField("endpoint", endpoint).Info("probe can't tell whether the endpoint has crashed; its broken calls don't count as evidence unless its entry goes")
	}
	if !exited {
		if errors.Is(err, upstream.ErrUnconfirmed) {
			d.presumeEnd(endpoint, waiting)
		}
		d.addUnsettled(endpoint, waiting...)
		return waiting
	}
	d.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint, "requests": len(waiting)}).Warn("endpoint crashed while running requests")
	for i := range waiting {
		d.recordCrash(&waiting[i])
	}
	return waiting
}

// presumeEnd records that an endpoint has ended under requests although no peer could confirm it, as on a side of a partition with
// one host. It counts for the requests, not for their parts, of which a lost path could limit many. The caller holds the lock.
func (d *Detector) presumeEnd(endpoint string, calls []Call) {
	end := Crash{Endpoint: keys.OfEndpoint(endpoint), At: d.parts.StoreTime(), IsPresumed: true}
	for i := range calls {
		end.Begun = calls[i].Begun
		d.table.recordEnd(calls[i].Contents[0], end)
	}
	d.count()
	lifetime.Wake(d.storeWake)
}

// hasExited reports whether the process of an endpoint has ended.
func (d *Detector) hasExited(endpoint, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return d.parts.Prober.HasExited(ctx, endpoint, address)
}

// Presence is what the directory has of an endpoint.
type Presence uint8

// The kinds of presence.
const (
	// Listed: it has the endpoint.
	Listed Presence = iota
	// Gone: it no longer has the endpoint.
	Gone
	// Replaced: another endpoint has the address.
	Replaced
)

// unsettled are the calls that an endpoint did not answer although its end could not be shown: a probe can't tell, a process
// that was started again accepts connections, or the endpoint has only fallen silent. If its entry goes soon, it has ended.
type unsettled struct {
	calls []Call
	until time.Time
}

// RecordLostCall is called when a call was given up at an endpoint that has fallen silent: a machine that loses power ends
// no connection and refuses none.
func (d *Detector) RecordLostCall(call *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := *call
	lost.isLost = true
	d.addUnsettled(call.Endpoint, lost)
}

// addUnsettled adds calls at an endpoint to those whose end could not be shown. The caller holds the lock.
func (d *Detector) addUnsettled(endpoint string, calls ...Call) {
	u := d.unsettled[endpoint]
	if u == nil {
		u = new(unsettled)
		d.unsettled[endpoint] = u
	}
	u.calls = append(u.calls, calls...)
	u.calls = u.calls[max(len(u.calls)-maxUnsettled, 0):]
	u.until = d.parts.Clock().Add(removalWait)
	lifetime.Wake(d.removalWake)
}

// watchRemovals settles calls whose endpoints' entries go, until ctx ends.
func (d *Detector) watchRemovals(ctx context.Context) {
	for {
		select {
		case <-d.removalWake:
		case <-ctx.Done():
			return
		}
		for more := true; more; {
			if !lifetime.Sleep(ctx, removalCheckInterval) {
				return
			}
			more = d.settleRemoved()
		}
	}
}

// settleRemoved settles the calls at endpoints whose entries have gone, drops those that wait for too long, and reports
// whether any are left.
func (d *Detector) settleRemoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.parts.Clock()
	for endpoint, u := range d.unsettled {
		if presence := d.parts.Presence(endpoint, u.calls[0].Address); presence != Listed {
			delete(d.unsettled, endpoint)
			go d.settle(endpoint, u.calls, presence)
		} else if now.After(u.until) {
			delete(d.unsettled, endpoint)
		}
	}
	return len(d.unsettled) > 0
}

// settle records that an endpoint has crashed whose entry has gone, unless it serves on.
func (d *Detector) settle(endpoint string, calls []Call, presence Presence) {
	servesOn := false
	if presence == Gone {
		exited, err := d.hasExited(endpoint, calls[0].Address)
		servesOn = !exited && err == nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range calls {
		if !servesOn || calls[i].isLost {
			d.parts.Log.WithFields(logrus.Fields{"endpoint": endpoint, "silent": calls[i].isLost}).Warn("endpoint did not answer a request, and its entry has gone; it counts as crashed")
			d.recordCrash(&calls[i])
		}
	}
}
