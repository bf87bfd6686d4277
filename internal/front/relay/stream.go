package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/upstream"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	maxEventBytes   = 256 << 10
	firstEventBytes = 4 << 10
)

// eventRelay is what is known of a stream over all its attempts.
type eventRelay struct {
	// started says that the head went to the caller.
	started bool
	events  int
	// lastID is the ID of the last event that was passed on.
	lastID string
	lastAt time.Time
	// longest is the longest pause between two events.
	longest time.Duration
}

// relayStream passes whole events on until the stream ends or breaks.
func (x *exchange) relayStream(ctx context.Context, a *owner.Attempt, answer *upstream.Answer, watch *httprelay.SilenceWatch) owner.Result {
	scanner := bufio.NewScanner(answer)
	scanner.Buffer(make([]byte, 0, firstEventBytes), maxEventBytes)
	scanner.Split(splitEvents)
	for scanner.Scan() {
		watch.Reset()
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
		return owner.Result{Event: request.EventBroken, Err: err}
	}
	x.server.Health.Answered(a.EndpointID)
	if !a.Deliver() {
		return owner.Result{Event: request.EventBroken}
	}
	x.begin(answer)
	return owner.Result{Event: request.EventWhole}
}

// passOn sends one event to the caller. It gives a result if the attempt is over.
func (x *exchange) passOn(a *owner.Attempt, answer *upstream.Answer, event []byte) *owner.Result {
	if !a.Deliver() {
		return &owner.Result{Event: request.EventBroken}
	}
	x.begin(answer)
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(x.server.Timeouts.Write))
	if _, err := x.w.Write(event); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	if err := control.Flush(); err != nil {
		return &owner.Result{Event: request.EventCallerGone, Err: err}
	}
	x.stream.passed(x.server.Clock(), eventID(event))
	a.Tokens(x.stream.events)
	return nil
}

// begin sends the head of the answer, once: an answer that is resumed elsewhere
// keeps the head of the endpoint that began it.
func (x *exchange) begin(answer *upstream.Answer) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	httprelay.CopyHeader(x.w.Header(), answer.Header)
	x.w.WriteHeader(answer.Status)
}

func (s *eventRelay) passed(now time.Time, id string) {
	if s.events > 0 {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.events++
	s.lastAt = now
	if id != "" {
		s.lastID = id
	}
}

// isNext reports whether an event with an ID follows the last one. Endpoints
// number events upwards; one that was passed on before is not passed on again.
func (s *eventRelay) isNext(id string) bool {
	last, lastErr := strconv.ParseUint(s.lastID, 10, 64)
	this, thisErr := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || thisErr != nil {
		return true
	}
	return this > last
}

// eventID gives the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// errCutEvent says that a stream ended inside an event.
var errCutEvent = errors.New("the stream ended inside an event")

// splitEvents is a bufio.SplitFunc that gives whole events with their blank line,
// as they are on the wire.
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
