package front

import (
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/gossip"
	"oxbowslip.dev/oxbowslip/internal/front/pack"
)

const (
	// beatsPerPatch is in how many beats a change of the settings is told.
	beatsPerPatch = 3
	// maxPatch is the size, in bytes, up to which a change goes with a beat. A larger
	// one is fetched: a datagram of many packets is lost with any of them.
	maxPatch = 2048
)

// documents keeps the configuration in force as the deployment wrote it, packed for
// peers that lack it: as a patch for those that hold the one before, or by itself.
type documents struct {
	mu       sync.Mutex
	newest   Document
	revision uint64
	// before is the configuration that was in force before, in case a patch is wanted.
	before         Document
	beforeRevision uint64
	// whole and patch are the newest one packed, or nil if nobody has asked yet.
	whole []byte
	patch []byte
	// beats is in how many more beats the patch is told.
	beats int
}

// keep takes the configuration that came into force, if it is newer.
func (d *documents) keep(document Document, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision <= d.revision {
		return
	}
	d.before, d.beforeRevision = d.newest, d.revision
	d.newest, d.revision = document, revision
	d.whole, d.patch, d.beats = nil, nil, 0
}

// tellPatch lets the next beats carry the newest change, if it is small enough.
func (d *documents) tellPatch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.beforeRevision == 0 {
		return nil
	}
	if err := d.makePatch(); err != nil {
		return err
	}
	if len(d.patch) <= maxPatch {
		d.beats = beatsPerPatch
	}
	return nil
}

// nextPatch gives the change for the next beat, or nil.
func (d *documents) nextPatch() *gossip.SettingsPatch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.beats == 0 {
		return nil
	}
	d.beats--
	return &gossip.SettingsPatch{From: d.beforeRevision, To: d.revision, Data: d.patch}
}

// packed gives the newest configuration for a peer that has a revision, and the
// revision that it is packed on, or nothing if the peer's is not older.
func (d *documents) packed(has uint64) (data []byte, base uint64, err error) {
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
		d.whole, err = pack.Patch(nil, d.newest)
	}
	return d.whole, 0, err
}

// unpack gives the configuration that a peer has packed, or false if it was packed on
// another base than the one in force here.
func (d *documents) unpack(base uint64, packed []byte) (Document, bool, error) {
	d.mu.Lock()
	newest, revision := d.newest, d.revision
	d.mu.Unlock()
	if base == 0 {
		newest = nil
	} else if base != revision {
		return nil, false, nil
	}
	document, err := pack.Apply(newest, packed)
	return document, err == nil, err
}

// makePatch packs the newest configuration on the one before. The lock is held.
func (d *documents) makePatch() (err error) {
	if d.patch == nil {
		d.patch, err = pack.Patch(d.before, d.newest)
	}
	return err
}
