// Package explain stores the routing decisions for the last requests of a host, so that an operator can
// find out why a request ran on an endpoint, waited or was refused. Both programs use it. It owns the
// stored records, which include no contents of requests.
package explain

import (
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/admission"
)

// Limits of the memory for records.
const (
	// maxRecords is the maximum number of stored requests.
	maxRecords = 4096
	// maxSteps is the maximum number of steps of one request. Each attempt takes a few steps.
	maxSteps = 32
	// maxIDBytes is the maximum length of the ID of a stored request. Callers choose the IDs.
	maxIDBytes = 256
)

// Step is one event in the processing of a request.
type Step struct {
	At time.Time `json:"at"`
	// What is the short name of the step, such as "grant" or "refused".
	What     string `json:"what"`
	Endpoint string `json:"endpoint,omitzero"`
	Reason   string `json:"reason,omitzero"`
	// Scheduler is the host that made the decision.
	Scheduler string             `json:"scheduler,omitzero"`
	Figures   *admission.Figures `json:"figures,omitzero"`
}

// Record is the stored information about one request.
type Record struct {
	ID        string `json:"id"`
	Host      string `json:"host"`
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Shard     string `json:"shard"`
	Tier      int    `json:"tier"`
	Steps     []Step `json:"steps"`
	// Dropped is the number of steps that were not stored because of the limit.
	Dropped int `json:"dropped,omitzero"`
}

// Ring stores the last records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records map[string]*Record
	order   []string
	next    int
}

// New returns an empty ring.
func New() *Ring {
	return &Ring{records: make(map[string]*Record), order: make([]string, maxRecords)}
}

// Begin stores a new record and evicts the oldest one if the ring is full. It stores none whose ID is too long.
func (r *Ring) Begin(record Record) {
	if len(record.ID) > maxIDBytes {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if oldest := r.order[r.next]; oldest != "" {
		delete(r.records, oldest)
	}
	r.order[r.next] = record.ID
	r.next = (r.next + 1) % maxRecords
	r.records[record.ID] = &record
}

// Add appends a step to a record. It does nothing if the record was evicted.
func (r *Ring) Add(id string, step Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[id]
	if !ok {
		return
	}
	if len(record.Steps) >= maxSteps {
		record.Dropped++
		return
	}
	record.Steps = append(record.Steps, step)
}

// Get returns a copy of a record. It returns false if the ring does not contain the record.
func (r *Ring) Get(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.records[id]
	if !ok {
		return Record{}, false
	}
	result := *record
	result.Steps = append([]Step(nil), record.Steps...)
	return result, true
}
