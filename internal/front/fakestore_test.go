package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oxbowslip.dev/oxbowslip/internal/front/directory"
	"oxbowslip.dev/oxbowslip/internal/front/era"
	"oxbowslip.dev/oxbowslip/internal/front/follow"
	"oxbowslip.dev/oxbowslip/internal/front/freshness"
	"oxbowslip.dev/oxbowslip/internal/settings"
)

const (
	// storeDelay is the latency of the store's answers.
	storeDelay = 4 * time.Millisecond
	// storeUptime is the time of the store's clock when a test begins.
	storeUptime = 70 * time.Second
)

// storeFault is the fault with which the store treats the calls of a host.
type storeFault int

const (
	// storeBusy rejects each call with errBusy.
	storeBusy storeFault = iota + 1
	// storeUnresponsive never answers a call, neither new calls nor held calls.
	storeUnresponsive
	// storeDropsHeld never answers the calls that are held when the fault is set, but answers new calls.
	storeDropsHeld
)

var errBusy = errors.New("the store is busy")

// fakeStore is an in-memory store for the hosts of a test. It stores one configuration and the entries of endpoints.
type fakeStore struct {
	started time.Time

	mu sync.Mutex
	// era counts the restores from backup, revision is the number of the newest change in the era.
	era      uint64
	revision uint64
	// configs and endpoints are all changes of the two topics, in order.
	configs   []stored[settings.Raw]
	endpoints []stored[directory.Change]
	changed   chan struct{}
	faults    map[string]storeFault
	// heldDrops counts, by host, how often storeDropsHeld was set.
	heldDrops map[string]int
	calls     int
}

// stored is a change with its revision.
type stored[T any] struct {
	revision uint64
	item     T
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		started: time.Now(), changed: make(chan struct{}), faults: make(map[string]storeFault), heldDrops: make(map[string]int),
	}
}

// putSettings stores a configuration with the given number.
func (s *fakeStore) putSettings(number uint64) {
	s.change(func() {
		document := settings.Raw(fmt.Sprintf(`{"Number":%d}`, number))
		s.configs = append(s.configs, stored[settings.Raw]{s.revision, document})
	})
}

// putEndpoint stores the entry of an endpoint.
func (s *fakeStore) putEndpoint(id string, state settings.EndpointState) {
	s.change(func() {
		entry := directory.Entry{ID: id, Endpoint: settings.Endpoint{Service: "llm", Address: "10.9.0.1:1", MaxInFlight: 4, State: state}}
		s.endpoints = append(s.endpoints, stored[directory.Change]{s.revision, directory.Change{Entry: entry}})
	})
}

// putEndpoints stores the entries of many endpoints in one change. IDs, addresses and versions are as random as in use,
// so that they compress no better.
func (s *fakeStore) putEndpoints(number int, state settings.EndpointState) {
	random := rand.New(rand.NewPCG(1, 2))
	s.change(func() {
		for n := range number {
			entry := directory.Entry{ID: fmt.Sprintf("i-%010x", random.Uint64N(1<<40)), Endpoint: settings.Endpoint{
				Service: "llm", Address: fmt.Sprintf("10.%d.%d.%d:8440", n%3, 64+n/600, random.IntN(250)), Zone: fmt.Sprint("zone-", n%3),
				Version: fmt.Sprint("v1 of ", 1_780_000_000_000+random.Int64N(1<<36)), MaxInFlight: 64, State: state,
			}}
			s.endpoints = append(s.endpoints, stored[directory.Change]{s.revision, directory.Change{Entry: entry}})
		}
	})
}

func (s *fakeStore) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore restores the store from a backup that lacks the given number of newest changes.
func (s *fakeStore) restore(lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision -= lost
	s.configs = slices.DeleteFunc(s.configs, func(c stored[settings.Raw]) bool { return c.revision > s.revision })
	s.endpoints = slices.DeleteFunc(s.endpoints, func(c stored[directory.Change]) bool { return c.revision > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// revisionOf returns the revision of a change's number in the current era. The lock must be held.
func (s *fakeStore) revisionOf(number uint64) uint64 {
	revision, err := era.Revision(s.era, number)
	if err != nil {
		panic(err) // Tests use small numbers only.
	}
	return revision
}

// setFault sets the fault with which the store treats the calls of some hosts.
func (s *fakeStore) setFault(fault storeFault, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, host := range hosts {
		s.faults[host] = fault
		if fault == storeDropsHeld {
			s.heldDrops[host]++
		}
	}
}

func (s *fakeStore) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeSource is the source that one host follows for a topic.
type storeSource[T any] struct {
	store   *fakeStore
	host    string
	history func() []stored[T]
}

func settingsSource(s *fakeStore, host string) storeSource[settings.Raw] {
	return storeSource[settings.Raw]{s, host, func() []stored[settings.Raw] { return s.configs }}
}

func endpointsSource(s *fakeStore, host string) storeSource[directory.Change] {
	return storeSource[directory.Change]{s, host, func() []stored[directory.Change] { return s.endpoints }}
}

// Load implements follow.Source.
func (v storeSource[T]) Load(ctx context.Context) (follow.Batch[T], error) {
	ctx, cancel := context.WithTimeout(ctx, follow.CallTimeout)
	defer cancel()
	return v.call(ctx, 0, 0)
}

// Wait implements follow.Source.
func (v storeSource[T]) Wait(ctx context.Context, after uint64, held time.Duration) (follow.Batch[T], error) {
	return v.call(ctx, after, held)
}

func (v storeSource[T]) call(ctx context.Context, after uint64, held time.Duration) (follow.Batch[T], error) {
	v.store.countCall()
	_, dropsBefore := v.fault()
	time.Sleep(storeDelay)
	until := time.After(held)
	for {
		batch, changed, gone := v.read(era.Number(after))
		if gone {
			return batch, follow.ErrHistoryGone
		}
		isDone := held == 0 || len(batch.Items) > 0
		if !isDone {
			select {
			case <-changed:
				continue
			case <-until:
				batch, _, _ = v.read(era.Number(after))
			case <-ctx.Done():
				return batch, ctx.Err()
			}
		}
		fault, drops := v.fault()
		switch {
		case fault == storeBusy:
			return batch, errBusy
		case fault == storeUnresponsive, drops != dropsBefore:
			<-ctx.Done()
			return batch, ctx.Err()
		}
		return batch, nil
	}
}

// fault returns the host's fault and how often its held calls were dropped.
func (v storeSource[T]) fault() (storeFault, int) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return v.store.faults[v.host], v.store.heldDrops[v.host]
}

// read returns the changes after a number and a channel that is closed on the next change. It reports gone if the store
// does not have the number.
func (v storeSource[T]) read(after uint64) (batch follow.Batch[T], changed chan struct{}, gone bool) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	batch = follow.Batch[T]{Revision: v.store.revisionOf(v.store.revision), At: freshness.StoreTime(time.Since(v.store.started) + storeUptime)}
	for _, change := range v.history() {
		if change.revision > after {
			batch.Items = append(batch.Items, change.item)
			batch.Changed = v.store.revisionOf(change.revision)
		}
	}
	return batch, v.store.changed, after > v.store.revision
}
