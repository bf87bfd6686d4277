// Package upstream is the HTTP client of oxbowslip-front towards endpoints. It sends one call
// at a time on each kept connection, never sends a call twice by itself, and reports whether a
// call that failed may have reached the endpoint. It binds answers to calls by their ID,
// because a faulty endpoint may send a surplus answer where the next one is due; net/http's own
// client would take that for the next answer, and resends some calls by itself. oxbowslipd uses
// that client (package daemon/httpclient), because its endpoints answer by the book and its
// bodies are streamed.
//
// It owns the connections, and no rule: how long to wait and whether to retry is up to package
// relay and package owner.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxInlineBytes is the size up to which a call is written before its answer is read. Larger ones are written while
	// the answer is read, because an endpoint may answer before it has read them. It fits the send buffer of a
	// connection.
	maxInlineBytes = 4 << 10
	// maxSurplusAnswers bounds the answers to other calls that are dropped in search of the right one. One at a time has been
	// seen.
	maxSurplusAnswers = 4
	// readBufBytes is the read buffer of a connection.
	readBufBytes = 8 << 10
	// maxIdlePerAddress bounds the kept connections to an endpoint. The users' endpoints take 100 to 370 connections from
	// all hosts together.
	maxIdlePerAddress = 16
	// defaultConnectTimeout bounds connecting if a call does not say.
	defaultConnectTimeout = time.Second
)

// Call is one HTTP call to an endpoint.
type Call struct {
	Address string
	// ID is what the answer must carry.
	ID     string
	Method string
	// Target is the request target as it goes on the wire: an escaped path with
	// the query. Host is the value of the Host header.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ConnectTimeout bounds the making of a connection; 0 means a second.
	ConnectTimeout time.Duration
	// OnSend is called once a connection is there, before the first byte is written. If it returns false, nothing is
	// sent.
	OnSend func() bool
}

// Answer is an endpoint's answer whose head has arrived. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed is set if the answer states its end by a length or by chunks. One that does not
	// ends with its connection.
	Framed bool

	body       io.ReadCloser
	exchange   *exchange
	isComplete bool
}

// Config is how a client recognises answers and keeps connections.
type Config struct {
	// AnswerID returns the ID of the call that an answer belongs to.
	AnswerID func(http.Header) string
	// KeepIdle is how long a connection may stay idle if its endpoint does not say.
	KeepIdle time.Duration
	// DeadPeer is how long sent bytes may stay unacknowledged before the connection counts as
	// broken.
	DeadPeer time.Duration
}

// Client holds the connections to endpoints. It is safe for concurrent use.
type Client struct {
	config Config
	clock  func() time.Time

	mu     sync.Mutex
	idle   map[string][]*connection
	closed bool
	dials  uint64
}

// New returns a client without connections.
func New(config Config, clock func() time.Time) *Client {
	return &Client{config: config, clock: clock, idle: make(map[string][]*connection)}
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

// Dials returns the number of connections that were made.
func (c *Client) Dials() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// ErrWithheld is the error of a call that OnSend has withheld.
var ErrWithheld = merry.Sentinel("withheld: not to be sent any more")

// Do sends a call once and waits for the head of its answer. The error is request.ErrNotSent
// or request.ErrBroken with its cause, or ErrWithheld. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	wire, err := encode(call)
	if err != nil {
		return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, merry.Wrap(request.ErrNotSent, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	if call.OnSend != nil && !call.OnSend() {
		c.putUnused(call.Address, conn)
		return nil, merry.Wrap(ErrWithheld)
	}
	x := &exchange{client: c, conn: conn, address: call.Address, writeResult: make(chan error, 1)}
	x.stopAbort = context.AfterFunc(ctx, func() { conn.Close() })
	x.write(wire)
	answer, err := x.readAnswer(call)
	if err != nil {
		x.abandon()
		return nil, merry.Wrap(request.ErrBroken, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return answer, nil
}

// encode returns the bytes of a call.
func encode(call *Call) ([]byte, error) {
	header := call.Header
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	request := &http.Request{
		Method: call.Method,
		URL:    &url.URL{Scheme: "http", Host: call.Address, Opaque: call.Target},
		Host:   call.Host,
		Header: header,
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	var wire bytes.Buffer
	if err := request.Write(&wire); err != nil {
		return nil, err
	}
	return wire.Bytes(), nil
}

// exchange is one call on one connection.
type exchange struct {
	client      *Client
	conn        *connection
	address     string
	stopAbort   func() bool
	writeResult chan error
}

// write sends the call, in the background if it is large.
func (x *exchange) write(wire []byte) {
	if len(wire) <= maxInlineBytes {
		_, err := x.conn.Write(wire)
		x.writeResult <- err
		return
	}
	go func() {
		_, err := x.conn.Write(wire)
		x.writeResult <- err
	}()
}

// readAnswer finds the answer to the call. Answers to other calls are dropped.
func (x *exchange) readAnswer(call *Call) (*Answer, error) {
	request := &http.Request{Method: call.Method}
	for surplus := 0; surplus <= maxSurplusAnswers; {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.client.config.AnswerID(response.Header) == call.ID {
			return x.answer(response), nil
		}
		if !isFramed(response) {
			return nil, errors.New("an answer to another call without an end")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		surplus++
	}
	return nil, errors.New("too many answers to other calls")
}

func (x *exchange) answer(response *http.Response) *Answer {
	x.conn.recordAnswer(response, x.client.clock(), x.client.config.KeepIdle)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Framed: isFramed(response),
		body: response.Body, exchange: x,
	}
}

func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// abandon closes the connection, which makes the endpoint stop working on the call.
func (x *exchange) abandon() {
	x.stopAbort()
	x.conn.Close()
}

// Read reads the answer's body. It ends with io.EOF only if the whole answer arrived.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.isComplete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the whole answer was read and nothing is
// left on it.
func (a *Answer) Close() {
	x := a.exchange
	if !x.stopAbort() || !a.isComplete || !a.Framed || x.conn.isLast || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	select {
	case err := <-x.writeResult:
		if err != nil {
			x.conn.Close()
			return
		}
	default:
		// The endpoint answered before it had read the call, and the rest is still on its way.
		x.conn.Close()
		return
	}
	x.client.putIdle(x.address, x.conn)
}
