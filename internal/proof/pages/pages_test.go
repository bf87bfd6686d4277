// Package pages checks that README, CHANGELOG and the pages below docs/ agree with the code.
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

// readPages returns the texts of README, CHANGELOG and all pages below docs/, by path from the root.
func readPages(t *testing.T) map[string]string {
	texts := sources.ReadAll(t, "docs", ".md")
	for _, path := range []string{"README.md", "CHANGELOG.md"} {
		texts[path] = sources.Read(t, path)
	}
	return texts
}

// allCode returns the concatenated texts of all Go files, including tests.
func allCode(t *testing.T) string {
	var all strings.Builder
	for _, text := range sources.ReadAll(t, ".", ".go") {
		all.WriteString(text)
	}
	return all.String()
}

var (
	link                = regexp.MustCompile(`\]\(([^)#]*)(?:#([^)]*))?\)`)
	heading             = regexp.MustCompile(`(?m)^#+ (.*)$`)
	nonAnchorCharacters = regexp.MustCompile(`[^a-z0-9 -]`)
)

// headingAnchors returns the anchors of a page's headings as links name them.
func headingAnchors(text string) map[string]bool {
	anchors := make(map[string]bool)
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		anchors[strings.ReplaceAll(nonAnchorCharacters.ReplaceAllString(strings.ToLower(match[1]), ""), " ", "-")] = true
	}
	return anchors
}

// TestLinksLeadToPagesAndHeadings checks that the file of each relative link exists, and the heading if
// the link has one.
func TestLinksLeadToPagesAndHeadings(t *testing.T) {
	c := qt.New(t)
	all := readPages(t)
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
			c.Check(err, qt.IsNil, qt.Commentf("%s links to %s, which does not exist", path, match[1]))
			if match[2] != "" {
				c.Check(headingAnchors(all[target])[match[2]], qt.IsTrue, qt.Commentf("%s links to %s#%s, which has no such heading", path, match[1], match[2]))
			}
		}
	}
}

// goPath matches a path of this repository in a command or in a code span.
var goPath = regexp.MustCompile("(?:^|[\\s`(])(\\./)?((?:internal|platform|cmd|examples|deploy|traces)/[A-Za-z0-9_./-]*[A-Za-z0-9_])")

// TestNamedPathsExist checks that the files and packages named on the pages exist. CHANGELOG and the incidents are
// left out, because they describe the past.
func TestNamedPathsExist(t *testing.T) {
	c := qt.New(t)
	for path, text := range readPages(t) {
		if path == "CHANGELOG.md" || strings.Contains(path, "incidents") {
			continue
		}
		for _, match := range goPath.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(sources.Root(t), match[2]))
			c.Check(err, qt.IsNil, qt.Commentf("%s names %s, which does not exist", path, match[2]))
		}
	}
}

var testName = regexp.MustCompile("`(Test[A-Z]\\w+)`")

// TestNamedTestsExist checks that the tests named on the pages exist.
func TestNamedTestsExist(t *testing.T) {
	c := qt.New(t)
	goCode := allCode(t)
	for path, text := range readPages(t) {
		for _, match := range testName.FindAllStringSubmatch(text, -1) {
			c.Check(strings.Contains(goCode, "func "+match[1]+"("), qt.IsTrue, qt.Commentf("%s names test %s, which does not exist", path, match[1]))
		}
	}
}

// logLine matches a log line in a code span, behind the prefix of its part.
var logLine = regexp.MustCompile("`(?:settings|endpoints|peers|host|request|log): ([a-z' ]+?)`")

// TestQuotedLogLinesExist checks that the log lines quoted on the pages are in the code. CHANGELOG and the
// incidents are left out.
func TestQuotedLogLinesExist(t *testing.T) {
	c := qt.New(t)
	goCode := allCode(t)
	found := 0
	for path, text := range readPages(t) {
		if strings.Contains(path, "incidents") || path == "CHANGELOG.md" {
			continue
		}
		for _, match := range logLine.FindAllStringSubmatch(text, -1) {
			found++
			c.Check(strings.Contains(goCode, `"`+match[1]) || strings.Contains(goCode, match[1]+`"`), qt.IsTrue, qt.Commentf("%s quotes the log line %q, which is not in the code", path, match[1]))
		}
	}
	c.Check(found > 5, qt.IsTrue)
}

var (
	makeCommand = regexp.MustCompile("(?m)(?:^|`)make ([a-z-]+)")
	makeTarget  = regexp.MustCompile(`(?m)^([a-z-]+):`)
)

// TestMakeTargets checks that the make targets named on the pages exist, and that each target is named on a page.
func TestMakeTargets(t *testing.T) {
	c := qt.New(t)
	named := make(map[string]bool)
	for _, match := range makeTarget.FindAllStringSubmatch(sources.Read(t, "Makefile"), -1) {
		named[match[1]] = false
	}
	for path, text := range readPages(t) {
		for _, match := range makeCommand.FindAllStringSubmatch(text, -1) {
			_, ok := named[match[1]]
			c.Check(ok, qt.IsTrue, qt.Commentf("%s names make %s, which is not a target of the Makefile", path, match[1]))
			named[match[1]] = true
		}
	}
	for target, ok := range named {
		c.Check(ok, qt.IsTrue, qt.Commentf("no page names make %s", target))
	}
}
