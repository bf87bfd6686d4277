package operator

import (
	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// ErrChangeNotFound is the error of Changes.Find for a revision without a change.
var ErrChangeNotFound = merry.Sentinel("no such change")

// Cause is the reason why a change was not accepted.
type Cause int

// The causes.
const (
	// CauseUnavailable means that the store can't be reached. The change was not accepted.
	CauseUnavailable Cause = iota
	// CauseConflict means that a change accepted after the operator's base modifies the same paths.
	CauseConflict
	// CauseInvalid means that the patch is malformed or the resulting tree is invalid.
	CauseInvalid
	// CauseUnknown means that the change may have been accepted. Sending it again with the
	// same ID is safe.
	CauseUnknown
)

// ChangeError reports a change that was not accepted, or whose result is unknown.
type ChangeError struct {
	Cause Cause
	// Detail is the message for the operator.
	Detail string
	// Faults are the faults of the tree that the change would result in.
	Faults []strictjson.Fault
	// Other is the conflicting change. Paths are the paths that both changes modify.
	Other *settings.Change
	Paths []string
}

// Error returns Detail.
func (e *ChangeError) Error() string { return e.Detail }
