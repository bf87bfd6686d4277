package poison

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// endsAt returns ends of different endpoints, some time apart from each other.
func endsAt(first, apart time.Duration, number int) []Crash {
	var ends []Crash
	for n := range number {
		ends = append(ends, Crash{Endpoint: keys.Endpoint(n + 1), At: freshness.StoreTime(first + time.Duration(n)*apart), Begun: true})
	}
	return ends
}

// TestRequestLimits records ends of endpoints under a request and answers to it.
func TestRequestLimits(t *testing.T) {
	const first = 10 * time.Second
	tests := map[string]struct {
		ends []Crash
		// explained is set if a verdict on another request explains the ends; answers come a second apart.
		explained bool
		answers   int
		isLimited bool
		wait      time.Duration
	}{
		"no end":                                {},
		"one end":                               {ends: endsAt(first, 0, 1), isLimited: true},
		"one end, answered":                     {ends: endsAt(first, 0, 1), answers: 1},
		"two ends, answered":                    {ends: endsAt(first, time.Second, 2), answers: 1, isLimited: true},
		"three ends":                            {ends: endsAt(first, time.Second, 3), isLimited: true, wait: firstTrialDelay},
		"four ends that a verdict explains":     {ends: endsAt(first, time.Second, 4), explained: true, isLimited: true, wait: firstTrialDelay * trialDelayGrowth},
		"many ends with a common cause":         {ends: endsAt(first, time.Millisecond, 12), isLimited: true, wait: firstTrialDelay},
		"three ends, answered once":             {ends: endsAt(first, time.Second, 3), answers: 1, isLimited: true, wait: firstTrialDelay * trialDelayGrowth},
		"three ends, answered as often":         {ends: endsAt(first, time.Second, 3), answers: 3, isLimited: true, wait: firstTrialDelay},
		"three ends, which answers outweigh":    {ends: endsAt(first, time.Second, 3), answers: 3 * answersPerEnd},
		"answers outweigh ends of common cause": {ends: endsAt(first, time.Millisecond, 12), answers: 3 * answersPerEnd},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table, now := NewTable(), freshness.StoreTime(first)
			if test.explained {
				for _, end := range test.ends {
					table.RecordCrash(otherRequest, end)
				}
				c.Assert(table.IsPoison(otherRequest), qt.IsTrue)
			}
			for _, end := range test.ends {
				table.recordEnd(poisonRequest, end)
				now = max(now, end.At)
			}
			for range test.answers {
				now += freshness.StoreTime(time.Second)
				table.RecordAnswer(now, poisonRequest, 0)
			}
			wait, isLimited := table.CopyWait(now, poisonRequest, false)
			c.Check(isLimited, qt.Equals, test.isLimited)
			c.Check(wait, qt.Equals, test.wait)
		})
	}
}

// TestPartLimits records crashes under parts of prompts that can't be told apart.
func TestPartLimits(t *testing.T) {
	const first = 10 * time.Second
	bad, other, own := keys.OfPart("w", "bad"), keys.OfPart("w", "other"), keys.OfPart("w", "own")
	tests := map[string]struct {
		crashes, others []Crash
		isAnswered      bool
		isLimited       bool
		wait            time.Duration
		// isApart is set if a request that has the bad part and not the other one distinguishes them.
		isApart bool
	}{
		"four crashes":                         {crashes: endsAt(first, time.Second, 4)},
		"five crashes":                         {crashes: endsAt(first, time.Second, 5), isLimited: true, wait: partCopyDelay},
		"five crashes, answered":               {crashes: endsAt(first, time.Second, 5), isAnswered: true},
		"many crashes with a common cause":     {crashes: endsAt(first, time.Millisecond, 12)},
		"eight crashes":                        {crashes: endsAt(first, time.Second, 8), isLimited: true, wait: 2 * partCopyDelay},
		"very many crashes":                    {crashes: endsAt(first, time.Second, 30), isLimited: true, wait: maxPartCopyDelay},
		"another part is at the same crashes":  {crashes: endsAt(first, time.Second, 5), others: endsAt(first, time.Second, 5), isLimited: true, wait: partCopyDelay, isApart: true},
		"another part is at fewer crashes":     {crashes: endsAt(first, time.Second, 6), others: endsAt(first, time.Second, 5), isLimited: true, wait: partCopyDelay},
		"another part is at too few to matter": {crashes: endsAt(first, time.Second, 5), others: endsAt(first, time.Second, 4), isLimited: true, wait: partCopyDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table, now := NewTable(), freshness.StoreTime(first)
			for _, crash := range test.crashes {
				table.RecordCrash(bad, crash)
				now = max(now, crash.At)
			}
			for _, crash := range test.others {
				table.RecordCrash(other, crash)
			}
			if test.isAnswered {
				table.RecordAnswer(now, bad, 0)
			}
			wait, isLimited := table.CopyWait(now, bad, false)
			c.Check(isLimited, qt.Equals, test.isLimited)
			c.Check(wait, qt.Equals, test.wait)
			c.Check(table.LacksSuspect(bad, []keys.Content{own, bad}), qt.Equals, test.isApart)
			c.Check(table.LacksSuspect(bad, []keys.Content{own, bad, other}), qt.IsFalse)
			if test.isApart {
				wait, _ = table.CopyWait(now, bad, true)
				c.Check(wait, qt.Equals, time.Duration(0))
			}
		})
	}
}
