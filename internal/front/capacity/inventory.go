package capacity

import (
	"sync"

	"oxbowslip.dev/oxbowslip/internal/front/follow"
)

// Endpoint is the part of an entry of the store that matters for orders.
type Endpoint struct {
	ID      string
	Service string
	Zone    string
	Spot    bool
	Leaving bool
}

// Change sets the entry of an endpoint, or removes it if Gone is set.
type Change struct {
	Endpoint Endpoint
	Gone     bool
}

// Inventory holds all endpoints in the store. It is kept up to date only while this host leads. It implements
// follow.Sink and is safe for concurrent use.
type Inventory struct {
	// isLeaving reports whether an endpoint is known to leave from another source than its entry.
	isLeaving func(id string) bool

	mu        sync.Mutex
	revision  uint64
	endpoints map[string]Endpoint
}

// NewInventory returns an empty inventory. IsLeaving reports whether an endpoint is known to leave before its entry
// says so: the sooner its replacement is ordered, the shorter the shortage.
func NewInventory(isLeaving func(id string) bool) *Inventory {
	return &Inventory{isLeaving: isLeaving, endpoints: make(map[string]Endpoint)}
}

// Revision returns the revision of the store up to which the inventory is complete, or 0 if it has not been read.
func (i *Inventory) Revision() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.revision
}

// Reset empties the inventory, so that it is read completely before it is used again.
func (i *Inventory) Reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.revision = 0
	clear(i.endpoints)
}

// Replace replaces all endpoints.
func (i *Inventory) Replace(batch follow.Batch[Change]) {
	i.mu.Lock()
	clear(i.endpoints)
	i.mu.Unlock()
	i.Apply(batch)
}

// Apply applies changes.
func (i *Inventory) Apply(batch follow.Batch[Change]) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.revision = max(i.revision, batch.Revision)
	for _, change := range batch.Items {
		if change.Gone {
			delete(i.endpoints, change.Endpoint.ID)
			continue
		}
		i.endpoints[change.Endpoint.ID] = change.Endpoint
	}
}

// Fleet returns the current number of endpoints of a service, by place.
func (i *Inventory) Fleet(service string) Fleet {
	i.mu.Lock()
	defer i.mu.Unlock()
	fleet := make(Fleet)
	for _, e := range i.endpoints {
		if e.Service != service {
			continue
		}
		place := Place{Zone: e.Zone, Kind: Regular}
		if e.Spot {
			place.Kind = Spot
		}
		count := fleet[place]
		if e.Leaving || i.isLeaving(e.ID) {
			count.Leaving++
		} else {
			count.Ready++
		}
		fleet[place] = count
	}
	return fleet
}
