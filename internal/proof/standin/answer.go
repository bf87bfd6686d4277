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

// answerText is the answer of a stand-in to a prompt: words that carry
// a tag made from the prompt and their place, so that a missing, doubled or
// foreign word shows.
type answerText struct {
	tag string
}

// AnswerTag returns the tag of a prompt's answer. The prompt is the raw JSON of
// the messages, without a part of an answer to go on from.
func answerTag(messages []byte) string {
	hash := fnv.New32a()
	hash.Write(messages)
	return fmt.Sprintf("%08x", hash.Sum32())
}

// word returns the n-th word, counted from 1.
func (a answerText) word(n int) string { return a.tag + "." + strconv.Itoa(n) + " " }

// Answer returns the whole answer of so many words to a prompt.
func Answer(messages []byte, words int) string {
	text := answerText{tag: answerTag(messages)}
	var b strings.Builder
	for n := 1; n <= words; n++ {
		b.WriteString(text.word(n))
	}
	return b.String()
}

// lengthMark lets a caller choose the length of the answer, as a real prompt
// does without saying so.
var lengthMark = regexp.MustCompile(`answer_tokens=([0-9]+)`)

// The lengths of answers to prompts without a mark.
const (
	leastAnswer = 16
	answerSpan  = 112
)

// answerLength returns the number of words of a prompt's answer.
func answerLength(messages []byte, bound int) int {
	length := 0
	if found := lengthMark.FindSubmatch(messages); found != nil {
		// The pattern allows digits only; a number that is too large is bounded.
		length, _ = strconv.Atoi(string(found[1]))
	}
	if length == 0 {
		hash := fnv.New32a()
		hash.Write(messages)
		length = leastAnswer + int(hash.Sum32()%answerSpan)
	}
	if bound > 0 {
		length = min(length, bound)
	}
	return max(1, length)
}

// chatRequest is what the stand-in reads of a chat request.
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

// split removes a part of an answer off the end of the messages. It returns the
// prompt and the number of words of the part.
func (r *chatRequest) split() ([]byte, int, error) {
	messages := r.Messages
	done := 0
	if r.ContinueFinalMessage && len(messages) > 0 {
		var last chatMessage
		if err := json.Unmarshal(messages[len(messages)-1], &last); err != nil {
			return nil, 0, err
		}
		done = len(strings.Fields(last.Content))
		messages = messages[:len(messages)-1]
	}
	prompt, err := json.Marshal(messages)
	return prompt, done, err
}
