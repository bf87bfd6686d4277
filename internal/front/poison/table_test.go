package poison

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// The requests and the endpoints of the tests.
const (
	poisonous keys.Request = 1
	beside    keys.Request = 2
)

// begun and waited are ends of endpoints, some seconds after the start.
func begun(endpoint keys.Endpoint, seconds float64) Crash {
	return Crash{Endpoint: endpoint, At: freshness.StoreTime(seconds * float64(time.Second)), Begun: true}
}

func waited(endpoint keys.Endpoint, seconds float64) Crash {
	end := begun(endpoint, seconds)
	end.Begun = false
	return end
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		ends []Crash
		// answered is after how many of the ends the request is answered; 0 means never.
		answered int
		want     bool
	}{
		"two endpoints":                                  {[]Crash{begun(1, 1), begun(2, 2)}, 0, false},
		"three endpoints":                                {[]Crash{begun(1, 1), begun(2, 2), begun(3, 3)}, 0, true},
		"three endpoints, minutes apart":                 {[]Crash{begun(1, 0), begun(2, 200), begun(3, 400)}, 0, true},
		"one end, reported three times":                  {[]Crash{begun(1, 1), begun(1, 1.1), begun(1, 2.5)}, 0, false},
		"one end, reported by a host that knows no time": {[]Crash{begun(1, 1), begun(2, 2), begun(2, 0)}, 0, false},
		"one endpoint that starts again":                 {[]Crash{begun(1, 1), begun(1, 6), begun(1, 12)}, 0, true},
		"three that had not begun":                       {[]Crash{waited(1, 1), waited(2, 2), waited(3, 3)}, 0, false},
		"six that had not begun":                         {[]Crash{waited(1, 1), waited(2, 2), waited(3, 3), waited(4, 4), waited(5, 5), waited(6, 6)}, 0, true},
		"two that had begun and one that":                {[]Crash{begun(1, 1), begun(2, 2), waited(3, 3)}, 0, false},
		"two reports, one knows of a head":               {[]Crash{begun(1, 1), begun(2, 2), waited(3, 3), begun(3, 3.1)}, 0, true},
		"answered in between":                            {[]Crash{begun(1, 1), begun(2, 2), begun(3, 3)}, 2, false},
		"answered after the verdict":                     {[]Crash{begun(1, 1), begun(2, 2), begun(3, 3)}, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for n, end := range test.ends {
				table.RecordCrash(poisonous, end)
				if n+1 == test.answered {
					table.RecordAnswer(end.At, poisonous)
				}
			}
			qt.Check(t, table.IsPoison(poisonous), qt.Equals, test.want)
		})
	}
}

// TestAVerdictExplainsItsEnds has a request beside a poison one at two endpoints, and at a third that ends for another
// reason: it must not be blamed for what the other has done.
func TestAVerdictExplainsItsEnds(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for _, endpoint := range []keys.Endpoint{1, 2} {
		table.RecordCrash(beside, begun(endpoint, 1))
		table.RecordCrash(poisonous, begun(endpoint, 1))
	}
	_, proved := table.RecordCrash(poisonous, begun(3, 2))
	c.Assert(proved, qt.IsTrue)
	table.RecordCrash(beside, begun(4, 3))
	c.Check(table.IsPoison(beside), qt.IsFalse)
}

// TestAnotherPoisonBesideIsFound has two requests under which endpoints end, often at the same endpoint: what the verdict on
// one explains must not let the other begin anew.
func TestAnotherPoisonBesideIsFound(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for n := range keys.Endpoint(begunEnds) {
		table.RecordCrash(beside, begun(n, 1))
		table.RecordCrash(poisonous, begun(n, 1))
	}
	c.Assert(table.IsPoison(beside), qt.IsTrue)
	c.Assert(table.IsPoison(poisonous), qt.IsFalse)
	table.RecordCrash(poisonous, begun(8, 3))
	c.Check(table.IsPoison(poisonous), qt.IsTrue)
}

// TestAVerdictEnds has one more end renew a verdict that is over, and a request that is answered then stay free.
func TestAVerdictEnds(t *testing.T) {
	tests := map[string]struct {
		answered, want bool
	}{
		"an endpoint ends again":     {false, true},
		"it is answered before that": {true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := NewTable()
			for n := range keys.Endpoint(begunEnds) {
				table.RecordCrash(poisonous, begun(n, 1))
			}
			late := 1 + verdictTime.Seconds()
			c.Check(table.Expire(begun(0, late-1).At), qt.HasLen, 0)
			c.Check(table.Expire(begun(0, late+1).At), qt.DeepEquals, []keys.Request{poisonous})
			c.Check(table.IsPoison(poisonous), qt.IsFalse)
			if test.answered {
				table.RecordAnswer(begun(0, late).At, poisonous)
			}
			table.RecordCrash(poisonous, begun(9, late+2))
			c.Check(table.IsPoison(poisonous), qt.Equals, test.want)
		})
	}
}

func TestEvidenceExpires(t *testing.T) {
	table := NewTable()
	table.RecordCrash(poisonous, begun(1, 1))
	table.RecordCrash(poisonous, begun(2, 1+evidenceTime.Seconds()/2))
	table.Expire(begun(0, 2+evidenceTime.Seconds()).At)
	qt.Check(t, table.suspects[poisonous], qt.HasLen, 1)
	table.Expire(begun(0, 2+2*evidenceTime.Seconds()).At)
	qt.Check(t, table.SuspectCount(), qt.Equals, 0)
}

// TestTheTableIsBounded has more suspects and verdicts than are kept: the newest stay.
func TestTheTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	const many = 20_000
	for n := range many {
		at := float64(n) / 1000
		table.Adopt(Verdict{Request: keys.Request(many + n), Until: begun(0, at).At})
	}
	for n := range many {
		table.RecordCrash(keys.Request(n), begun(1, float64(n)/1000))
	}
	c.Check(table.SuspectCount() <= maxSuspects, qt.IsTrue)
	c.Check(len(table.verdicts) <= maxVerdicts, qt.IsTrue)
	c.Check(table.suspects[many-1], qt.HasLen, 1)
	c.Check(table.IsPoison(2*many-1), qt.IsTrue)
}
