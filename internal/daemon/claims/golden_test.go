package claims

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenRows compares the key and the value of a claim's row with the recorded format, because rows in
// this format are still in the store.
func TestGoldenRows(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 6, 1, 12, 0, 0, 5_000_000, time.UTC)
	data, err := json.Marshal(claimRow{Attempt: "attempt", Host: "host", At: at})
	c.Assert(err, qt.IsNil)
	golden.Text(t, "row.txt", rowKey(at, name("work space", "key/1"))+" "+string(data)+"\n")
}
