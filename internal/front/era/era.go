// Package era orders the revisions of a store that may come back from an older copy of itself.
//
// Each time it does, its numbers go back and are given out again, and a new era begins. A revision is the era together with
// the number, in one integer of which the era has the upper bits: a later revision is the greater one, also where its number
// is lower. Stores that name no era are in era 0, in which a revision is the number alone. All that hosts keep, compare or
// send of the store's numbers are revisions; only package platform takes them apart, for calls to the store.
package era

import (
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

const (
	// numberBits are enough for a thousand writes a second for thirty years.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// ErrTooLarge is returned for an era or a number that no revision can have.
var ErrTooLarge = merry.Sentinel("too large for a revision")

// Revision returns the revision with a number in an era.
func Revision(era, number uint64) (uint64, error) {
	if era > maxEra || number > maxNumber {
		return 0, merry.Prependf(ErrTooLarge, "era %d, number %d", era, number)
	}
	return era<<numberBits | number, nil
}

// Of returns the era of a revision.
func Of(revision uint64) uint64 { return revision >> numberBits }

// Number returns the number of a revision in its era.
func Number(revision uint64) uint64 { return revision & maxNumber }

// First returns the least revision of the era that a revision is of.
func First(revision uint64) uint64 { return revision &^ maxNumber }

// Log returns a log whose lines name a revision, as "revision", the number, and "era".
func Log(log *logrus.Entry, revision uint64) *logrus.Entry {
	return log.WithFields(logrus.Fields{"revision": Number(revision), "era": Of(revision)})
}
