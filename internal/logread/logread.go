// Package logread finds in the saved logs of many hosts what became of one request, and what its hosts
// knew of the endpoints that it met. cmd/oxbowslip uses it when no live host remembers the request. It
// reads lines by their fields; logs of older versions stay readable.
package logread

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/explain"
)

// ErrNotFound means that no line of the logs is about the request.
var ErrNotFound = merry.Sentinel("no line of these logs is about the request")

// Line is a log line of a host, with the fields that are used here.
type Line struct {
	Time  time.Time `json:"time"`
	Level string    `json:"level"`
	Text  string    `json:"msg"`
	Error string    `json:"error"`

	ID        string         `json:"id"`
	Class     string         `json:"class"`
	Workspace string         `json:"workspace"`
	Service   string         `json:"service"`
	Endpoint  string         `json:"endpoint"`
	Reason    string         `json:"reason"`
	Ran       string         `json:"ran"`
	Detail    string         `json:"detail"`
	Revision  uint64         `json:"revision"`
	Tries     int            `json:"tries"`
	TookMS    int            `json:"took_ms"`
	FirstMS   int            `json:"first_ms"`
	PauseMS   int            `json:"pause_ms"`
	Events    int            `json:"events"`
	Steps     []explain.Step `json:"steps"`
	Until     time.Time      `json:"until"`
	State     string         `json:"state"`
	Gone      bool           `json:"gone"`
	// Endpoints is a number or a list, Lapsed a number; they mark lines on the whole directory.
	Endpoints any `json:"endpoints,omitzero"`
	Lapsed    int `json:"lapsed,omitzero"`

	// Source is what stood before the JSON text of the line, such as the name of the
	// host where a collector puts it there.
	Source string `json:"-"`
}

// RequestHistory is what the logs say about a request.
type RequestHistory struct {
	// Request are the lines of the request itself; a caller that came back under
	// the same ID has several.
	Request []Line
	// Around are the lines on the endpoints that it met, from a while before it
	// to its end, and on the store and the settings.
	Around []Line
}

// before is how long before a request lines on its endpoints count. An ejection lasts up to 8 s.
const before = 10 * time.Second

// maxLineBytes bounds a line of a log; one that is longer ends the reading with an error.
const maxLineBytes = 1 << 20

// FindRequest finds the story of a request in logs, one JSON object a line. Other lines are
// passed over.
func FindRequest(logs io.Reader, id string) (RequestHistory, error) {
	lines, err := parse(logs)
	if err != nil {
		return RequestHistory{}, err
	}
	var story RequestHistory
	for i := range lines {
		if lines[i].ID == id {
			story.Request = append(story.Request, lines[i])
		}
	}
	if len(story.Request) == 0 {
		return story, merry.Wrap(ErrNotFound, merry.AppendMessage(id))
	}
	story.Around = around(lines, story.Request)
	return story, nil
}

func parse(logs io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		source, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var line Line
		if json.Unmarshal([]byte("{"+text), &line) != nil {
			continue
		}
		line.Source = strings.TrimSpace(source)
		lines = append(lines, line)
	}
	return lines, merry.Wrap(scanner.Err())
}

// isOfSettings reports whether a line is on the store or the settings. Such lines carry a revision
// and no endpoints, whatever their sentences say; those that older versions wrote without a revision
// are known by their words.
func (l *Line) isOfSettings() bool {
	byFields := l.Revision > 0 && l.Endpoint == "" && l.Endpoints == nil && l.Lapsed == 0
	return byFields || strings.Contains(l.Text, "store") || strings.Contains(l.Text, "in force")
}

// around picks the lines on what the hosts knew while the request ran.
func around(lines, requests []Line) []Line {
	endpoints := make(map[string]bool)
	for _, r := range requests {
		for _, step := range r.Steps {
			endpoints[step.Endpoint] = true
		}
	}
	delete(endpoints, "")
	first := began(&requests[0])
	last := requests[len(requests)-1].Time
	var picked []Line
	for i := range lines {
		line := &lines[i]
		if line.ID != "" || line.Time.Before(first.Add(-before)) || line.Time.After(last.Add(time.Second)) {
			continue
		}
		if endpoints[line.Endpoint] || line.isOfSettings() {
			picked = append(picked, *line)
		}
	}
	slices.SortStableFunc(picked, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return picked
}

// began is when a request arrived. Its line is written at its end.
func began(request *Line) time.Time {
	return request.Time.Add(-time.Duration(request.TookMS) * time.Millisecond)
}
