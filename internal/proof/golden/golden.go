// Package golden compares encoded data with golden files written by earlier versions: messages between hosts,
// stored rows, JSON answers and metrics. Their formats must not change, because hosts of different versions run
// side by side and stored data must stay readable. Only tests import this package.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/request"
)

// update rewrites the files instead of comparing with them. It is for adding a case. A changed file means that
// older versions can't read the data of this one.
var update = flag.Bool("golden.update", false, "write the golden files instead of comparing with them")

// bytesPerLine is the number of bytes on a line of a hex file. A line fits into an 80-column diff.
const bytesPerLine = 32

// Text compares text with the file testdata/golden/NAME of the calling package.
func Text(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		writeFile(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	if got != string(want) {
		t.Errorf("%s: the encoding has changed\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}

// compareHex compares binary data with the file testdata/golden/NAME, which contains it in hex, and returns the
// file's data.
func compareHex(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	Text(t, name, toHex(got))
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	want, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatalf("golden file %s: %v", name, err)
	}
	return want
}

// toHex encodes data in lines of bytesPerLine bytes.
func toHex(data []byte) string {
	var text strings.Builder
	for len(data) > 0 {
		n := min(bytesPerLine, len(data))
		text.WriteString(hex.EncodeToString(data[:n]))
		text.WriteByte('\n')
		data = data[n:]
	}
	return text.String()
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Message compares the encoding of a message between hosts, given as a pointer, with the file
// testdata/golden/NAME.cbor.hex, and checks that the file decodes into an equal message.
func Message(t testing.TB, name string, message any) {
	t.Helper()
	data, err := cbor.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	old := compareHex(t, name+".cbor.hex", data)
	decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
	if err := cbor.Unmarshal(old, decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, message) {
		t.Errorf("%s: decoded\n%+v\nwant\n%+v", name, decoded, message)
	}
}

// Refusals compares the status, headers and body that an interface for callers writes for each refusal of the
// request "id-1" with the file testdata/golden/refusals.txt.
func Refusals(t testing.TB, write func(w http.ResponseWriter, refusal *request.Refusal)) {
	t.Helper()
	var text strings.Builder
	for _, reason := range request.Reasons {
		for _, ran := range []request.Ran{request.RanNo, request.RanUnknown} {
			for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
				w := httptest.NewRecorder()
				write(w, &request.Refusal{Reason: reason, Ran: ran, Detail: "detail", RetryAfter: after})
				fmt.Fprintf(&text, "%s %s %s: %d\n", reason, ran, after, w.Code)
				if err := w.Header().Write(&text); err != nil {
					t.Fatal(err)
				}
				text.WriteString("\n" + w.Body.String() + "\n\n")
			}
		}
	}
	Text(t, "refusals.txt", text.String())
}

// SchemaFields returns the sorted names of all properties in a JSON Schema, so that a test can check that its
// example sets each of them.
func SchemaFields(t testing.TB, schema []byte) []string {
	t.Helper()
	var document any
	if err := json.Unmarshal(schema, &document); err != nil {
		t.Fatalf("schema: %v", err)
	}
	var fields []string
	collectFields(document, &fields)
	slices.Sort(fields)
	return slices.Compact(fields)
}

// collectFields walks a decoded schema and appends the keys of each "properties" object.
func collectFields(node any, fields *[]string) {
	switch node := node.(type) {
	case []any:
		for _, child := range node {
			collectFields(child, fields)
		}
	case map[string]any:
		if properties, ok := node["properties"].(map[string]any); ok {
			*fields = slices.AppendSeq(*fields, maps.Keys(properties))
		}
		for _, child := range node {
			collectFields(child, fields)
		}
	}
}

// Options returns the options and commands that a program's argument struct declares, one per line, so that a
// test can compare them with a golden file. Help texts are left out.
func Options(arguments any) string {
	var lines []string
	collectOptions(reflect.TypeOf(arguments), "", &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// collectOptions appends the fields of an argument struct and of its subcommands, prefixed by the command.
func collectOptions(t reflect.Type, command string, lines *[]string) {
	for i := range t.NumField() {
		field := t.Field(i)
		tag := field.Tag.Get("arg")
		*lines = append(*lines, strings.TrimSpace(command+" "+field.Name+" "+field.Type.String()+" "+tag+" "+field.Tag.Get("default")))
		if field.Type.Kind() == reflect.Pointer && field.Type.Elem().Kind() == reflect.Struct {
			collectOptions(field.Type.Elem(), strings.TrimSpace(command+" "+tag), lines)
		}
	}
}
