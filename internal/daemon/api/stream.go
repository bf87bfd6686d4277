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
	// endMark is the data of the event that ends a whole stream.
	endMark = "[DONE]"
	// maxEventBytes bounds one event in memory.
	maxEventBytes = 256 << 10
	// stallTime is how long an engine may send nothing. A healthy engine with a long queue of prompts may be silent for
	// seconds before the first token.
	stallTime = 20 * time.Second
)

// streamRelay passes the events of a stream on to the caller. It outlives the
// attempts, so that a later one can go on where an earlier one broke.
type streamRelay struct {
	server  *Server
	w       http.ResponseWriter
	control *http.ResponseController
	caller  *caller
	chunkID string

	// started is set if the header went to the caller.
	started bool
	tokens  int
	// lastID is the engine's ID of the last event that was passed on.
	lastID string
	// parts is the text passed on so far, needed to continue elsewhere.
	parts   strings.Builder
	scratch []byte
}

func newStreamRelay(s *Server, w http.ResponseWriter, c *caller) *streamRelay {
	return &streamRelay{
		server: s, w: w, control: http.NewResponseController(w), caller: c, chunkID: chatIDPrefix + c.id,
	}
}

// begin readies the relay for a new attempt.
func (r *streamRelay) begin() { r.lastID = "" }

// text is what the caller has got so far.
func (r *streamRelay) text() string { return r.parts.String() }

// copy passes events on until the stream ends or breaks.
func (r *streamRelay) copy(body io.Reader, a *owner.Attempt, watch *httprelay.IdleTimer) owner.Result {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return r.broken(err)
		}
		watch.Reset()
		if event.Data == endMark {
			return r.finish(a)
		}
		if event.Data == "" {
			continue
		}
		if result, ok := r.pass(&event, a); !ok {
			return result
		}
	}
	return r.broken(errors.New("stream ended without its end mark"))
}

func (r *streamRelay) broken(err error) owner.Result {
	return owner.Result{Event: request.EventBroken, CanResume: r.lastID != "", Err: err}
}

// pass checks one event and sends it to the caller.
func (r *streamRelay) pass(event *sse.Event, a *owner.Attempt) (owner.Result, bool) {
	chunk := gjson.GetMany(event.Data, "id", "choices.0.delta.content", "error")
	if chunk[2].Exists() {
		return r.engineFault(event.Data), false
	}
	if chunk[0].Str != r.chunkID {
		return owner.Result{Event: request.EventWrongAnswer, Err: errors.New("chunk of another request")}, false
	}
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}, false
	}
	if err := r.write(event.Data); err != nil {
		return callerLost(err), false
	}
	r.lastID = event.LastEventID
	if chunk[1].Str != "" {
		r.parts.WriteString(chunk[1].Str)
		r.tokens++
		a.RecordTokens(r.tokens)
	}
	return owner.Result{}, true
}

// engineFault is an error that the engine sent inside the stream.
func (r *streamRelay) engineFault(data string) owner.Result {
	if gjson.Get(data, "error.ran").Str == string(request.RanNo) && !r.started {
		return owner.Result{Event: request.EventNotStarted, Err: errors.New("engine did not start it")}
	}
	return owner.Result{Event: request.EventBroken, Err: errors.New("engine sent an error")}
}

// finish sends the end mark. It is sent only here.
func (r *streamRelay) finish(a *owner.Attempt) owner.Result {
	if !a.StartDelivery() {
		return owner.Result{Event: request.EventBroken}
	}
	if err := r.write(endMark); err != nil {
		return callerLost(err)
	}
	return owner.Result{Event: request.EventWhole}
}

// callerLost distinguishes a caller that does not read from one that is gone.
func callerLost(err error) owner.Result {
	if httprelay.IsTimeout(err) {
		return owner.Result{Event: request.EventCallerGone, Err: owner.ErrSlowCaller}
	}
	return owner.Result{Event: request.EventCallerGone, Err: err}
}

// write sends one event and sees to it that it leaves now. What a caller does
// not read is not kept: the write waits, and with it the engine's stream.
func (r *streamRelay) write(data string) error {
	if !r.started {
		header := r.w.Header()
		header.Set("Content-Type", eventType)
		header.Set("Cache-Control", "no-cache")
		header.Set("X-Accel-Buffering", "no")
		r.w.WriteHeader(http.StatusOK)
		r.started = true
	}
	// The writers of tests have no deadlines; those of net/http do.
	_ = r.control.SetWriteDeadline(time.Now().Add(r.server.parts.Timeouts.Write))
	r.scratch = append(r.scratch[:0], "data: "...)
	r.scratch = append(r.scratch, data...)
	r.scratch = append(r.scratch, "\n\n"...)
	if _, err := r.w.Write(r.scratch); err != nil {
		return err
	}
	return r.control.Flush()
}

// breakOff lets the caller see that the answer is not whole: an error event, and
// a transfer that ends without its proper end.
func (r *streamRelay) breakOff(refusal *request.Refusal) {
	if data, err := json.Marshal(newErrorBody(r.caller.id, refusal, nil)); err == nil {
		// A failed write means that the caller is gone; its connection is cut below.
		_ = r.write(string(data))
	}
	panic(http.ErrAbortHandler)
}
