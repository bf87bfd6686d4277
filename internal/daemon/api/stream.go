package api

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/owner"
	"oxbowslip.dev/oxbowslip/internal/request"
)

const (
	// endMark is the data of the event that ends a complete stream.
	endMark = "[DONE]"
	// maxEventBytes bounds an event in memory.
	maxEventBytes = 256 << 10
	// stallTimeout is how long an engine may send nothing. A healthy engine with a long queue of
	// prompts may send nothing for seconds before the first token.
	stallTimeout = 20 * time.Second
)

// streamRelay relays the events of a stream to the caller. It outlives attempts, so that an attempt
// can continue where the previous one broke off.
type streamRelay struct {
	server  *Server
	w       http.ResponseWriter
	control *http.ResponseController
	caller  *caller
	chunkID string

	// started is set once the response header has been sent to the caller.
	started bool
	tokens  int
	// lastID is the engine's ID of the last event passed on.
	lastID string
	// sentText is the text passed on so far. Another engine needs it to continue the answer.
	sentText strings.Builder
	scratch  []byte
}

func newStreamRelay(s *Server, w http.ResponseWriter, c *caller) *streamRelay {
	return &streamRelay{
		server: s, w: w, control: http.NewResponseController(w), caller: c, chunkID: chatIDPrefix + c.id,
	}
}

// beginAttempt prepares the relay for a new attempt.
func (r *streamRelay) beginAttempt() { r.lastID = "" }

// textSoFar returns the text that was sent to the caller.
func (r *streamRelay) textSoFar() string { return r.sentText.String() }

// copy relays events until the stream ends or breaks off.
func (r *streamRelay) copy(body io.Reader, a *owner.Attempt, watch *httprelay.IdleTimer) owner.Result {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return r.brokenResult(err)
		}
		watch.Reset()
		if event.Data == endMark {
			return r.finish(a)
		}
		if event.Data == "" {
			continue
		}
		if result, ok := r.relayEvent(&event, a); !ok {
			return result
		}
	}
	return r.brokenResult(errors.New("stream ended without its end mark"))
}

func (r *streamRelay) brokenResult(err error) owner.Result {
	return owner.Result{Event: request.EventBroken, CanResume: r.lastID != "", Err: err}
}

// relayEvent validates an event and sends it to the caller. It returns false and the result of the
// attempt if relaying has to stop.
func (r *streamRelay) relayEvent(event *sse.Event, a *owner.Attempt) (owner.Result, bool) {
	chunk := gjson.GetMany(event.Data, "id", "choices.0.delta.content", "error")
	if chunk[2].Exists() {
		return r.engineError(event.Data), false
	}
	if chunk[0].Str != r.chunkID {
		return owner.Result{Event: request.EventWrongAnswer, Err: errors.New("chunk of another request")}, false
	}
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}, false
	}
	if err := r.write(event.Data); err != nil {
		return callerGoneResult(err), false
	}
	r.lastID = event.LastEventID
	if chunk[1].Str != "" {
		r.sentText.WriteString(chunk[1].Str)
		r.tokens++
		a.RecordTokens(r.tokens)
	}
	return owner.Result{}, true
}

// engineError converts an error event of the engine to a result.
func (r *streamRelay) engineError(data string) owner.Result {
	if gjson.Get(data, "error.ran").Str == string(request.RanNo) && !r.started {
		return owner.Result{Event: request.EventNotStarted, Err: errors.New("engine did not start it")}
	}
	return owner.Result{Event: request.EventBroken, Err: errors.New("engine sent an error")}
}

// finish sends the end mark, which is sent nowhere else.
func (r *streamRelay) finish(a *owner.Attempt) owner.Result {
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	if err := r.write(endMark); err != nil {
		return callerGoneResult(err)
	}
	return owner.Result{Event: request.EventWhole}
}

// callerGoneResult distinguishes a caller that stopped reading from one that disconnected.
func callerGoneResult(err error) owner.Result {
	if httprelay.IsTimeout(err) {
		return owner.Result{Event: request.EventCallerGone, Err: owner.ErrSlowCaller}
	}
	return owner.Result{Event: request.EventCallerGone, Err: err}
}

// write sends an event and flushes it. Nothing is buffered for a slow caller: the write blocks, and
// with it the reading of the engine's stream.
func (r *streamRelay) write(data string) error {
	if !r.started {
		header := r.w.Header()
		header.Set("Content-Type", eventType)
		header.Set("Cache-Control", "no-cache")
		header.Set("X-Accel-Buffering", "no")
		r.w.WriteHeader(http.StatusOK)
		r.started = true
	}
	// Test writers don't support deadlines; those of net/http do.
	_ = r.control.SetWriteDeadline(time.Now().Add(r.server.parts.Timeouts.Write))
	r.scratch = append(r.scratch[:0], "data: "...)
	r.scratch = append(r.scratch, data...)
	r.scratch = append(r.scratch, "\n\n"...)
	if _, err := r.w.Write(r.scratch); err != nil {
		return err
	}
	return r.control.Flush()
}

// abort marks the answer as incomplete with an error event, and aborts the transfer.
func (r *streamRelay) abort(refusal *request.Refusal) {
	if data, err := json.Marshal(newErrorBody(r.caller.id, refusal, nil)); err == nil {
		// If the write fails, the caller has disconnected. The connection is aborted below.
		_ = r.write(string(data))
	}
	panic(http.ErrAbortHandler)
}
