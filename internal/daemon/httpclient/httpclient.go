// Package httpclient is the HTTP client of oxbowslipd towards endpoints. It never sends a call
// twice, and reports whether a call that failed may have reached the endpoint. It is net/http's
// transport with its resends prevented, and streams bodies both ways; oxbowslip-front needs
// answers bound to calls and has a client of its own (package upstream).
package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// The limits of connections to endpoints.
const (
	// dialTimeout bounds making a connection.
	dialTimeout = time.Second
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = 30 * time.Second
	// maxIdlePerEndpoint is how many idle connections to one endpoint are kept.
	maxIdlePerEndpoint = 64
	// maxHeaderBytes bounds the headers of an answer, in bytes.
	maxHeaderBytes = 64 << 10
	// writeBufSize and readBufSize are the buffers of one connection, in bytes.
	writeBufSize = 8 << 10
	readBufSize  = 8 << 10
)

// Call is one HTTP call to an endpoint.
type Call struct {
	Address string
	Method  string
	// Path is escaped, with the query.
	Path   string
	Header http.Header
	// Body may be nil. Length is -1 if it is not known.
	Body   io.Reader
	Length int64
	// Once marks a call that must not run twice. It gets a connection of its
	// own: a kept one may be closed by the endpoint just as it is used, which
	// would spend the only try.
	Once bool
	// OnSend is called when a connection is there, before the first byte can
	// be written. It may be called more than once.
	OnSend func()
}

// Client holds the connections to endpoints.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// New returns a client without connections.
func New() *Client {
	return &Client{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBufSize,
		ReadBufferSize:         readBufSize,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// unreplayableBody hides all but Read, so that http.Transport can't find a way to read
// the body again. With a body that it can't read again, the transport does not
// resend by itself: it would resend a GET, or any call with an Idempotency-Key
// header, on a kept connection that broke.
type unreplayableBody struct{ io.Reader }

func (unreplayableBody) Close() error { return nil }

type emptyReader struct{}

func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// Do sends a call once. The error is request.ErrNotSent or request.ErrBroken with its cause.
// Redirects are not followed.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	target, err := url.Parse("http://" + call.Address + call.Path)
	if err != nil {
		return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err))
	}
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		sent = true
		if call.OnSend != nil {
			call.OnSend()
		}
	}}
	transport := c.pooled
	if call.Once {
		transport = c.unpooled
	}
	response, err := transport.RoundTrip(call.httpRequest(httptrace.WithClientTrace(ctx, trace), target))
	if err == nil {
		return response, nil
	}
	if sent {
		return nil, merry.Wrap(request.ErrBroken, merry.WithCause(err))
	}
	return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err))
}

// httpRequest returns the call in the form of a transport.
func (c *Call) httpRequest(ctx context.Context, target *url.URL) *http.Request {
	header := c.Header
	if header == nil {
		header = make(http.Header)
	}
	body := c.Body
	if body == nil {
		body = emptyReader{}
	}
	return (&http.Request{
		Method:        c.Method,
		URL:           target,
		Header:        header,
		Body:          unreplayableBody{body},
		ContentLength: c.Length,
		Host:          c.Address,
	}).WithContext(ctx)
}
