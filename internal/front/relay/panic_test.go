package relay

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/clock"
	"oxbowslip.dev/oxbowslip/internal/counters"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// panickingDialect is a Dialect that panics for one request.
type panickingDialect struct{ Dialect }

// ParseCall panics for the request with the ID "bad", and fails for others.
func (panickingDialect) ParseCall(r *http.Request) (Call, error) {
	if r.Header.Get(headerRequestID) == "bad" {
		panic("an index out of range")
	}
	return Call{ID: r.Header.Get(headerRequestID)}, http.ErrNotSupported
}

// TestPanicAbortsOnlyItsRequest checks that a panic in a request aborts its connection, is counted and logged, and that
// the host answers the next request.
func TestPanicAbortsOnlyItsRequest(t *testing.T) {
	c := qt.New(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	count := counters.New()
	server := httptest.NewUnstartedServer(New(Parts{
		Dialect: panickingDialect{}, Counters: count, Log: logrus.NewEntry(log), Clock: clock.New(clock.NewSystem(), logrus.NewEntry(log)),
	}))
	server.Start()
	defer server.Close()
	ask := func(id string) (int, error) {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader("body"))
		c.Assert(err, qt.IsNil)
		r.Header.Set(headerRequestID, id)
		client := http.Client{Timeout: time.Minute}
		response, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		response.Body.Close()
		return response.StatusCode, nil
	}
	_, err := ask("bad")
	c.Check(err, qt.IsNotNil)
	c.Check(count.Refusals(request.ReasonInternal), qt.Equals, uint64(1))
	status, err := ask("good")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusBadRequest)
	// Close waits for the requests, so that all lines have been logged.
	server.Close()
	c.Check(lines.String(), qt.Contains, "an index out of range")
}
