package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tmaxmax/go-sse"
)

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5,"tools":[{}]}`))
	f.Add([]byte(`{"model":"m","messages":[],"priority":-1,"cache_salt":"x"}`))
	f.Add([]byte(`{"model":"m","Model":"n","messages":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := decodeChat(data)
		if err != nil {
			return
		}
		out, err := body.engineBody(2, "salt", 10, "part ", 1)
		if err != nil {
			// A list with an incomplete value can't be appended to.
			return
		}
		var sent struct {
			Priority  int            `json:"priority"`
			CacheSalt string         `json:"cache_salt"`
			Rest      jsontext.Value `json:",embed"`
		}
		if err := json.Unmarshal(out, &sent); err != nil {
			t.Fatalf("body for the engine is not valid JSON: %v", err)
		}
		if sent.Priority != 2 || sent.CacheSalt != "salt" {
			t.Fatalf("caller's priority or cache salt was passed on to the engine: %s", out)
		}
	})
}

// FuzzEventStream reads streams as the relay does. A stream without its end mark must never count
// as complete.
func FuzzEventStream(f *testing.F) {
	f.Add("id: 1\ndata: {\"id\":\"chatcmpl-x\"}\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]")
	f.Add("data: a\r\ndata: b\r\r: comment\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		done := false
		for event, err := range sse.Read(strings.NewReader(text), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				break
			}
			done = done || event.Data == endMark
		}
		if done && !strings.Contains(text, endMark) {
			t.Fatalf("end mark read from a stream that contains none: %q", text)
		}
	})
}

func TestEngineBody(t *testing.T) {
	tests := map[string]struct {
		body string
		part string
		want string
	}{
		"other members are passed on": {
			body: `{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0.5,"tools":[{"a":1}]}`,
			want: `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":10,"priority":1,"cache_salt":"s","temperature":0.5,"tools":[{"a":1}]}`,
		},
		"caller's priority and salt are replaced": {
			body: `{"model":"m","messages":[],"priority":-9,"cache_salt":"other"}`,
			want: `{"model":"m","messages":[],"max_tokens":10,"priority":1,"cache_salt":"s"}`,
		},
		"partial answer is continued": {
			body: `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`,
			part: "so far ",
			want: `{"model":"m","messages":[{"role":"user","content":"hi"},{"role":"assistant","content":"so far "}],"stream":true,"max_tokens":8,"priority":1,"cache_salt":"s","continue_final_message":true,"add_generation_prompt":false}`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body, err := decodeChat([]byte(test.body))
			c.Assert(err, qt.IsNil)
			done := 0
			if test.part != "" {
				done = 2
			}
			got, err := body.engineBody(1, "s", 10, test.part, done)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, test.want)
		})
	}
}

func TestRequestID(t *testing.T) {
	tests := map[string]struct {
		given string
		kept  bool
	}{
		"none":      {"", false},
		"plain":     {"order-7", true},
		"line feed": {"a\nb", false},
		"too long":  {strings.Repeat("x", 200), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set(HeaderRequestID, test.given)
			id := requestID(r)
			c.Assert(strings.HasPrefix(id, test.given+"."), qt.Equals, test.kept)
			c.Assert(requestID(r), qt.Not(qt.Equals), id)
		})
	}
}
