package operator

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/httphead"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// clientTimeout is longer than the time in which a host determines the result of a change after a lost response
// (package daemon/commit).
const clientTimeout = 20 * time.Second

// Client calls the operators' interface of one host.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client that authenticates with an operator's key.
func NewClient(address, key string) *Client {
	return &Client{base: "http://" + address, key: key, http: &http.Client{Timeout: clientTimeout, Transport: httphead.NewTransport(new(net.Dialer))}}
}

// Status returns the state of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return getJSON[Status](ctx, c, "/v1/status")
}

// Settings returns the tree in force on the host.
func (c *Client) Settings(ctx context.Context) (SettingsAnswer, error) {
	return getJSON[SettingsAnswer](ctx, c, "/v1/settings")
}

// Change returns an accepted change.
func (c *Client) Change(ctx context.Context, revision uint64) (settings.Change, error) {
	return getJSON[settings.Change](ctx, c, "/v1/settings/changes/"+strconv.FormatUint(revision, 10))
}

// Effective returns the effective values of a workspace and class.
func (c *Client) Effective(ctx context.Context, workspace, class string) ([]settings.EffectiveValue, error) {
	return getJSON[[]settings.EffectiveValue](ctx, c, "/v1/settings/effective/"+url.PathEscape(workspace)+"/"+class)
}

// Explain returns the record of the decisions for a request.
func (c *Client) Explain(ctx context.Context, id string) (explain.Record, error) {
	return getJSON[explain.Record](ctx, c, "/v1/requests/"+url.PathEscape(id))
}

// LiftPoison lifts the verdict on a poison request, so that all hosts send it again.
func (c *Client) LiftPoison(ctx context.Context, key string) error {
	status, data, err := c.do(ctx, http.MethodDelete, "/v1/poison/"+url.PathEscape(key), nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return responseError(status, data)
	}
	return nil
}

// Recorded returns the recorded entries of the host's requests that arrived after a time.
func (c *Client) Recorded(ctx context.Context, after time.Time) ([]record.Entry, error) {
	return getJSON[[]record.Entry](ctx, c, "/v1/recorded?after="+url.QueryEscape(after.Format(time.RFC3339Nano)))
}

// RefusedError reports a change that was not accepted, or whose result is unknown.
type RefusedError struct {
	Answer ChangeAnswer
}

// Error returns the host's error message.
func (r *RefusedError) Error() string { return r.Answer.Error }

// Apply sends a change. If the change was not accepted, the error is a *RefusedError.
func (c *Client) Apply(ctx context.Context, request ChangeRequest) (ChangeAnswer, error) {
	var result ChangeAnswer
	body, err := json.Marshal(request)
	if err != nil {
		return result, merry.Wrap(err)
	}
	_, data, err := c.do(ctx, http.MethodPost, "/v1/settings/changes", body)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(data, &result, strictjson.DurationUnmarshaler); err != nil {
		return result, merry.Wrap(err)
	}
	if result.Accepted != "yes" {
		return result, &RefusedError{Answer: result}
	}
	return result, nil
}

func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	status, data, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if status != http.StatusOK {
		return value, responseError(status, data)
	}
	err = json.Unmarshal(data, &value, strictjson.DurationUnmarshaler)
	return value, merry.Wrap(err)
}

// responseError returns the error for a response whose status is not the expected one.
func responseError(status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Error == "" {
		return merry.Errorf("the host answered with status %d", status)
	}
	return merry.New(p.Error)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, merry.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, merry.Wrap(err)
}
