package peersync

import (
	"github.com/cespare/xxhash/v2"

	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxVersions bounds the configurations that are remembered.
const maxVersions = 256

// versions remembers configurations by the Version that the operator gave them. A store that has come back from an older copy lets
// the operator give out the same ones again, with other contents.
type versions struct {
	// contents are hashes of the configurations, order their Versions from the oldest on.
	contents map[uint64]uint64
	order    []uint64
}

// note remembers a configuration.
func (v *versions) note(version uint64, document settings.Raw) {
	if v.contents == nil {
		v.contents = make(map[uint64]uint64)
	}
	if !v.has(version) {
		v.order = append(v.order, version)
	}
	v.contents[version] = xxhash.Sum64(document)
	if len(v.order) > maxVersions {
		delete(v.contents, v.order[0])
		v.order = v.order[1:]
	}
}

func (v *versions) has(version uint64) bool {
	_, ok := v.contents[version]
	return ok
}

// contradicts reports whether another configuration had a Version.
func (v *versions) contradicts(version uint64, document settings.Raw) bool {
	content, ok := v.contents[version]
	return ok && content != xxhash.Sum64(document)
}

// numberOf returns the number of a configuration: its Version, in the era of the store in which it is known to have been
// written. A Version that is too large for an era is the number alone.
func numberOf(writtenIn, version uint64) uint64 {
	number, err := era.Revision(writtenIn, version)
	if err != nil {
		return version
	}
	return number
}
