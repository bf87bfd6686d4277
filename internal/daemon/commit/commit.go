// Package commit stores operators' changes of the settings in the platform's table, for oxbowslipd. Each
// change is accepted by one transaction on the head row. A row for the ID of the change distinguishes a
// transaction whose response was lost from one that lost to another operator. The package relies on package
// poller, which defines and reads the rows, and on package change, which contains the rules for conflicts.
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

// ErrUnknown means that the outcome of a change is unknown. It is safe to send the change again with the same
// ID.
var ErrUnknown = merry.Sentinel("it is not known whether the change was accepted; send it again with the same ID")

// ErrUnavailable means that the change was not accepted, because the platform is unreachable or too many
// transactions lost to those of other operators.
var ErrUnavailable = merry.Sentinel("the platform is away; the change was not accepted")

// Conflict is the error for a change that touches the same paths as Other, which was accepted after the base
// of the change.
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
	// maxConflicts bounds the transactions of one change that may lose to those of other operators.
	maxConflicts = 8
	// maxLookups bounds the attempts to find out the outcome of a transaction whose response was lost.
	maxLookups = 5
	// lookupInterval is the time between these attempts. The transaction may still be in progress.
	lookupInterval = 200 * time.Millisecond
	// snapshotInterval is the number of changes between two snapshots. It bounds the changes that a new host
	// has to read.
	snapshotInterval = 32
)

// Committer commits the changes that one host accepts from operators.
type Committer struct {
	client *tableclient.Client
	clock  func() time.Time
}

// New returns a committer that writes through a client of the table.
func New(client *tableclient.Client, clock func() time.Time) *Committer {
	return &Committer{client: client, clock: clock}
}

// Commit stores a change whose ID, base, patch and operator are set, and returns its revision. If a change
// with the same ID was accepted before, Commit returns the revision of that change. The error is a *Conflict,
// a *strictjson.Error if the resulting tree would be invalid, change.ErrBadPatch, ErrUnavailable or
// ErrUnknown.
func (a *Committer) Commit(ctx context.Context, c settings.Change) (uint64, error) {
	if revision, err := a.findRevision(ctx, c.ID); err != nil || revision > 0 {
		return revision, wrapUnavailable(err)
	}
	for range maxConflicts {
		revision, err := a.attempt(ctx, c)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, tableclient.ErrConflict):
			if revision, err := a.findRevision(ctx, c.ID); err != nil || revision > 0 {
				return revision, wrapUnavailable(err)
			}
		case errors.Is(err, errAnswerLost):
			return a.resolveUnknown(ctx, c.ID)
		default:
			return 0, wrapUnavailable(err)
		}
	}
	return 0, merry.Wrap(ErrUnavailable, merry.AppendMessage("too many operators at once"))
}

// errAnswerLost means that the response to the transaction was lost, so that its outcome is unknown.
var errAnswerLost = merry.Sentinel("the response to the transaction was lost")

// wrapUnavailable wraps an error of the client in ErrUnavailable if the platform is unreachable.
func wrapUnavailable(err error) error {
	if errors.Is(err, tableclient.ErrUnavailable) {
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return err
}

// attempt makes one transaction on the current head.
func (a *Committer) attempt(ctx context.Context, c settings.Change) (uint64, error) {
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
	if c.Revision-head.Snapshot >= snapshotInterval {
		// The name contains the ID of the change, because another host may attempt to commit another change
		// as the same revision.
		name := poller.SnapshotName(c.Revision, c.ID)
		if err := a.client.PutObject(ctx, name, next.Data); err != nil {
			return 0, err
		}
		head.Snapshot, head.SnapshotName = c.Revision, name
	}
	_, err = a.client.Commit(ctx, transaction(row, head, &c))
	if errors.Is(err, tableclient.ErrUnavailable) {
		return 0, merry.Wrap(errAnswerLost, merry.WithCause(err))
	}
	return c.Revision, err
}

func transaction(row tableclient.Row, head poller.Head, c *settings.Change) tableclient.Transaction {
	return tableclient.Transaction{
		If: []tableclient.Condition{{Key: poller.HeadKey, Version: row.Version}, {Key: idKey(c.ID)}},
		Set: []tableclient.Write{
			{Key: poller.HeadKey, Value: encode(head)},
			{Key: poller.ChangeKey(c.Revision), Value: encode(c)},
			{Key: idKey(c.ID), Value: encode(changeIDRow{c.Revision})},
		},
	}
}

// changeIDRow is the value of the row of a change ID.
type changeIDRow struct {
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

// checkConflict compares a change with all changes that were accepted since its base.
func (a *Committer) checkConflict(ctx context.Context, c *settings.Change, head uint64) error {
	paths, err := change.TouchedPaths(c.Patch)
	if err != nil {
		return err
	}
	for revision := c.Base + 1; revision <= head; revision++ {
		other, err := poller.ReadChange(ctx, a.client, revision)
		if err != nil {
			return err
		}
		otherPaths, err := change.TouchedPaths(other.Patch)
		if err != nil {
			return err
		}
		if overlap := change.OverlappingPaths(paths, otherPaths); len(overlap) > 0 {
			return &Conflict{Other: other, Paths: overlap}
		}
	}
	return nil
}

// findRevision returns the revision of an accepted change, or 0 if there is no change with the ID.
func (a *Committer) findRevision(ctx context.Context, id string) (uint64, error) {
	row, err := a.client.Read(ctx, idKey(id))
	if errors.Is(err, tableclient.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var value changeIDRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return 0, merry.Prepend(err, "change ID's row")
	}
	return value.Revision, nil
}

// resolveUnknown finds out the outcome of a transaction whose response was lost. A missing row does not mean
// that the transaction failed, since it may still be in progress.
func (a *Committer) resolveUnknown(ctx context.Context, id string) (uint64, error) {
	for range maxLookups {
		if revision, err := a.findRevision(ctx, id); err == nil && revision > 0 {
			return revision, nil
		}
		select {
		case <-time.After(lookupInterval):
		case <-ctx.Done():
			return 0, merry.Wrap(ErrUnknown)
		}
	}
	return 0, merry.Wrap(ErrUnknown)
}
