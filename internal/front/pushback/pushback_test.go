package pushback

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestParseRest(t *testing.T) {
	tests := map[string]struct {
		text string
		want time.Duration
	}{
		"seconds":            {"3", 3 * time.Second},
		"a fraction":         {" 0.250 ", 250 * time.Millisecond},
		"a day":              {"86400", maxRest},
		"above any duration": {"1e300", maxRest},
		"zero":               {"0", 0},
		"negative":           {"-1", 0},
		"nothing":            {"", 0},
		"a word":             {"soon", 0},
		"not a number":       {"NaN", 0},
		"an infinite time":   {"Inf", 0},
		"a date":             {"Fri, 31 Dec 2099 23:59:59 GMT", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Check(t, ParseRest(test.text), qt.Equals, test.want) })
	}
}

func FuzzParseRest(f *testing.F) {
	f.Add("3")
	f.Add("1e308")
	f.Add("-Inf")
	f.Fuzz(func(t *testing.T, text string) {
		rest := ParseRest(text)
		qt.Check(t, rest >= 0 && rest <= maxRest, qt.IsTrue)
	})
}
