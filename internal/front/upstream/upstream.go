// Package upstream is the HTTP client of oxbowslip-front for endpoints. It sends one call at a time on each connection,
// never resends a call, and reports whether a failed call may have reached the endpoint. It matches answers to calls by
// their ID, because a faulty endpoint may send a surplus answer before the answer to the next call. The client of
// net/http would take the surplus answer for that of the next call, and it resends some calls by itself. oxbowslipd
// uses the client of net/http (package daemon/httpclient), because its endpoints conform to HTTP and its bodies are
// streamed.
//
// It owns the connections. Timeouts and retries are decided by package relay and package owner.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxInlineBytes is the size of a body up to which a call is written before its answer is read; it fits the send
	// buffer of a connection. Larger calls are written while the answer is read, because an endpoint may answer before it has read
	// the whole call.
	maxInlineBytes = 4 << 10
	// maxSurplusAnswers bounds the answers to other calls that are dropped before the right one, and maxSurplusBytes each
	// of their bodies. Faulty endpoints send one at a time.
	maxSurplusAnswers = 4
	maxSurplusBytes   = 4 << 20
	// readBufBytes is the size of a connection's read buffer.
	readBufBytes = 8 << 10
	// maxIdlePerAddress bounds the idle connections to an endpoint. Endpoints accept 100 to 370 connections from all
	// hosts together.
	maxIdlePerAddress = 16
	// defaultConnectTimeout is the connect timeout of targets that set none.
	defaultConnectTimeout = time.Second
)

// Call is an HTTP call to an endpoint.
type Call struct {
	Target Target
	// ID is the ID that the answer must carry.
	ID     string
	Method string
	// URI is the request target on the wire: the escaped path with the query. Host is the value of the Host header.
	URI  string
	Host string
	// Header returns the header of the call; nil means that it has none. It is called when the connection is open, which
	// may take long: a header may state the time that is left.
	Header func() http.Header
	Body   []byte
	// MayAbandon is set if the call may be given up, to be sent to another endpoint, when its path is lost.
	MayAbandon bool
	// OnUnreachable is called, if the call may be given up, when its connection is silent and this host can't open another
	// one to the endpoint. It reports whether it has ended the call in favour of another endpoint. It may be nil.
	OnUnreachable func() bool
	// Connection is used for the call if it is not nil. It must lead to the target.
	Connection *Connection
	// OnSend is called when the connection is open, before the first byte is written. IsTunneled is set if it leads
	// through a peer. If it returns false, the call is not sent.
	OnSend func(isTunneled bool) bool
}

// Config configures a Client.
type Config struct {
	// AnswerID returns the ID of the call to which an answer belongs.
	AnswerID func(http.Header) string
	// KeepIdle is how long a connection may stay idle if its endpoint states no keep-alive timeout.
	KeepIdle time.Duration
	// Dialer opens the connections.
	Dialer Dialer
}

// Client sends calls to endpoints and owns the connections to them. It is safe for concurrent use.
type Client struct {
	config Config
	clock  func() time.Time

	mu   sync.Mutex
	idle map[string][]*connection
	// checks holds the check that is under way for each address.
	checks map[string]*check
	closed bool
	dials  uint64
}

// New returns a Client without connections.
func New(config Config, clock func() time.Time) *Client {
	return &Client{config: config, clock: clock, idle: make(map[string][]*connection), checks: make(map[string]*check)}
}

// Close closes the idle connections and keeps no more.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, kept := range c.idle {
		for _, conn := range kept {
			conn.Close()
		}
	}
	clear(c.idle)
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// ErrWithheld is the error of a call that was not sent because OnSend returned false.
var ErrWithheld = merry.Sentinel("withheld: not to be sent any more")

// ErrAbandoned is added to the error of a call that was sent, and that the endpoint may still read: it has not closed the
// connection, and its machine has acknowledged the call.
var ErrAbandoned = merry.Sentinel("the endpoint may still read the call")

// Do sends a call once and waits for the head of its answer. The error is request.ErrNotSent or request.ErrBroken with
// its cause, or ErrWithheld. The connection is closed when ctx ends, and the call fails with the cause of that.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	wire, large, err := encode(call)
	if err != nil {
		c.putUnused(call.Target.Address, conn)
		return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if call.OnSend != nil && !call.OnSend(conn.isTunnel()) {
		c.putUnused(call.Target.Address, conn)
		return nil, merry.Wrap(ErrWithheld)
	}
	x := &exchange{client: c, conn: conn, address: call.Target.Address, writeResult: make(chan error, 1)}
	x.stopAbort = context.AfterFunc(ctx, func() { x.abortWith(context.Cause(ctx)) })
	conn.carry(call.ID)
	conn.recordActivity()
	x.write(wire, large)
	if !conn.isTunnel() {
		x.watchSilence(call)
	}
	answer, err := x.readAnswer(call)
	if err != nil {
		mayArrive := x.abandon(err)
		err = x.cause(err)
		if mayArrive {
			err = errors.Join(err, ErrAbandoned)
		}
		return nil, merry.Wrap(request.ErrBroken, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return answer, nil
}

// encode returns the call as on the wire, or the request that writes it if it is large, so that its body is not copied.
func encode(call *Call) (wire []byte, large *http.Request, err error) {
	var header http.Header
	if call.Header != nil {
		header = call.Header()
	}
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: call.Method,
		URL:    urlOf(call),
		Host:   call.Host,
		Header: header,
	}
	isLarge := len(call.Body) > maxInlineBytes
	if len(call.Body) > 0 && !isLarge {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	var head bytes.Buffer
	if err := request.Write(&head); err != nil {
		return nil, nil, err
	}
	if !isLarge {
		return head.Bytes(), nil, nil
	}
	request.Body = io.NopCloser(bytes.NewReader(call.Body))
	request.ContentLength = int64(len(call.Body))
	return nil, request, nil
}

// urlOf returns a URL that is written as the call's URI. An opaque one that begins with two slashes would be written with
// its scheme.
func urlOf(call *Call) *url.URL {
	u := &url.URL{Scheme: "http", Host: call.Target.Address, Opaque: call.URI}
	if !strings.HasPrefix(call.URI, "//") {
		return u
	}
	path, query, hasQuery := strings.Cut(call.URI, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return u
	}
	u.Opaque, u.Path, u.RawPath, u.RawQuery, u.ForceQuery = "", unescaped, path, query, hasQuery && query == ""
	return u
}

// exchange is a call on a connection.
type exchange struct {
	client      *Client
	conn        *connection
	address     string
	stopAbort   func() bool
	writeResult chan error

	mu sync.Mutex
	// silence checks the path when the connection is silent. Aborted is the error with which the call was aborted.
	silence *time.Timer
	aborted error
	isEnded bool
	// mayArrive is set if the call was aborted and the endpoint may still read it.
	mayArrive bool
}

// write writes the call, in the background if it is large.
func (x *exchange) write(wire []byte, large *http.Request) {
	if large != nil {
		go func() { x.writeResult <- large.Write(x.conn) }()
		return
	}
	_, err := x.conn.Write(wire)
	x.writeResult <- err
}

// readAnswer reads the head of the answer to the call. It drops answers to other calls.
func (x *exchange) readAnswer(call *Call) (*Answer, error) {
	request := &http.Request{Method: call.Method}
	for surplus := 0; surplus <= maxSurplusAnswers; {
		response, err := httphead.ReadAnswer(x.conn.reader, &x.conn.source, request)
		if err != nil {
			return nil, err
		}
		if x.client.config.AnswerID(response.Header) == call.ID {
			return x.answer(response), nil
		}
		if !isFramed(response) {
			return nil, errors.New("an answer to another call without an end")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
		if err != nil {
			return nil, err
		}
		if err := httphead.CheckTrailer(response); err != nil {
			return nil, err
		}
		if n == maxSurplusBytes {
			return nil, errors.New("an answer to another call that is too large to be skipped")
		}
		surplus++
	}
	return nil, errors.New("too many answers to other calls")
}

// abandon closes the connection after an error, upon which the endpoint aborts the call. It reports whether the endpoint may
// still read the call.
func (x *exchange) abandon(err error) (mayArrive bool) {
	x.endWatch()
	x.stopAbort()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.aborted != nil:
		return x.mayArrive
	case isClosedByPeer(err) && !x.conn.isTunnel():
		x.conn.Close()
		return false
	}
	return x.conn.discard()
}

// isClosedByPeer reports whether a connection has ended because its other end has closed it.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
}
