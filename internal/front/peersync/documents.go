package peersync

import (
	"bytes"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxPatchBytes bounds a change of the settings that is sent with heartbeats; peers fetch a larger one. A datagram
// that spans several packets is lost if any of them is. A patch that changes one key of 1,000 takes less than 200
// bytes (package pack).
const maxPatchBytes = 2048

// documents holds the configuration in force as the operator wrote it, and compresses it for peers: as a patch for
// those that have the previous one, or alone.
type documents struct {
	mu       sync.Mutex
	newest   settings.Raw
	revision uint64
	// previous is the configuration that was in force before the newest.
	previous         settings.Raw
	previousRevision uint64
	// compressedWhole and patch are the newest configuration, compressed alone and against the previous one. They
	// are nil until needed.
	compressedWhole []byte
	patch           []byte
	// heartbeatsLeft is the number of further heartbeats that carry the patch.
	heartbeatsLeft int
}

// setNewest stores the configuration that came into force, if it is newer.
func (d *documents) setNewest(document settings.Raw, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.revision {
		return
	}
	d.previous, d.previousRevision = d.newest, d.revision
	d.newest, d.revision = document, revision
	d.compressedWhole, d.patch, d.heartbeatsLeft = nil, nil, 0
}

// current returns the newest configuration.
func (d *documents) current() settings.Raw {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// isNewest reports whether a configuration equals the newest one.
func (d *documents) isNewest(document settings.Raw) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Equal(document, d.newest)
}

// schedulePatch adds the newest change to the next heartbeats, if it is small enough.
func (d *documents) schedulePatch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.previousRevision == 0 {
		return nil
	}
	if err := d.makePatch(); err != nil {
		return err
	}
	if len(d.patch) <= maxPatchBytes {
		d.heartbeatsLeft = heartbeatsPerChange
	}
	return nil
}

// nextPatch returns the patch for the next heartbeat, or nil.
func (d *documents) nextPatch() *gossip.SettingsPatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heartbeatsLeft == 0 {
		return nil
	}
	d.heartbeatsLeft--
	return &gossip.SettingsPatch{From: d.previousRevision, To: d.revision, Data: d.patch}
}

// compressFor returns the newest configuration for a peer that has a revision, and the revision that it is
// compressed against, or 0. It returns no data if the peer's revision is not older.
func (d *documents) compressFor(peerRevision uint64) (data []byte, base uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision <= peerRevision {
		return nil, 0, nil
	}
	if peerRevision != 0 && peerRevision == d.previousRevision {
		err = d.makePatch()
		return d.patch, d.previousRevision, err
	}
	if d.compressedWhole == nil {
		d.compressedWhole, err = pack.Compress(nil, d.newest)
	}
	return d.compressedWhole, 0, err
}

// decompress returns a configuration that a peer compressed, or false if it was compressed against another revision
// than the newest one here.
func (d *documents) decompress(base uint64, data []byte) (settings.Raw, bool, error) {
	d.mu.Lock()
	newest, revision := d.newest, d.revision
	d.mu.Unlock()
	if base == 0 {
		newest = nil
	} else if base != revision {
		return nil, false, nil
	}
	document, err := pack.Decompress(newest, data)
	return document, err == nil, err
}

// makePatch compresses the newest configuration against the previous one. The lock is held.
func (d *documents) makePatch() (err error) {
	if d.patch == nil {
		d.patch, err = pack.Compress(d.previous, d.newest)
	}
	return err
}
