package settings

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Change is an accepted change of the tree. Its JSON encoding is stored and shown to
// operators; a stored change is never modified.
type Change struct {
	Revision uint64 `json:"revision"`
	// ID is chosen by the operator, so that a change can be found again if the response
	// to it was lost.
	ID string `json:"id"`
	// Base is the revision that the operator made the patch for.
	Base uint64 `json:"base"`
	// Patch is a JSON merge patch (RFC 7396) of the tree.
	Patch jsontext.Value `json:"patch"`
	// Who is the name of the operator's key.
	Who string    `json:"who"`
	At  time.Time `json:"at"`
}
