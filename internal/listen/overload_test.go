package listen

import (
	"io"
	"net"
	"slices"
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
		"late for some time":         {slices.Repeat([]time.Duration{late}, overloadCount), true},
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
	defer plain.Close()
	go func() {
		for listener := overload.Wrap(plain); ; {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			io.WriteString(conn, "accepted")
			conn.Close()
		}
	}()
	// connect returns how many of acceptedShare connections are accepted.
	connect := func() (accepted int) {
		for range acceptedShare {
			conn, err := net.Dial("tcp", plain.Addr().String())
			c.Assert(err, qt.IsNil)
			if n, _ := io.Copy(io.Discard, conn); n > 0 {
				accepted++
			}
		}
		return accepted
	}
	lag := new(Lag)
	for range overloadCount {
		overload.record(lag, overloadLag)
	}
	c.Check(connect(), qt.Equals, 1)
	overload.record(lag, 0)
	c.Check(connect(), qt.Equals, acceptedShare)
	c.Check(overload.Closed(), qt.Equals, uint64(acceptedShare-1))
}
