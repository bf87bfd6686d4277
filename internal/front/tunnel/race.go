package tunnel

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/front/upstream"
)

// attempt is the result of connecting over one path.
type attempt struct {
	conn io.ReadWriteCloser
	err  error
}

// Dial implements upstream.Dialer. The error is syscall.ECONNREFUSED only if peers were refused as well, or no peer can
// be asked.
func (d *Dialer) Dial(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	d.mu.Lock()
	now := d.parts.Clock()
	isLost, mustRecheck, headStart := d.paths.isLost(target.Address), d.paths.takeRecheck(now, target.Address), d.paths.headStart(now, target.ConnectTimeout)
	d.mu.Unlock()
	if mustRecheck {
		go d.recheck(target)
	}
	if isLost {
		return d.dialLost(ctx, target)
	}
	return d.race(ctx, target, headStart)
}

// dialLost connects to an endpoint to which the path is lost. The path may work again, so it is the last resort.
func (d *Dialer) dialLost(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	through := <-d.startTunnel(ctx, target)
	if through.err == nil {
		return through.conn, nil
	}
	conn, err := d.dialOwn(ctx, target)
	if err != nil {
		return nil, d.joinErrors(err, through.err)
	}
	return conn, nil
}

// race connects over this host's own path, and through a peer as well if that fails or takes longer than headStart.
func (d *Dialer) race(ctx context.Context, target upstream.Target, headStart time.Duration) (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := d.startOwn(ctx, target)
	timer := time.NewTimer(headStart)
	defer timer.Stop()
	var ownErr error
	select {
	case a := <-own:
		if a.err == nil {
			return a.conn, nil
		}
		own, ownErr = nil, a.err
	case <-timer.C:
	case <-ctx.Done():
		go discard(own)
		return nil, merry.Wrap(ctx.Err())
	}
	through := d.startTunnel(ctx, target)
	for {
		select {
		case a := <-own:
			if a.err == nil {
				go discard(through)
				return a.conn, nil
			}
			own, ownErr = nil, a.err
		case a := <-through:
			if a.err == nil {
				go d.confirmLoss(target, own)
				return a.conn, nil
			}
			if own == nil {
				return nil, d.joinErrors(ownErr, a.err)
			}
			select {
			case last := <-own:
				if last.err != nil {
					return nil, d.joinErrors(last.err, a.err)
				}
				return last.conn, nil
			case <-ctx.Done():
				go discard(own)
				return nil, merry.Wrap(ctx.Err())
			}
		}
	}
}

// confirmLoss records the loss of the path to an endpoint that a peer has reached, unless this host's own attempt, which
// is nil if it has failed, still succeeds.
func (d *Dialer) confirmLoss(target upstream.Target, own <-chan attempt) {
	if own != nil {
		if a := <-own; a.err == nil {
			a.conn.Close()
			return
		}
	}
	d.recordLost(target)
}

// joinErrors returns the error of a connection that neither this host nor a peer could open. OwnErr is nil if this host
// did not try. It is upstream.ErrPathLost if the endpoint may be sound: no peer has tried to connect to it, or connections
// were refused while paths are lost, since a cut may refuse them too, at this host as well as at a peer.
func (d *Dialer) joinErrors(ownErr, tunnelErr error) error {
	if ownErr == nil {
		ownErr = tunnelErr
	}
	isRefused, isAlert := errors.Is(ownErr, syscall.ECONNREFUSED), d.isAlert()
	switch {
	case errors.Is(tunnelErr, errNoHelper):
		return ownErr
	case errors.Is(tunnelErr, errDeclined) && isRefused && !isAlert:
		return merry.Wrap(upstream.ErrPathLost, merry.WithCause(upstream.ErrUnconfirmed), merry.AppendMessagef("%v, %v", ownErr, tunnelErr))
	case errors.Is(tunnelErr, errDeclined), isRefused && isAlert:
		return merry.Wrap(upstream.ErrPathLost, merry.AppendMessagef("%v, %v", ownErr, tunnelErr))
	case isRefused && !errors.Is(tunnelErr, syscall.ECONNREFUSED):
		return merry.Wrap(upstream.ErrUnconfirmed, merry.AppendMessagef("%v, %v", ownErr, tunnelErr))
	}
	return ownErr
}

// tunnelTimeout returns how long to try to open a tunnel.
func (d *Dialer) tunnelTimeout(connectTimeout time.Duration) time.Duration {
	if d.isAlert() {
		return max(connectTimeout, minAlertTimeout)
	}
	return connectTimeout
}

func (d *Dialer) isAlert() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.isAlert(d.parts.Clock())
}

// discard closes the connection of an attempt that is no longer needed.
func discard(result <-chan attempt) {
	if a := <-result; a.err == nil {
		a.conn.Close()
	}
}

// startTunnel connects through a peer.
func (d *Dialer) startTunnel(ctx context.Context, target upstream.Target) <-chan attempt {
	result := make(chan attempt, 1)
	go func() {
		target.ConnectTimeout = d.tunnelTimeout(target.ConnectTimeout)
		ctx, cancel := context.WithTimeout(ctx, target.ConnectTimeout)
		defer cancel()
		conn, err := d.dialThrough(ctx, target)
		result <- attempt{conn, err}
	}()
	return result
}

// startOwn connects over this host's own path. It is not aborted when a tunnel is faster, since its result shows whether
// the path is lost.
func (d *Dialer) startOwn(ctx context.Context, target upstream.Target) <-chan attempt {
	result := make(chan attempt, 1)
	go func() {
		conn, err := d.dialOwn(context.WithoutCancel(ctx), target)
		result <- attempt{conn, err}
	}()
	return result
}

func (d *Dialer) dialOwn(ctx context.Context, target upstream.Target) (io.ReadWriteCloser, error) {
	conn, err := d.parts.Direct.Dial(ctx, target)
	d.mu.Lock()
	if err != nil {
		d.paths.recordOwnFailure(target.Address)
		d.mu.Unlock()
		return nil, err
	}
	restored, lostFor := d.paths.recordOwn(d.parts.Clock(), target.Address)
	left := d.paths.countLost()
	d.mu.Unlock()
	if restored {
		d.log(logrus.InfoLevel, target, logrus.Fields{"lost_ms": lostFor.Milliseconds(), "lost": left}, "this host reaches the endpoint itself again")
	}
	return conn, nil
}

// recordLost records that a peer has connected to an endpoint and this host has not.
func (d *Dialer) recordLost(target upstream.Target) {
	d.mu.Lock()
	isNew := d.paths.recordLost(d.parts.Clock(), target.Address)
	lost := d.paths.countLost()
	d.mu.Unlock()
	if !isNew {
		return
	}
	d.log(logrus.WarnLevel, target, logrus.Fields{"lost": lost}, "this host has lost its path to an endpoint that a peer reaches, calls go through peers")
	d.parts.PathLost(target.ID)
}

// log writes a line about a path, unless there are too many.
func (d *Dialer) log(level logrus.Level, target upstream.Target, fields logrus.Fields, message string) {
	leftOut, ok := d.sampler.Allow(d.parts.Clock())
	if !ok {
		return
	}
	if leftOut > 0 {
		fields["lines_left_out"] = leftOut
	}
	d.parts.Log.WithFields(logrus.Fields{"endpoint": target.ID, "address": target.Address}).WithFields(fields).Log(level, message)
}
