package api

import (
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// chatBody holds the members of a chat request that the router reads or sets. Other members are
// passed on unchanged. A duplicate member is an error, since the router and the engine might use
// different values of it.
type chatBody struct {
	Model               string         `json:"model"`
	Messages            jsontext.Value `json:"messages"`
	Stream              bool           `json:"stream,omitzero"`
	MaxTokens           *int           `json:"max_tokens,omitzero"`
	MaxCompletionTokens *int           `json:"max_completion_tokens,omitzero"`
	// The router sets these for the engine, replacing the caller's values.
	Priority             *int           `json:"priority,omitzero"`
	CacheSalt            string         `json:"cache_salt,omitzero"`
	ContinueFinalMessage bool           `json:"continue_final_message,omitzero"`
	AddGenerationPrompt  *bool          `json:"add_generation_prompt,omitzero"`
	Rest                 jsontext.Value `json:",embed"`
}

// message is a chat message that the router appends to continue from a partial answer.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// decodeChat decodes and validates a caller's body. The error describes the first problem.
func decodeChat(data []byte) (*chatBody, error) {
	body := new(chatBody)
	if err := json.Unmarshal(data, body); err != nil {
		return nil, err
	}
	if body.Model == "" {
		return nil, fmt.Errorf(`"model" is missing`)
	}
	if body.Messages.Kind() != '[' {
		return nil, fmt.Errorf(`"messages" must be a list`)
	}
	for _, n := range []*int{body.MaxTokens, body.MaxCompletionTokens} {
		if n != nil && *n < 1 {
			return nil, fmt.Errorf("the bound on the answer's tokens must be at least 1")
		}
	}
	return body, nil
}

// maxTokens returns the smallest of the caller's bounds on the answer and the bound of the class.
func (b *chatBody) maxTokens(bound int) int {
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n != nil {
			bound = min(bound, *n)
		}
	}
	return bound
}

// engineBody encodes the body for an engine. If there is a partial answer, it asks the engine to
// continue from it.
func (b *chatBody) engineBody(priority int, salt string, maxTokens int, partial string, partialTokens int) ([]byte, error) {
	out := *b
	out.Priority = &priority
	out.CacheSalt = salt
	left := max(1, maxTokens-partialTokens)
	out.MaxTokens = &left
	out.MaxCompletionTokens = nil
	out.ContinueFinalMessage = false
	out.AddGenerationPrompt = nil
	if partial != "" {
		messages, err := appendMessage(b.Messages, message{Role: "assistant", Content: partial})
		if err != nil {
			return nil, err
		}
		no := false
		out.Messages = messages
		out.ContinueFinalMessage = true
		out.AddGenerationPrompt = &no
	}
	return json.Marshal(&out)
}

func appendMessage(messages jsontext.Value, m message) (jsontext.Value, error) {
	var list []jsontext.Value
	if err := json.Unmarshal(messages, &list); err != nil {
		return nil, err
	}
	last, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return json.Marshal(append(list, last))
}
