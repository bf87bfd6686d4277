package commit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"

	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// TestGoldenTransaction compares the rows of an accepted change with the recorded format, because rows in
// this format are still in the store.
func TestGoldenTransaction(t *testing.T) {
	c := qt.New(t)
	at := time.Date(2026, 6, 1, 12, 0, 0, 5_000_000, time.UTC)
	transaction := transaction(
		tableclient.Row{Version: 7}, poller.Head{Revision: 3, Snapshot: 2, SnapshotName: poller.SnapshotName(2, "first")},
		&settings.Change{Revision: 3, ID: "a/b", Base: 2, Patch: []byte(`{"root":{}}`), Who: "who", At: at},
	)
	data, err := json.Marshal(transaction)
	c.Assert(err, qt.IsNil)
	golden.Text(t, "transaction.json", string(data)+"\n")
}
