package listen

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// lagInterval is the time between two measurements of the scheduling lag, that is, how late a goroutine runs that has
	// slept. A host whose processor is busy runs it late.
	lagInterval = 100 * time.Millisecond
	// overloadLag is the lag above which a measurement counts as overload: with it, short calls miss their latency targets.
	// A lag below normalLag ends the overload.
	overloadLag = 100 * time.Millisecond
	normalLag   = 30 * time.Millisecond
	// overloadCount is the number of successive measurements that begin an overload. One alone may come from a suspension.
	overloadCount = 3
	// acceptedShare is the share of new connections, one in so many, that an overloaded host accepts: callers must reach it
	// while it is ready.
	acceptedShare = 4
)

// Lag decides whether a host is overloaded, from its scheduling lag. It is not safe for concurrent use.
type Lag struct {
	late         int
	isOverloaded bool
}

// Record records a measurement, and reports whether the host is overloaded.
func (l *Lag) Record(lag time.Duration) bool {
	switch {
	case lag < normalLag:
		l.late, l.isOverloaded = 0, false
	case lag < overloadLag:
		l.late = 0
	default:
		l.late++
		l.isOverloaded = l.isOverloaded || l.late >= overloadCount
	}
	return l.isOverloaded
}

// Overload keeps an overloaded host from reading more requests than it can serve in time: most new connections are closed
// before anything is read from them, so that callers know that nothing ran, and try other hosts. It is safe for concurrent
// use.
type Overload struct {
	log          *logrus.Entry
	isOverloaded atomic.Bool
	accepted     atomic.Uint64
	closed       atomic.Uint64
}

// NewOverload returns an Overload of a host that is not overloaded.
func NewOverload(log *logrus.Entry) *Overload { return &Overload{log: log} }

// Run measures the scheduling lag until done is closed.
func (o *Overload) Run(done <-chan struct{}) {
	var lag Lag
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		from := time.Now()
		select {
		case <-timer.C:
		case <-done:
			return
		}
		o.record(&lag, time.Since(from)-lagInterval)
		timer.Reset(lagInterval)
	}
}

// record records a measurement of the lag.
func (o *Overload) record(lag *Lag, late time.Duration) {
	is := lag.Record(late)
	if o.isOverloaded.Swap(is) == is {
		return
	}
	fields := o.log.WithFields(logrus.Fields{"lag_ms": late.Milliseconds(), "closed": o.closed.Load()})
	if is {
		fields.Warn("the processor is overloaded, most new connections are closed unread")
	} else {
		fields.Info("the processor is no longer overloaded, all connections are accepted")
	}
}

// Closed returns the number of connections that were closed unread since the start.
func (o *Overload) Closed() uint64 { return o.closed.Load() }

// admits reports whether a new connection is accepted.
func (o *Overload) admits() bool {
	return !o.isOverloaded.Load() || o.accepted.Add(1)%acceptedShare == 0
}

// Wrap returns a listener that closes most new connections while the host is overloaded.
func (o *Overload) Wrap(listener net.Listener) net.Listener {
	return &overloadListener{Listener: listener, overload: o}
}

type overloadListener struct {
	net.Listener
	overload *Overload
}

// Accept returns the next connection that is accepted.
func (l *overloadListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.overload.admits() {
			return conn, err
		}
		l.overload.closed.Add(1)
		conn.Close()
	}
}
