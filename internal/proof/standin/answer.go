package standin

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// answerText is the answer to a prompt. Each word contains a hash of the prompt and the word's index, so that missing,
// repeated and misdirected words can be detected.
type answerText struct {
	tag string
}

// answerTag returns the tag of a prompt's answer. The prompt is the raw JSON of the messages, without a partial answer
// that the engine is to continue.
func answerTag(messages []byte) string {
	hash := fnv.New32a()
	hash.Write(messages)
	return fmt.Sprintf("%08x", hash.Sum32())
}

// word returns the n-th word, starting from 1.
func (a answerText) word(n int) string { return a.tag + "." + strconv.Itoa(n) + " " }

// Answer returns the complete answer to a prompt, with the given number of words.
func Answer(messages []byte, words int) string {
	text := answerText{tag: answerTag(messages)}
	var b strings.Builder
	for n := 1; n <= words; n++ {
		b.WriteString(text.word(n))
	}
	return b.String()
}

// lengthMarker lets a prompt set the length of its answer. With a real model, the length depends on the prompt as well.
var lengthMarker = regexp.MustCompile(`answer_tokens=([0-9]+)`)

// Answers to prompts without a length marker have minAnswerTokens to minAnswerTokens + answerTokensSpan - 1 words.
const (
	minAnswerTokens  = 16
	answerTokensSpan = 112
)

// answerLength returns the number of words in a prompt's answer. A bound of 0 means no bound.
func answerLength(messages []byte, bound int) int {
	length := 0
	if found := lengthMarker.FindSubmatch(messages); found != nil {
		// The pattern matches only digits. Atoi returns the largest int for a number out of range.
		length, _ = strconv.Atoi(string(found[1]))
	}
	if length == 0 {
		hash := fnv.New32a()
		hash.Write(messages)
		length = minAnswerTokens + int(hash.Sum32()%answerTokensSpan)
	}
	if bound > 0 {
		length = min(length, bound)
	}
	return max(1, length)
}

// chatRequest holds the fields of a chat request that the stand-in uses.
type chatRequest struct {
	Model                string           `json:"model"`
	Messages             []jsontext.Value `json:"messages"`
	Stream               bool             `json:"stream"`
	MaxTokens            int              `json:"max_tokens"`
	Priority             int              `json:"priority"`
	CacheSalt            string           `json:"cache_salt"`
	ContinueFinalMessage bool             `json:"continue_final_message"`
	Rest                 jsontext.Value   `json:",embed"`
}

type chatMessage struct {
	Role    string         `json:"role"`
	Content string         `json:"content"`
	Rest    jsontext.Value `json:",embed"`
}

// splitPrompt removes a partial answer from the end of the messages. It returns the prompt and the number of words in
// the partial answer.
func (r *chatRequest) splitPrompt() ([]byte, int, error) {
	messages := r.Messages
	partial := 0
	if r.ContinueFinalMessage && len(messages) > 0 {
		var last chatMessage
		if err := json.Unmarshal(messages[len(messages)-1], &last); err != nil {
			return nil, 0, err
		}
		partial = len(strings.Fields(last.Content))
		messages = messages[:len(messages)-1]
	}
	prompt, err := json.Marshal(messages)
	return prompt, partial, err
}
