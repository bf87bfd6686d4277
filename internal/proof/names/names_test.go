// Package names holds the names of the code to the glossary.
package names

import (
	"go/scanner"
	"go/token"
	"regexp"
	"strings"
	"testing"
	"unicode"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/sources"
)

// withdrawnRow matches a row of the glossary's table of withdrawn words: `word` | instead.
var withdrawnRow = regexp.MustCompile("^\\| `([a-z ]+)` \\|")

// withdrawn reads the words that the glossary withdraws.
func withdrawn(c *qt.C) map[string]bool {
	_, table, found := strings.Cut(sources.Read(c, "docs/glossary.md"), "## Withdrawn")
	c.Assert(found, qt.IsTrue)
	words := make(map[string]bool)
	for line := range strings.Lines(table) {
		if row := withdrawnRow.FindStringSubmatch(line); row != nil {
			words[row[1]] = true
		}
	}
	c.Assert(len(words) > 5, qt.IsTrue)
	return words
}

// wordsOf splits names and sentences into lower-case words: "peerWord" has two.
func wordsOf(text string) []string {
	var words []string
	var word strings.Builder
	flush := func() {
		if word.Len() > 0 {
			words = append(words, strings.ToLower(word.String()))
			word.Reset()
		}
	}
	lower := false
	for _, r := range text {
		if !unicode.IsLetter(r) || (lower && unicode.IsUpper(r)) {
			flush()
		}
		lower = unicode.IsLower(r)
		if unicode.IsLetter(r) {
			word.WriteRune(r)
		}
	}
	flush()
	return words
}

// TestWithdrawnWords fails on a name or comment, in tests too, that uses a word which the glossary withdraws.
// Texts in quotes may: they are encoded or printed, and stay as they are.
func TestWithdrawnWords(t *testing.T) {
	c := qt.New(t)
	words := withdrawn(c)
	for _, folder := range []string{"cmd", "internal", "platform"} {
		for path, source := range sources.ReadAll(t, folder, ".go") {
			// This file has the words as examples.
			if strings.HasSuffix(path, "names_test.go") {
				continue
			}
			checkWords(c, words, path, []byte(source))
		}
	}
}

// checkWords reports the withdrawn words in the names and comments of a file.
func checkWords(c *qt.C, words map[string]bool, path string, source []byte) {
	files := token.NewFileSet()
	file := files.AddFile(path, -1, len(source))
	var s scanner.Scanner
	s.Init(file, source, nil, scanner.ScanComments)
	for pos, kind, text := s.Scan(); kind != token.EOF; pos, kind, text = s.Scan() {
		if kind != token.IDENT && kind != token.COMMENT {
			continue
		}
		for _, word := range wordsOf(text) {
			if words[word] {
				c.Errorf("%s: %q is withdrawn", files.Position(pos), word)
			}
		}
	}
}

func TestWordsOf(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"camel case": {"peerWord", []string{"peer", "word"}},
		"a sentence": {"// A beat, twice.", []string{"a", "beat", "twice"}},
		"initials":   {"maxIDLength", []string{"max", "idlength"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Check(t, wordsOf(test.text), qt.DeepEquals, test.want) })
	}
}
