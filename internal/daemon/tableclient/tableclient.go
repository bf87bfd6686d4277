// Package tableclient is oxbowslipd's client for the product's own platform service: a
// transactional table, an object store and a list of hosts, as JSON over HTTP (docs/platform.md).
// It owns the connections and never sends a write twice; its callers decide on retries. The
// users' platform has another store, whose client is package platform.
package tableclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/httphead"
)

// Errors of calls, for errors.Is.
var (
	// ErrUnavailable means that no valid response was received. A write may have taken effect or
	// not.
	ErrUnavailable = merry.Sentinel("platform unavailable")
	// ErrConflict means that a condition of a transaction did not hold. Nothing was written.
	ErrConflict = merry.Sentinel("transaction conflict")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = merry.Sentinel("not found on the platform")
	// ErrRejected means that the platform rejected the call as invalid.
	ErrRejected = merry.Sentinel("platform rejected the call")
)

// Row is a row of the table.
type Row struct {
	Key string `json:"key"`
	// Version increases with each write of the row; 0 means that the row does not exist.
	Version uint64         `json:"version"`
	Value   jsontext.Value `json:"value"`
}

// Condition requires a row to have a version; version 0 requires that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row. A null value deletes the row.
type Write struct {
	Key   string         `json:"key"`
	Value jsontext.Value `json:"value"`
}

// Transaction is applied atomically.
type Transaction struct {
	If  []Condition `json:"if,omitzero"`
	Set []Write     `json:"set"`
}

// Conflict lists the current rows whose conditions did not hold.
type Conflict struct {
	Rows []Row `json:"rows"`
}

// HostState is the state of a host in the platform's list.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name  string    `json:"name"`
	Peers string    `json:"peers"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags behind the actual state.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// RowList is the response to a listing of rows.
type RowList struct {
	Rows []Row `json:"rows"`
}

// Paths of the platform's service.
const (
	PathRows         = "/v1/rows"
	PathTransactions = "/v1/transactions"
	PathObjects      = "/v1/objects/"
	PathHosts        = "/v1/hosts"
)

// maxAnswerBytes bounds a response in memory. The largest is a snapshot of the settings.
const maxAnswerBytes = 64 << 20

// Client calls the platform service.
type Client struct {
	baseURL       string
	http          *http.Client
	onUnavailable func()
}

// Bounds of idle connections to the platform service.
const (
	// maxIdleConns is the number of idle connections kept: one each for polls, changes and claims,
	// and a spare.
	maxIdleConns = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// New returns a client. onUnavailable, unless nil, is called for each call without a response or
// with a status that reports the platform as unavailable (5xx or 429).
func New(address string, timeout time.Duration, onUnavailable func()) *Client {
	transport := httphead.NewTransport(new(net.Dialer))
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConns, idleTimeout
	return &Client{baseURL: "http://" + address, http: &http.Client{Timeout: timeout, Transport: transport}, onUnavailable: onUnavailable}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns a row.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, PathRows+"/"+url.PathEscape(key), nil, &row)
	return row, err
}

// List returns the rows whose keys have a prefix, sorted by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var list RowList
	err := c.call(ctx, http.MethodGet, PathRows+"?prefix="+url.QueryEscape(prefix), nil, &list)
	return list.Rows, err
}

// Commit executes a transaction. With ErrConflict it returns the conflicting rows. With
// ErrUnavailable it is not known whether the transaction took effect.
func (c *Client) Commit(ctx context.Context, transaction Transaction) ([]Row, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return nil, merry.Wrap(ErrRejected, merry.WithCause(err))
	}
	var conflict Conflict
	err = c.call(ctx, http.MethodPost, PathTransactions, body, &conflict)
	return conflict.Rows, err
}

// GetObject returns the content of an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
}

// PutObject replaces an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data)
	return err
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var list HostList
	err := c.call(ctx, http.MethodGet, PathHosts, nil, &list)
	return list.Hosts, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	data, err := c.do(ctx, method, path, body)
	if err != nil && !errors.Is(err, ErrConflict) {
		return err
	}
	if decodeErr := json.Unmarshal(data, result); decodeErr != nil {
		return merry.Wrap(ErrUnavailable, merry.WithCause(decodeErr))
	}
	return err
}

// do makes a call. It returns the response body also with ErrConflict.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	if err != nil {
		return nil, merry.Wrap(ErrRejected, merry.WithCause(err))
	}
	if body != nil {
		// Without GetBody, the transport can't resend a write on its own.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.unavailable(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, c.unavailable(err)
	}
	return data, c.statusError(response)
}

func (c *Client) statusError(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return merry.Wrap(ErrNotFound)
	case status == http.StatusConflict:
		return merry.Wrap(ErrConflict)
	case status < http.StatusInternalServerError && status != http.StatusTooManyRequests:
		return merry.Wrap(ErrRejected, merry.AppendMessage(response.Status))
	default:
		return c.unavailable(errors.New(response.Status))
	}
}

func (c *Client) unavailable(err error) error {
	if c.onUnavailable != nil {
		c.onUnavailable()
	}
	return merry.Wrap(ErrUnavailable, merry.WithCause(err))
}
