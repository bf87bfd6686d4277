package daemon

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"oxbowslip.dev/oxbowslip/internal/daemon/change"
	"oxbowslip.dev/oxbowslip/internal/daemon/commit"
	"oxbowslip.dev/oxbowslip/internal/daemon/poller"
	"oxbowslip.dev/oxbowslip/internal/daemon/tableclient"
	"oxbowslip.dev/oxbowslip/internal/operator"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// changes implements operator.Changes: operators change the settings through this host.
type changes struct {
	committer *commit.Committer
	follower  *poller.Follower
	client    *tableclient.Client
	log       *logrus.Entry
}

// Accept commits a change and polls the settings, so that it is in force on this host when it
// returns.
func (c changes) Accept(ctx context.Context, change settings.Change) (uint64, error) {
	revision, err := c.committer.Commit(ctx, change)
	if err != nil {
		return 0, changeError(err)
	}
	c.log.WithFields(logrus.Fields{"revision": revision, "who": change.Who, "change": change.ID}).Info("change accepted")
	c.follower.Poll(ctx)
	return revision, nil
}

// Find returns the accepted change of a revision.
func (c changes) Find(ctx context.Context, revision uint64) (settings.Change, error) {
	found, err := poller.ReadChange(ctx, c.client, revision)
	if errors.Is(err, tableclient.ErrNotFound) {
		return found, merry.Wrap(operator.ErrChangeNotFound, merry.WithCause(err))
	}
	return found, err
}

// changeError converts the error of a commit to the error that operators receive.
func changeError(err error) *operator.ChangeError {
	var conflict *commit.Conflict
	var faults *strictjson.Error
	answer := &operator.ChangeError{Cause: operator.CauseUnavailable, Detail: err.Error()}
	switch {
	case errors.As(err, &conflict):
		answer.Cause, answer.Other, answer.Paths = operator.CauseConflict, &conflict.Other, conflict.Paths
	case errors.As(err, &faults):
		answer.Cause, answer.Detail, answer.Faults = operator.CauseInvalid, "the tree would not be valid", faults.Faults
	case errors.Is(err, change.ErrBadPatch):
		answer.Cause = operator.CauseInvalid
	case errors.Is(err, commit.ErrUnknown):
		answer.Cause = operator.CauseUnknown
	}
	return answer
}
