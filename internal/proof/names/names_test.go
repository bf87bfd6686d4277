// Package names checks that names and comments in the code follow the glossary.
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

// withdrawnRow matches a row of the glossary's table of withdrawn words: | `word` | replacement |.
var withdrawnRow = regexp.MustCompile("^\\| `([a-z ]+)` \\|")

// readWithdrawnWords reads the withdrawn words from the glossary.
func readWithdrawnWords(c *qt.C) map[string]bool {
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

// splitWords splits names and sentences into lower-case words: "peerWord" gives "peer" and
// "word".
func splitWords(text string) []string {
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

// TestWithdrawnWords checks that no name or comment, in tests too, uses a word that the glossary withdraws. String
// literals are not checked, because they may be encoded or printed and must stay as they are.
func TestWithdrawnWords(t *testing.T) {
	c := qt.New(t)
	words := readWithdrawnWords(c)
	for _, folder := range []string{"cmd", "internal", "platform"} {
		for path, source := range sources.ReadAll(t, folder, ".go") {
			// This file uses withdrawn words as examples.
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
		for _, word := range splitWords(text) {
			if words[word] {
				c.Errorf("%s: %q is withdrawn by the glossary", files.Position(pos), word)
			}
		}
	}
}

func TestSplitWords(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"camel case": {"peerWord", []string{"peer", "word"}},
		"a sentence": {"// A beat, twice.", []string{"a", "beat", "twice"}},
		"initials":   {"maxIDLength", []string{"max", "idlength"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Check(t, splitWords(test.text), qt.DeepEquals, test.want) })
	}
}
