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
	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// maxEventBytes bounds one event; a stream with a larger one counts as broken. Events of the users have up to 400
	// bytes.
	maxEventBytes = 256 << 10
	// eventBuffer is the buffer that is allocated for each stream.
	eventBuffer = 4 << 10
)

// streamState is what is known of a stream over all its attempts.
type streamState struct {
	// started is set once the head went to the caller.
	started bool
	// events is the number of events that were passed on, lastID the ID of the last.
	events  int
	lastID  string
	lastAt  time.Time
	firstAt time.Time
	// longestPause is the longest time between two events, and beside the prompt tokens that the
	// endpoint had to read when it ended.
	longestPause time.Duration
	beside       int
}

// observed returns what was seen of the stream.
func (s *streamState) observed() engine.Stream {
	return engine.Stream{
		Events: s.events, Duration: s.lastAt.Sub(s.firstAt), LongestPause: s.longestPause, UnreadBeside: s.beside,
	}
}

// relayStream passes whole events on until the stream ends or breaks. It blocks while the
// caller does not read.
func (x *exchange) relayStream(ctx context.Context, a *owner.Attempt, answer *upstream.Answer, watch *httprelay.IdleTimer) owner.Result {
	scanner := bufio.NewScanner(answer)
	scanner.Buffer(make([]byte, 0, eventBuffer), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		watch.Reset()
		x.began()
		event := scanner.Bytes()
		if !x.stream.isNext(eventID(event)) {
			continue
		}
		if result := x.passOn(a, answer, event); result != nil {
			return *result
		}
	}
	if err := scanner.Err(); err != nil {
		x.failed(ctx, a, err)
		x.broke(ctx, a, true)
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	x.answered(a)
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	x.begin(answer)
	return owner.Result{Event: request.EventWhole}
}

// passOn sends one event to the caller. It returns a result if the attempt is over.
func (x *exchange) passOn(a *owner.Attempt, answer *upstream.Answer, event []byte) *owner.Result {
	if !a.StartDelivery() {
		return &owner.Result{Event: request.EventBroken}
	}
	x.begin(answer)
	control := http.NewResponseController(x.w)
	// The writers of tests have no deadlines; those of net/http do.
	_ = control.SetWriteDeadline(time.Now().Add(x.server.parts.Timeouts.Write))
	if _, err := x.w.Write(event); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	if err := control.Flush(); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	if x.stream.passed(x.server.parts.Clock.Now(), eventID(event)) {
		x.stream.beside = x.server.parts.Health.UnprocessedTokens(a.EndpointID)
	}
	a.RecordTokens(x.stream.events)
	return nil
}

// begin sends the head of the answer, once: an answer that is resumed elsewhere keeps the head
// of the endpoint that began it.
func (x *exchange) begin(answer *upstream.Answer) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	httprelay.CopyHeader(x.w.Header(), answer.Header)
	x.w.WriteHeader(answer.Status)
}

// passed counts an event that went to the caller, and reports whether the pause before it was the
// longest.
func (s *streamState) passed(now time.Time, id string) bool {
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

// isNext reports whether an event follows the last one that was passed on. Endpoints number
// events upwards; an event without a number always does.
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

// errCutEvent is the error of a stream that ended inside an event.
var errCutEvent = errors.New("the stream ended inside an event")

// splitEvents is a bufio.SplitFunc that returns whole events with their blank line, as they are
// on the wire.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, end); i >= 0 {
			return i + len(end), data[:i+len(end)], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errCutEvent
	}
	return 0, nil, nil
}
