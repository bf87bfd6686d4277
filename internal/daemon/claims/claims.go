// Package claims reserves idempotency keys in the platform's table, so that the same key at two
// hosts of oxbowslipd runs at most once. Many claims share a transaction.
//
// It owns the claims that wait for their transaction and the rows of claims. On the users' platform
// there are no idempotency keys; a request that may not be repeated goes to one endpoint only.
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
	// gather is how long claims wait for others to share their transaction.
	gather = 5 * time.Millisecond
	// maxBatch bounds the claims of one transaction, each with three conditions and a write.
	maxBatch = 64
	// maxWaiting bounds the claims that wait. More are refused at once, so that
	// a burst of keys can't build a queue before the platform.
	maxWaiting = 1024
	// maxAttempts bounds the transactions for one claim; each can lose its answer.
	maxAttempts = 3
)

// ErrUnavailable means that it is not known whether a key is free.
var ErrUnavailable = merry.Sentinel("idempotency key can't be claimed")

// day is the length of a key's bucket. A key is remembered for one to three days: long against any caller's retries.
const day = 24 * time.Hour

// value is the value of a claim's row.
type value struct {
	// Attempt is the request that holds the key. It distinguishes a lost answer, whose
	// row is one's own, from a lost race.
	Attempt string    `json:"attempt"`
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
}

// claim is one key that waits for its transaction.
type claim struct {
	name    string
	attempt string
	result  chan result
}

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
	// released wakes Run after a release.
	released chan struct{}

	mu sync.Mutex
	// orphans are keys whose transaction may have taken effect although the
	// caller was told that nothing ran. They are given back.
	orphans map[string]orphan
}

// orphan is a claim that may hold its key for nothing.
type orphan struct {
	attempt string
	// rounds counts the tries to give it back. Its transaction may take effect
	// only after the first.
	rounds int
}

// giveBackRounds is how often an orphan is looked for: its row may be written late, by a transaction whose answer was
// lost.
const giveBackRounds = 3

// New returns a table. Run must be running for claims to be taken.
func New(host string, client *tableclient.Client, log *logrus.Entry, clock func() time.Time) *Table {
	return &Table{
		host: host, client: client, log: log, clock: clock, queue: make(chan *claim, maxWaiting),
		orphans: make(map[string]orphan), released: make(chan struct{}, 1),
	}
}

// Claim reserves a workspace's key for a request. It reports false if another
// request has it. The error is ErrUnavailable or that of ctx; the request must
// not run then.
func (t *Table) Claim(ctx context.Context, workspace, key, attempt string) (bool, error) {
	c := &claim{name: name(workspace, key), attempt: attempt, result: make(chan result, 1)}
	select {
	case t.queue <- c:
	default:
		return false, merry.Wrap(ErrUnavailable, merry.AppendMessage("too many claims wait"))
	}
	select {
	case r := <-c.result:
		return r.won, r.err
	case <-ctx.Done():
		t.orphan(c)
		return false, ctx.Err()
	}
}

func name(workspace, key string) string {
	return url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

// Release frees the key of a request whose request was refused and did not run, so that
// its caller can come back with the same key.
func (t *Table) Release(workspace, key, attempt string) {
	t.keep(name(workspace, key), orphan{attempt: attempt})
	lifetime.Wake(t.released)
}

// Run commits claims until done is closed.
func (t *Table) Run(done <-chan struct{}) {
	ctx, cancel := lifetime.Context(done)
	defer cancel()
	ticker := time.NewTicker(giveBackEvery)
	defer ticker.Stop()
	for {
		select {
		case first := <-t.queue:
			t.take(ctx, t.batch(first))
		case <-ticker.C:
			t.ReleaseOrphans(ctx)
		case <-t.released:
			t.ReleaseOrphans(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// giveBackEvery is how often claims are given back whose outcome was not known; those of refused requests are given
// back at once. Until then a caller that repeats its request is refused as if the first one still ran.
const giveBackEvery = 5 * time.Second

// batch gathers the claims that share a transaction. Two claims of the same key
// can't: the later one loses at once.
func (t *Table) batch(first *claim) map[string]*claim {
	batch := map[string]*claim{first.name: first}
	timer := time.NewTimer(gather)
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

// take commits a batch. Claims that lost leave it, and the rest tries again;
// when an answer is lost, the rows show in the next attempt who has them.
func (t *Table) take(ctx context.Context, batch map[string]*claim) {
	var err error
	for range maxAttempts {
		if len(batch) == 0 {
			return
		}
		var rows []tableclient.Row
		rows, err = t.client.Commit(ctx, t.transaction(batch))
		if err == nil {
			t.settle(batch, result{won: true})
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
		t.orphan(c)
	}
	t.settle(batch, result{err: merry.Wrap(ErrUnavailable, merry.WithCause(err))})
}

// lookUp reads the rows of a batch whose answer was lost. A claim without a row
// stays in the batch: its transaction may still be under way, and the next one
// finds that out.
func (t *Table) lookUp(ctx context.Context, batch map[string]*claim) {
	var rows []tableclient.Row
	for name := range batch {
		row, err := t.client.Read(ctx, rowKey(t.clock(), name))
		if errors.Is(err, tableclient.ErrUnavailable) {
			break // The rest would wait for the same.
		}
		if err == nil {
			rows = append(rows, row)
		}
	}
	t.resolve(batch, rows)
}

// resolve ends the claims whose rows exist: won if the row is their own.
func (t *Table) resolve(batch map[string]*claim, rows []tableclient.Row) {
	for _, row := range rows {
		c, ok := batch[nameOf(row.Key)]
		if !ok {
			continue
		}
		var held value
		if err := json.Unmarshal(row.Value, &held); err != nil {
			t.log.WithError(err).WithField("key", row.Key).Error("a claim can't be read")
		}
		c.result <- result{won: held.Attempt == c.attempt}
		delete(batch, c.name)
	}
}

func (t *Table) settle(batch map[string]*claim, r result) {
	for _, c := range batch {
		c.result <- r
	}
}

// transaction sets the rows of a batch if none of their keys exists in any
// bucket that a host with another clock might use.
func (t *Table) transaction(batch map[string]*claim) tableclient.Transaction {
	now := t.clock()
	var transaction tableclient.Transaction
	for name, c := range batch {
		for _, shift := range []time.Duration{-day, 0, day} {
			transaction.If = append(transaction.If, tableclient.Condition{Key: rowKey(now.Add(shift), name)})
		}
		data, err := json.Marshal(value{Attempt: c.attempt, Host: t.host, At: now})
		if err != nil {
			panic(err) // Plain structs always marshal.
		}
		transaction.Set = append(transaction.Set, tableclient.Write{Key: rowKey(now, name), Value: data})
	}
	return transaction
}

const (
	prefix    = "claims/"
	dayFormat = "2006-01-02"
)

func rowKey(at time.Time, name string) string {
	return prefix + at.UTC().Format(dayFormat) + "/" + name
}

// nameOf returns a row's key without its bucket.
func nameOf(key string) string {
	start := len(prefix) + len(dayFormat) + 1
	if len(key) < start {
		return ""
	}
	return key[start:]
}

// orphan notes a claim that may hold its key for nothing.
func (t *Table) orphan(c *claim) { t.keep(c.name, orphan{attempt: c.attempt}) }

func (t *Table) keep(name string, o orphan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.orphans) < maxWaiting {
		t.orphans[name] = o
	}
}

// ReleaseOrphans deletes the rows of orphaned claims, so that their callers can come
// back with the same key.
func (t *Table) ReleaseOrphans(ctx context.Context) {
	t.mu.Lock()
	orphans := t.orphans
	t.orphans = make(map[string]orphan)
	t.mu.Unlock()
	away := false
	for name, o := range orphans {
		if !away {
			// One failed call is enough: claims wait while this runs.
			away = t.giveBack(ctx, name, o.attempt) != nil
		}
		if !away {
			o.rounds++
		}
		if o.rounds < giveBackRounds {
			t.keep(name, o)
		}
	}
}

func (t *Table) giveBack(ctx context.Context, name, attempt string) error {
	for _, shift := range []time.Duration{-day, 0} {
		row, err := t.client.Read(ctx, rowKey(t.clock().Add(shift), name))
		if errors.Is(err, tableclient.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		var held value
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
