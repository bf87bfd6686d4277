package peersync

import (
	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxVersions bounds the configurations in versionHashes.
const maxVersions = 256

// versionHashes maps the Version that the operator gave a configuration to a hash of its contents. After a restore
// of the store, the operator can reuse a Version for other contents.
type versionHashes struct {
	// hashes are the hashes by Version, order the Versions from oldest to newest.
	hashes map[uint64]uint64
	order  []uint64
}

// record adds a configuration, and evicts the oldest if there are too many.
func (v *versionHashes) record(version uint64, document settings.Raw) {
	if v.hashes == nil {
		v.hashes = make(map[uint64]uint64)
	}
	if !v.has(version) {
		v.order = append(v.order, version)
	}
	v.hashes[version] = xxhash.Sum64(document)
	if len(v.order) > maxVersions {
		delete(v.hashes, v.order[0])
		v.order = v.order[1:]
	}
}

func (v *versionHashes) has(version uint64) bool {
	_, ok := v.hashes[version]
	return ok
}

// conflicts reports whether a Version was recorded with other contents.
func (v *versionHashes) conflicts(version uint64, document settings.Raw) bool {
	content, ok := v.hashes[version]
	return ok && content != xxhash.Sum64(document)
}

// revisionNumber returns the number of a configuration: its Version, in the era of the store in which it is known to
// have been written. A Version that is too large for an era is used as it is.
func revisionNumber(writtenIn, version uint64) uint64 {
	number, err := era.Revision(writtenIn, version)
	if err != nil {
		return version
	}
	return number
}
