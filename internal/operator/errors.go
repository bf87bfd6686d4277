package operator

import (
	"github.com/ansel1/merry/v2"

	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// ErrChangeNotFound is the error of Changes.Find for a revision that no change has.
var ErrChangeNotFound = merry.Sentinel("no such change")

// Cause is why a change was not accepted.
type Cause int

// The causes.
const (
	// CauseUnavailable: the store can't be reached; the change was not accepted.
	CauseUnavailable Cause = iota
	// CauseConflict: a change accepted since the operator's base touches the same paths.
	CauseConflict
	// CauseInvalid: the patch is malformed, or the tree would not be valid.
	CauseInvalid
	// CauseUnknown: it is not known whether the change was accepted. Sending it again with
	// the same ID is safe.
	CauseUnknown
)

// ChangeError is a change that was not accepted, or of which that is not known.
type ChangeError struct {
	Cause Cause
	// Detail is a sentence for the operator.
	Detail string
	// Faults lists what would be wrong with the tree.
	Faults []strictjson.Fault
	// Other is the change in conflict, Paths what both touch.
	Other *settings.Change
	Paths []string
}

// Error returns the sentence for the operator.
func (e *ChangeError) Error() string { return e.Detail }
