// Package commit stores operators' changes of the settings in the platform's table, for oxbowslipd.
// A change is accepted by one transaction on the head row; its ID distinguishes a lost answer from a
// lost race. The form of the rows is in package poller, which reads them; the rules for conflicts are
// in package change.
package commit

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// ErrUnknown means that it is not known whether a change was accepted. Sending it
// again with the same ID is safe.
var ErrUnknown = merry.Sentinel("it is not known whether the change was accepted; send it again with the same ID")

// ErrUnavailable means that the platform can't be reached and the change was not
// accepted.
var ErrUnavailable = merry.Sentinel("the platform is away; the change was not accepted")

// Conflict is a change that was accepted after the base of another and touches
// the same paths.
type Conflict struct {
	Other settings.Change
	Paths []string
}

// Error describes the conflict.
func (c *Conflict) Error() string {
	return "conflicts with a change that was accepted since"
}

// The limits of one change.
const (
	// maxRaces bounds the transactions that may lose against other operators.
	maxRaces = 8
	// maxLookups bounds the tries to find out what became of a lost answer.
	maxLookups = 5
	// lookupPause is the time between them: a transaction whose answer was lost may still be
	// on its way.
	lookupPause = 200 * time.Millisecond
	// snapshotEvery is how many changes a new host reads at most after the
	// snapshot.
	snapshotEvery = 32
)

// Committer accepts changes for one host.
type Committer struct {
	client *tableclient.Client
	clock  func() time.Time
}

// New returns a committer that writes through a client of the table.
func New(client *tableclient.Client, clock func() time.Time) *Committer {
	return &Committer{client: client, clock: clock}
}

// Commit stores a change whose ID, base, patch and operator are set, and returns
// its revision. A change with an ID that was accepted before returns that revision
// again. The error is a *Conflict, a *strictjson.Error if the tree would not be
// valid, ErrUnavailable or ErrUnknown.
func (a *Committer) Commit(ctx context.Context, c settings.Change) (uint64, error) {
	if revision, err := a.find(ctx, c.ID); err != nil || revision > 0 {
		return revision, away(err)
	}
	for range maxRaces {
		revision, err := a.try(ctx, c)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, tableclient.ErrConflict):
			if revision, err := a.find(ctx, c.ID); err != nil || revision > 0 {
				return revision, away(err)
			}
		case errors.Is(err, errLost):
			return a.lookUp(ctx, c.ID)
		default:
			return 0, away(err)
		}
	}
	return 0, merry.Wrap(ErrUnavailable, merry.AppendMessage("too many operators at once"))
}

// errLost reports that the answer to the transaction was lost.
var errLost = merry.Sentinel("answer lost")

func away(err error) error {
	if errors.Is(err, tableclient.ErrUnavailable) {
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return err
}

// try makes one transaction on the head as it is now.
func (a *Committer) try(ctx context.Context, c settings.Change) (uint64, error) {
	row, head, err := poller.ReadHead(ctx, a.client)
	if err != nil {
		return 0, err
	}
	document, err := poller.ReadDocument(ctx, a.client, head, change.Document{})
	if err != nil {
		return 0, err
	}
	if err := a.checkConflict(ctx, &c, head.Revision); err != nil {
		return 0, err
	}
	c.Revision = head.Revision + 1
	c.At = a.clock()
	next, err := document.Apply(&c)
	if err != nil {
		return 0, err
	}
	if _, err := next.Tree(); err != nil {
		return 0, err
	}
	head.Revision = c.Revision
	if c.Revision-head.Snapshot >= snapshotEvery {
		// The name carries the change's ID: another host may try to accept
		// another change as the same revision.
		name := poller.SnapshotName(c.Revision, c.ID)
		if err := a.client.PutObject(ctx, name, next.Data); err != nil {
			return 0, err
		}
		head.Snapshot, head.SnapshotName = c.Revision, name
	}
	_, err = a.client.Commit(ctx, transaction(row, head, &c))
	if errors.Is(err, tableclient.ErrUnavailable) {
		return 0, merry.Wrap(errLost, merry.WithCause(err))
	}
	return c.Revision, err
}

func transaction(row tableclient.Row, head poller.Head, c *settings.Change) tableclient.Transaction {
	return tableclient.Transaction{
		If: []tableclient.Condition{{Key: poller.HeadKey, Version: row.Version}, {Key: idKey(c.ID)}},
		Set: []tableclient.Write{
			{Key: poller.HeadKey, Value: encode(head)},
			{Key: poller.ChangeKey(c.Revision), Value: encode(c)},
			{Key: idKey(c.ID), Value: encode(accepted{c.Revision})},
		},
	}
}

// accepted is the value of a change ID's row.
type accepted struct {
	Revision uint64 `json:"revision"`
}

func idKey(id string) string { return "settings/id/" + url.PathEscape(id) }

func encode(value any) jsontext.Value {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	return data
}

// checkConflict compares a change with all that were accepted since its base.
func (a *Committer) checkConflict(ctx context.Context, c *settings.Change, head uint64) error {
	mine, err := change.TouchedPaths(c.Patch)
	if err != nil {
		return err
	}
	for revision := c.Base + 1; revision <= head; revision++ {
		other, err := poller.ReadChange(ctx, a.client, revision)
		if err != nil {
			return err
		}
		theirs, err := change.TouchedPaths(other.Patch)
		if err != nil {
			return err
		}
		if both := change.OverlappingPaths(mine, theirs); len(both) > 0 {
			return &Conflict{Other: other, Paths: both}
		}
	}
	return nil
}

// find returns the revision of a change that was accepted, or 0.
func (a *Committer) find(ctx context.Context, id string) (uint64, error) {
	row, err := a.client.Read(ctx, idKey(id))
	if errors.Is(err, tableclient.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var value accepted
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, merry.Prepend(err, "change ID's row")
	}
	return value.Revision, nil
}

// lookUp finds out what became of a transaction whose answer was lost. That its
// row is not there is no answer: the transaction may still be under way.
func (a *Committer) lookUp(ctx context.Context, id string) (uint64, error) {
	for range maxLookups {
		if revision, err := a.find(ctx, id); err == nil && revision > 0 {
			return revision, nil
		}
		select {
		case <-time.After(lookupPause):
		case <-ctx.Done():
			return 0, merry.Wrap(ErrUnknown)
		}
	}
	return 0, merry.Wrap(ErrUnknown)
}
