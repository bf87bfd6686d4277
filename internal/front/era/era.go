// Package era orders the revisions of a store that may be restored from backup.
//
// After a restore the store's numbers go back and are assigned again, and a new era begins. A revision combines the
// era (upper bits) and the number in one integer, so that a later revision is always greater, also if its number is
// lower. Stores that report no era are in era 0, in which a revision equals its number. Hosts store, compare and
// send only revisions; package platform alone splits them, for calls to the store.
package era

import (
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

const (
	// numberBits suffice for 1,000 writes/s over thirty years.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrTooLarge is returned for an era or a number that does not fit in a revision.
var ErrTooLarge = merry.Sentinel("era or number too large for a revision, expected an era below 2^24 and a number below 2^40")

// Revision returns the revision of a number in an era.
func Revision(era, number uint64) (uint64, error) {
	if era > maxEra || number > maxNumber {
		return 0, merry.Prependf(ErrTooLarge, "era %d, number %d", era, number)
	}
	return era<<numberBits | number, nil
}

// Of returns the era of a revision.
func Of(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number of a revision within its era.
func Number(revision uint64) uint64 { return revision & maxNumber }

// First returns the lowest revision in the era of a revision.
func First(revision uint64) uint64 { return revision &^ maxNumber }

// Log returns a log entry with the fields "revision", the number, and "era".
func Log(log *logrus.Entry, revision uint64) *logrus.Entry {
	return log.WithFields(logrus.Fields{"revision": Number(revision), "era": Of(revision)})
}
