package poison

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
	"oxbowslip.dev/oxbowslip/internal/proof/golden"
)

// TestGoldenReport pins the encoded form of a report, which hosts of other versions read.
func TestGoldenReport(t *testing.T) {
	golden.Message(t, "report", &Report{
		Ends:     []ReportedCrash{{Content: 1, Endpoint: 2, AtMs: 3, Begun: true}},
		Answered: []keys.Content{4},
		Verdicts: []ReportedVerdict{{Content: 5, UntilMs: 6, Endpoints: []keys.Endpoint{7}}},
	})
}

// TestGoldenEnds pins the encoded form of ends that are no evidence.
func TestGoldenEnds(t *testing.T) {
	golden.Message(t, "ends", &Ends{Ends: []ReportedCrash{{Content: 1, Endpoint: 2, AtMs: 3, Begun: true}}})
}

// envelopeBytes is an upper bound on the size of the envelope around a report in its datagram.
const envelopeBytes = 64

// TestReportBytes keeps the largest reports within a datagram that every host can read (16 KB).
func TestReportBytes(t *testing.T) {
	c := qt.New(t)
	day := 24 * time.Hour
	full, announced := new(Report), new(Report)
	for range maxReported {
		full.Ends = append(full.Ends, ReportedCrash{Content: math.MaxUint64, Endpoint: math.MaxUint32, AtMs: day.Milliseconds(), Begun: true})
	}
	for range maxAnnounced {
		announced.Verdicts = append(announced.Verdicts, reportedVerdict(Verdict{
			Content: math.MaxUint64, Until: freshness.StoreTime(day), Endpoints: []keys.Endpoint{math.MaxUint32, math.MaxUint32, math.MaxUint32},
		}))
	}
	together := Report{Ends: full.Ends, Verdicts: announced.Verdicts}
	for range maxReported {
		together.Answered = append(together.Answered, math.MaxUint64)
	}
	for name, test := range map[string]struct {
		report   *Report
		maxBytes int
	}{"ends": {full, 6 << 10}, "verdicts": {announced, 9 << 10}, "all": {&together, 16<<10 - envelopeBytes}} {
		data, err := cbor.Marshal(test.report)
		c.Assert(err, qt.IsNil)
		c.Logf("%d of %s take %d bytes", maxReported, name, len(data))
		c.Check(len(data) <= test.maxBytes, qt.IsTrue, qt.Commentf("%s: %d bytes", name, len(data)))
	}
}

// FuzzReceived decodes reports from other hosts, which may be any bytes.
func FuzzReceived(f *testing.F) {
	for _, report := range []*Report{
		{Ends: []ReportedCrash{{Content: 1, Endpoint: 2, AtMs: 3, Begun: true}}, Answered: []keys.Content{4}},
		{Verdicts: []ReportedVerdict{{Content: 5, UntilMs: math.MinInt64, Endpoints: nil}}},
	} {
		data, err := cbor.Marshal(report)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := newTestDetector(t)
		d.HandleReport(testSender, data)
		d.expire()
		d.RecordAnswer([]keys.Content{1}, 0)
		d.sendReport()
	})
}
