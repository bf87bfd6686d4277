package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/engine"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxEventBytes bounds an event, and the comments and blank lines between two events; a stream with more counts as
	// broken. Typical events have up to 400 bytes.
	maxEventBytes = 256 << 10
	// eventBufferBytes is the initial buffer of each stream.
	eventBufferBytes = 4 << 10
)

// streamState is the state of a stream across all its attempts.
type streamState struct {
	// isHeadSent is set once the head of the answer has been sent to the caller.
	isHeadSent bool
	// events is the number of events forwarded, lastID the ID of the last one.
	events  int
	lastID  string
	lastAt  time.Time
	firstAt time.Time
	// longestPause is the longest time between two events, unprocessedTokens the number of prompt tokens that the
	// endpoint had yet to process at its end.
	longestPause      time.Duration
	unprocessedTokens int
	// key identifies the stream for hosts that resume it. version is the software version that wrote its events so far; 0
	// if there is none or it is not certain. sentVersion is that of the endpoint of the last attempt when it was sent.
	key         keys.Stream
	version     keys.Version
	sentVersion string
	// isRecorded is set once this host has recorded the origin of the stream.
	isRecorded bool
}

// summary returns the observations of the stream.
func (s *streamState) summary() engine.Stream {
	return engine.Stream{
		Events: s.events, Duration: s.lastAt.Sub(s.firstAt), LongestPause: s.longestPause, UnreadBeside: s.unprocessedTokens,
	}
}

// relayStream forwards complete events until the stream ends or breaks. It blocks while the caller does not read.
func (x *exchange) relayStream(ctx context.Context, a *owner.Attempt, answer *upstream.Answer, watch *silenceWatch) owner.Result {
	scanner := bufio.NewScanner(answer)
	scanner.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	scanner.Split(splitEvents)
	isFirst := true
	withoutEvent := 0
	for scanner.Scan() {
		x.countRun()
		event := scanner.Bytes()
		if !isEvent(event) {
			if withoutEvent += len(event); withoutEvent > maxEventBytes {
				return x.breakStream(ctx, a, bufio.ErrTooLong)
			}
			// Comments and blank lines are no progress: an endpoint may send them for ever. Before the first event they
			// are dropped, so that another endpoint may still answer.
			if isFirst {
				continue
			}
			watch.pause()
			result := x.forward(event)
			watch.resume()
			if result != nil {
				return *result
			}
			continue
		}
		withoutEvent = 0
		if !x.stream.isNext(eventID(event)) {
			watch.recordData()
			continue
		}
		if isFirst && !x.confirmVersion(a) {
			return owner.Result{Event: request.EventBroken, Err: errVersionChanged}
		}
		isFirst = false
		watch.recordEvent()
		result := x.forwardEvent(a, answer, event)
		watch.resume()
		if result != nil {
			return *result
		}
	}
	if err := scanner.Err(); err != nil {
		return x.breakStream(ctx, a, err)
	}
	x.reportAnswered(a)
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	x.sendHead(answer)
	return owner.Result{Event: request.EventWhole}
}

// breakStream reports a stream that its endpoint broke, and returns the result of the attempt.
func (x *exchange) breakStream(ctx context.Context, a *owner.Attempt, err error) owner.Result {
	x.reportFailure(ctx, a, err)
	x.reportBroken(ctx, a, err, true)
	return owner.Result{Event: request.EventBroken, EndpointEnded: x.hasEnded(ctx, a), Err: err}
}

// forwardEvent sends an event to the caller. It returns a result if the attempt has ended.
func (x *exchange) forwardEvent(a *owner.Attempt, answer *upstream.Answer, event []byte) *owner.Result {
	if !a.StartDelivery() {
		return &owner.Result{Event: request.EventBroken}
	}
	x.sendHead(answer)
	if result := x.forward(event); result != nil {
		return result
	}
	if x.stream.recordEvent(x.server.parts.Clock.Now(), eventID(event)) {
		x.stream.unprocessedTokens = x.server.parts.Health.UnprocessedTokens(a.EndpointID)
	}
	a.RecordTokens(x.stream.events)
	return nil
}

// forward sends a part of a stream whose head has been sent. It returns a result if the attempt has ended.
func (x *exchange) forward(part []byte) *owner.Result {
	control := http.NewResponseController(x.w)
	// Writers of net/http support deadlines; those of tests do not.
	_ = control.SetWriteDeadline(time.Now().Add(x.server.parts.Timeouts.Write))
	if _, err := x.w.Write(part); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	if err := control.Flush(); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	return nil
}

// isEvent reports whether a part of a stream has a field, and not only comments and blank lines.
func isEvent(part []byte) bool {
	for line := range bytes.Lines(part) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// sendHead sends the head of the answer, once. An answer that another endpoint resumes keeps the head of the first
// endpoint.
func (x *exchange) sendHead(answer *upstream.Answer) {
	if x.stream.isHeadSent {
		return
	}
	x.stream.isHeadSent = true
	httprelay.CopyHeader(x.w.Header(), answer.Header)
	x.w.WriteHeader(answer.Status)
}

// recordEvent records an event that was sent to the caller. It reports whether the pause before it is the longest so
// far.
func (s *streamState) recordEvent(now time.Time, id string) bool {
	longest := false
	if s.events == 0 {
		s.firstAt = now
	} else if pause := now.Sub(s.lastAt); pause > s.longestPause {
		s.longestPause = pause
		longest = true
	}
	s.events++
	s.lastAt = now
	if id != "" {
		s.lastID = id
	}
	return longest
}

// isNext reports whether an event follows the last one that was forwarded. Endpoints number their events in ascending
// order; an event without a number always follows.
func (s *streamState) isNext(id string) bool {
	last, lastErr := strconv.ParseUint(s.lastID, 10, 64)
	this, thisErr := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || thisErr != nil {
		return true
	}
	return this > last
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// errNoStream is the error of an answer to a resumed stream that is none, such as an endpoint's own error.
var errNoStream = errors.New("the endpoint answered a resumed stream with something else")

// errTruncatedEvent is the error of a stream that ended within an event.
var errTruncatedEvent = errors.New("the stream ended inside an event")

// splitEvents is a bufio.SplitFunc that returns complete events as on the wire, including the blank line.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, end); i >= 0 {
			return i + len(end), data[:i+len(end)], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTruncatedEvent
	}
	return 0, nil, nil
}
