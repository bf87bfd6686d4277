package claims_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/daemon/claims"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/proof/standin"
)

func startTables(c *qt.C, hosts int) (*standin.Platform, []*claims.Table) {
	p := standin.NewPlatform(standin.PlatformConfig{})
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(p.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var tables []*claims.Table
	for range hosts {
		client := tableclient.New(p.Address(), time.Minute, nil)
		table := claims.New("host", client, logrus.NewEntry(log), time.Now)
		done := make(chan struct{})
		c.Cleanup(func() { close(done) })
		go table.Run(done)
		tables = append(tables, table)
	}
	return p, tables
}

func TestClaimOutcomes(t *testing.T) {
	type step struct {
		table   int
		key     string
		attempt string
		faults  standin.PlatformFaults
		won     bool
		err     bool
	}
	tests := map[string][]step{
		"the first claim wins": {{key: "k", attempt: "1", won: true}, {key: "k", attempt: "2"}},
		"at another host":      {{key: "k", attempt: "1", won: true}, {table: 1, key: "k", attempt: "2"}},
		"other keys are free":  {{key: "k", attempt: "1", won: true}, {table: 1, key: "l", attempt: "2", won: true}},
		"the platform is down": {{key: "k", attempt: "1", faults: standin.PlatformFaults{Down: true}, err: true}, {table: 1, key: "k", attempt: "2", won: true}},
		"the response is lost": {
			{key: "k", attempt: "1", faults: standin.PlatformFaults{LoseAnswers: true}, won: true},
			{table: 1, key: "k", attempt: "2"},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, tables := startTables(c, 2)
			for i, s := range steps {
				p.SetFaults(s.faults)
				won, err := tables[s.table].Claim(context.Background(), "w", s.key, s.attempt)
				c.Assert(won, qt.Equals, s.won, qt.Commentf("step %d", i))
				c.Assert(err != nil, qt.Equals, s.err, qt.Commentf("step %d: %v", i, err))
			}
		})
	}
}

// TestOrphanedClaimIsReleased checks that a key becomes free again if its claim was committed after the
// caller had been told that nothing ran.
func TestOrphanedClaimIsReleased(t *testing.T) {
	c := qt.New(t)
	p, tables := startTables(c, 2)
	p.SetFaults(standin.PlatformFaults{Slow: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := tables[0].Claim(ctx, "w", "k", "1")
	c.Assert(err, qt.ErrorIs, context.Canceled)
	for p.Calls().Writes == 0 {
		time.Sleep(time.Millisecond)
	}
	// The caller of the claim is gone while its transaction is in progress. Each round looks for the row, and
	// the first or the second one finds it.
	for range 2 {
		tables[0].ReleaseOrphans(context.Background())
	}
	won, err := tables[1].Claim(context.Background(), "w", "k", "2")
	c.Assert(err, qt.IsNil)
	c.Assert(won, qt.IsTrue)
}

// TestConcurrentClaimsOfKeyHaveOneWinner claims the same keys at several hosts concurrently. Each key must be
// won once, and claims must share transactions.
func TestConcurrentClaimsOfKeyHaveOneWinner(t *testing.T) {
	c := qt.New(t)
	p, tables := startTables(c, 4)
	const keys = 50
	var mu sync.Mutex
	winners := make(map[string]int)
	var group sync.WaitGroup
	for n, table := range tables {
		for k := range keys {
			group.Go(func() {
				key := string(rune('a'+k%26)) + string(rune('0'+k/26))
				won, err := table.Claim(context.Background(), "w", key, key+string(rune('0'+n)))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					winners["error"]++
				}
				if won {
					winners[key]++
				}
			})
		}
	}
	group.Wait()
	c.Assert(winners, qt.HasLen, keys)
	for key, n := range winners {
		c.Assert(n, qt.Equals, 1, qt.Commentf("key %s", key))
	}
	c.Assert(p.Calls().Writes < len(tables)*keys, qt.IsTrue, qt.Commentf("%d writes", p.Calls().Writes))
}
