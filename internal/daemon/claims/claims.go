// Package claims reserves idempotency keys in the platform's table, so that a key used at two hosts of
// oxbowslipd runs at most one request. Many claims share a transaction.
//
// The package owns the rows of claims and the claims that wait for their transaction. It is not used on the
// users' platform, which has no idempotency keys: a request that may not be repeated goes to one endpoint
// only.
package claims

import (
	"context"
	"errors"
	"net/url"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/lifetime"
)

// The limits of claims.
const (
	// batchDelay is how long a claim waits for others to share its transaction.
	batchDelay = 5 * time.Millisecond
	// maxBatch bounds the claims of one transaction. Each claim has three conditions and one write.
	maxBatch = 64
	// maxWaiting bounds the waiting claims. Further claims are refused immediately, so that a burst of keys
	// can't build up a queue for the platform.
	maxWaiting = 1024
	// maxAttempts bounds the transactions for one claim. The response to each of them may be lost.
	maxAttempts = 3
)

// ErrUnavailable means that it is unknown whether a key is free.
var ErrUnavailable = merry.Sentinel("idempotency key can't be claimed")

// bucketLength is the time span of the bucket that a key belongs to. A key stays claimed for one to three
// buckets, which is long compared with the retries of any caller.
const bucketLength = 24 * time.Hour

// claimRow is the value of a claim's row.
type claimRow struct {
	// Attempt is the ID of the request that holds the key. It distinguishes a claim whose response was lost
	// from one that lost to another request.
	Attempt string    `json:"attempt"`
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
}

// claim is a key that waits for its transaction.
type claim struct {
	name    string
	attempt string
	result  chan result
}

// result is the outcome of a claim.
type result struct {
	won bool
	err error
}

// Table claims keys for one host.
type Table struct {
	host   string
	client *tableclient.Client
	log    *logrus.Entry
	clock  func() time.Time
	queue  chan *claim
	// released wakes Run after a call of Release.
	released chan struct{}

	mu sync.Mutex
	// orphans are keys whose transaction may have been committed although the caller was told that nothing
	// ran. Their rows are deleted.
	orphans map[string]orphan
}

// orphan is a claim that may hold its key although no request runs.
type orphan struct {
	attempt string
	// rounds counts the attempts to release the claim. Its transaction may be committed after the first one.
	rounds int
}

// maxReleaseRounds is the number of attempts to find and delete the row of an orphan. The row may be written
// late, by a transaction whose response was lost.
const maxReleaseRounds = 3

// New returns a table. Claims are processed while Run is running.
func New(host string, client *tableclient.Client, log *logrus.Entry, clock func() time.Time) *Table {
	return &Table{
		host: host, client: client, log: log, clock: clock, queue: make(chan *claim, maxWaiting),
		orphans: make(map[string]orphan), released: make(chan struct{}, 1),
	}
}

// Claim reserves a workspace's key for a request. It reports false if another request holds the key. The
// error is ErrUnavailable or that of ctx, and the request must not run then.
func (t *Table) Claim(ctx context.Context, workspace, key, attempt string) (bool, error) {
	c := &claim{name: name(workspace, key), attempt: attempt, result: make(chan result, 1)}
	select {
	case t.queue <- c:
	default:
		return false, merry.Wrap(ErrUnavailable, merry.AppendMessage("too many claims are waiting"))
	}
	select {
	case r := <-c.result:
		return r.won, r.err
	case <-ctx.Done():
		t.addOrphan(c)
		return false, ctx.Err()
	}
}

func name(workspace, key string) string {
	return url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

// Release frees the key of a request that was refused and did not run, so that the caller can retry with the
// same key.
func (t *Table) Release(workspace, key, attempt string) {
	t.putOrphan(name(workspace, key), orphan{attempt: attempt})
	lifetime.Wake(t.released)
}

// Run commits claims and releases orphans until done is closed.
func (t *Table) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case first := <-t.queue:
			t.commitBatch(ctx, t.collectBatch(first))
		case <-ticker.C:
			t.ReleaseOrphans(ctx)
		case <-t.released:
			t.ReleaseOrphans(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// releaseInterval is the time between two attempts to release claims with an unknown outcome. Claims of
// refused requests are released immediately. Until its claim is released, a repeated request is refused as if
// the first one were still running.
const releaseInterval = 5 * time.Second

// collectBatch collects the claims that share a transaction. A second claim of the same key can't be part of
// it and loses immediately.
func (t *Table) collectBatch(first *claim) map[string]*claim {
	batch := map[string]*claim{first.name: first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case c := <-t.queue:
			if _, ok := batch[c.name]; ok {
				c.result <- result{}
				continue
			}
			batch[c.name] = c
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch of claims. Claims that lost are removed from it, and the rest are tried again.
// After a lost response, the rows show in the next attempt which request holds each key.
func (t *Table) commitBatch(ctx context.Context, batch map[string]*claim) {
	var err error
	for range maxAttempts {
		if len(batch) == 0 {
			return
		}
		var rows []tableclient.Row
		rows, err = t.client.Commit(ctx, t.transaction(batch))
		if err == nil {
			t.finish(batch, result{won: true})
			return
		}
		if errors.Is(err, tableclient.ErrConflict) {
			t.resolve(batch, rows)
		}
		if errors.Is(err, tableclient.ErrUnavailable) {
			t.lookUp(ctx, batch)
		}
	}
	for _, c := range batch {
		t.addOrphan(c)
	}
	t.finish(batch, result{err: merry.Wrap(ErrUnavailable, merry.WithCause(err))})
}

// lookUp reads the rows of a batch after a lost response. A claim without a row stays in the batch: its
// transaction may still be in progress, and the next attempt finds its outcome.
func (t *Table) lookUp(ctx context.Context, batch map[string]*claim) {
	var rows []tableclient.Row
	for name := range batch {
		row, err := t.client.Read(ctx, rowKey(t.clock(), name))
		if errors.Is(err, tableclient.ErrUnavailable) {
			break // The other reads would fail as well.
		}
		if err == nil {
			rows = append(rows, row)
		}
	}
	t.resolve(batch, rows)
}

// resolve finishes the claims whose rows exist. A claim has won if the row is its own.
func (t *Table) resolve(batch map[string]*claim, rows []tableclient.Row) {
	for _, row := range rows {
		c, ok := batch[nameOf(row.Key)]
		if !ok {
			continue
		}
		var held claimRow
		if err := json.Unmarshal(row.Value, &held); err != nil {
			t.log.WithError(err).WithField("key", row.Key).Error("row of a claim can't be decoded; the claim is treated as lost")
		}
		c.result <- result{won: held.Attempt == c.attempt}
		delete(batch, c.name)
	}
}

// finish sends the same result to all claims of a batch.
func (t *Table) finish(batch map[string]*claim, r result) {
	for _, c := range batch {
		c.result <- r
	}
}

// transaction returns a transaction that writes the rows of a batch if none of the keys exists in this
// bucket, the previous one or the next one. A host with another clock may use any of these.
func (t *Table) transaction(batch map[string]*claim) tableclient.Transaction {
	now := t.clock()
	var transaction tableclient.Transaction
	for name, c := range batch {
		for _, shift := range []time.Duration{-bucketLength, 0, bucketLength} {
			transaction.If = append(transaction.If, tableclient.Condition{Key: rowKey(now.Add(shift), name)})
		}
		data, err := json.Marshal(claimRow{Attempt: c.attempt, Host: t.host, At: now})
		if err != nil {
			panic(err) // Plain structs always marshal.
		}
		transaction.Set = append(transaction.Set, tableclient.Write{Key: rowKey(now, name), Value: data})
	}
	return transaction
}

const (
	keyPrefix = "claims/"
	dayFormat = "2006-01-02"
)

func rowKey(at time.Time, name string) string {
	return keyPrefix + at.UTC().Format(dayFormat) + "/" + name
}

// nameOf returns a row's key without the prefix and the bucket.
func nameOf(key string) string {
	start := len(keyPrefix) + len(dayFormat) + 1
	if len(key) < start {
		return ""
	}
	return key[start:]
}

// addOrphan records a claim that may hold its key although no request runs.
func (t *Table) addOrphan(c *claim) { t.putOrphan(c.name, orphan{attempt: c.attempt}) }

func (t *Table) putOrphan(name string, o orphan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.orphans) < maxWaiting {
		t.orphans[name] = o
	}
}

// ReleaseOrphans deletes the rows of orphaned claims, so that their callers can retry with the same key.
func (t *Table) ReleaseOrphans(ctx context.Context) {
	t.mu.Lock()
	orphans := t.orphans
	t.orphans = make(map[string]orphan)
	t.mu.Unlock()
	unavailable := false
	for name, o := range orphans {
		if !unavailable {
			// After one failed call the rest are skipped, because claims wait while this runs.
			unavailable = t.releaseOrphan(ctx, name, o.attempt) != nil
		}
		if !unavailable {
			o.rounds++
		}
		if o.rounds < maxReleaseRounds {
			t.putOrphan(name, o)
		}
	}
}

// releaseOrphan deletes the row of a claim if the claim still holds its key.
func (t *Table) releaseOrphan(ctx context.Context, name, attempt string) error {
	for _, shift := range []time.Duration{-bucketLength, 0} {
		row, err := t.client.Read(ctx, rowKey(t.clock().Add(shift), name))
		if errors.Is(err, tableclient.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		var held claimRow
		if err := json.Unmarshal(row.Value, &held); err != nil || held.Attempt != attempt {
			continue
		}
		_, err = t.client.Commit(ctx, tableclient.Transaction{
			If:  []tableclient.Condition{{Key: row.Key, Version: row.Version}},
			Set: []tableclient.Write{{Key: row.Key, Value: []byte("null")}},
		})
		if err != nil {
			return err
		}
	}
	return nil
}
