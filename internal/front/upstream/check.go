package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

const (
	// silenceLimit is how long a connection may be silent during a call before the path to its endpoint is checked, and
	// recheckSilence how often it is checked again. Most endpoints answer or send an event sooner.
	silenceLimit   = 600 * time.Millisecond
	recheckSilence = time.Second
	// checkTimeout bounds connecting over one path in a check. With silenceLimit it is a second, the time that an endpoint
	// that can't be reached may be silent before a call that may be repeated is sent elsewhere.
	checkTimeout = 400 * time.Millisecond
	// probedAfter is the silence after which the first keep-alive probe has been answered if the endpoint's machine runs
	// and can be reached: the kernel sends it after a second.
	probedAfter = 1200 * time.Millisecond
)

// ErrPathLost is the error of a call whose connection this host has lost although its endpoint can be reached, by a peer
// or through another one. The endpoint has not failed.
var ErrPathLost = merry.Sentinel("path to the endpoint lost")

// ErrUnconfirmed is the error, or its cause, if this host was refused and no peer says whether others are too.
var ErrUnconfirmed = merry.Sentinel("refused, which no peer confirms")

// ErrUnreachable is the error of a call that was given up since nobody reaches its silent endpoint.
var ErrUnreachable = merry.Sentinel("the endpoint is silent and can't be reached")

// Reach is how an endpoint can be reached.
type Reach uint8

// The ways.
const (
	// Unreachable: neither this host nor a peer can connect.
	Unreachable Reach = iota
	// ReachedDirectly: this host can connect.
	ReachedDirectly
	// ReachedByPeer: a peer can connect, and this host can't.
	ReachedByPeer
)

// check finds out how an endpoint can be reached. Its other fields are set when done is closed.
type check struct {
	done  chan struct{}
	reach Reach
	err   error
}

// startCheck starts a check, or joins the one that is under way. Its connection is kept for a later call.
func (c *Client) startCheck(target Target) *check {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.checks[target.Address]; ok {
		return running
	}
	started := &check{done: make(chan struct{})}
	c.checks[target.Address] = started
	go c.runCheck(started, target)
	return started
}

func (c *Client) runCheck(k *check, target Target) {
	target.ConnectTimeout = checkTimeout
	conn, reach, err := c.config.Dialer.Check(context.Background(), target)
	if err == nil {
		c.putUnused(target.Address, c.newConnection(conn))
	}
	k.reach, k.err = reach, err
	c.mu.Lock()
	delete(c.checks, target.Address)
	c.mu.Unlock()
	close(k.done)
}

// HasExited reports whether the process of an endpoint has exited: its machine refuses connections. If it connects, the
// connection is kept for a later call. It returns when ctx ends at the latest. An error means that the state of the
// process is unknown.
func (c *Client) HasExited(ctx context.Context, endpoint, address string) (bool, error) {
	k := c.startCheck(Target{ID: endpoint, Address: address})
	select {
	case <-k.done:
	case <-ctx.Done():
		return false, merry.Wrap(ctx.Err())
	}
	switch {
	case errors.Is(k.err, unix.ECONNREFUSED):
		return true, nil
	case k.err != nil:
		return false, merry.Wrap(k.err)
	}
	return false, nil
}

// ReportUnlessPathLost checks the path to an endpoint after a call over this host's own path has failed, and then calls
// report unless the path is lost. It does not block.
func (c *Client) ReportUnlessPathLost(target Target, report func()) {
	k := c.startCheck(target)
	go func() {
		<-k.done
		if k.reach != ReachedByPeer {
			report()
		}
	}()
}

// MayBePathLoss reports whether the loss of a path may be the cause of an error.
func MayBePathLoss(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE)
}

// watchSilence checks the path to the endpoint each time that the call's connection is silent for too long.
func (x *exchange) watchSilence(call *Call) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silence = time.AfterFunc(silenceLimit, func() { x.handleSilence(call) })
}

func (x *exchange) handleSilence(call *Call) {
	if left := silenceLimit - x.conn.silentFor(); left > 0 {
		x.rearm(left)
		return
	}
	k := x.client.startCheck(call.Target)
	<-k.done
	if call.MayAbandon && k.reach != ReachedDirectly && x.conn.silentFor() >= silenceLimit {
		x.handleUnreachable(call, k.reach)
	}
	x.rearm(recheckSilence)
}

// handleUnreachable ends a silent call to an endpoint to which this host can't open another connection, if the call goes
// on elsewhere or its connection is dead as well. An endpoint that stands still drops new connections once its queue of
// them is full, and one that stops refuses them; both may still finish their calls.
func (x *exchange) handleUnreachable(call *Call, reach Reach) {
	if call.OnUnreachable != nil && call.OnUnreachable() {
		return
	}
	if x.conn.knowsAcknowledgements() {
		time.Sleep(probedAfter - x.conn.silentFor())
		if x.conn.silentFor() < probedAfter || x.conn.isAcknowledged() {
			return
		}
	}
	if reach == ReachedByPeer {
		x.abortWith(ErrPathLost)
		return
	}
	x.abortWith(ErrUnreachable)
}

func (x *exchange) rearm(after time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isEnded {
		x.silence.Reset(after)
	}
}

// abortWith closes the connection, upon which the call fails with err.
func (x *exchange) abortWith(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isEnded {
		return
	}
	x.aborted = err
	x.mayArrive = x.conn.discard()
}

// endWatch ends the checks.
func (x *exchange) endWatch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.isEnded = true
	if x.silence != nil {
		x.silence.Stop()
	}
}

// cause returns the error with which the call was aborted, or err.
func (x *exchange) cause(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted != nil {
		return merry.Wrap(x.aborted)
	}
	return err
}
