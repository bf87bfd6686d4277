// Package httpclient is the HTTP client of oxbowslipd for endpoints. It never sends a call twice,
// and reports whether a failed call may have reached the endpoint. It uses the transport of
// net/http with resends prevented, and streams bodies in both directions; oxbowslip-front needs
// answers bound to calls and has its own client (package upstream).
//
// The body of an answer ends with io.EOF only if the answer is whole.
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

	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/request"
)

// Limits of connections to endpoints.
const (
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdlePerEndpoint is the number of idle connections kept per endpoint.
	maxIdlePerEndpoint = 64
	// writeBufSize and readBufSize are the sizes of a connection's buffers, in bytes.
	writeBufSize = 8 << 10
	readBufSize  = 8 << 10
)

// Call is an HTTP call to an endpoint.
type Call struct {
	Address string
	Method  string
	// Path is the escaped path, with the query.
	Path   string
	Header http.Header
	// Body may be nil. Length is -1 if the length is unknown.
	Body   io.Reader
	Length int64
	// Once marks a call that must not run twice. It is sent on a new connection, since the endpoint
	// may close a kept one just as it is used, and the call would fail without being sent again.
	Once bool
	// OnSend is called once a connection is available, before the first byte can be written. It may
	// be called more than once.
	OnSend func()
}

// Client manages the connections to endpoints.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// New returns a client without connections.
func New() *Client {
	return &Client{pooled: newTransport(false), unpooled: newTransport(true)}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	t := httphead.NewTransport(&net.Dialer{Timeout: dialTimeout}).Transport
	t.DisableKeepAlives = disableKeepAlives
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdlePerEndpoint
	t.IdleConnTimeout = idleTimeout
	t.WriteBufferSize = writeBufSize
	t.ReadBufferSize = readBufSize
	return t
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

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
	httphead.GuardInterim(trace)
	transport := c.pooled
	if call.Once {
		transport = c.unpooled
	}
	body := newUpload(&call)
	response, err := transport.RoundTrip(call.httpRequest(httptrace.WithClientTrace(ctx, trace), target, body))
	if err == nil {
		err = httphead.Check(response)
		if err == nil {
			body.guard(response)
			return response, nil
		}
		response.Body.Close()
		// net/http may keep the connection, whatever follows on it.
		transport.CloseIdleConnections()
	}
	if sent {
		return nil, merry.Wrap(request.ErrBroken, merry.WithCause(err))
	}
	return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err))
}

// httpRequest converts the call to a request for http.Transport.
func (c *Call) httpRequest(ctx context.Context, target *url.URL, body *upload) *http.Request {
	header := c.Header
	if header == nil {
		header = make(http.Header)
	}
	return (&http.Request{
		Method:        c.Method,
		URL:           target,
		Header:        header,
		Body:          body,
		ContentLength: c.Length,
		Host:          c.Address,
	}).WithContext(ctx)
}
