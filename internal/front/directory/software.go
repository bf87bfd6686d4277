package directory

import (
	"slices"
	"strconv"
	"strings"

	"oxbowslip.dev/oxbowslip/internal/front/keys"
)

// startSeparator separates the software version of an endpoint from the time of its start.
const startSeparator = " of "

// InstanceVersion returns the version of an entry: that of the endpoint's software, and the start of the endpoint in Unix
// milliseconds if it is known, so that two starts under one ID differ.
func InstanceVersion(software string, startMs int64) string {
	if startMs == 0 {
		return software
	}
	return software + startSeparator + strconv.FormatInt(startMs, 10)
}

// SoftwareVersion returns the version of the software in the version of an entry. It undoes InstanceVersion.
func SoftwareVersion(instance string) string {
	at := strings.LastIndex(instance, startSeparator)
	if at < 0 {
		return instance
	}
	if _, err := strconv.ParseInt(instance[at+len(startSeparator):], 10, 64); err != nil {
		return instance
	}
	return instance[:at]
}

// SoftwareVersion returns the software version of an endpoint, and whether the endpoint exists.
func (d *Directory) SoftwareVersion(id string) (string, bool) {
	endpoint, ok := d.Lookup(id)
	return SoftwareVersion(endpoint.Version), ok
}

// VersionOfKey returns the key of the software version of the endpoint with a key, or 0 if there is none. It reads the whole
// directory.
func (d *Directory) VersionOfKey(key keys.Endpoint) keys.Version {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for id, entry := range d.entries {
		if keys.OfEndpoint(id) == key {
			return keys.OfVersion(SoftwareVersion(entry.Endpoint.Version))
		}
	}
	return 0
}

// VersionCount is a software version and the number of endpoints that run it.
type VersionCount struct {
	Version   string
	Endpoints int
}

// Versions returns the software versions of the endpoints of a service, leaving ones included, sorted. The list is shared
// and must not be modified.
func (d *Directory) Versions(service string) []VersionCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions, isCounted := d.versions[service]
	if isCounted {
		return versions
	}
	x := d.index(service)
	for _, entries := range [][]*Entry{x.Serving, x.Leaving} {
		for _, e := range entries {
			versions = addVersion(versions, SoftwareVersion(e.Endpoint.Version))
		}
	}
	d.versions[service] = versions
	return versions
}

// addVersion counts an endpoint of a version in a sorted list.
func addVersion(counts []VersionCount, version string) []VersionCount {
	at, known := slices.BinarySearchFunc(counts, version, func(c VersionCount, version string) int { return strings.Compare(c.Version, version) })
	if !known {
		counts = slices.Insert(counts, at, VersionCount{Version: version})
	}
	counts[at].Endpoints++
	return counts
}
