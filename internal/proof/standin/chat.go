package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/daemon/prefix"
	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/proof/emulator"
)

const (
	maxRequestBytes = 64 << 20
	endMark         = "[DONE]"
)

// Chunk is an event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice is the part of a chunk that carries text.
type ChunkChoice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitzero"`
}

// Delta is the text added by a chunk.
type Delta struct {
	Content string `json:"content,omitzero"`
}

// Completion is a non-streaming answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the text of a non-streaming answer.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// CompletionMessage is the assistant's message.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// engineError is an error answer. Ran is "no" if the engine did not start the request.
type engineError struct {
	Error engineErrorDetail `json:"error"`
}

type engineErrorDetail struct {
	Message string `json:"message"`
	Ran     string `json:"ran,omitzero"`
}

// chat handles a chat request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	var body chatRequest
	if err := json.Unmarshal(data, &body); err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	prompt, partial, err := body.splitPrompt()
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, engineError{engineErrorDetail{Message: err.Error()}})
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	faults := e.faults
	refused := faults.Refuse || (partial > 0 && !e.config.CanContinue)
	if !refused {
		e.submit(id, &body, prompt, partial)
	}
	s := e.streams[id]
	e.mu.Unlock()
	if refused {
		httprelay.WriteJSON(w, http.StatusServiceUnavailable, engineError{engineErrorDetail{Message: "not taking requests", Ran: "no"}})
		return
	}
	if faults.DropAfterReading {
		panic(http.ErrAbortHandler)
	}
	defer e.releaseStream(r, id, s)
	if body.Stream {
		e.writeStream(w, r, s, partial, faults)
		return
	}
	e.writeCompletion(w, r, s, len(prompt), faults)
}

// submit starts a request in the model. The caller must hold the lock.
func (e *Engine) submit(id string, body *chatRequest, prompt []byte, partial int) {
	e.executions[id]++
	e.lastStart = time.Now()
	e.streams[id] = newStream(id, answerText{tag: answerTag(prompt)}, partial)
	bound := body.MaxTokens
	if bound > 0 {
		bound += partial
	}
	e.model.Submit(time.Now(), emulator.Request{
		ID:            id,
		Priority:      body.Priority,
		PromptTokens:  prefix.Tokens(prompt),
		AnswerTokens:  answerLength(prompt, bound),
		Prefix:        prefix.Hashes(body.CacheSalt, prompt),
		PartialTokens: partial,
	})
	e.wakeModel()
}

// releaseStream cancels a request whose caller closed the connection. If the stand-in aborted the connection, the
// request continues and its stream can be resumed.
func (e *Engine) releaseStream(r *http.Request, id string, s *stream) {
	if r.Context().Err() == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] != s {
		return
	}
	if _, state, _ := s.snapshot(); state == streamOpen {
		e.model.Cancel(id)
		delete(e.streams, id)
	}
}

// writeStream sends the events of a stream, starting after word number sent.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, sent int, faults EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	id := s.id
	if faults.WrongID {
		id = "another"
	}
	start := sent
	var buffer []byte
	for {
		tokens, state, changed := s.snapshot()
		for sent < tokens {
			sent++
			last := state == streamComplete && sent == tokens
			buffer = e.appendChunk(buffer[:0], id, s.text.word(sent), sent, last)
			if _, err := w.Write(buffer); err != nil {
				return
			}
			if faults.BreakAfter > 0 && sent-start >= faults.BreakAfter {
				// Sends the buffered events before the connection is aborted.
				_ = control.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if !e.continueStream(w, state) {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// continueStream ends the answer of a complete or lost stream. It reports whether the stream continues.
func (e *Engine) continueStream(w http.ResponseWriter, state streamState) bool {
	switch state {
	case streamComplete:
		// The error is ignored: the caller may have closed the connection.
		_, _ = io.WriteString(w, "data: "+endMark+"\n\n")
		return false
	case streamLost:
		panic(http.ErrAbortHandler)
	}
	return true
}

// appendChunk appends the n-th word of an answer as an event.
func (e *Engine) appendChunk(buffer []byte, id, word string, n int, last bool) []byte {
	chunk := Chunk{
		ID: "chatcmpl-" + id, Object: "chat.completion.chunk", Model: e.config.Model,
		Choices: []ChunkChoice{{Delta: Delta{Content: word}}},
	}
	if last {
		chunk.Choices[0].FinishReason = "stop"
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(n), 10)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

// writeCompletion waits for the complete answer and sends it.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *stream, promptBytes int, faults EngineFaults) {
	for {
		tokens, state, changed := s.snapshot()
		switch state {
		case streamComplete:
			e.sendCompletion(w, s, tokens, promptBytes, faults)
			return
		case streamLost:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) sendCompletion(w http.ResponseWriter, s *stream, tokens, promptBytes int, faults EngineFaults) {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		text.WriteString(s.text.word(n))
	}
	id := s.id
	if faults.WrongID {
		id = "another"
	}
	answer := Completion{
		ID: "chatcmpl-" + id, Object: "chat.completion", Model: e.config.Model,
		Choices: []CompletionChoice{{
			Message:      CompletionMessage{Role: "assistant", Content: text.String()},
			FinishReason: "stop",
		}},
		Usage: Usage{PromptTokens: promptBytes / prefix.BytesPerToken, CompletionTokens: tokens},
	}
	if !faults.CutAnswer {
		httprelay.WriteJSON(w, http.StatusOK, answer)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// The body is shorter than its Content-Length, so the server closes the connection.
	_, _ = w.Write(data[:len(data)/2])
}

// resume sends the events of a stream after the last event that the caller received.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[mux.Vars(r)["id"]]
	faults := e.faults
	e.mu.Unlock()
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if !ok || err != nil {
		httprelay.WriteJSON(w, http.StatusNotFound, engineError{engineErrorDetail{Message: "no such stream"}})
		return
	}
	defer e.releaseStream(r, s.id, s)
	e.writeStream(w, r, s, after, faults)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	httprelay.WriteJSON(w, http.StatusOK, modelList{Object: "list", Data: []modelInfo{{ID: e.config.Model, Object: "model"}}})
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}
