package origin

import (
	"context"

	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// Store keeps what must outlast the end of all hosts.
type Store interface {
	// Load returns everything that is stored.
	Load(ctx context.Context) (Saved, error)
	// Save stores a change, as a whole or not at all.
	Save(ctx context.Context, change Change) error
}

// ServiceVersion is a software version of a service.
type ServiceVersion struct {
	Service keys.Service
	Version keys.Version
}

// NamedVersion is a ServiceVersion with its names, for operators.
type NamedVersion struct {
	ServiceVersion

	ServiceName, VersionName string
}

// NameVersion returns the version of a service by their names.
func NameVersion(service, version string) NamedVersion {
	return NamedVersion{ServiceVersion{keys.OfService(service), keys.OfVersion(version)}, service, version}
}

// Saved is what is stored.
type Saved struct {
	// Versions are those at which streams may have begun recently.
	Versions []ServiceVersion
	Batches  []Batch
}

// Batch is a stored row of records.
type Batch struct {
	// ID identifies the row.
	ID      string
	Records []SavedRecord
}

// SavedRecord is a Record in the store.
type SavedRecord struct {
	Stream  keys.Stream
	Service keys.Service
	Version keys.Version
	// Until is when the record expires, by the store's clock.
	Until freshness.StoreTime
}

// Change is a change of what is stored.
type Change struct {
	// Versions are stored, Dropped are removed.
	Versions []NamedVersion
	Dropped  []ServiceVersion
	// Batches are stored, Expired are the IDs of those that are removed.
	Batches []Batch
	Expired []string
}

func (c *Change) isEmpty() bool {
	return len(c.Versions)+len(c.Dropped)+len(c.Batches)+len(c.Expired) == 0
}

// expiry returns when the last record of a batch expires.
func (b *Batch) expiry() freshness.StoreTime {
	var last freshness.StoreTime
	for i := range b.Records {
		last = max(last, b.Records[i].Until)
	}
	return last
}
