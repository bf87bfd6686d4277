// Package record stores the sizes and names of the last requests of a host, so that an operator can
// create a trace from them (oxbowslip-replay record). oxbowslipd adds the entries. They include no
// contents of requests.
package record

import (
	"sync"
	"time"
)

// maxEntries is the maximum number of stored entries. It bounds memory and covers some minutes of requests.
const maxEntries = 1 << 15

// Entry holds the sizes and names of one request.
type Entry struct {
	Arrived   time.Time `json:"arrived"`
	Class     string    `json:"class"`
	Workspace string    `json:"workspace"`
	Model     string    `json:"model"`
	// Prompt and Answer are lengths in tokens. Answer is 0 if the request was not answered.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

// Ring stores the last entries. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
}

// New returns an empty ring.
func New() *Ring { return &Ring{} }

// Add stores an entry and evicts the oldest one if the ring is full.
func (r *Ring) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) < maxEntries {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % maxEntries
}

// Since returns the entries of requests that arrived after a time, in the order in
// which the requests ended.
func (r *Ring) Since(after time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := []Entry{}
	for i := range r.entries {
		if e := r.entries[(r.next+i)%len(r.entries)]; e.Arrived.After(after) {
			recent = append(recent, e)
		}
	}
	return recent
}
