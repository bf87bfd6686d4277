// Package logread extracts the history of one request from the saved logs of many hosts, together with
// the lines on its endpoints, the store and the settings. cmd/oxbowslip uses it for requests whose
// records no live host stores any longer. It interprets lines by their fields and continues to read the
// logs of older versions. It owns no state.
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

// ErrNotFound means that the logs contain no line on the request.
var ErrNotFound = merry.Sentinel("the logs contain no line on the request")

// Line is a log line of a host, with the fields that this package uses.
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
	// Endpoints is a number or a list, Lapsed is a number. Lines on the whole directory have one of them.
	Endpoints any `json:"endpoints,omitzero"`
	Lapsed    int `json:"lapsed,omitzero"`

	// Source is the text before the JSON object of the line, such as the name of the
	// host that a log collector adds.
	Source string `json:"-"`
}

// RequestHistory holds the lines of the logs that concern a request.
type RequestHistory struct {
	// Request are the lines of the request itself. There are several if the caller
	// sent further requests with the same ID.
	Request []Line
	// Around are the lines on its endpoints, the workspaces over their share of its
	// service, the store and the settings, from contextBefore before the request to its end.
	Around []Line
}

// contextBefore is the time before a request from which context lines are selected. An ejection lasts up to 8 s.
const contextBefore = 10 * time.Second

// shareContextBefore is the same time for lines on shares: workspaces may be over their share for longer.
const shareContextBefore = time.Minute

// maxLineBytes limits the length of a log line. Reading fails at a longer line.
const maxLineBytes = 1 << 20

// FindRequest returns the history of a request from logs with one JSON object per line. It
// ignores other lines.
func FindRequest(logs io.Reader, id string) (RequestHistory, error) {
	lines, err := parseLines(logs)
	if err != nil {
		return RequestHistory{}, err
	}
	var history RequestHistory
	for i := range lines {
		if lines[i].ID == id {
			history.Request = append(history.Request, lines[i])
		}
	}
	if len(history.Request) == 0 {
		return history, merry.Wrap(ErrNotFound, merry.AppendMessage(id))
	}
	history.Around = selectContext(lines, history.Request)
	return history, nil
}

func parseLines(logs io.Reader) ([]Line, error) {
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

// isAboutSettings reports whether a line concerns the store or the settings. Such lines have a revision
// and no fields on endpoints. Older versions wrote lines without a revision; those are identified by
// their message.
func (l *Line) isAboutSettings() bool {
	byFields := l.Revision > 0 && l.Endpoint == "" && l.Endpoints == nil && l.Lapsed == 0
	return byFields || strings.Contains(l.Text, "store") || strings.Contains(l.Text, "in force")
}

// isAboutShares reports whether a line says that a workspace is over its share of the service of a request, or is back.
func (l *Line) isAboutShares(request *Line) bool {
	return l.Service == request.Service && strings.Contains(l.Text, "its share")
}

// selectContext returns the lines on the endpoints, the shares, the store and the settings around the time of the
// requests.
func selectContext(lines, requests []Line) []Line {
	endpoints := make(map[string]bool)
	for _, r := range requests {
		for _, step := range r.Steps {
			endpoints[step.Endpoint] = true
		}
	}
	delete(endpoints, "")
	start := arrivalTime(&requests[0])
	end := requests[len(requests)-1].Time
	var selected []Line
	for i := range lines {
		line := &lines[i]
		before := contextBefore
		if line.isAboutShares(&requests[0]) {
			before = shareContextBefore
		}
		if line.ID != "" || line.Time.Before(start.Add(-before)) || line.Time.After(end.Add(time.Second)) {
			continue
		}
		if endpoints[line.Endpoint] || line.isAboutSettings() || line.isAboutShares(&requests[0]) {
			selected = append(selected, *line)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return selected
}

// arrivalTime returns the time at which a request arrived. The line is logged when the request ends.
func arrivalTime(request *Line) time.Time {
	return request.Time.Add(-time.Duration(request.TookMS) * time.Millisecond)
}
