// Package pages holds README and docs/ to the code.
package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/sources"
)

// pages returns the text of README, CHANGELOG and all pages below docs/, by path from the root.
func pages(t *testing.T) map[string]string {
	texts := sources.ReadAll(t, "docs", ".md")
	for _, path := range []string{"README.md", "CHANGELOG.md"} {
		texts[path] = sources.Read(t, path)
	}
	return texts
}

// code returns the text of all Go files, tests included.
func code(t *testing.T) string {
	var all strings.Builder
	for _, text := range sources.ReadAll(t, ".", ".go") {
		all.WriteString(text)
	}
	return all.String()
}

var (
	link    = regexp.MustCompile(`\]\(([^)#]*)(?:#([^)]*))?\)`)
	heading = regexp.MustCompile(`(?m)^#+ (.*)$`)
	notSlug = regexp.MustCompile(`[^a-z0-9 -]`)
)

// slugs returns the anchors of a page's headings.
func slugs(text string) map[string]bool {
	anchors := make(map[string]bool)
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		anchors[strings.ReplaceAll(notSlug.ReplaceAllString(strings.ToLower(match[1]), ""), " ", "-")] = true
	}
	return anchors
}

// TestLinks checks that each relative link leads to a file, and to a heading of it.
func TestLinks(t *testing.T) {
	c := qt.New(t)
	all := pages(t)
	for path, text := range all {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			target := path
			if match[1] != "" {
				target = filepath.Join(filepath.Dir(path), match[1])
			}
			_, err := os.Stat(filepath.Join(sources.Root(t), target))
			c.Check(err, qt.IsNil, qt.Commentf("%s links to %s", path, match[1]))
			if match[2] != "" {
				c.Check(slugs(all[target])[match[2]], qt.IsTrue, qt.Commentf("%s links to %s#%s", path, match[1], match[2]))
			}
		}
	}
}

// goPath matches a path of this module in a command or between backticks.
var goPath = regexp.MustCompile("(?:^|[\\s`(])(\\./)?((?:internal|platform|cmd|examples|deploy|traces)/[A-Za-z0-9_./-]*[A-Za-z0-9_])")

// TestPaths checks that files and packages that the pages name exist. The history, CHANGELOG and
// incidents, is left out.
func TestPaths(t *testing.T) {
	c := qt.New(t)
	for path, text := range pages(t) {
		if path == "CHANGELOG.md" || strings.Contains(path, "incidents") {
			continue
		}
		for _, match := range goPath.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(sources.Root(t), match[2]))
			c.Check(err, qt.IsNil, qt.Commentf("%s names %s", path, match[2]))
		}
	}
}

var testName = regexp.MustCompile("`(Test[A-Z]\\w+)`")

// TestTests checks that the tests that the pages name exist.
func TestTests(t *testing.T) {
	c := qt.New(t)
	goCode := code(t)
	for path, text := range pages(t) {
		for _, match := range testName.FindAllStringSubmatch(text, -1) {
			c.Check(strings.Contains(goCode, "func "+match[1]+"("), qt.IsTrue, qt.Commentf("%s names %s", path, match[1]))
		}
	}
}

// logLine matches a log line with the prefix of its part between backticks.
var logLine = regexp.MustCompile("`(?:settings|endpoints|peers|host|request|log): ([a-z' ]+?)`")

// TestLogLines checks that the log lines that operators are told to look for are in the code.
func TestLogLines(t *testing.T) {
	c := qt.New(t)
	goCode := code(t)
	found := 0
	for path, text := range pages(t) {
		if strings.Contains(path, "incidents") || path == "CHANGELOG.md" {
			continue
		}
		for _, match := range logLine.FindAllStringSubmatch(text, -1) {
			found++
			c.Check(strings.Contains(goCode, `"`+match[1]) || strings.Contains(goCode, match[1]+`"`), qt.IsTrue, qt.Commentf("%s names the line %q", path, match[1]))
		}
	}
	c.Check(found > 5, qt.IsTrue)
}

var (
	makeCommand = regexp.MustCompile("(?m)(?:^|`)make ([a-z-]+)")
	makeTarget  = regexp.MustCompile(`(?m)^([a-z-]+):`)
)

// TestMakeTargets checks that the targets that the pages name are in the Makefile, and that a page
// names each.
func TestMakeTargets(t *testing.T) {
	c := qt.New(t)
	named := make(map[string]bool)
	for _, match := range makeTarget.FindAllStringSubmatch(sources.Read(t, "Makefile"), -1) {
		named[match[1]] = false
	}
	for path, text := range pages(t) {
		for _, match := range makeCommand.FindAllStringSubmatch(text, -1) {
			_, ok := named[match[1]]
			c.Check(ok, qt.IsTrue, qt.Commentf("%s names make %s", path, match[1]))
			named[match[1]] = true
		}
	}
	for target, ok := range named {
		c.Check(ok, qt.IsTrue, qt.Commentf("no page names make %s", target))
	}
}
