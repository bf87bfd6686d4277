package peersync

import (
	"bytes"
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

// maxPatch is the size in bytes up to which a change of the settings goes with a heartbeat. A larger one is fetched: a
// datagram that takes several packets is lost with any of them. One changed key of 1,000 takes under 200 bytes (package
// pack).
const maxPatch = 2048

// documents keeps the configuration in force as the deployment wrote it, compressed for
// peers: as a patch for those that have the one before, or by itself.
type documents struct {
	mu       sync.Mutex
	newest   settings.Raw
	revision uint64
	// before is the configuration that was in force before.
	before         settings.Raw
	beforeRevision uint64
	// whole and patch are the newest one compressed by itself and against the one before; nil
	// until they are asked for.
	whole []byte
	patch []byte
	// heartbeats is in how many more heartbeats the patch is sent.
	heartbeats int
}

// keep keeps the configuration that came into force, if it is newer.
func (d *documents) keep(document settings.Raw, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.revision {
		return
	}
	d.before, d.beforeRevision = d.newest, d.revision
	d.newest, d.revision = document, revision
	d.whole, d.patch, d.heartbeats = nil, nil, 0
}

// current returns the configuration that came into force last.
func (d *documents) current() settings.Raw {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// isNewest reports whether a configuration is the one that came into force last.
func (d *documents) isNewest(document settings.Raw) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return bytes.Equal(document, d.newest)
}

// sendPatch lets the next heartbeats carry the newest change, if it is small enough.
func (d *documents) sendPatch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.beforeRevision == 0 {
		return nil
	}
	if err := d.makePatch(); err != nil {
		return err
	}
	if len(d.patch) <= maxPatch {
		d.heartbeats = heartbeatsPerChange
	}
	return nil
}

// nextPatch returns the change for the next heartbeat, or nil.
func (d *documents) nextPatch() *gossip.SettingsPatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heartbeats == 0 {
		return nil
	}
	d.heartbeats--
	return &gossip.SettingsPatch{From: d.beforeRevision, To: d.revision, Data: d.patch}
}

// compressed returns the newest configuration for a peer that has a revision, and the
// revision that it is compressed against (0 for none). It returns nothing if the peer's is
// not older.
func (d *documents) compressed(has uint64) (data []byte, base uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision <= has {
		return nil, 0, nil
	}
	if has != 0 && has == d.beforeRevision {
		err = d.makePatch()
		return d.patch, d.beforeRevision, err
	}
	if d.whole == nil {
		d.whole, err = pack.Compress(nil, d.newest)
	}
	return d.whole, 0, err
}

// decompress returns the configuration that a peer compressed, or false if it was compressed
// against another revision than the one in force here.
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

// makePatch compresses the newest configuration against the one before. The lock is held.
func (d *documents) makePatch() (err error) {
	if d.patch == nil {
		d.patch, err = pack.Compress(d.before, d.newest)
	}
	return err
}
