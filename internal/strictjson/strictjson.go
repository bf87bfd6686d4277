// Package strictjson decodes JSON documents that are written by hand. It validates
// a document against a JSON Schema before it decodes it into a Go struct, so that
// all faults are reported together, each with its path. Both programs use it. It
// does no I/O.
package strictjson

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one fault of a document.
type Fault struct {
	// Path is a JSON pointer to the faulty value. The root is "/".
	Path string `json:"path"`
	// Problem describes the fault and which values are valid.
	Problem string `json:"problem"`
}

// Error lists all faults of a document.
type Error struct {
	Document string
	Faults   []Fault
}

// Error returns a text with one fault per line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d fault(s)", e.Document, len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Problem)
	}
	return b.String()
}

// Schema is a compiled JSON Schema.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that is embedded in the program. It panics if the
// schema is invalid, which any test run detects.
func MustCompile(name string, text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}
	return &Schema{compiled: compiler.MustCompile(name)}
}

// Decode validates data against the schema and decodes it. Faults of the document
// are returned as an *Error. The document's name is only used in messages.
func Decode[T any](schema *Schema, document string, data []byte) (T, error) {
	var value T
	if faults := schema.validate(data); len(faults) > 0 {
		return value, &Error{Document: document, Faults: faults}
	}
	if err := json.Unmarshal(data, &value, json.RejectUnknownMembers(true), DurationUnmarshaler); err != nil {
		return value, &Error{Document: document, Faults: []Fault{{Path: "/", Problem: err.Error()}}}
	}
	return value, nil
}

// Encode encodes a value so that Decode can decode it, with sorted keys and
// durations as text.
func Encode(value any) ([]byte, error) {
	data, err := json.Marshal(value, json.Deterministic(true), DurationMarshaler)
	return data, merry.Wrap(err)
}

// DurationUnmarshaler decodes durations from text such as "1.3s".
var DurationUnmarshaler = json.WithUnmarshalers(json.UnmarshalFunc(func(text []byte, d *time.Duration) error {
	value, err := time.ParseDuration(strings.Trim(string(text), `"`))
	if err != nil {
		return err
	}
	*d = value
	return nil
}))

// DurationMarshaler encodes durations in the format that DurationUnmarshaler decodes.
var DurationMarshaler = json.WithMarshalers(json.MarshalFunc(func(d time.Duration) ([]byte, error) {
	return []byte(`"` + d.String() + `"`), nil
}))

func (s *Schema) validate(data []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Fault{{Path: "/", Problem: "not a JSON document: " + err.Error()}}
	}
	err = s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	invalid, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []Fault{{Path: "/", Problem: err.Error()}}
	}
	faults := collectFaults(invalid, message.NewPrinter(language.English), nil)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

func collectFaults(e *jsonschema.ValidationError, printer *message.Printer, faults []Fault) []Fault {
	if len(e.Causes) == 0 {
		path := "/" + strings.Join(e.InstanceLocation, "/")
		return append(faults, Fault{Path: path, Problem: e.ErrorKind.LocalizedString(printer)})
	}
	for _, cause := range e.Causes {
		faults = collectFaults(cause, printer, faults)
	}
	return faults
}
