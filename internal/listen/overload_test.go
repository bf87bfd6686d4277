package listen

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

func TestLag(t *testing.T) {
	const late, normal, between = overloadLag, normalLag - 1, normalLag
	tests := map[string]struct {
		lags []time.Duration
		want bool
	}{
		"a suspension":               {[]time.Duration{normal, 10 * late, normal}, false},
		"late for some time":         {[]time.Duration{late, late, late}, true},
		"not all late":               {[]time.Duration{late, late, between, late, late}, false},
		"still late":                 {[]time.Duration{late, late, late, between, late, between}, true},
		"no longer late":             {[]time.Duration{late, late, late, normal}, false},
		"quota spent, then new time": {[]time.Duration{between, normal, between, normal, late, normal, late}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var lag Lag
			is := false
			for _, measured := range test.lags {
				is = lag.Record(measured)
			}
			qt.Assert(t, is, qt.Equals, test.want)
		})
	}
}

// TestOverloadedHostClosesConnectionsUnread connects to a host that is overloaded and then no longer is.
func TestOverloadedHostClosesConnectionsUnread(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	overload := NewOverload(logrus.NewEntry(log))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := overload.Wrap(plain)
	defer listener.Close()
	accepted := make(chan net.Conn, 2*acceptedShare)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", plain.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		return conn
	}
	lag := new(Lag)
	for range overloadCount {
		overload.record(lag, overloadLag)
	}
	for range acceptedShare - 1 {
		_, err := connect().Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
	}
	connect()
	(<-accepted).Close()
	c.Check(overload.Closed(), qt.Equals, uint64(acceptedShare-1))
	overload.record(lag, 0)
	for range acceptedShare {
		connect()
		(<-accepted).Close()
	}
	c.Check(overload.Closed(), qt.Equals, uint64(acceptedShare-1))
}
