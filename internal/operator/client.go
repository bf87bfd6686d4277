package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/explain"
	"oxbowslip.dev/oxbowslip/internal/record"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// clientTimeout is longer than it takes a host to find out about a lost answer (package daemon/commit).
const clientTimeout = 20 * time.Second

// Client is an operator's side of the interface of one host.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client with an operator's key.
func NewClient(address, key string) *Client {
	return &Client{base: "http://" + address, key: key, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the state of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Settings returns the tree in force on the host.
func (c *Client) Settings(ctx context.Context) (SettingsAnswer, error) {
	return get[SettingsAnswer](ctx, c, "/v1/settings")
}

// Change returns an accepted change.
func (c *Client) Change(ctx context.Context, revision uint64) (settings.Change, error) {
	return get[settings.Change](ctx, c, "/v1/settings/changes/"+strconv.FormatUint(revision, 10))
}

// Effective returns each effective value of a workspace and class.
func (c *Client) Effective(ctx context.Context, workspace, class string) ([]settings.EffectiveValue, error) {
	return get[[]settings.EffectiveValue](ctx, c, "/v1/settings/effective/"+url.PathEscape(workspace)+"/"+class)
}

// Explain returns what was decided for a request.
func (c *Client) Explain(ctx context.Context, id string) (explain.Record, error) {
	return get[explain.Record](ctx, c, "/v1/requests/"+url.PathEscape(id))
}

// LiftPoison has a poison request sent again by all hosts.
func (c *Client) LiftPoison(ctx context.Context, key string) error {
	status, data, err := c.do(ctx, http.MethodDelete, "/v1/poison/"+url.PathEscape(key), nil)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return problem(status, data)
	}
	return nil
}

// Recorded returns the shapes of the host's requests that arrived after a time.
func (c *Client) Recorded(ctx context.Context, after time.Time) ([]record.Entry, error) {
	return get[[]record.Entry](ctx, c, "/v1/recorded?after="+url.QueryEscape(after.Format(time.RFC3339Nano)))
}

// RefusedError is a change that was not accepted, or of which that is not known.
type RefusedError struct {
	Answer ChangeAnswer
}

// Error returns the host's words.
func (r *RefusedError) Error() string { return r.Answer.Error }

// Apply sends a change. A change that was not accepted comes back as *Refused.
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

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	status, data, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return value, err
	}
	if status != http.StatusOK {
		return value, problem(status, data)
	}
	err = json.Unmarshal(data, &value, strictjson.DurationUnmarshaler)
	return value, merry.Wrap(err)
}

// problem returns the error of an answer that is none.
func problem(status int, data []byte) error {
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
