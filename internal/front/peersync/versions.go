package peersync

import (
	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxVersions bounds the configurations that are remembered.
const maxVersions = 256

// versionHashes remembers configurations by the Version that the operator gave them. A store that has come back from an older copy lets
// the operator give out the same ones again, with other contents.
type versionHashes struct {
	// hashes are hashes of the configurations, order their Versions from the oldest on.
	hashes map[uint64]uint64
	order  []uint64
}

// record remembers a configuration.
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

// conflicts reports whether another configuration had a Version.
func (v *versionHashes) conflicts(version uint64, document settings.Raw) bool {
	content, ok := v.hashes[version]
	return ok && content != xxhash.Sum64(document)
}

// revisionNumber returns the number of a configuration: its Version, in the era of the store in which it is known to have been
// written. A Version that is too large for an era is the number alone.
func revisionNumber(writtenIn, version uint64) uint64 {
	number, err := era.Revision(writtenIn, version)
	if err != nil {
		return version
	}
	return number
}
