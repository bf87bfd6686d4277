// Package decisions checks that docs/decisions.md agrees with the code.
package decisions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/proof/sources"
)

// packages maps the names of the packages whose rules the page describes to their folders. The page must list all
// of their constants.
var packages = map[string]string{
	"admission": "internal/admission", "request": "internal/request", "owner": "internal/owner", "retrybudget": "internal/retrybudget", "intake": "internal/intake",
	"front": "internal/front", "placement": "internal/front/placement", "relay": "internal/front/relay", "gossip": "internal/front/gossip",
	"peersync": "internal/front/peersync", "follow": "internal/front/follow", "freshness": "internal/front/freshness", "directory": "internal/front/directory",
	"upstream": "internal/front/upstream", "tunnel": "internal/front/tunnel", "lease": "internal/front/lease", "leader": "internal/front/leader", "usage": "internal/front/usage",
	"reporter": "internal/front/reporter", "capacity": "internal/front/capacity", "scaler": "internal/front/scaler", "poison": "internal/front/poison", "pace": "internal/front/pace", "pushback": "internal/front/pushback", "ratelimit": "internal/front/ratelimit", "shares": "internal/front/shares", "slots": "internal/front/slots", "coordinator": "internal/front/coordinator", "origin": "internal/front/origin", "precedence": "internal/front/precedence", "copies": "internal/front/copies", "clock": "internal/clock", "schedule": "internal/daemon/schedule",
}

// declarations are the top-level declarations of a package.
type declarations struct {
	// names are the names of functions, methods (as Type.Method), constants and variables.
	names map[string]bool
	// numericValues are the names of numeric constants and of variables that hold a back-off.
	numericValues map[string]bool
}

// parse collects the declarations of the package in a folder, without its tests.
func parse(c *qt.C, folder string) *declarations {
	d := &declarations{names: make(map[string]bool), numericValues: make(map[string]bool)}
	paths, err := filepath.Glob(filepath.Join(sources.Root(c), folder, "*.go"))
	c.Assert(err, qt.IsNil)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		for _, declaration := range file.Decls {
			d.add(declaration)
		}
	}
	return d
}

func (d *declarations) add(declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		d.names[receiverPrefix(declaration)+declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			if values, ok := spec.(*ast.ValueSpec); ok {
				d.addValues(declaration.Tok, values)
			}
		}
	}
}

func (d *declarations) addValues(kind token.Token, spec *ast.ValueSpec) {
	for i, name := range spec.Names {
		d.names[name.Name] = true
		// Typed constants are left out because they belong to enumerations.
		if i < len(spec.Values) && (kind == token.VAR || spec.Type == nil) && isNumeric(kind, spec.Values[i]) {
			d.numericValues[name.Name] = true
		}
	}
}

// isNumeric reports whether a declaration is a constant whose value is a number or is computed, or has a back-off as
// its value.
func isNumeric(kind token.Token, value ast.Expr) bool {
	switch value := value.(type) {
	case *ast.BasicLit:
		return kind == token.CONST && value.Kind != token.STRING
	case *ast.BinaryExpr, *ast.SelectorExpr:
		return kind == token.CONST
	case *ast.CompositeLit:
		selector, ok := value.Type.(*ast.SelectorExpr)
		return ok && selector.Sel.Name == "Doubling"
	}
	return false
}

// receiverPrefix returns "Type." for a method and "" for a function.
func receiverPrefix(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	expression := f.Recv.List[0].Type
	if star, ok := expression.(*ast.StarExpr); ok {
		expression = star.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	return expression.(*ast.Ident).Name + "."
}

var (
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	qualifiedName = regexp.MustCompile(`^([a-z]+)\.([A-Za-z]+(?:\.[A-Za-z]+)?)$`)
	testName      = regexp.MustCompile(`^Test\w+$`)
)

// TestDecisions checks that every function, constant and test named on the page exists, and that the page lists
// every numeric constant of the packages.
func TestDecisions(t *testing.T) {
	c := qt.New(t)
	byPackage := make(map[string]*declarations)
	for name, folder := range packages {
		byPackage[name] = parse(c, folder)
	}
	tests := testNames(t)
	listed := make(map[string]bool)
	for _, match := range codeSpan.FindAllStringSubmatch(sources.Read(t, "docs/decisions.md"), -1) {
		text := match[1]
		listed[text] = true
		if testName.MatchString(text) {
			c.Check(tests[text], qt.IsTrue, qt.Commentf("the page names test %s, which does not exist", text))
		}
		name := qualifiedName.FindStringSubmatch(text)
		if name == nil || byPackage[name[1]] == nil || name[2] == "Rules" {
			continue
		}
		c.Check(byPackage[name[1]].names[name[2]], qt.IsTrue, qt.Commentf("the page names %s, which does not exist", text))
	}
	for name, source := range byPackage {
		for constant := range source.numericValues {
			c.Check(listed[name+"."+constant], qt.IsTrue, qt.Commentf("the page does not list %s.%s", name, constant))
		}
	}
}

// testNames returns the names of all tests in the repository.
func testNames(t *testing.T) map[string]bool {
	names := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	for path, source := range sources.ReadAll(t, ".", ".go") {
		if !strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, match := range declaration.FindAllStringSubmatch(source, -1) {
			names[match[1]] = true
		}
	}
	return names
}
